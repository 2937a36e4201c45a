// Package watcher watches gang jobs for a dispatcher: what the core sees of their parts comes in by
// a bounded ring, a board (internal/dispatcher/fleet/gang/board) judges in a goroutine of its own, and what
// follows goes to the core and to other members. Nothing here blocks the core.
package watcher

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/gang/board"
)

// ring is how many observations may wait; past it one is dropped and counted: its part is known
// less well, and nothing else.
const ring = 4096

// mostJobs is how many parts are watched at once; others are jobs like any.
const mostJobs = 1 << 16

// Dispatcher is whose jobs they are; the core is. None of it blocks.
type Dispatcher interface {
	Hedge(jobID string)                 // a second copy would help
	MarkSlow(uid string, times float64) // a runner counts as that much slower for a while
	Abandon(jobID string)               // the job is of no use any more
}

// Config says how gangs are watched.
type Config struct {
	Every  time.Duration // between a runner's reports; 0 for none
	Look   time.Duration
	Copies bool
	// Now is the time that members go by, since 1970.
	Now func() time.Duration
	// Tell makes facts known to other members; nil for nobody. It must not block.
	Tell func(name string, fact []byte)
}

// Desk is a dispatcher's. New makes it.
type Desk struct {
	cfg     Config
	to      Dispatcher
	log     *logrus.Entry
	in      chan func(*Desk)
	dropped atomic.Uint64

	board *board.Board
	jobs  map[board.ID]string // the open job of each part
	acts  counts
}

// counts are of what was found.
type counts struct{ copies, slow, abandoned atomic.Uint64 }

// New makes a desk; Run starts it.
func New(cfg Config, to Dispatcher, log *logrus.Entry) *Desk {
	return &Desk{cfg: cfg, to: to, log: log, in: make(chan func(*Desk), ring), jobs: map[board.ID]string{},
		board: board.New(board.Config{Every: cfg.Every, Look: cfg.Look, Copies: cfg.Copies})}
}

func (d *Desk) put(what func(*Desk)) {
	select {
	case d.in <- what:
	default:
		if n := d.dropped.Add(1); n&(n-1) == 0 { // the 1st, 2nd, 4th, ...: guards the log
			d.log.WithField("count", n).Warn("too much is told of gangs; some of it is dropped")
		}
	}
}

// Run works until the context ends.
func (d *Desk) Run(ctx context.Context) {
	tick := time.NewTicker(d.cfg.Look)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case what := <-d.in:
			what(d)
		case <-tick.C:
			d.look()
		}
	}
}

func (d *Desk) look() {
	acts, facts := d.board.Look(d.cfg.Now())
	if d.cfg.Tell != nil {
		for i := range facts {
			if text, err := json.Marshal(&facts[i]); err == nil { // false for figures that are none
				d.cfg.Tell(name(facts[i].Gang, facts[i].N), text)
			}
		}
	}
	for _, a := range acts {
		l := d.log.WithFields(logrus.Fields{"target": a.Worker})
		switch job := d.jobs[a.Part]; a.Kind {
		case board.Copy:
			d.acts.copies.Add(1)
			l.WithFields(logrus.Fields{"gang": a.Part.Gang, "part": a.Part.N, "id": job, "state": a.Why.State.String(), "ratio": a.Why.On.Standing.Ratio,
				"peers": a.Why.On.Standing.Peers, "ends_in": (a.End - d.cfg.Now()).Round(time.Millisecond).String(), "with_a_copy": (a.With - d.cfg.Now()).Round(time.Millisecond).String()}).Info("a part of a gang straggles")
			d.to.Hedge(job)
		case board.Slow:
			d.acts.slow.Add(1)
			l.WithField("times", a.Times).Info("a runner straggles in several gangs")
			d.to.MarkSlow(a.Worker, a.Times)
		case board.GiveUp:
			d.acts.abandoned.Add(1)
			l.WithFields(logrus.Fields{"gang": a.Part.Gang, "part": a.Part.N, "id": job}).Info("a gang can't be in time any more; a part that has not begun is given up")
			d.to.Abandon(job)
		}
	}
}

func idOf(job *core.Job) board.ID { return board.ID{Gang: job.Gang.ID, N: job.Gang.N} }

// Joined takes in a job that is a part.
func (d *Desk) Joined(job *core.Job, deadline time.Duration) {
	left, hint := deadline, job.Hint.Seconds()
	d.put(func(d *Desk) {
		if len(d.jobs) < mostJobs && d.board.Join(idOf(job), job.Gang.Of, hint, d.cfg.Now()+left) {
			d.jobs[idOf(job)] = job.ID
		}
	})
}

// Sent takes in that an attempt goes to a runner.
func (d *Desk) Sent(job *core.Job, attempt int, uid string) {
	at := d.cfg.Now()
	d.put(func(d *Desk) { d.board.Sent(idOf(job), uid, attempt, at) })
}

// Started takes in that a runner has begun one.
func (d *Desk) Started(job *core.Job, attempt int) {
	at := d.cfg.Now()
	d.put(func(d *Desk) { d.board.Started(idOf(job), attempt, at) })
}

// Progressed takes in what share is done.
func (d *Desk) Progressed(job *core.Job, attempt int, share float64) {
	at := d.cfg.Now()
	d.put(func(d *Desk) { d.board.Reported(idOf(job), attempt, share, at) })
}

// Ended takes in that an attempt is over.
func (d *Desk) Ended(job *core.Job, attempt int, served bool) {
	at := d.cfg.Now()
	d.put(func(d *Desk) { d.board.Ended(idOf(job), attempt, served, at) })
}

// Closed takes in that a job has its answer, or its client has left.
func (d *Desk) Closed(job *core.Job) {
	d.put(func(d *Desk) {
		if d.jobs[idOf(job)] == job.ID {
			delete(d.jobs, idOf(job))
			d.board.Gone(idOf(job))
		}
	})
}

// Hear takes in what another member tells. What can't be read is of another build.
func (d *Desk) Hear(text []byte) {
	var f board.Fact
	if err := json.Unmarshal(text, &f); err != nil {
		d.log.WithError(err).Debug("what another member tells of a gang can't be read")
		return
	}
	d.put(func(d *Desk) { d.board.Hear(f) })
}

// Status is what was found so far, for people.
type Status struct {
	Gangs     int    `json:"gangs"`
	Copies    uint64 `json:"copies"`
	Slow      uint64 `json:"slow_runners"`
	Abandoned uint64 `json:"parts_given_up"`
	Dropped   uint64 `json:"dropped"`
}

// Status tells it; false where the context ends before.
func (d *Desk) Status(ctx context.Context) (Status, bool) {
	got := make(chan int, 1)
	d.put(func(d *Desk) { got <- d.board.Len() })
	select {
	case n := <-got:
		return Status{n, d.acts.copies.Load(), d.acts.slow.Load(), d.acts.abandoned.Load(), d.dropped.Load()}, true
	case <-ctx.Done():
		return Status{}, false
	}
}

// name is what a part goes by among members.
func name(gang string, n int) string { return gang + "/" + strconv.Itoa(n) }
