package main

import (
	"cmp"
	"context"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/cluster"
	gangdesk "frosttide/internal/dispatcher/fleet/gang/watcher"
	"frosttide/internal/dispatcher/fleet/quorum"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
	"frosttide/internal/dispatcher/fleet/rejoin"
	"frosttide/internal/dispatcher/fleet/workflow/executor"
	"frosttide/internal/dispatcher/handover"
	"frosttide/internal/dispatcher/roster"
	"frosttide/internal/dispatcher/routetable"
)

// memberRetryInterval is the time between two tries to open the member while an older
// process holds its address.
const memberRetryInterval = 100 * time.Millisecond

// peers is this dispatcher's part in a cluster: the member, and what connects it to
// the other components. It implements cluster.Dispatcher. The nil peers stands for a
// dispatcher without a cluster; methods that may be called on it say so.
type peers struct {
	cfg   cluster.Config
	alias string // discovery's name among the members; empty for its address
	log   *logrus.Entry

	// Settings in force.
	classes         atomic.Pointer[[]string] // names by their numbers
	workflowClasses atomic.Pointer[map[string]executor.Class]
	stages, paced   bool // the dispatcher rejoins by stages, and admits jobs gradually
	dispatchers     int  // by the settings
	maxUndos        int  // compensations at a time; 0 without workflows

	// Components, set before the member opens.
	core        *core.Core
	table       *routetable.Table
	link        *handover.Link
	roster      *roster.Roster    // nil where nothing is stored
	gangWatcher *gangdesk.Watcher // nil where nobody watches gangs

	executor atomic.Pointer[executor.Executor] // nil where no workflows are executed
	stalls   atomic.Int64                      // stalls of the process so far

	mu             sync.Mutex
	member         *cluster.Cluster // nil before it has opened, and after it has ended
	rejoin         *rejoin.Actor    // nil without stages, or without a member
	cancelRejoin   context.CancelFunc
	ended          bool
	pendingUpdates []routetable.Update // of discovery, from before the member opened
}

// openPeers returns nil where the settings name no cluster. The member opens with
// start.
func openPeers(cfg config.Config, log *logrus.Entry) *peers {
	s := cfg.Cluster
	if s.Listen == "" {
		return nil
	}
	site := ""
	if z := cfg.Module.Zone; z < len(cfg.Names.Zones) {
		site = cfg.Names.Zones[z]
	}
	p := &peers{
		cfg: cluster.Config{
			Name:         cfg.Name,
			Site:         site,
			Build:        version(),
			Listen:       s.Listen,
			Advertise:    s.Advertise,
			Join:         s.Join,
			Voters:       s.Voters,
			Dir:          s.Dir,
			WatermarkDir: s.WatermarkDir,
			Source:       cmp.Or(s.Discovery, cfg.Discovery),
		},
		alias:       s.Discovery,
		log:         log,
		stages:      s.StagedRejoin,
		paced:       s.PacedAdmission,
		dispatchers: max(cfg.Module.Instances, 1),
	}
	p.applySettings(cfg)
	if s.Workflows {
		p.maxUndos = s.MaxCompensations
	}
	return p
}

// applySettings puts a configuration in force.
func (p *peers) applySettings(cfg config.Config) {
	p.classes.Store(&cfg.Names.Classes)
	p.workflowClasses.Store(workflowClasses(cfg))
}

// guardCore has the core admit jobs by stages. It must be called before the core
// runs.
func (p *peers) guardCore(c *core.Core, table *routetable.Table) {
	p.core, p.table = c, table
	if p.stages {
		c.Guard(p.onStall)
	}
}

// start opens the member. Where an older process of this dispatcher still is the
// member, it does so in a goroutine once that has ended its part.
func (p *peers) start(c *core.Core, table *routetable.Table, link *handover.Link, roster *roster.Roster, stored *storedState) error {
	p.link, p.roster = link, roster
	signal.Ignore(syscall.SIGXFSZ) // a file at its size limit is a full disk, and no reason to end
	if stored != nil && stored.loaded != nil {
		p.cfg.Excluded = stored.loaded.Excluded
	}
	err := p.openMember(false)
	if !inUse(err) {
		return err
	}
	if p.stages { // the older process stands for both meanwhile
		c.SetAdmission(admission.Unlimited, true, 0, 0)
	}
	p.log.WithError(err).Warn("another process is this member; it is waited for")
	go p.retryMember()
	return nil
}

// retryMember tries to open the member until that succeeds or fails for good.
func (p *peers) retryMember() {
	for {
		time.Sleep(memberRetryInterval)
		err := p.openMember(true)
		if err == nil {
			return
		}
		if !inUse(err) {
			p.log.WithError(err).Error("the member could not begin; this dispatcher is on its own")
			return
		}
	}
}

// inUse reports whether an older process holds what the member needs.
func inUse(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, quorum.ErrInUse)
}

// onStall handles a stall of the process. It does not block.
func (p *peers) onStall(length time.Duration) {
	stalls := int(p.stalls.Add(1))
	p.mu.Lock()
	actor := p.rejoin
	p.mu.Unlock()
	if actor != nil {
		actor.ProcessStalled(length)
		return
	}
	p.table.Renew(func() { p.core.SetAdmission(admission.Unlimited, true, 0, stalls) })
}

// openMember opens the member; warm says that this process has served before. It
// does nothing once the part in the cluster has ended.
func (p *peers) openMember(warm bool) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended {
		return nil
	}
	// Without the lock: the core and the table take it, and must not wait for the disk.
	m, err := cluster.Open(p.cfg, p, p.log)
	if err != nil {
		return err
	}
	p.mu.Lock()
	if p.ended {
		p.mu.Unlock()
		m.Close(false)
		return nil
	}
	defer p.mu.Unlock()
	p.member = m
	if p.stages {
		p.startRejoin(m, warm)
	}
	for _, update := range p.pendingUpdates {
		p.forwardUpdate(m, update)
	}
	p.pendingUpdates = nil
	return nil
}

// startRejoin starts the rejoin by stages, and workflows, which need it. The caller
// holds the lock.
func (p *peers) startRejoin(m *cluster.Cluster, warm bool) {
	var ctx context.Context
	ctx, p.cancelRejoin = context.WithCancel(context.Background())
	p.rejoin = rejoin.New(rejoin.Config{
		Dispatchers: p.dispatchers,
		Paced:       p.paced,
		Warm:        warm,
		Stalls:      int(p.stalls.Load()),
		Bounds:      stage.Defaults(),
	}, m, p.core, p.table, p.log)
	m.SetRejoinStatus(p.rejoin.Status)
	go p.rejoin.Run(ctx)
	p.startWorkflows(ctx, m)
}

// currentMember returns the member, nil for none.
func (p *peers) currentMember() *cluster.Cluster {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member
}

// announceDrain tells the other members that this process will end. One that was
// succeeded gives its part to its successor at once.
func (p *peers) announceDrain(succeeded bool) {
	if succeeded {
		p.close(false)
	} else if m := p.currentMember(); m != nil {
		m.SetDraining()
	}
}

// leave ends the part in the cluster for good.
func (p *peers) leave() { p.close(true) }

// close ends the member; farewell announces to the other members that it has left.
func (p *peers) close(farewell bool) {
	p.mu.Lock()
	m, cancel := p.member, p.cancelRejoin
	p.member, p.rejoin, p.ended = nil, nil, true
	p.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if m != nil {
		m.Close(farewell)
	}
}
