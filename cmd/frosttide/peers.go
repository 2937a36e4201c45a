package main

import (
	"cmp"
	"context"
	"errors"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

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

// peers are the dispatchers that this one knows. All methods may be called on nil, the
// others of a dispatcher on its own.
type peers struct {
	cfg   cluster.Config
	alias string // the discovery's name among members; empty for its address
	log   *logrus.Entry

	classes atomic.Pointer[[]string]

	core   *core.Core
	table  *routetable.Table
	link   *handover.Link
	roster *roster.Roster

	gangWatcher     *gangdesk.Desk                // nil where nobody watches gangs
	executor        atomic.Pointer[executor.Desk] // nil where no workflows are carried out
	workflowClasses atomic.Pointer[map[string]executor.Class]
	maxUndos        int // at once; 0 for no workflows

	stages, paced bool
	dispatchers   int
	stalls        atomic.Int64 // standstills of the process

	mu             sync.Mutex
	rejoin         *rejoin.Actor // nil where there are no stages, or no member yet
	cancelRejoin   context.CancelFunc
	member         *cluster.Cluster // nil before it has begun, and after it has ended
	ended          bool
	pendingUpdates []routetable.Update // of the time before
}

// openPeers returns nil where the settings name nobody.
func openPeers(cfg config.Config, log *logrus.Entry) *peers {
	s := cfg.Cluster
	if s.Listen == "" {
		return nil
	}
	site := ""
	if z := cfg.Module.Zone; z < len(cfg.Names.Zones) {
		site = cfg.Names.Zones[z]
	}
	o := &peers{log: log, alias: s.Discovery, stages: s.StagedRejoin, paced: s.PacedAdmission, dispatchers: max(cfg.Module.Instances, 1), cfg: cluster.Config{Name: cfg.Name, Site: site, Build: version(), Listen: s.Listen, Advertise: s.Advertise,
		Join: s.Join, Voters: s.Voters, Dir: s.Dir, Keep: s.WatermarkDir, Source: cmp.Or(s.Discovery, cfg.Discovery)}}
	o.applySettings(cfg)
	if s.Workflows {
		o.maxUndos = s.MaxCompensations
	}
	return o
}

// applySettings takes the settings in force.
func (o *peers) applySettings(cfg config.Config) {
	o.classes.Store(&cfg.Names.Classes)
	o.workflowClasses.Store(workflowClasses(cfg))
}

// memberRetryInterval is how often a member's address is tried that an older process has yet.
const memberRetryInterval = 100 * time.Millisecond

// start takes part. Where an older process of this dispatcher is the member yet, it does so
// once that has ended its part.
func (o *peers) start(c *core.Core, table *routetable.Table, link *handover.Link, keeper *roster.Roster, held *storedState) error {
	o.link, o.roster = link, keeper
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is a full disk, and no end of the dispatcher
	if held != nil && held.loaded != nil {
		o.cfg.Out = held.loaded.Excluded
	}
	err := o.openMember(false)
	if !inUse(err) {
		return err
	}
	if o.stages { // the older process stands for both meanwhile
		c.SetAdmission(admission.Wide, true, 0, 0)
	}
	o.log.WithError(err).Warn("another process is this member; it is waited for")
	go func() {
		for {
			time.Sleep(memberRetryInterval)
			err := o.openMember(true)
			if err == nil {
				return
			}
			if !inUse(err) {
				o.log.WithError(err).Error("the member could not begin; this dispatcher is on its own")
				return
			}
		}
	}()
	return nil
}

// inUse tells whether an older process has what the member needs.
func inUse(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, quorum.ErrInUse)
}

// guardCore has the core come back by stages; it is called before the core runs.
func (o *peers) guardCore(c *core.Core, table *routetable.Table) {
	o.core, o.table = c, table
	if o.stages {
		c.Guard(o.onStall)
	}
}

// onStall takes in that the process stood still. It does not block.
func (o *peers) onStall(still time.Duration) {
	stood := int(o.stalls.Add(1))
	o.mu.Lock()
	back := o.rejoin
	o.mu.Unlock()
	if back != nil {
		back.Woke(still)
		return
	}
	o.table.Renew(func() { o.core.SetAdmission(admission.Wide, true, 0, stood) })
}

// openMember opens the member. Warm is set where this process has served before.
func (o *peers) openMember(warm bool) error {
	o.mu.Lock()
	ended := o.ended
	o.mu.Unlock()
	if ended {
		return nil
	}
	// Without the lock: the core and the table take it, and must not wait for the disk.
	m, err := cluster.Open(o.cfg, o, o.log)
	if err != nil {
		return err
	}
	o.mu.Lock()
	if o.ended {
		o.mu.Unlock()
		m.Close(false)
		return nil
	}
	defer o.mu.Unlock()
	o.member = m
	if o.stages {
		var ctx context.Context
		ctx, o.cancelRejoin = context.WithCancel(context.Background())
		back := rejoin.New(rejoin.Config{Dispatchers: o.dispatchers, Paced: o.paced, Warm: warm, Stood: int(o.stalls.Load()), Bounds: stage.Defaults()}, m, o.core, o.table, o.log)
		o.rejoin = back
		m.ToldBy(back.Status)
		go back.Run(ctx)
		o.startWorkflows(ctx, m)
	}
	for _, update := range o.pendingUpdates {
		o.forwardUpdate(m, update)
	}
	o.pendingUpdates = nil
	return nil
}

// currentMember returns the member, nil for none.
func (o *peers) currentMember() *cluster.Cluster {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.member
}

// announceDrain tells the others that this process is about to end; one that was succeeded gives
// its part to its successor at once.
func (o *peers) announceDrain(succeeded bool) {
	if succeeded {
		o.close(false)
	} else if m := o.currentMember(); m != nil {
		m.Drains()
	}
}

// leave ends the part for good.
func (o *peers) leave() { o.close(true) }

func (o *peers) close(farewell bool) {
	o.mu.Lock()
	m, end := o.member, o.cancelRejoin
	o.member, o.rejoin, o.ended = nil, nil, true
	o.mu.Unlock()
	if end != nil {
		end()
	}
	if m != nil {
		m.Close(farewell)
	}
}
