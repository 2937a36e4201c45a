package scheduler

import (
	"maps"
	"slices"

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

// runOrder returns the order to start a run. An earlier version of the program has stored checkpoints of any length; one
// that is too long is left out, so that the run starts without it.
func runOrder(task string, run liveRun) *protocol.RunOrder {
	order := &protocol.RunOrder{Task: task, Run: run.number, Spec: run.step.Job.Spec, Saved: run.checkpoint}
	if len(order.Saved) > protocol.MaxCheckpointBytes {
		order.Saved = ""
	}
	return order
}
