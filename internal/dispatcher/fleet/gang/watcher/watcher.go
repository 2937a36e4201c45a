// Package watcher watches a dispatcher's gang jobs: events of their parts come from the core
// through a bounded queue, a goroutine of its own applies them to a board
// (internal/dispatcher/fleet/gang/board) and checks it at an interval, and the resulting actions
// go to the core and facts to the other members. No method blocks the core: if the queue is full
// an event is dropped and counted. All methods are safe for concurrent use.
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

// queueSize bounds the events that wait. A dropped event makes the estimate for its part worse and
// has no other effect.
const queueSize = 4096

// maxJobs bounds the parts that are watched at a time; further ones are run like other jobs.
const maxJobs = 1 << 16

// Dispatcher acts on stragglers; the core implements it. No method blocks.
type Dispatcher interface {
	Hedge(jobID string)                 // starts a second copy of a job
	MarkSlow(uid string, times float64) // treats a runner as that many times slower for a while
	Abandon(jobID string)               // gives up a job that has not begun
}

// Config says how gangs are watched.
type Config struct {
	ReportInterval time.Duration // between a runner's progress reports; 0 for none
	CheckInterval  time.Duration // between checks of the board
	CopiesAllowed  bool          // second copies may be started
	// Now returns the cluster's time since 1970.
	Now func() time.Duration
	// Publish sends a fact, in JSON, to the other members; nil for a member without others. It
	// must not block.
	Publish func(name string, fact []byte)
}

// Watcher watches the gang jobs of one dispatcher. New makes it and Run starts it. Only the
// goroutine of Run uses board and jobs.
type Watcher struct {
	cfg        Config
	dispatcher Dispatcher
	log        *logrus.Entry
	events     chan func(*Watcher)
	dropped    atomic.Uint64

	board    *board.Board
	jobs     map[board.ID]string // the open job of each part
	counters counters
}

// counters count the actions.
type counters struct{ copies, slow, abandoned atomic.Uint64 }

// New returns a watcher; Run starts it.
func New(cfg Config, dispatcher Dispatcher, log *logrus.Entry) *Watcher {
	return &Watcher{
		cfg:        cfg,
		dispatcher: dispatcher,
		log:        log,
		events:     make(chan func(*Watcher), queueSize),
		jobs:       map[board.ID]string{},
		board:      board.New(board.Config{ReportInterval: cfg.ReportInterval, CheckInterval: cfg.CheckInterval, CopiesAllowed: cfg.CopiesAllowed}),
	}
}

// enqueue queues an event for the goroutine of Run and drops it if the queue is full.
func (w *Watcher) enqueue(event func(*Watcher)) {
	select {
	case w.events <- event:
	default:
		if n := w.dropped.Add(1); n&(n-1) == 0 { // log only the 1st, 2nd, 4th, ...
			w.log.WithField("count", n).Warn("too much is told of gangs; some of it is dropped")
		}
	}
}

// Run works until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	tick := time.NewTicker(w.cfg.CheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-w.events:
			event(w)
		case <-tick.C:
			w.check()
		}
	}
}

// check checks the board, publishes the new facts and carries out the actions.
func (w *Watcher) check() {
	actions, facts := w.board.Check(w.cfg.Now())
	if w.cfg.Publish != nil {
		for i := range facts {
			if text, err := json.Marshal(&facts[i]); err == nil { // fails for NaN and infinities
				w.cfg.Publish(factName(facts[i].Gang, facts[i].N), text)
			}
		}
	}
	for _, action := range actions {
		logger := w.log.WithFields(logrus.Fields{"target": action.Worker})
		switch job := w.jobs[action.Part]; action.Kind {
		case board.StartCopy:
			w.counters.copies.Add(1)
			logger.WithFields(logrus.Fields{
				"gang":        action.Part.Gang,
				"part":        action.Part.N,
				"id":          job,
				"state":       action.Verdict.State.String(),
				"ratio":       action.Verdict.Evidence.Comparison.Ratio,
				"peers":       action.Verdict.Evidence.Comparison.Peers,
				"ends_in":     (action.EndWithoutCopy - w.cfg.Now()).Round(time.Millisecond).String(),
				"with_a_copy": (action.EndWithCopy - w.cfg.Now()).Round(time.Millisecond).String(),
			}).Info("a part of a gang straggles")
			w.dispatcher.Hedge(job)
		case board.MarkSlow:
			w.counters.slow.Add(1)
			logger.WithField("times", action.SlowFactor).Info("a runner straggles in several gangs")
			w.dispatcher.MarkSlow(action.Worker, action.SlowFactor)
		case board.Abandon:
			w.counters.abandoned.Add(1)
			logger.WithFields(logrus.Fields{"gang": action.Part.Gang, "part": action.Part.N, "id": job}).Info("a gang can't be in time any more; a part that has not begun is given up")
			w.dispatcher.Abandon(job)
		}
	}
}

// idOf returns the id of the part that a job is.
func idOf(job *core.Job) board.ID { return board.ID{Gang: job.Gang.ID, N: job.Gang.N} }

// Joined adds a job that is a part; deadline is the time until its deadline.
func (w *Watcher) Joined(job *core.Job, deadline time.Duration) {
	left, hint := deadline, job.Hint.Seconds()
	w.enqueue(func(w *Watcher) {
		if len(w.jobs) < maxJobs && w.board.AddPart(idOf(job), job.Gang.Of, hint, w.cfg.Now()+left) {
			w.jobs[idOf(job)] = job.ID
		}
	})
}

// Sent records that an attempt was sent to a runner.
func (w *Watcher) Sent(job *core.Job, attempt int, uid string) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartSent(idOf(job), uid, attempt, at) })
}

// Started records that a runner began an attempt.
func (w *Watcher) Started(job *core.Job, attempt int) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartStarted(idOf(job), attempt, at) })
}

// Progressed records the fraction that an attempt has done.
func (w *Watcher) Progressed(job *core.Job, attempt int, share float64) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartProgressed(idOf(job), attempt, share, at) })
}

// Ended records that an attempt is over, and whether it succeeded.
func (w *Watcher) Ended(job *core.Job, attempt int, served bool) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartEnded(idOf(job), attempt, served, at) })
}

// Closed removes a job that has its answer or whose client has left.
func (w *Watcher) Closed(job *core.Job) {
	w.enqueue(func(w *Watcher) {
		if w.jobs[idOf(job)] == job.ID {
			delete(w.jobs, idOf(job))
			w.board.RemovePart(idOf(job))
		}
	})
}

// AddFact adds a fact that another member has published. One that can't be decoded comes from
// another build and is ignored.
func (w *Watcher) AddFact(text []byte) {
	var f board.Fact
	if err := json.Unmarshal(text, &f); err != nil {
		w.log.WithError(err).Debug("what another member tells of a gang can't be read")
		return
	}
	w.enqueue(func(w *Watcher) { w.board.AddFact(f) })
}

// Status is the JSON form of the counters that operators see.
type Status struct {
	Gangs     int    `json:"gangs"`
	Copies    uint64 `json:"copies"`
	Slow      uint64 `json:"slow_runners"`
	Abandoned uint64 `json:"parts_given_up"`
	Dropped   uint64 `json:"dropped"`
}

// Status returns the counters, false if the context ends first.
func (w *Watcher) Status(ctx context.Context) (Status, bool) {
	got := make(chan int, 1)
	w.enqueue(func(w *Watcher) { got <- w.board.Len() })
	select {
	case n := <-got:
		return Status{n, w.counters.copies.Load(), w.counters.slow.Load(), w.counters.abandoned.Load(), w.dropped.Load()}, true
	case <-ctx.Done():
		return Status{}, false
	}
}

// factName is the name under which members share the fact of a part.
func factName(gang string, n int) string { return gang + "/" + strconv.Itoa(n) }
