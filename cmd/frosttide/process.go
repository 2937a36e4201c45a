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
	gangwatcher "frosttide/internal/dispatcher/fleet/gang/watcher"
	workflowfront "frosttide/internal/dispatcher/fleet/workflow/front"
	"frosttide/internal/dispatcher/handover"
	"frosttide/internal/dispatcher/ingress"
	"frosttide/internal/dispatcher/measures"
	"frosttide/internal/dispatcher/roster"
	"frosttide/internal/dispatcher/routetable"
	"frosttide/internal/dispatcher/telemetry"
	"frosttide/internal/dispatcher/wakedelay"
)

// process holds the components of a dispatcher in the order in which wire creates them. Components
// that the settings disable are nil.
type process struct {
	logger *logrus.Logger
	log    *logrus.Entry
	cfg    config.Config
	budget budget // while no other process of this dispatcher runs

	consoleListener net.Listener // nil without a console
	counts          *telemetry.Counts
	peers           *peers // nil without a cluster
	table           *routetable.Table
	fleet           *egress.Fleet
	stored          *storedState // nil if no state is stored on disk
	backends        *backends
	core            *core.Core
	exporter        *export.Exporter
	gangs           *gangwatcher.Watcher // nil if gangs are not watched
	roster          *roster.Roster       // nil if no state is stored on disk
	gearman         *gearmanFront        // nil without Gearman
	link            *handover.Link
	front           *ingress.Front
	listener        net.Listener // for clients

	ready     atomic.Bool  // the process serves and is not draining
	grace     atomic.Int64 // time.Duration between SIGTERM and the platform's SIGKILL
	wakeDelay wakedelay.Monitor
	telemetry export.Options // options in force; owned by the goroutine of reload

	closers []func() // called by close in reverse order
}

// newProcess returns a process whose components have not been created yet.
func newProcess(logger *logrus.Logger, cfg config.Config) *process {
	return &process{
		logger:    logger,
		log:       logger.WithField("name", cfg.Name),
		cfg:       cfg,
		budget:    socketBudget(cfg, 1),
		telemetry: cfg.Telemetry,
	}
}

// componentLog returns the logger of a component.
func (p *process) componentLog(name string) *logrus.Entry { return p.log.WithField("part", name) }

// onClose registers a function for close to call.
func (p *process) onClose(f func()) { p.closers = append(p.closers, f) }

// close calls the functions registered with onClose in reverse order.
func (p *process) close() {
	for _, f := range slices.Backward(p.closers) {
		f()
	}
}

// wire creates the components and connects them. The console comes first, so that operators can
// query the process during startup. No other component runs before start.
func (p *process) wire() error {
	if err := p.openConsole(); err != nil {
		return err
	}
	p.counts = telemetry.New()
	p.counts.SetClasses(p.cfg.Names.Classes)
	p.peers = openPeers(p.cfg, p.componentLog("cluster"))
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
		p.peers.guardAdmission(p.core, p.table)
	}
	p.gangs = watchGangs(p.cfg, p.core, p.peers, p.componentLog("gang"))
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

// openConsole opens the listener of the operators' console.
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
	}, p.componentLog("routetable"))
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
	}, p.componentLog("egress"))
}

// openStoredState opens the state on disk and copies the stored mean run times into the
// configuration.
func (p *process) openStoredState() (err error) {
	if p.cfg.State.Dir == "" {
		return nil
	}
	if p.stored, err = openState(p.cfg, p.componentLog("state")); err != nil {
		return err
	}
	p.stored.applyMeanRunTimes(&p.cfg)
	return nil
}

func (p *process) makeCore() (err error) {
	p.backends = &backends{Fleet: p.fleet}
	p.core, err = core.New(p.cfg.Module, p.cfg.Seed, p.backends, p.table, p.counts.SetMembers, p.componentLog("core"))
	if err != nil {
		return err
	}
	p.fleet.SetReporter(p.core)
	return nil
}

func (p *process) makeExporter() error {
	p.exporter = export.New(p.componentLog("export"))
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
	if p.gearman, err = openGearman(p.cfg, p.core, p.counts, p.exporter, p.componentLog("gearman")); err != nil {
		return err
	}
	p.backends.gearman = p.gearman.Server
	return nil
}

// serveConsole serves the console in a goroutine that ends when close closes the listener.
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
	go console.New(p.peers.operators(p.core), handlers, p.componentLog("console")).Serve(p.consoleListener)
}

// makeLink creates the link to the other process of this dispatcher. The link does not call the
// front before takeOver, so the front may be created later.
func (p *process) makeLink() {
	path := handover.Path(os.TempDir(), p.cfg.Listen)
	adopt := func(c net.Conn, read []byte, m *core.MovedRequest) bool { return p.front.Adopt(c, read, m) }
	report := func(ev core.JobEvent, held func(core.ReportResult)) { p.front.ReportForwarded(ev, held) }
	p.link = handover.New(path, p.core, p.table, p.setProcessCount, adopt, report, p.componentLog("handover"))
	p.onClose(p.link.Close)
	p.core.SetExclusionHook(func(e core.Exclusion) {
		p.link.ForwardExclusion(e)
		if p.roster != nil {
			p.roster.Excluded(e.UID, e.Out)
		}
	})
}

// setProcessCount divides the dispatcher's resource limits among its running processes.
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
	}, p.core, p.link, p.counts, p.componentLog("ingress"))
}

// listen opens the listener for clients, or uses the inherited socket that the platform shares
// among all processes of this dispatcher.
func (p *process) listen() (err error) {
	if p.cfg.ListenFD > 0 {
		p.listener, err = handover.Listen(p.cfg.ListenFD)
	} else {
		p.listener, err = openListener("tcp", p.cfg.Listen)
	}
	return errors.Wrap(err, "listen")
}

// exportLoads converts the tokens that are in use to the exporter's type.
func exportLoads(held []core.Holding) []measures.Load {
	loads := make([]measures.Load, len(held))
	for i, h := range held {
		loads[i] = measures.Load(h)
	}
	return loads
}
