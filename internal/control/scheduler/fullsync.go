package scheduler

import (
	"maps"
	"slices"
	"strings"

	"frosttide/internal/protocol"
)

// fullSyncState is how far a session has got with a full sync: the transfer of the complete set of its runner's runs,
// on which increments build.
type fullSyncState int

// The states of a full sync, in their order. Until it is sent, no increments go to the session.
const (
	fullSyncNeeded    fullSyncState = iota // no entry has asked for it yet
	fullSyncRequested                      // the entry that asks for it is not committed
	fullSyncReady                          // it goes with the next orders
	fullSyncSent                           // increments suffice
)

// requestFullSync has a session sent the complete set of its runner's runs.
func (s *Scheduler) requestFullSync(sess *session) {
	sess.fullSync = fullSyncNeeded
	s.fullSyncWanted = true
}

// enqueueFullSyncs adds to the next entry the sessions that need a full sync. It is sent once that entry, and so every
// decision made until now, is committed: a set without a run whose end is not committed would have the agent stop
// what may still be wanted.
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

// sendFullSyncs sends the full syncs that a committed entry has asked for, but to sessions that have ended or need a
// newer one.
func (s *Scheduler) sendFullSyncs(b *batch) {
	for _, sess := range b.fullSyncs {
		if s.sessions[sess.address] == sess && sess.fullSync == fullSyncRequested {
			sess.fullSync = fullSyncReady
			s.sendOrders(sess, &protocol.RunnerOrders{})
		}
	}
}

// fillFullSync makes orders the complete set for a runner: its wanted runs, and those to stop whose ends are still
// to be reported. Runs whose start is not committed are left out.
func (s *Scheduler) fillFullSync(r *runner, orders *protocol.RunnerOrders) {
	orders.Full, orders.Runs, orders.Drop = true, nil, nil
	if r == nil {
		return
	}
	for task, run := range r.live {
		switch {
		case run.pending:
		case run.stopSent || run.step.Job.State.Final():
			orders.Drop = append(orders.Drop, &protocol.RunRef{Task: task, Run: run.number})
		default:
			orders.Runs = append(orders.Runs, runOrder(task, run))
		}
	}
	slices.SortFunc(orders.Drop, func(a, b *protocol.RunRef) int { return strings.Compare(a.GetTask(), b.GetTask()) })
	slices.SortFunc(orders.Runs, func(a, b *protocol.RunOrder) int { return strings.Compare(a.GetTask(), b.GetTask()) })
}
