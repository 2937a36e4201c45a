package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/console"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/egress"
	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/fleet/cluster"
	flowfront "frosttide/internal/dispatcher/fleet/workflow/front"
	"frosttide/internal/dispatcher/handover"
	"frosttide/internal/dispatcher/ingress"
	"frosttide/internal/dispatcher/measures"
	"frosttide/internal/dispatcher/roster"
	"frosttide/internal/dispatcher/routetable"
	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/telemetry"
)

const (
	// lingerTime is how long after SIGTERM clients may keep their connections: the
	// front goes on sending new ones for a while, and the next dispatcher's restart
	// may begin before the last one is back, so that there is nowhere else to go.
	lingerTime = 2 * time.Second
	// The platform ends the process no earlier than the longest deadline, or graceMost
	// if that is shorter, and graceMore after SIGTERM. All that is here has its answer
	// lead before that.
	maxGrace     = 3 * time.Second
	graceMargin  = 700 * time.Millisecond
	answerMargin = 300 * time.Millisecond
	// closeMargin is how long before that the connections are closed that clients have not
	// used since a newer process took over.
	closeMargin = 600 * time.Millisecond
	// reservedSockets descriptors are those of discovery, the log and the runtime.
	reservedSockets = 24
)

// dialRunner opens connections to runners; nil for the net package's. Tests have it fail or wait.
var dialRunner egress.Dial

// openListener opens the clients' address. Tests have its connections fail.
var openListener = net.Listen

// serve runs a dispatcher until a signal ends it. It logs what ends it otherwise.
func serve(s signals, src config.Source) error {
	log := logrus.New()
	configureLog(log, settings.Log{Level: "info", Format: "text"})
	cfg, err := config.Load(src)
	if err == nil {
		configureLog(log, cfg.Log)
		err = run(log, cfg, src, s)
	} else {
		err = fmt.Errorf("configuration: %w", err)
	}
	if err == nil {
		return nil
	}
	for line := range strings.SplitSeq(err.Error(), "\n") { // mistakes in the settings come all at once
		log.WithField("error", line).Error("frosttide ends")
	}
	return errReported
}

// configureLog sets how the program logs.
func configureLog(log *logrus.Logger, l settings.Log) {
	if level, err := logrus.ParseLevel(l.Level); err == nil { // it was checked
		log.SetLevel(level)
	}
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
}

func run(log *logrus.Logger, cfg config.Config, src config.Source, s signals) error {
	limitResources(cfg.Limits, 1)
	entry := log.WithField("name", cfg.Name)
	for _, w := range cfg.Warnings {
		entry.Warn(w)
	}
	var err error
	var operators net.Listener
	if cfg.Console != "" { // open before all else, so that callers have their answers
		if operators, err = net.Listen("tcp", cfg.Console); err != nil {
			return fmt.Errorf("console: %w", err)
		}
		defer operators.Close()
	}

	whole := socketBudget(cfg, 1)
	counts := telemetry.New()
	counts.Classes(cfg.Names.Classes)
	others := openPeers(cfg, entry.WithField("part", "cluster")) // nil for a dispatcher on its own
	table := routetable.New(routetable.Config{Addr: cfg.Discovery, Zones: cfg.Names.Zones, Kinds: cfg.Names.Kinds,
		AlwaysFull: cfg.State.Dir != "", Pushed: cfg.Names.Pushed, Number: cfg.Module.Instance, Count: cfg.Module.Instances,
		MaxRefreshInterval: cfg.Module.Rules.MaxRefreshInterval, DrainGrace: cfg.Module.Rules.DrainGrace, OnUpdate: others.updateHook()},
		entry.WithField("part", "routetable"))
	fleet := egress.NewFleet(egress.Config{ConnectTimeout: cfg.Module.Limits.ConnectTimeout,
		IdleTimeout: cfg.Names.Keepalive, MaxSockets: whole.runners, Columns: cfg.Names.Columns,
		LoadReports: len(cfg.Names.Columns) > 0, OnSent: counts.Sent, Dial: dialRunner}, entry.WithField("part", "egress"))
	var held *storedState // nil where nothing is kept
	if cfg.State.Dir != "" {
		if held, err = openState(cfg, entry.WithField("part", "state")); err != nil {
			return err
		}
		held.applyMeanRunTimes(&cfg)
	}
	open := &backends{Fleet: fleet}
	c, err := core.New(cfg.Module, cfg.Seed, open, table, counts.Members, entry.WithField("part", "core"))
	if err != nil {
		return err
	}
	fleet.SetReporter(c)
	stories := export.New(entry.WithField("part", "export"))
	if err := stories.Configure(cfg.Telemetry); err != nil {
		return err
	}
	defer stories.Close()
	c.SetRecordHook(stories.Ended)
	c.SetHoldingsHook(stories.Enabled, func(held []core.Holding) { stories.SetLoads(exportLoads(held)) })
	if others != nil {
		c.SetOutcomeStore(outcomeRecords{others})
		others.guardCore(c, table)
	}
	gangs := watchGangs(cfg, c, others, entry.WithField("part", "gang")) // nil for nobody
	var keeper *roster.Roster                                            // nil where nothing is kept
	if held != nil {
		keeper = held.newRoster(cfg, c, table, counts)
	}
	var farmers *gearmanFront // nil without Gearman
	if cfg.Gearman.Listen != "" {
		if farmers, err = openGearman(cfg, c, counts, stories, entry.WithField("part", "gearman")); err != nil {
			return err
		}
		open.gearman = farmers.Server
	}
	var ready atomic.Bool
	if operators != nil {
		note := func() (bool, string) { return ready.Load(), storedListNote(keeper) }
		go console.New(others.operators(c), note, counts.Handler(), others.clusterHandler(), fleetHandler(flowfront.Handler(others.currentExecutor, others.clusterTime), gangHandler(gangs)), entry.WithField("part", "console")).Serve(operators)
	}
	var front *ingress.Front
	share := func(processes int) {
		c.SetProcessCount(processes)
		part := socketBudget(cfg, processes)
		fleet.SetMaxSockets(part.runners)
		front.SetLimits(part.jobs, part.ingress)
		limitResources(cfg.Limits, processes)
	}
	link := handover.New(handover.Path(os.TempDir(), cfg.Listen), c, table, share,
		func(x net.Conn, read []byte, m *core.MovedRequest) bool { return front.Adopt(x, read, m) }, entry.WithField("part", "handover"))
	defer link.Close()
	c.SetExclusionHook(func(e core.Exclusion) {
		link.Exclude(e)
		if keeper != nil {
			keeper.Excluded(e.UID, e.Out)
		}
	})
	front = ingress.New(ingress.Config{Classes: ingressClasses(cfg), Tenants: cfg.Names.Tenants, Columns: cfg.Names.Columns,
		MaxSlots: decision.MaxSlots, MaxJobs: whole.jobs, MaxConnections: whole.ingress,
		Recorder: stories, Steps: flowfront.Steps{Of: others.currentExecutor}}, c, link, counts, entry.WithField("part", "ingress"))
	listener, err := listen(cfg)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var state handover.State
	if cfg.ListenFD > 0 {
		if told := link.Dial(); told != nil {
			state = *told
		}
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if keeper == nil {
		table.Resume(state.Discovery, state.List, cfg.KnownMembers, c)
	} else {
		held.start(keeper, state, cfg.Seed)
		table.Resume(state.Discovery, state.List, cfg.KnownMembers, keeper)
		keeper.Start()
		go keeper.Run(ctx)
	}
	if farmers != nil {
		go farmers.Run(ctx)
	}
	first := discoveryGate{table: table, core: c, rules: table.Rules(), stale: cfg.Discovery != "" && keeper == nil && len(state.List) == 0}
	first.prepare()
	go table.Run(ctx)
	runGangWatcher(ctx, gangs)
	go c.Run(ctx)
	if others != nil {
		if err := others.start(c, table, link, keeper, held); err != nil {
			return err
		}
		defer others.leave()
		go others.shareFindings(ctx)
	}
	first.await(ctx)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	var grace atomic.Int64
	told := cfg.Telemetry
	take := func(cfg config.Config) {
		if held != nil {
			held.classes.Store(&cfg.Names.Classes)
		} // the core first: what the ingress lets in it must know
		if others != nil {
			others.applySettings(cfg)
		}
		c.ApplySettings(cfg.Module)
		counts.Classes(cfg.Names.Classes)
		front.SetClasses(ingressClasses(cfg))
		front.SetTenants(cfg.Names.Tenants)
		if farmers != nil {
			farmers.applySettings(cfg)
		}
		grace.Store(int64(shutdownGrace(cfg)))
		table.SetRules(cfg.Module.Rules.MaxRefreshInterval, cfg.Module.Rules.DrainGrace, cfg.Module.Instances)
		table.SetAddress(cfg.Discovery)
		if cfg.Discovery == "" {
			table.LoadFixed(cfg.KnownMembers)
		}
		configureLog(log, cfg.Log)
		if !cfg.Telemetry.Equivalent(told) {
			if err := stories.Configure(cfg.Telemetry); err != nil {
				entry.WithError(err).Error("telemetry is not taken; the old one goes on")
			} else {
				told = cfg.Telemetry
			}
		}
	}
	grace.Store(int64(shutdownGrace(cfg)))
	go reload(cfg, src, s.reloads, take, counts, entry)
	if cfg.ListenFD > 0 {
		if err := link.Serve(); err != nil {
			entry.WithError(err).Warn("no newer process will take over the state")
		}
		link.Ready()
	}
	ready.Store(true)
	entry.WithField("listen", cfg.Listen).Info("frosttide serves")

	select {
	case err := <-served:
		return err
	case sig := <-s.stop:
		ready.Store(false)
		entry.WithField("signal", sig.String()).Info("frosttide drains")
		stories.FlushNow()
	}
	by := time.Now().Add(time.Duration(grace.Load()) - answerMargin)
	if others != nil {
		others.announceDrain(link.Succeeded())
	}
	if farmers != nil {
		farmers.Leave(by)
	}
	if link.Succeeded() {
		listener.Close()
		front.HandOver(by.Add(-closeMargin))
		front.StopBy(by)
	} else {
		front.StopBy(by)
		time.Sleep(lingerTime)
	}
	if err := front.Drain(ctx); err != nil {
		return err
	}
	if farmers != nil {
		farmers.drain(by)
	}
	if keeper != nil {
		keeper.Close(time.Now().Add(finalSaveTimeout))
	}
	entry.Info("frosttide has answered everything and ends")
	return nil
}

// budget is how many descriptors a process has for what.
type budget struct{ runners, ingress, jobs int }

// socketBudget returns the budget of one of so many processes: each needs its own reserve.
// Where that leaves too little it has to do with less.
func socketBudget(cfg config.Config, processes int) budget {
	part := cfg.Limits.Sockets / processes
	n := max(part-reservedSockets, part/4)
	if cfg.Console != "" {
		n = max(n-console.Sockets, part/4)
	}
	if cfg.Gearman.Listen != "" {
		n = max(n-int(cfg.Gearman.Connections), part/4)
	}
	if cfg.State.Dir != "" {
		n = max(n-roster.Sockets, part/4)
	}
	if cfg.Telemetry.Enabled() {
		n = max(n-export.MaxSockets, part/4)
	}
	if cfg.Cluster.Listen != "" {
		n = max(n-cluster.Sockets, part/4)
	}
	return budget{runners: n * 3 / 8, ingress: n * 5 / 8, jobs: n * 4 / 8}
}

// listen opens the clients' address, or takes the socket that the platform holds
// for all processes of this dispatcher.
func listen(cfg config.Config) (net.Listener, error) {
	if cfg.ListenFD > 0 {
		return handover.Listen(cfg.ListenFD)
	}
	return openListener("tcp", cfg.Listen)
}

// ingressClasses returns what the ingress has to know of the classes.
func ingressClasses(cfg config.Config) []ingress.Class {
	var out []ingress.Class
	for i, class := range cfg.Module.Classes {
		repeats := class.ClientTimeout + cfg.Module.Limits.MaxRetryAfter
		if class.Effect == decision.Keyed {
			repeats = class.DedupWindow
		}
		out = append(out, ingress.Class{Name: cfg.Names.Classes[i], Keyed: class.Effect == decision.Keyed, Removed: cfg.RemovedClasses[i],
			Value: class.Value, DedupWindow: repeats})
	}
	return out
}

// shutdownGrace returns how long the process has to itself after SIGTERM.
func shutdownGrace(cfg config.Config) time.Duration {
	var longest time.Duration
	for i, class := range cfg.Module.Classes {
		if !cfg.RemovedClasses[i] {
			longest = max(longest, class.ClientTimeout)
		}
	}
	return min(longest, maxGrace) + graceMargin
}

// reload rereads the configuration at each signal, also while the program
// drains: hops may still need a runner. Signals that come close together lead to
// one reload, which reads the newest file.
func reload(cfg config.Config, src config.Source, signals <-chan os.Signal, take func(config.Config), counts *telemetry.Counts, log *logrus.Entry) {
	for range signals {
		next, err := cfg.Reload(src)
		if err != nil {
			counts.Reloaded(false)
			log.WithError(err).Error("configuration not taken; the old one is kept")
			continue
		}
		log.WithField("discovery", next.Discovery).Info("configuration reread")
		next, waits := cfg.KeepStartOnly(next)
		if len(waits) > 0 {
			log.WithField("changed", waits).Warn("these changes wait for the next start")
		}
		take(next)
		cfg = next
		counts.Reloaded(true) // what the figures say is in force
	}
}

// limitResources keeps the processes of the dispatcher within their machine. The memory limit
// leaves room for stacks and what the kernel counts.
func limitResources(l config.Limits, processes int) {
	runtime.GOMAXPROCS(max(int(l.Cores), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4 / int64(processes))
}

// exportLoads turns what the core tells into the export's terms.
func exportLoads(held []core.Holding) []measures.Load {
	out := make([]measures.Load, len(held))
	for i, h := range held {
		out[i] = measures.Load(h)
	}
	return out
}
