package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// batch is the orders of one entry; they go out once it is committed.
type batch struct {
	index     uint64
	byRunner  map[string]*runnerBatch // by the runner's id
	config    *routeconfig.Table      // where the entry changes it
	fullSyncs []*session              // that are sent the whole set once the entry is committed
}

type runnerBatch struct {
	started         []string
	dropped         []*protocol.RunRef
	acknowledgedEnd uint64 // ends, 0 where none were
}

func (b *batch) empty() bool { return len(b.byRunner) == 0 && b.config == nil && len(b.fullSyncs) == 0 }

func (b *batch) forRunner(runner string) *runnerBatch {
	if b.byRunner == nil {
		b.byRunner = make(map[string]*runnerBatch)
	}
	if b.byRunner[runner] == nil {
		b.byRunner[runner] = &runnerBatch{}
	}
	return b.byRunner[runner]
}

// addStart orders the run of a task that has been started.
func (b *batch) addStart(runner, task string) {
	rb := b.forRunner(runner)
	rb.started = append(rb.started, task)
}

// addDrop orders that a run is wanted no longer.
func (b *batch) addDrop(runner, task string, run uint32) {
	rb := b.forRunner(runner)
	rb.dropped = append(rb.dropped, &protocol.RunRef{Task: task, Run: run})
}

// acknowledgeEnds orders that ends up to a number are acknowledged.
func (b *batch) acknowledgeEnds(runner string, noted uint64) {
	b.forRunner(runner).acknowledgedEnd = noted
}

// sendBatch sends the orders of an entry that is committed.
func (s *Scheduler) sendBatch(b *batch) {
	if b.config != nil {
		s.committedConfig = b.config
	}
	for _, id := range slices.Sorted(maps.Keys(b.byRunner)) {
		rb, r := b.byRunner[id], s.runners[id]
		if r == nil {
			continue
		}
		r.acknowledgedEnd = max(r.acknowledgedEnd, rb.acknowledgedEnd)
		orders := &protocol.RunnerOrders{Drop: rb.dropped}
		for _, task := range rb.started {
			run, ok := r.live[task]
			if !ok || run.stopSent {
				continue
			}
			run.pending = false
			r.live[task] = run
			orders.Runs = append(orders.Runs, s.runOrder(task, run))
		}
		for _, ref := range rb.dropped {
			if run, ok := r.live[ref.GetTask()]; ok && ref.GetRun() == run.number {
				run.stopSent = true
				r.live[ref.GetTask()] = run
			}
		}
		if r.session != nil {
			s.sendOrders(r.session, orders)
		}
	}
	for _, sess := range b.fullSyncs {
		if s.sessions[sess.address] == sess && sess.fullSync == fullSyncRequested {
			sess.fullSync = fullSyncReady
			s.sendOrders(sess, &protocol.RunnerOrders{})
		}
	}
}

// enqueueFullSyncs has the sessions that need the whole set sent it once all that has been decided so far is
// committed: a set that left out runs whose end is not would have the companion stop what is wanted.
func (s *Scheduler) enqueueFullSyncs() {
	if !s.fullSyncWanted {
		return
	}
	s.fullSyncWanted = false
	for _, address := range slices.Sorted(maps.Keys(s.sessions)) {
		if sess := s.sessions[address]; sess.fullSync == fullSyncNeeded {
			sess.fullSync = fullSyncRequested
			s.batch.fullSyncs = append(s.batch.fullSyncs, sess)
		}
	}
}

func (s *Scheduler) runOrder(task string, run liveRun) *protocol.RunOrder {
	return &protocol.RunOrder{Task: task, Run: run.number, Spec: run.step.Job.Spec, Saved: run.checkpoint}
}

// renewLease answers a report: it renews the lease.
func (s *Scheduler) renewLease(sess *session, report *protocol.RunnerReport) {
	if report.GetLeaseRound() == 0 {
		return
	}
	orders := &protocol.RunnerOrders{}
	until := s.confirmedAt + s.cfg.Lease
	if until > s.now {
		orders.LeaseRound = report.GetLeaseRound()
		orders.LeaseMs = uint32((until - s.now) / time.Millisecond)
		sess.leaseExpiry = max(sess.leaseExpiry, until)
		s.updateUsable(sess)
	}
	s.sendOrders(sess, orders)
}

// sendOrders sends orders to a session: as the whole set where that is due, and without runs where the
// whole set is still to come.
func (s *Scheduler) sendOrders(sess *session, orders *protocol.RunnerOrders) {
	orders.Epoch, orders.Runner, orders.Companion, orders.Session = s.epoch, sess.runner, sess.incarnation, sess.number
	orders.RetryMs, orders.ReportMs = heartbeatIntervalMs, uint32(s.reportInterval()/time.Millisecond)
	if r := s.runners[sess.runner]; r != nil {
		orders.LastSeen = r.acknowledgedEnd
	}
	switch sess.fullSync {
	case fullSyncReady:
		s.fillFullSync(s.runners[sess.runner], orders)
		sess.fullSync = fullSyncSent
	case fullSyncSent:
	default:
		orders.Runs, orders.Drop = nil, nil
	}
	if orders.GetFull() || len(orders.Runs) > 0 || len(orders.Drop) > 0 {
		if sess.appliedSequence >= sess.lastSequence {
			sess.unappliedSince = s.now
		}
		sess.lastSequence++
	}
	orders.Sequence = sess.lastSequence
	s.sends = append(s.sends, Send{To: sess.address, Message: &protocol.Envelope{Body: &protocol.Envelope_RunnerOrders{RunnerOrders: orders}}})
}

// fillFullSync makes orders the whole set of the runs that a runner is to have.
func (s *Scheduler) fillFullSync(r *runner, orders *protocol.RunnerOrders) {
	orders.Full, orders.Runs, orders.Drop = true, nil, nil
	if r == nil {
		return
	}
	for task, run := range r.live {
		switch {
		case run.pending:
		case run.stopSent || run.step.Job.State.Final(): // its end, or that it never began, is still to be told
			orders.Drop = append(orders.Drop, &protocol.RunRef{Task: task, Run: run.number})
		default:
			orders.Runs = append(orders.Runs, s.runOrder(task, run))
		}
	}
	slices.SortFunc(orders.Drop, func(a, b *protocol.RunRef) int { return strings.Compare(a.GetTask(), b.GetTask()) })
	slices.SortFunc(orders.Runs, func(a, b *protocol.RunOrder) int { return strings.Compare(a.GetTask(), b.GetTask()) })
}
