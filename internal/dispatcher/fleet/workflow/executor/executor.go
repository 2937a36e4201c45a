// Package executor carries out what members agree on about workflows: it has their words written to
// the log, takes those that are to be undone and that nobody has, and runs their undos through
// the dispatcher as jobs. A goroutine for each duty, decide, send and store, joined by bounded
// rings; none of them blocks the core. What is chosen is pure (workflow/duty), and what counts
// is the log's alone (workflow/book).
package executor

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/assignment"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
)

// Log is the agreed log.
type Log interface {
	Propose(context.Context, ledger.Entry) (ledger.Done, error)
	// Flows shows the book as far as it is known here; it must not be kept or changed.
	Flows(func(*statetable.Book))
	// Seen is how far the book that is shown goes, as the index of an entry.
	Seen() uint64
	// Now is the members' time since 1970.
	Now() time.Duration
	// Rank is this member's place among those that may work, in an order that all draw alike
	// from a name; -1 where it may not.
	Rank(name string) int
}

// Jobs runs jobs; the core does. It does not block.
type Jobs interface {
	Submit(*core.Job, core.Ingress)
}

// Config says who the member is and what it may do at once.
type Config struct {
	Name   string
	AtOnce int // undos under way here
	// Class returns a class's number, how long its jobs may take and whether they must not run
	// twice; false where there is none of the name.
	Class func(name string) (Class, bool)
}

// Class is what the desk knows of a class.
type Class struct {
	Number int
	GiveUp time.Duration
	Unsafe bool
}

const (
	// lookEvery is how often the book is looked through.
	lookEvery = 50 * time.Millisecond
	// batch is how many workflows go in one entry, and wordsWait how long a word waits for
	// others to go with.
	batch     = 64
	wordsWait = 20 * time.Millisecond
	// words is how many settled steps and undos may wait to be written. A step that finds no
	// room stays open until its time is over; an undo that finds none is run again, which its
	// key makes harmless.
	words = 4096
	// writeTime bounds a word of ours; it is tried again at the next look.
	writeTime = 2 * time.Second
	// rest is how long an undo waits that the dispatcher had no room for and told no time.
	rest = 200 * time.Millisecond
)

// Desk is a member's. New makes it.
type Desk struct {
	cfg   Config
	log   Log
	jobs  Jobs
	line  *logrus.Entry
	words chan word            // to be written in batches
	plans chan assignment.Plan // what the store is to write; one, as the next look plans anew
	ended chan ended           // undos that have ended
	lost  atomic.Uint64        // words that found no room
	done  sync.WaitGroup
	ran   atomic.Uint64
	said  atomic.Pointer[said] // what a plan of ours came to last; nil for none
	begun time.Time
}

// said is an entry that a plan of ours came to.
type said struct {
	index uint64
	at    time.Time
}

// sayAgain is when a member whose copy does not come to what it has said plans by it all the same.
// Guards the log against one whose copy stands still: it would say the same by its old book at each
// look, 20 entries a second. And that one against a log that has begun anew.
const sayAgain = assignment.LeaseFor * time.Millisecond

// word is what became of a step, or of an undo.
type word struct {
	kind  statetable.Kind
	tries int // of the undo before
	statetable.Word
}

// ended is an undo that is under way no more.
type ended struct {
	id    string
	after time.Duration    // it was refused: not tried before
	tries int              // failed ones, before it
	wrote *statetable.Word // what became of it is agreed on; nil where it is not
}

// New makes a desk.
func New(cfg Config, log Log, jobs Jobs, line *logrus.Entry) *Desk {
	return &Desk{cfg: cfg, log: log, jobs: jobs, line: line, words: make(chan word, words), plans: make(chan assignment.Plan, 1),
		ended: make(chan ended, cfg.AtOnce), begun: time.Now()}
}

// Run works until the context ends, and returns when all duties have ended.
func (d *Desk) Run(ctx context.Context) {
	for _, run := range []func(context.Context){d.decide, d.storePlans, d.storeWords} {
		d.done.Add(1)
		go func() {
			defer d.done.Done()
			run(ctx)
		}()
	}
	d.done.Wait()
}

// Lost returns how many words found no room, and Ran how many undos were sent.
func (d *Desk) Lost() uint64 { return d.lost.Load() }

// Ran returns how many undos were sent from here.
func (d *Desk) Ran() uint64 { return d.ran.Load() }

// decide looks through the book, and begins undos. It owns what is under way.
func (d *Desk) decide(ctx context.Context) {
	under, later := map[string]bool{}, map[string]time.Time{}
	wrote := map[string]mark{} // what is agreed on and may not be applied here yet
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.ended:
			delete(under, e.id)
			if e.wrote != nil {
				wrote[e.id] = mark{e.wrote.N, e.wrote.Fence, e.tries}
			}
			if e.after > 0 {
				later[e.id] = time.Now().Add(e.after)
			}
			continue
		case <-tick.C:
		}
		if d.log.Rank("") < 0 { // it has not come back far enough to take on what others left
			continue
		}
		if last := d.said.Load(); last != nil && d.log.Seen() < last.index && time.Since(last.at) < sayAgain {
			continue // what was planned last has not come here
		}
		var live []*flow.Flow
		now := d.log.Now().Milliseconds()
		d.log.Flows(func(b *statetable.Book) {
			for _, f := range b.Live {
				if f.Phase == flow.Undoing || f.Overdue(now) != "" {
					live = append(live, f.Clone())
				}
			}
		})
		for id, at := range later {
			if time.Now().After(at) {
				delete(later, id)
			}
		}
		forget(wrote, live)
		if len(live) == 0 {
			continue
		}
		p := assignment.Choose(live, d.cfg.Name, d.log.Rank, func(id string) bool { _, rests := later[id]; return under[id] || rests },
			d.cfg.AtOnce-len(under), batch, now)
		for _, r := range p.Run {
			if wrote[r.ID] == (mark{r.N, r.Fence, r.Tries}) {
				continue
			}
			under[r.ID] = true
			d.send(r)
		}
		if len(p.Expire)+len(p.Take) > 0 {
			select {
			case d.plans <- p:
			default: // the last is being written yet
			}
		}
	}
}

// mark names an undo's run.
type mark struct {
	n     int
	fence uint64
	tries int
}

// forget drops what is marked of workflows that are live no more.
func forget(wrote map[string]mark, live []*flow.Flow) {
	if len(wrote) == 0 {
		return
	}
	there := map[string]bool{}
	for _, f := range live {
		there[f.ID] = true
	}
	maps.DeleteFunc(wrote, func(id string, _ mark) bool { return !there[id] })
}

// send runs an undo as a job. Its key is the same over tries and members, so that its effect
// comes once in its group and window whoever sends it.
func (d *Desk) send(r assignment.Run) {
	class, ok := d.cfg.Class(r.Undo.Class)
	if !ok {
		d.took(r, flow.Useless, fmt.Sprintf("there is no class %s", r.Undo.Class))
		return
	}
	d.ran.Add(1)
	key := r.Undo.Key
	if key == "" {
		key = fmt.Sprintf("undo/%s/%d", r.ID, r.N)
	}
	by := time.Now().Add(class.GiveUp) // past the lease's end too: it is taken on meanwhile
	job := &core.Job{ID: fmt.Sprintf("%s.undo-%016x-%d-%x", d.cfg.Name, xxhash.Sum64String(r.ID), r.N, time.Since(d.begun).Nanoseconds()), Method: "POST",
		Resource: r.Undo.Path, Key: key, Body: r.Undo.Body, Class: class.Number, Slots: 1, Deadline: by, Compensating: true,
		Placements: &places{d: d, run: r, by: by, went: map[core.OutcomeRecord]uint64{}}}
	d.jobs.Submit(job, answered(func(a core.Response) {
		switch a.Verdict {
		case core.Served:
			d.took(r, flow.OK, "")
		case core.Rejected:
			after := a.RetryAfter
			if after <= 0 {
				after = rest
			}
			d.ended <- ended{id: r.ID, after: after}
		case core.Unusable:
			d.took(r, flow.Useless, "no runner can use it")
		default:
			d.took(r, flow.Maybe, "it failed, or had no answer in time")
		}
	}))
}

func (d *Desk) took(r assignment.Run, o flow.Outcome, why string) {
	if !d.put(word{statetable.Took, r.Tries, statetable.Word{ID: r.ID, N: r.N, Fence: r.Fence, Outcome: o, Why: why}}) {
		d.ended <- ended{id: r.ID, after: rest}
	}
}

// answered takes a job's answer.
type answered func(core.Response)

// Respond takes it; it does not block, as its ring has room for all that is under way.
func (a answered) Respond(x core.Response) { a(x) }
