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

// others are the dispatchers that this one knows. All methods may be called on nil, the
// others of a dispatcher on its own.
type others struct {
	cfg   cluster.Config
	alias string // the discovery's name among members; empty for its address
	log   *logrus.Entry

	classes atomic.Pointer[[]string]

	core   *core.Core
	table  *routetable.Table
	link   *handover.Link
	keeper *roster.Roster

	gangs       *gangdesk.Desk                // nil where nobody watches gangs
	desk        atomic.Pointer[executor.Desk] // nil where no workflows are carried out
	flowClasses atomic.Pointer[map[string]executor.Class]
	undos       int // at once; 0 for no workflows

	stages, paced bool
	dispatchers   int
	stood         atomic.Int64 // standstills of the process

	mu      sync.Mutex
	back    *rejoin.Actor // nil where there are no stages, or no member yet
	endBack context.CancelFunc
	member  *cluster.Cluster // nil before it has begun, and after it has ended
	ended   bool
	tellers []routetable.Telling // of the time before
}

// openOthers returns nil where the settings name nobody.
func openOthers(cfg config.Config, log *logrus.Entry) *others {
	s := cfg.Cluster
	if s.Listen == "" {
		return nil
	}
	site := ""
	if z := cfg.Module.Zone; z < len(cfg.Names.Zones) {
		site = cfg.Names.Zones[z]
	}
	o := &others{log: log, alias: s.Discovery, stages: s.Stages, paced: s.Paced, dispatchers: max(cfg.Module.Instances, 1), cfg: cluster.Config{Name: cfg.Name, Site: site, Build: version(), Listen: s.Listen, Advertise: s.Advertise,
		Join: s.Join, Voters: s.Voters, Dir: s.Dir, Keep: s.Keep, Source: cmp.Or(s.Discovery, cfg.Discovery)}}
	o.take(cfg)
	if s.Workflows {
		o.undos = s.Undos
	}
	return o
}

// take takes the settings in force.
func (o *others) take(cfg config.Config) {
	o.classes.Store(&cfg.Names.Classes)
	o.flowClasses.Store(flowClasses(cfg))
}

// again is how often a member's address is tried that an older process has yet.
const again = 100 * time.Millisecond

// begin takes part. Where an older process of this dispatcher is the member yet, it does so
// once that has ended its part.
func (o *others) begin(c *core.Core, table *routetable.Table, link *handover.Link, keeper *roster.Roster, held *state) error {
	o.link, o.keeper = link, keeper
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is a full disk, and no end of the dispatcher
	if held != nil && held.loaded != nil {
		o.cfg.Out = held.loaded.Excluded
	}
	err := o.open(false)
	if !taken(err) {
		return err
	}
	if o.stages { // the older process stands for both meanwhile
		c.Open(admission.Wide, true, 0, 0)
	}
	o.log.WithError(err).Warn("another process is this member; it is waited for")
	go func() {
		for {
			time.Sleep(again)
			err := o.open(true)
			if err == nil {
				return
			}
			if !taken(err) {
				o.log.WithError(err).Error("the member could not begin; this dispatcher is on its own")
				return
			}
		}
	}()
	return nil
}

// taken tells whether an older process has what the member needs.
func taken(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, quorum.ErrInUse)
}

// guard has the core come back by stages; it is called before the core runs.
func (o *others) guard(c *core.Core, table *routetable.Table) {
	o.core, o.table = c, table
	if o.stages {
		c.Guard(o.woke)
	}
}

// woke takes in that the process stood still. It does not block.
func (o *others) woke(still time.Duration) {
	stood := int(o.stood.Add(1))
	o.mu.Lock()
	back := o.back
	o.mu.Unlock()
	if back != nil {
		back.Woke(still)
		return
	}
	o.table.Renew(func() { o.core.Open(admission.Wide, true, 0, stood) })
}

// open opens the member. Warm is set where this process has served before.
func (o *others) open(warm bool) error {
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
		ctx, o.endBack = context.WithCancel(context.Background())
		back := rejoin.New(rejoin.Config{Dispatchers: o.dispatchers, Paced: o.paced, Warm: warm, Stood: int(o.stood.Load()), Bounds: stage.Defaults()}, m, o.core, o.table, o.log)
		o.back = back
		m.ToldBy(back.Status)
		go back.Run(ctx)
		o.beginFlows(ctx, m)
	}
	for _, t := range o.tellers {
		o.tellMember(m, t)
	}
	o.tellers = nil
	return nil
}

// now returns the member, nil for none.
func (o *others) now() *cluster.Cluster {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.member
}

// drains tells the others that this process is about to end; one that was succeeded gives
// its part to its successor at once.
func (o *others) drains(succeeded bool) {
	if succeeded {
		o.close(false)
	} else if m := o.now(); m != nil {
		m.Drains()
	}
}

// end ends the part for good.
func (o *others) end() { o.close(true) }

func (o *others) close(farewell bool) {
	o.mu.Lock()
	m, end := o.member, o.endBack
	o.member, o.back, o.ended = nil, nil, true
	o.mu.Unlock()
	if end != nil {
		end()
	}
	if m != nil {
		m.Close(farewell)
	}
}
