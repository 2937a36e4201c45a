package scheduler

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// heartbeatIntervalMs is the time between two heartbeats of a runner to its agent, the shortest that runners use.
const heartbeatIntervalMs = 50

// batch holds the effects of one entry: the orders to send and the configuration to put in force. They take effect once
// the entry is committed, never earlier.
type batch struct {
	index     uint64                  // index of the entry
	byRunner  map[string]*runnerBatch // by runner ID
	config    *routeconfig.Table      // the configuration that the entry puts in force, nil if it changes none
	fullSyncs []*session              // sessions to send a full sync to
}

// runnerBatch holds the orders of one entry to one runner.
type runnerBatch struct {
	started         []string           // tasks whose newest run is to be started
	dropped         []*protocol.RunRef // runs to stop, or to forget if they have ended
	acknowledgedEnd uint64             // highest number of the run ends that the entry records, 0 if it records none
}

// empty reports whether the batch has no effects.
func (b *batch) empty() bool { return len(b.byRunner) == 0 && b.config == nil && len(b.fullSyncs) == 0 }

// forRunner returns the orders to a runner and creates them on first use.
func (b *batch) forRunner(runner string) *runnerBatch {
	if b.byRunner == nil {
		b.byRunner = make(map[string]*runnerBatch)
	}
	if b.byRunner[runner] == nil {
		b.byRunner[runner] = &runnerBatch{}
	}
	return b.byRunner[runner]
}

// addStart adds the order to start the newest run of a task.
func (b *batch) addStart(runner, task string) {
	rb := b.forRunner(runner)
	rb.started = append(rb.started, task)
}

// addDrop adds the order to stop a run, or to forget it if it has ended.
func (b *batch) addDrop(runner, task string, run uint32) {
	rb := b.forRunner(runner)
	rb.dropped = append(rb.dropped, &protocol.RunRef{Task: task, Run: run})
}

// acknowledgeEnds acknowledges the run ends of a runner up to a number.
func (b *batch) acknowledgeEnds(runner string, number uint64) {
	b.forRunner(runner).acknowledgedEnd = number
}

// sendBatch puts the configuration of a committed entry in force and sends the entry's orders.
func (s *Scheduler) sendBatch(b *batch) {
	if b.config != nil {
		s.committedConfig = b.config
	}
	for _, id := range slices.Sorted(maps.Keys(b.byRunner)) {
		if r := s.runners[id]; r != nil {
			s.sendRunnerBatch(r, b.byRunner[id])
		}
	}
	s.sendFullSyncs(b)
}

// sendRunnerBatch sends a runner its orders of a committed entry. It leaves out the start of a run that has been ordered
// to stop in the meantime.
func (s *Scheduler) sendRunnerBatch(r *runner, rb *runnerBatch) {
	r.acknowledgedEnd = max(r.acknowledgedEnd, rb.acknowledgedEnd)
	orders := &protocol.RunnerOrders{Drop: rb.dropped}
	for _, task := range rb.started {
		run, ok := r.live[task]
		if !ok || run.stopSent {
			continue
		}
		run.pending = false
		r.live[task] = run
		orders.Runs = append(orders.Runs, runOrder(task, run))
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

// runOrder returns the order to start a run.
func runOrder(task string, run liveRun) *protocol.RunOrder {
	return &protocol.RunOrder{Task: task, Run: run.number, Spec: run.step.Job.Spec, Saved: run.checkpoint}
}

// sendOrders sends orders to a session's agent. It replaces them by the complete set of runs if a full sync is ready, and
// removes the runs from them while a full sync waits for its commit. Orders that change the set of runs take the next
// sequence number.
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
	s.sends = append(s.sends, protocol.Outbound{To: sess.address, Message: &protocol.Envelope{Body: &protocol.Envelope_RunnerOrders{RunnerOrders: orders}}})
}
