// Package watcher detects stragglers among the parts of a dispatcher's gang jobs. The core reports
// the parts' events through a bounded queue; the watcher's own goroutine applies them to a board
// (internal/dispatcher/fleet/gang/board), checks the board at an interval, passes the resulting
// actions to the core and publishes facts to the other members. No method blocks the core: if the
// queue is full, the event is dropped and counted. All methods are safe for concurrent use.
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

// queueSize bounds the queued events. A dropped event makes the speed estimate of its part worse
// and has no other effect.
const queueSize = 4096

// maxJobs bounds the parts that are tracked at a time; further ones run like jobs outside gangs.
const maxJobs = 1 << 16

// Dispatcher carries out the watcher's actions; the core implements it. Its methods must not block.
type Dispatcher interface {
	Hedge(jobID string)                  // starts a second copy of a job
	MarkSlow(uid string, factor float64) // treats a runner as factor times slower for a while
	Abandon(jobID string)                // ends a job that has not started
}

// Config configures a Watcher.
type Config struct {
	ReportInterval time.Duration // between a runner's progress reports; 0 for none
	CheckInterval  time.Duration // between checks of the board
	CopiesAllowed  bool          // second copies may be started
	// Now returns the cluster's time since 1970.
	Now func() time.Duration
	// Publish sends a fact, in JSON, to the other members under a name; nil if there are none. It
	// must not block.
	Publish func(name string, fact []byte)
}

// Watcher detects stragglers among the gang parts of one dispatcher. New creates it, and Run
// processes its events. Only the goroutine of Run uses board and jobs.
type Watcher struct {
	cfg        Config
	dispatcher Dispatcher
	log        *logrus.Entry
	events     chan func(*Watcher)
	dropped    atomic.Uint64 // events dropped because the queue was full

	board    *board.Board
	jobs     map[board.ID]string // ID of each part's open job
	counters counters
}

// counters count the actions passed to the dispatcher, by kind.
type counters struct{ copies, slow, abandoned atomic.Uint64 }

// New returns a watcher; it processes no events until Run is called.
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

// enqueue queues an event for the goroutine of Run, or drops it if the queue is full.
func (w *Watcher) enqueue(event func(*Watcher)) {
	select {
	case w.events <- event:
	default:
		if n := w.dropped.Add(1); n&(n-1) == 0 { // log only the 1st, 2nd, 4th, 8th, ...
			w.log.WithField("count", n).Warn("gang event queue is full; events are dropped")
		}
	}
}

// Run processes events and checks the board until the context is cancelled.
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

// check checks the board, publishes the new facts and passes the actions to the dispatcher.
func (w *Watcher) check() {
	actions, facts := w.board.Check(w.cfg.Now())
	if w.cfg.Publish != nil {
		for i := range facts {
			if data, err := json.Marshal(&facts[i]); err == nil { // NaN and infinities cannot be encoded; such a fact is skipped
				w.cfg.Publish(factName(facts[i].Gang, facts[i].N), data)
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
			logger.WithFields(logrus.Fields{"gang": action.Part.Gang, "part": action.Part.N, "id": job}).Info("gang can no longer meet its deadline; abandoning a part that has not started")
			w.dispatcher.Abandon(job)
		}
	}
}

// partID returns the board's ID of a gang part's job.
func partID(job *core.Job) board.ID { return board.ID{Gang: job.Gang.ID, N: job.Gang.N} }

// Joined adds a job that is a gang part; timeLeft is the time until its deadline.
func (w *Watcher) Joined(job *core.Job, timeLeft time.Duration) {
	remaining, hint := timeLeft, job.Hint.Seconds()
	w.enqueue(func(w *Watcher) {
		if len(w.jobs) < maxJobs && w.board.AddPart(partID(job), job.Gang.Of, hint, w.cfg.Now()+remaining) {
			w.jobs[partID(job)] = job.ID
		}
	})
}

// Sent records that an attempt was sent to a runner.
func (w *Watcher) Sent(job *core.Job, attempt int, uid string) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartSent(partID(job), uid, attempt, at) })
}

// Started records that a runner has started an attempt.
func (w *Watcher) Started(job *core.Job, attempt int) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartStarted(partID(job), attempt, at) })
}

// Progressed records the fraction of the work that an attempt has done.
func (w *Watcher) Progressed(job *core.Job, attempt int, fraction float64) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartProgressed(partID(job), attempt, fraction, at) })
}

// Ended records that an attempt has ended, and whether it succeeded.
func (w *Watcher) Ended(job *core.Job, attempt int, succeeded bool) {
	at := w.cfg.Now()
	w.enqueue(func(w *Watcher) { w.board.PartEnded(partID(job), attempt, succeeded, at) })
}

// Closed removes a job that was answered or whose client has disconnected.
func (w *Watcher) Closed(job *core.Job) {
	w.enqueue(func(w *Watcher) {
		if w.jobs[partID(job)] == job.ID {
			delete(w.jobs, partID(job))
			w.board.RemovePart(partID(job))
		}
	})
}

// AddFact adds a fact, in JSON, that another member has published. One that cannot be decoded comes
// from another build and is ignored.
func (w *Watcher) AddFact(data []byte) {
	var f board.Fact
	if err := json.Unmarshal(data, &f); err != nil {
		w.log.WithError(err).Debug("failed to decode a gang fact from another member")
		return
	}
	w.enqueue(func(w *Watcher) { w.board.AddFact(f) })
}

// Status holds the counters that operators see. Its JSON form is a response to operators, so the
// tags must not change.
type Status struct {
	Gangs     int    `json:"gangs"` // tracked now; the others count since the start
	Copies    uint64 `json:"copies"`
	Slow      uint64 `json:"slow_runners"`
	Abandoned uint64 `json:"parts_given_up"`
	Dropped   uint64 `json:"dropped"`
}

// Status returns the counters. It returns false if the context is cancelled before the goroutine of
// Run responds.
func (w *Watcher) Status(ctx context.Context) (Status, bool) {
	gangs := make(chan int, 1)
	w.enqueue(func(w *Watcher) { gangs <- w.board.Len() })
	select {
	case n := <-gangs:
		return Status{n, w.counters.copies.Load(), w.counters.slow.Load(), w.counters.abandoned.Load(), w.dropped.Load()}, true
	case <-ctx.Done():
		return Status{}, false
	}
}

// factName returns the name under which members publish the fact about a part.
func factName(gang string, n int) string { return gang + "/" + strconv.Itoa(n) }
