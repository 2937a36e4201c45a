package main

import (
	"net"
	"os"
	"slices"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/console"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/egress"
	"frosttide/internal/dispatcher/export"
	gangdesk "frosttide/internal/dispatcher/fleet/gang/watcher"
	workflowfront "frosttide/internal/dispatcher/fleet/workflow/front"
	"frosttide/internal/dispatcher/handover"
	"frosttide/internal/dispatcher/ingress"
	"frosttide/internal/dispatcher/measures"
	"frosttide/internal/dispatcher/roster"
	"frosttide/internal/dispatcher/routetable"
	"frosttide/internal/dispatcher/telemetry"
	"frosttide/internal/dispatcher/wakedelay"
)

// process is a dispatcher's process: its components in the order in which wire makes
// them. Components of parts that the settings leave out are nil.
type process struct {
	logger *logrus.Logger
	log    *logrus.Entry
	cfg    config.Config
	budget budget // with no other process of this dispatcher

	consoleListener net.Listener // nil without a console
	counts          *telemetry.Counts
	peers           *peers // nil without a cluster
	table           *routetable.Table
	fleet           *egress.Fleet
	stored          *storedState // nil where nothing is stored
	backends        *backends
	core            *core.Core
	exporter        *export.Exporter
	gangs           *gangdesk.Watcher // nil where nobody watches gangs
	roster          *roster.Roster    // nil where nothing is stored
	gearman         *gearmanFront     // nil without Gearman
	link            *handover.Link
	front           *ingress.Front
	listener        net.Listener // of clients

	ready     atomic.Bool  // the process serves and does not drain
	grace     atomic.Int64 // time.Duration that the process has after SIGTERM
	wakeDelay wakedelay.Monitor
	telemetry export.Options // in force; owned by the goroutine that reloads

	closers []func()
}

// newProcess returns a process without components.
func newProcess(logger *logrus.Logger, cfg config.Config) *process {
	return &process{
		logger:    logger,
		log:       logger.WithField("name", cfg.Name),
		cfg:       cfg,
		budget:    socketBudget(cfg, 1),
		telemetry: cfg.Telemetry,
	}
}

// part returns the log of a part.
func (p *process) part(name string) *logrus.Entry { return p.log.WithField("part", name) }

// onClose has a function be called by close.
func (p *process) onClose(f func()) { p.closers = append(p.closers, f) }

// close calls the functions of onClose, the last one first.
func (p *process) close() {
	for _, f := range slices.Backward(p.closers) {
		f()
	}
}

// wire makes the components and connects them. The console is the first, so that
// operators have answers from the beginning. Nothing else runs yet.
func (p *process) wire() error {
	if err := p.openConsole(); err != nil {
		return err
	}
	p.counts = telemetry.New()
	p.counts.SetClasses(p.cfg.Names.Classes)
	p.peers = openPeers(p.cfg, p.part("cluster"))
	p.makeRouteTable()
	p.makeFleet()
	if err := p.openStoredState(); err != nil {
		return err
	}
	if err := p.makeCore(); err != nil {
		return err
	}
	if err := p.makeExporter(); err != nil {
		return err
	}
	if p.peers != nil {
		p.core.SetOutcomeStore(outcomeRecords{p.peers})
		p.peers.guardCore(p.core, p.table)
	}
	p.gangs = watchGangs(p.cfg, p.core, p.peers, p.part("gang"))
	if p.stored != nil {
		p.roster = p.stored.newRoster(p.cfg, p.core, p.table, p.counts)
	}
	if err := p.openGearman(); err != nil {
		return err
	}
	p.serveConsole()
	p.makeLink()
	p.makeFront()
	return p.listen()
}

// openConsole opens the operators' address.
func (p *process) openConsole() (err error) {
	if p.cfg.Console == "" {
		return nil
	}
	if p.consoleListener, err = net.Listen("tcp", p.cfg.Console); err != nil {
		return errors.Wrap(err, "console")
	}
	p.onClose(func() { p.consoleListener.Close() })
	return nil
}

func (p *process) makeRouteTable() {
	p.table = routetable.New(routetable.Config{
		Addr:               p.cfg.Discovery,
		Zones:              p.cfg.Names.Zones,
		Kinds:              p.cfg.Names.Kinds,
		AlwaysFull:         p.cfg.State.Dir != "",
		Pushed:             p.cfg.Names.Pushed,
		Number:             p.cfg.Module.Instance,
		Count:              p.cfg.Module.Instances,
		MaxRefreshInterval: p.cfg.Module.Rules.MaxRefreshInterval,
		DrainGrace:         p.cfg.Module.Rules.DrainGrace,
		OnUpdate:           p.peers.updateHook(),
	}, p.part("routetable"))
}

func (p *process) makeFleet() {
	p.fleet = egress.NewFleet(egress.Config{
		ConnectTimeout: p.cfg.Module.Limits.ConnectTimeout,
		IdleTimeout:    p.cfg.Names.Keepalive,
		MaxSockets:     p.budget.runners,
		Columns:        p.cfg.Names.Columns,
		LoadReports:    len(p.cfg.Names.Columns) > 0,
		OnSent:         p.counts.Sent,
		Dial:           dialRunner,
	}, p.part("egress"))
}

// openStoredState opens what is stored on disk. The mean run times found there are
// part of the configuration from then on.
func (p *process) openStoredState() (err error) {
	if p.cfg.State.Dir == "" {
		return nil
	}
	if p.stored, err = openState(p.cfg, p.part("state")); err != nil {
		return err
	}
	p.stored.applyMeanRunTimes(&p.cfg)
	return nil
}

func (p *process) makeCore() (err error) {
	p.backends = &backends{Fleet: p.fleet}
	p.core, err = core.New(p.cfg.Module, p.cfg.Seed, p.backends, p.table, p.counts.SetMembers, p.part("core"))
	if err != nil {
		return err
	}
	p.fleet.SetReporter(p.core)
	return nil
}

func (p *process) makeExporter() error {
	p.exporter = export.New(p.part("export"))
	if err := p.exporter.Configure(p.cfg.Telemetry); err != nil {
		return err
	}
	p.onClose(func() { p.exporter.Close() })
	p.core.SetRecordHook(p.exporter.Ended)
	p.core.SetHoldingsHook(p.exporter.Enabled, func(held []core.Holding) { p.exporter.SetLoads(exportLoads(held)) })
	return nil
}

func (p *process) openGearman() (err error) {
	if p.cfg.Gearman.Listen == "" {
		return nil
	}
	if p.gearman, err = openGearman(p.cfg, p.core, p.counts, p.exporter, p.part("gearman")); err != nil {
		return err
	}
	p.backends.gearman = p.gearman.Server
	return nil
}

// serveConsole starts the console. Its goroutine ends when close closes the listener.
func (p *process) serveConsole() {
	if p.consoleListener == nil {
		return
	}
	workflows := workflowfront.Handler(p.peers.currentExecutor, p.peers.clusterTime)
	handlers := console.Handlers{
		Ready:   func() (bool, string) { return p.ready.Load(), storedListNote(p.roster) },
		Figures: p.counts.Handler(),
		Cluster: p.peers.clusterHandler(),
		Work:    workHandler(workflows, gangHandler(p.gangs)),
	}
	go console.New(p.peers.operators(p.core), handlers, p.part("console")).Serve(p.consoleListener)
}

// makeLink makes the link to the other process of this dispatcher. It calls nothing
// of the front before takeOver.
func (p *process) makeLink() {
	path := handover.Path(os.TempDir(), p.cfg.Listen)
	adopt := func(c net.Conn, read []byte, m *core.MovedRequest) bool { return p.front.Adopt(c, read, m) }
	report := func(ev core.JobEvent, held func(core.ReportResult)) { p.front.ReportForwarded(ev, held) }
	p.link = handover.New(path, p.core, p.table, p.setProcessCount, adopt, report, p.part("handover"))
	p.onClose(p.link.Close)
	p.core.SetExclusionHook(func(e core.Exclusion) {
		p.link.ForwardExclusion(e)
		if p.roster != nil {
			p.roster.Excluded(e.UID, e.Out)
		}
	})
}

// setProcessCount divides what this dispatcher may use among its processes.
func (p *process) setProcessCount(processes int) {
	p.core.SetProcessCount(processes)
	share := socketBudget(p.cfg, processes)
	p.fleet.SetMaxSockets(share.runners)
	p.front.SetLimits(share.jobs, share.ingress)
	limitResources(p.cfg.Limits, processes)
}

func (p *process) makeFront() {
	p.front = ingress.New(ingress.Config{
		Classes:        ingressClasses(p.cfg),
		Tenants:        p.cfg.Names.Tenants,
		Columns:        p.cfg.Names.Columns,
		MaxSlots:       decision.MaxSlots,
		MaxJobs:        p.budget.jobs,
		MaxConnections: p.budget.ingress,
		Recorder:       p.exporter,
		Steps:          workflowfront.Steps{Executor: p.peers.currentExecutor},
	}, p.core, p.link, p.counts, p.part("ingress"))
}

// listen opens the clients' address, or takes the socket that the platform holds for
// all processes of this dispatcher.
func (p *process) listen() (err error) {
	if p.cfg.ListenFD > 0 {
		p.listener, err = handover.Listen(p.cfg.ListenFD)
	} else {
		p.listener, err = openListener("tcp", p.cfg.Listen)
	}
	return errors.Wrap(err, "listen")
}

// exportLoads converts the tokens in use into the exporter's form.
func exportLoads(held []core.Holding) []measures.Load {
	loads := make([]measures.Load, len(held))
	for i, h := range held {
		loads[i] = measures.Load(h)
	}
	return loads
}
