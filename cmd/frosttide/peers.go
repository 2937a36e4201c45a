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
	gangwatcher "frosttide/internal/dispatcher/fleet/gang/watcher"
	"frosttide/internal/dispatcher/fleet/quorum"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
	"frosttide/internal/dispatcher/fleet/rejoin"
	"frosttide/internal/dispatcher/fleet/workflow/executor"
	"frosttide/internal/dispatcher/handover"
	"frosttide/internal/dispatcher/roster"
	"frosttide/internal/dispatcher/routetable"
)

// memberRetryInterval is the time between attempts to open the cluster member while an older
// process of this dispatcher holds its address.
const memberRetryInterval = 100 * time.Millisecond

// peers connects this dispatcher to its cluster: it owns the cluster member and passes events
// between the member and the other components. It implements cluster.Dispatcher. A nil *peers
// represents a dispatcher without a cluster; methods that may be called on nil say so.
type peers struct {
	cfg   cluster.Config
	alias string // the cluster's name for the discovery service; empty to use its address
	log   *logrus.Entry

	// Settings in force.
	classes          atomic.Pointer[[]string] // names by their numbers
	workflowClasses  atomic.Pointer[map[string]executor.Class]
	stages, paced    bool // rejoin in stages, and admit jobs gradually
	dispatchers      int  // configured number of dispatchers
	maxCompensations int  // concurrent compensations; 0 without workflows

	// Components; set before the member opens.
	core        *core.Core
	table       *routetable.Table
	link        *handover.Link
	roster      *roster.Roster       // nil if no state is stored on disk
	gangWatcher *gangwatcher.Watcher // nil if gangs are not watched

	executor atomic.Pointer[executor.Executor] // nil if no workflows are executed
	stalls   atomic.Int64                      // number of process stalls since the start

	mu             sync.Mutex
	member         *cluster.Cluster // nil before it has opened and after it has closed
	rejoin         *rejoin.Actor    // nil without staged rejoin or without a member
	cancelRejoin   context.CancelFunc
	ended          bool                // close was called
	pendingUpdates []routetable.Update // discovery updates received before the member opened
}

// openPeers returns the connection to the cluster, or nil if the settings have no cluster. The
// member is opened by start.
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
		p.maxCompensations = s.MaxCompensations
	}
	return p
}

// applySettings applies a configuration.
func (p *peers) applySettings(cfg config.Config) {
	p.classes.Store(&cfg.Names.Classes)
	p.workflowClasses.Store(workflowClasses(cfg))
}

// guardAdmission makes the core restrict the admission of jobs by the stages of the rejoin, if the
// settings enable staged rejoin. It must be called before the core runs.
func (p *peers) guardAdmission(c *core.Core, table *routetable.Table) {
	p.core, p.table = c, table
	if p.stages {
		c.Guard(p.onStall)
	}
}

// start opens the member. While an older process of this dispatcher still is the member, start
// returns and a goroutine keeps retrying until the older process has left.
func (p *peers) start(c *core.Core, table *routetable.Table, link *handover.Link, roster *roster.Roster, stored *storedState) error {
	p.link, p.roster = link, roster
	signal.Ignore(syscall.SIGXFSZ) // handle the file size limit like a full disk, not by exiting
	if stored != nil && stored.loaded != nil {
		p.cfg.Excluded = stored.loaded.Excluded
	}
	err := p.openMember(false)
	if !inUse(err) {
		return err
	}
	if p.stages { // the older process represents both in the cluster until it leaves
		c.SetAdmission(admission.Unlimited, true, 0, 0)
	}
	p.log.WithError(err).Warn("another process is still this cluster member; waiting for it to leave")
	go p.retryMember()
	return nil
}

// retryMember retries opening the member until it succeeds or fails permanently.
func (p *peers) retryMember() {
	for {
		time.Sleep(memberRetryInterval)
		err := p.openMember(true)
		if err == nil {
			return
		}
		if !inUse(err) {
			p.log.WithError(err).Error("failed to start the cluster member; continuing without the cluster")
			return
		}
	}
}

// inUse reports whether an older process still holds the member's address or log directory.
func inUse(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, quorum.ErrInUse)
}

// onStall handles a stall of the process: the rejoin actor is told, or without one, admission is
// updated after the worker list was renewed. It does not block.
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

// openMember opens the member; warm means that this process has been serving already. It does
// nothing after close.
func (p *peers) openMember(warm bool) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended {
		return nil
	}
	// Not under the lock: the core and the table acquire it and must not wait for the disk.
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

// startRejoin starts the staged rejoin, and workflows, which depend on it. The caller holds the
// lock.
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

// currentMember returns the member, or nil if it is not open.
func (p *peers) currentMember() *cluster.Cluster {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member
}

// announceDrain tells the other members that this process is draining. If a newer process has
// succeeded it, the member closes at once so that the successor can open it.
func (p *peers) announceDrain(succeeded bool) {
	if succeeded {
		p.close(false)
	} else if m := p.currentMember(); m != nil {
		m.SetDraining()
	}
}

// leave closes the member for good and announces that to the other members.
func (p *peers) leave() { p.close(true) }

// close closes the member for good. With announceLeave the other members are told that it has left.
func (p *peers) close(announceLeave bool) {
	p.mu.Lock()
	m, cancel := p.member, p.cancelRejoin
	p.member, p.rejoin, p.ended = nil, nil, true
	p.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	if m != nil {
		m.Close(announceLeave)
	}
}
