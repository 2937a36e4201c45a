// Package executor carries out workflows for one member: it proposes the commands of clients,
// operators and its own plans to the agreed log, claims workflows that have to be undone and that
// no member holds, and runs their undos as jobs of the dispatcher. Three goroutines, owned by Run,
// decide, propose plans, and propose updates; they are joined by bounded channels, and none of
// them blocks the core.
//
// The decisions are pure (package assignment), and only what the log agrees on counts (package
// statetable). The main invariant is that an undo is sent to a second group of runners only when
// the log shows that it can't have had its effect in the first; see destinations. The methods of
// Executor are safe for concurrent use.
package executor

import (
	"context"
	"fmt"
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

// Log is the agreed log of the cluster; package cluster implements it. It is safe for concurrent
// use.
type Log interface {
	// Propose returns once the entry is agreed on. An error means that its outcome is unknown.
	Propose(context.Context, ledger.Entry) (ledger.Done, error)
	// Flows calls a function with the table as far as this member has applied it. The function
	// must not keep or change the table.
	Flows(func(*statetable.Table))
	// Seen returns the index of the last entry that this member has applied.
	Seen() uint64
	// Now returns the cluster's time since 1970.
	Now() time.Duration
	// Rank returns the rank of this member for a name, in an order that all members compute alike;
	// -1 if this member must not act yet.
	Rank(name string) int
}

// Jobs runs jobs; the core implements it. Submit does not block.
type Jobs interface {
	Submit(*core.Job, core.Ingress)
}

// Config describes the member and limits its work.
type Config struct {
	Name          string // of the member
	MaxConcurrent int    // undos that run at the same time here
	// Class returns the settings of a job class, false if there is none of that name.
	Class func(name string) (Class, bool)
}

// Class is what the executor needs to know of a job class.
type Class struct {
	Number  int           // its index among the classes
	Timeout time.Duration // how long a job may take
	Unsafe  bool          // a job must not run twice
}

const (
	// scanInterval is the interval between scans of the table.
	scanInterval = 50 * time.Millisecond
	// maxBatch is how many workflows go into one entry, and batchDelay how long an update waits
	// for others to share its entry.
	maxBatch   = 64
	batchDelay = 20 * time.Millisecond
	// maxPendingUpdates bounds the queue of outcomes that wait to be proposed. If the outcome of a
	// step is dropped, the step stays open until EffectUntil; if that of an undo is dropped, the
	// undo is run again, which its key makes harmless.
	maxPendingUpdates = 4096
	// proposeTimeout bounds one proposal. A plan is made anew at the next scan.
	proposeTimeout = 2 * time.Second
	// defaultRetryDelay is how long an undo waits that the dispatcher rejected without a time to
	// retry after.
	defaultRetryDelay = 200 * time.Millisecond
)

// Executor carries out workflows for one member. New makes it and Run starts it.
type Executor struct {
	cfg          Config
	log          Log
	jobs         Jobs
	logger       *logrus.Entry
	updates      chan pendingUpdate   // outcomes to be proposed in batches
	plans        chan assignment.Plan // at most one, as each scan plans anew
	undoEnds     chan undoEnd         // to decide, which owns the set of running undos
	dropped      atomic.Uint64        // updates that found the queue full
	done         sync.WaitGroup
	undosSent    atomic.Uint64
	lastProposal atomic.Pointer[proposal] // of a plan; nil for none
	startedAt    time.Time
}

// proposal is the log entry of a plan that was agreed on.
type proposal struct {
	index uint64
	at    time.Time
}

// reproposeAfter is how long a member waits for its own copy of the log to reach its last proposal
// before it plans again. Without the wait, a member whose copy does not advance would propose the
// same from its stale table at each scan, 20 entries per second; without a limit, it would never
// act again after the log was started anew.
const reproposeAfter = assignment.LeaseMillis * time.Millisecond

// pendingUpdate is the outcome of a step or of an undo that waits to be proposed.
type pendingUpdate struct {
	kind     statetable.Kind
	attempts int // failed attempts of the undo before this one
	statetable.Update
}

// undoEnd tells decide that an undo does not run any more.
type undoEnd struct {
	id         string
	retryAfter time.Duration      // it was rejected and is not run again before; 0 for no wait
	attempts   int                // failed attempts before this one
	agreed     *statetable.Update // its outcome, if the log agreed on it; nil otherwise
}

// New returns an executor; Run starts it.
func New(cfg Config, log Log, jobs Jobs, logger *logrus.Entry) *Executor {
	return &Executor{
		cfg:       cfg,
		log:       log,
		jobs:      jobs,
		logger:    logger,
		updates:   make(chan pendingUpdate, maxPendingUpdates),
		plans:     make(chan assignment.Plan, 1),
		undoEnds:  make(chan undoEnd, cfg.MaxConcurrent),
		startedAt: time.Now(),
	}
}

// Run works until the context ends, and returns when all of its goroutines have ended.
func (e *Executor) Run(ctx context.Context) {
	for _, run := range []func(context.Context){e.decide, e.proposePlans, e.proposeUpdates} {
		e.done.Add(1)
		go func() {
			defer e.done.Done()
			run(ctx)
		}()
	}
	e.done.Wait()
}

// DroppedUpdates returns how many updates were dropped because the queue was full.
func (e *Executor) DroppedUpdates() uint64 { return e.dropped.Load() }

// UndosSent returns how many undos this member has run.
func (e *Executor) UndosSent() uint64 { return e.undosSent.Load() }

// decide scans the table at an interval and takes the ends of undos. It owns the set of undos that
// run here.
func (e *Executor) decide(ctx context.Context) {
	undos := newUndoSet()
	tick := time.NewTicker(scanInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case end := <-e.undoEnds:
			undos.end(end)
		case <-tick.C:
			e.scan(undos)
		}
	}
}

// scan starts the undos that this member has to run now, and hands the rest of its plan on to be
// proposed.
func (e *Executor) scan(undos *undoSet) {
	if e.log.Rank("") < 0 { // not caught up after a restart
		return
	}
	if last := e.lastProposal.Load(); last != nil && e.log.Seen() < last.index && time.Since(last.at) < reproposeAfter {
		return // the last plan's entry has not arrived here
	}
	now := e.log.Now().Milliseconds()
	live := e.flowsToUndo(now)
	undos.dropOld(live)
	if len(live) == 0 {
		return
	}
	p := assignment.Choose(live, e.cfg.Name, e.log.Rank, undos.busy, e.cfg.MaxConcurrent-len(undos.running), maxBatch, now)
	for _, r := range p.Run {
		if undos.start(r) {
			e.sendUndo(r)
		}
	}
	if len(p.Expire)+len(p.Claim) > 0 {
		select {
		case e.plans <- p:
		default: // the last plan is still being proposed
		}
	}
}

// flowsToUndo returns copies of the workflows that are being undone or are overdue at a time, in
// milliseconds since 1970.
func (e *Executor) flowsToUndo(now int64) (live []*flow.Flow) {
	e.log.Flows(func(table *statetable.Table) {
		for _, f := range table.Live {
			if f.Phase == flow.Undoing || f.Overdue(now) != "" {
				live = append(live, f.Clone())
			}
		}
	})
	return live
}

// sendUndo runs an undo as a job. Its key is the same for all attempts and members, so that within
// a group's deduplication window its effect comes at most once, whichever member sends it.
func (e *Executor) sendUndo(r assignment.Run) {
	class, ok := e.cfg.Class(r.Undo.Class)
	if !ok {
		e.reportUndo(r, flow.Unusable, fmt.Sprintf("there is no class %s", r.Undo.Class))
		return
	}
	e.undosSent.Add(1)
	key := r.Undo.Key
	if key == "" {
		key = fmt.Sprintf("undo/%s/%d", r.ID, r.Step)
	}
	by := time.Now().Add(class.Timeout) // may be after the claim's end: the claim is renewed meanwhile
	job := &core.Job{
		ID:           fmt.Sprintf("%s.undo-%016x-%d-%x", e.cfg.Name, xxhash.Sum64String(r.ID), r.Step, time.Since(e.startedAt).Nanoseconds()),
		Method:       "POST",
		Resource:     r.Undo.Path,
		Key:          key,
		Body:         r.Undo.Body,
		Class:        class.Number,
		Slots:        1,
		Deadline:     by,
		Compensating: true,
		Placements:   &destinations{executor: e, run: r, deadline: by, entries: map[core.OutcomeRecord]uint64{}},
	}
	e.jobs.Submit(job, responseFunc(func(a core.Response) {
		switch a.Verdict {
		case core.Served:
			e.reportUndo(r, flow.Succeeded, "")
		case core.Rejected:
			after := a.RetryAfter
			if after <= 0 {
				after = defaultRetryDelay
			}
			e.undoEnds <- undoEnd{id: r.ID, retryAfter: after}
		case core.Unusable:
			e.reportUndo(r, flow.Unusable, "no runner can use it")
		default:
			e.reportUndo(r, flow.Uncertain, "it failed, or had no answer in time")
		}
	}))
}

// reportUndo queues the outcome of an undo. If the queue is full the undo is run again later.
func (e *Executor) reportUndo(r assignment.Run, o flow.Outcome, reason string) {
	update := statetable.Update{ID: r.ID, Step: r.Step, FencingToken: r.FencingToken, Outcome: o, Reason: reason}
	if !e.enqueue(pendingUpdate{kind: statetable.EndUndos, attempts: r.Attempts, Update: update}) {
		e.undoEnds <- undoEnd{id: r.ID, retryAfter: defaultRetryDelay}
	}
}

// responseFunc receives the response of a job.
type responseFunc func(core.Response)

// Respond passes the response on. It does not block: undoEnds has room for all undos that run at
// the same time.
func (a responseFunc) Respond(x core.Response) { a(x) }
