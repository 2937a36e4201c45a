// Package executor carries out workflows for one member. It proposes commands to the replicated
// log, on behalf of clients and operators and from its own plans. It claims workflows that have to
// be undone and that no member holds, and runs their undos as jobs of the dispatcher. Three
// goroutines, owned by Run, make plans, propose plans, and propose updates. They communicate over
// bounded channels, and none of them blocks the core.
//
// Package assignment makes the decisions, without side effects. Only committed entries of the log,
// which package statetable applies, change the state of a workflow. The main invariant is that an
// undo is sent to a second group of runners only when the log shows that it can't have taken effect
// in the first; see destinations. The methods of Executor are safe for concurrent use.
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

// Log is the replicated log of the cluster, implemented by package cluster. Its methods are safe
// for concurrent use.
type Log interface {
	// Propose returns once the entry is committed. An error means that its outcome is unknown.
	Propose(context.Context, ledger.Entry) (ledger.Done, error)
	// Flows calls a function with the table as of the last entry that this member has applied. The
	// function must not retain or change the table.
	Flows(func(*statetable.Table))
	// Seen returns the index of the last entry that this member has applied.
	Seen() uint64
	// Now returns the cluster's time as the duration since the Unix epoch.
	Now() time.Duration
	// Rank returns the position of this member, from 0, in the order that all members compute for a
	// name. It returns -1 if this member must not act yet.
	Rank(name string) int
}

// Jobs accepts jobs to run; package core implements it. Submit does not block and passes the
// response to the Ingress.
type Jobs interface {
	Submit(*core.Job, core.Ingress)
}

// Config holds the member's settings for workflows.
type Config struct {
	Name          string // of the member
	MaxConcurrent int    // upper limit of undos that this member runs at the same time
	// Class returns the settings of a job class, and false if there is no class of that name.
	Class func(name string) (Class, bool)
}

// Class holds the settings of a job class that the executor needs.
type Class struct {
	Number  int           // index of the class in the core's configuration
	Timeout time.Duration // from submitting a job to its deadline
	Unsafe  bool          // a job must not run twice
}

const (
	// scanInterval is the interval between scans of the table.
	scanInterval = 50 * time.Millisecond
	// maxBatch is the maximum number of updates that one batch collects, or of workflows that one
	// plan expires or claims. batchDelay is how long an update waits for others to share its entry.
	maxBatch   = 64
	batchDelay = 20 * time.Millisecond
	// maxPendingUpdates bounds the queue of updates that wait to be proposed. If the outcome of a
	// step is dropped, the step stays open until EffectUntil. If the outcome of an undo is dropped,
	// the undo is run again, which is harmless because of its deduplication key.
	maxPendingUpdates = 4096
	// proposeTimeout bounds one proposal. A plan that times out is not retried, as the next scan
	// makes a new one.
	proposeTimeout = 2 * time.Second
	// defaultRetryDelay is the delay before an undo is run again if the dispatcher rejected it
	// without a RetryAfter, or if its outcome was dropped.
	defaultRetryDelay = 200 * time.Millisecond
)

// Executor carries out workflows for one member. Use New to create it and Run to start it.
type Executor struct {
	cfg          Config
	log          Log
	jobs         Jobs
	logger       *logrus.Entry
	updates      chan pendingUpdate   // to be proposed in batches
	plans        chan assignment.Plan // buffers at most one, as each scan makes a new plan
	undoEnds     chan undoEnd         // received by decide, which owns the set of running undos
	dropped      atomic.Uint64        // updates that were dropped as the queue was full
	goroutines   sync.WaitGroup
	undosSent    atomic.Uint64
	lastProposal atomic.Pointer[proposal] // the last committed one; nil for none
	startedAt    time.Time
}

// proposal identifies the committed log entry of a plan and when this member learnt of it.
type proposal struct {
	index uint64
	at    time.Time
}

// reproposeAfter is how long a member waits to apply the entry of its last proposal before it makes
// a new plan. Without the wait, a member whose copy of the log lags would propose the same commands
// from its stale table at each scan, 20 entries per second. Without the limit, it would never act
// again after the log was reset.
const reproposeAfter = assignment.LeaseMillis * time.Millisecond

// pendingUpdate is an update of a step or an undo that waits to be proposed.
type pendingUpdate struct {
	kind     statetable.Kind
	attempts int // for EndUndos: failed attempts of the undo before this one
	statetable.Update
}

// undoEnd tells decide that an attempt of an undo has ended.
type undoEnd struct {
	id         string
	retryAfter time.Duration      // delay before it may be run again; 0 for none
	attempts   int                // failed attempts before this one
	committed  *statetable.Update // its outcome if the entry was committed; nil otherwise
}

// New returns an executor that does nothing on its own until Run is called.
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

// Run runs the executor until the context is cancelled, and returns when its goroutines have ended.
func (e *Executor) Run(ctx context.Context) {
	for _, run := range []func(context.Context){e.decide, e.proposePlans, e.proposeUpdates} {
		e.goroutines.Add(1)
		go func() {
			defer e.goroutines.Done()
			run(ctx)
		}()
	}
	e.goroutines.Wait()
}

// DroppedUpdates returns the number of updates that were dropped because the queue was full.
func (e *Executor) DroppedUpdates() uint64 { return e.dropped.Load() }

// UndosSent returns the number of attempts of undos that this member has submitted as jobs.
func (e *Executor) UndosSent() uint64 { return e.undosSent.Load() }

// decide scans the table every scanInterval and receives the ends of undos. It owns the set of
// undos that run here.
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

// scan makes a plan, starts the undos in it, and passes the rest to proposePlans.
func (e *Executor) scan(undos *undoSet) {
	if e.log.Rank("") < 0 { // has not caught up after a restart
		return
	}
	if last := e.lastProposal.Load(); last != nil && e.log.Seen() < last.index && time.Since(last.at) < reproposeAfter {
		return // the entry of the last plan has not been applied here
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
		default: // earlier plans are still being proposed
		}
	}
}

// flowsToUndo returns copies of the workflows that are being undone, or are overdue at the given
// Unix time in milliseconds.
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

// sendUndo submits an undo as a job. The job's key is the same for all attempts and members, so
// that the undo takes effect at most once within the deduplication window of a group of runners,
// whichever members send it.
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
	deadline := time.Now().Add(class.Timeout) // may be after the claim expires, as that is renewed
	job := &core.Job{
		ID:           fmt.Sprintf("%s.undo-%016x-%d-%x", e.cfg.Name, xxhash.Sum64String(r.ID), r.Step, time.Since(e.startedAt).Nanoseconds()),
		Method:       "POST",
		Resource:     r.Undo.Path,
		Key:          key,
		Body:         r.Undo.Body,
		Class:        class.Number,
		Slots:        1,
		Deadline:     deadline,
		Compensating: true,
		Placements:   &destinations{executor: e, run: r, deadline: deadline, entries: map[core.OutcomeRecord]uint64{}},
	}
	e.jobs.Submit(job, responseFunc(func(response core.Response) {
		switch response.Verdict {
		case core.Served:
			e.reportUndo(r, flow.Succeeded, "")
		case core.Rejected:
			retryAfter := response.RetryAfter
			if retryAfter <= 0 {
				retryAfter = defaultRetryDelay
			}
			e.undoEnds <- undoEnd{id: r.ID, retryAfter: retryAfter}
		case core.Unusable:
			e.reportUndo(r, flow.Unusable, "no runner can use it")
		default:
			e.reportUndo(r, flow.Uncertain, "it failed, or had no answer in time")
		}
	}))
}

// reportUndo queues the outcome of an undo to be proposed. If the queue is full, the undo is run
// again after defaultRetryDelay.
func (e *Executor) reportUndo(r assignment.Run, o flow.Outcome, reason string) {
	update := statetable.Update{ID: r.ID, Step: r.Step, FencingToken: r.FencingToken, Outcome: o, Reason: reason}
	if !e.enqueue(pendingUpdate{kind: statetable.EndUndos, attempts: r.Attempts, Update: update}) {
		e.undoEnds <- undoEnd{id: r.ID, retryAfter: defaultRetryDelay}
	}
}

// responseFunc adapts a function to core.Ingress.
type responseFunc func(core.Response)

// Respond passes the response to the function. The function of sendUndo does not block, as undoEnds
// has room for all undos that run at the same time.
func (f responseFunc) Respond(response core.Response) { f(response) }
