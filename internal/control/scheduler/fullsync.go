package scheduler

import (
	"maps"
	"slices"
	"strings"

	"frosttide/internal/protocol"
)

// fullSyncState is the progress of a session's full sync: the transfer of the complete set of its runner's runs, on
// which incremental orders build.
type fullSyncState int

// The states of a full sync, in order. No incremental orders go to a session before its full sync is sent.
const (
	fullSyncNeeded    fullSyncState = iota // not yet part of an entry
	fullSyncRequested                      // part of an entry that is not committed
	fullSyncReady                          // included in the next orders
	fullSyncSent                           // followed by incremental orders
)

// requestFullSync schedules a full sync for a session.
func (s *Scheduler) requestFullSync(sess *session) {
	sess.fullSync = fullSyncNeeded
	sess.outbox = outbox{}
	s.anyFullSyncNeeded = true
}

// enqueueFullSyncs adds the sessions that need a full sync to the batch of the next entry. The full syncs are sent once
// that entry, and so every decision made until now, is committed: a set that omits a run whose end is not committed
// would make the agent stop a run that may still be needed.
func (s *Scheduler) enqueueFullSyncs() {
	if !s.anyFullSyncNeeded {
		return
	}
	s.anyFullSyncNeeded = false
	for _, address := range slices.Sorted(maps.Keys(s.sessions)) {
		if sess := s.sessions[address]; sess.fullSync == fullSyncNeeded {
			sess.fullSync = fullSyncRequested
			s.batch.fullSyncs = append(s.batch.fullSyncs, sess)
		}
	}
}

// sendFullSyncs sends the full syncs of a committed entry, except to sessions that have ended or need a newer full sync.
func (s *Scheduler) sendFullSyncs(b *batch) {
	for _, sess := range b.fullSyncs {
		if s.sessions[sess.address] == sess && sess.fullSync == fullSyncRequested {
			sess.fullSync = fullSyncReady
			s.sendOrders(sess, &protocol.RunnerOrders{})
		}
	}
}

// fillFullSync turns orders into a full sync for a runner: the runs that it should have, and the runs to stop whose ends
// are not recorded yet. Runs whose start is not committed are left out.
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
