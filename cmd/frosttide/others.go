package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/cluster"
	"frosttide/internal/config"
	"frosttide/internal/console"
	"frosttide/internal/core"
	"frosttide/internal/handover"
	"frosttide/internal/quorum"
	"frosttide/internal/replica"
	"frosttide/internal/roster"
	"frosttide/internal/routetable"
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

	mu      sync.Mutex
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
	o := &others{log: log, alias: s.Discovery, cfg: cluster.Config{Name: cfg.Name, Site: site, Build: version(), Listen: s.Listen, Advertise: s.Advertise,
		Join: s.Join, Voters: s.Voters, Dir: s.Dir, Source: cmp.Or(s.Discovery, cfg.Discovery)}}
	o.classes.Store(&cfg.Names.Classes)
	return o
}

// again is how often a member's address is tried that an older process has yet.
const again = 100 * time.Millisecond

// begin takes part. Where an older process of this dispatcher is the member yet, it does so
// once that has ended its part.
func (o *others) begin(c *core.Core, table *routetable.Table, link *handover.Link, keeper *roster.Roster, held *state) error {
	o.core, o.table, o.link, o.keeper = c, table, link, keeper
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is a full disk, and no end of the dispatcher
	if held != nil && held.loaded != nil {
		o.cfg.Out = held.loaded.Excluded
	}
	err := o.open()
	if !taken(err) {
		return err
	}
	o.log.WithError(err).Warn("another process is this member; it is waited for")
	go func() {
		for {
			time.Sleep(again)
			err := o.open()
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

func (o *others) open() error {
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
	m := o.member
	o.member, o.ended = nil, true
	o.mu.Unlock()
	if m != nil {
		m.Close(farewell)
	}
}

// told returns who hears what discovery tells, nil for nobody.
func (o *others) told() func(routetable.Telling) {
	if o == nil {
		return nil
	}
	return func(t routetable.Telling) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.member != nil {
			o.tellMember(o.member, t)
			return
		}
		if t.Whole { // what came before counts no more
			o.tellers = nil
		}
		if len(o.tellers) < mostTellings {
			o.tellers = append(o.tellers, t)
		}
	}
}

// mostTellings bounds what is kept for a member that has not begun; what is past it comes
// with the next whole list.
const mostTellings = 1000

func (o *others) tellMember(m *cluster.Cluster, t routetable.Telling) {
	entries := make([]cluster.Entry, len(t.Entries))
	for i, e := range t.Entries {
		state := replica.Serving
		switch e.State {
		case decision.Draining:
			state = replica.Draining
		case decision.Removed:
			state = replica.Deleted
		}
		entries[i] = cluster.Entry{UID: e.UID, State: state, Boot: e.Boot.Milliseconds(), Text: e.Text}
	}
	m.Told(cmp.Or(o.alias, t.From), t.Rev, t.Whole, t.Back, entries)
}

// Exclude carries out what operators have said at any member.
func (o *others) Exclude(uid string, out bool, at time.Time) {
	e := core.Exclusion{UID: uid, Out: out, At: time.Duration(at.UnixNano())}
	o.core.Heed(e)
	o.link.Exclude(e)
	if o.keeper != nil {
		o.keeper.Excluded(uid, out)
	}
}

// Hint brings what another dispatcher has found of a runner.
func (o *others) Hint(uid string, found []byte) {
	var h decision.Health
	if err := json.Unmarshal(found, &h); err != nil { // of another build
		o.log.WithError(err).WithField("target", uid).Debug("what another member found of a runner can't be read")
		return
	}
	o.core.Hint(uid, h)
}

// foundEvery is how often what jobs have found of runners is told to the others.
const foundEvery = 2 * time.Second

// run tells it until the context ends.
func (o *others) run(ctx context.Context) {
	tick := time.NewTicker(foundEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		o.core.Found(func(all map[string]decision.Health) {
			m := o.now()
			if m == nil {
				return
			}
			var list []cluster.Found
			for uid, h := range all {
				if text, err := json.Marshal(h); err == nil { // false for figures that are none
					list = append(list, cluster.Found{UID: uid, Failed: h.Failed, Text: text})
				}
			}
			m.Found(list)
		})
	}
}

// Hear brings what another's discovery has told.
func (o *others) Hear(source string, rev uint64, entries [][]byte) {
	if o.alias != "" { // by the operators' word all of that name count alike
		source = ""
	}
	o.table.Hear(source, rev, entries)
}

// handler answers operators about the others.
func (o *others) handler() http.Handler {
	if o == nil {
		return nil
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := o.now()
		if m == nil {
			http.Error(w, errNoMember.Error(), http.StatusServiceUnavailable)
			return
		}
		m.Operators().ServeHTTP(w, r)
	})
}

var errNoMember = errors.New("this process is no member; its older or newer one is")

// operators carries out what operators say at this console: at this dispatcher alone, or by
// the log at all.
type operators struct {
	core   *core.Core
	others *others
}

func (o *others) operators(c *core.Core) console.Core { return operators{c, o} }

// Exclude leaves a runner out, or puts it back.
func (p operators) Exclude(uid string, out bool, by time.Time, done func(error)) {
	if p.others == nil {
		p.core.Exclude(uid, out, by, func(known bool) { done(unknown(known)) })
		return
	}
	p.core.Lists(uid, func(known bool) {
		m := p.others.now()
		switch {
		case m == nil:
			done(errNoMember)
		case !known && !m.Out(uid):
			done(console.ErrUnknown)
		default:
			m.Exclude(uid, out, "", by, func(err error) {
				if err != nil {
					err = fmt.Errorf("%w; nothing is lost by trying again", err)
				}
				done(err)
			})
		}
	})
}

func unknown(known bool) error {
	if known {
		return nil
	}
	return console.ErrUnknown
}
