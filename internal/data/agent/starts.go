package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// startAttempt is the telling of a start that the runner does not list.
type startAttempt struct {
	run        uint32
	since      time.Duration
	startsSent int // that were answered with the start since
	stopsSent  int // that were answered with a stop since
}

const (
	// startTimeout and refusedBeats are how long, and for how many beats, a start may stay without effect.
	startTimeout  = 1500 * time.Millisecond
	minStartsSent = 5
	// stopsToBlock is how many beats are answered with a stop until the run surely never begins: the answer to
	// the first may have been dropped for coming late.
	stopsToBlock = 3
)

// blockedRun is a run that is wanted no longer though the runner has not listed it: its start may be under way to the
// runner, or may never have been told.
type blockedRun struct {
	run       uint32
	stopsSent int // beats that were answered with a stop
}

// stopBlockedRuns bars the runs that are wanted no longer and not listed. One that the runner has still not listed after
// enough stops never begins, which the head waits to hear: until then it keeps their room.
func (m *Machine) stopBlockedRuns(r *runner, response *HeartbeatResponse) {
	for _, task := range slices.Sorted(maps.Keys(r.blockedRuns)) {
		b := r.blockedRuns[task]
		if r.running[task] != 0 {
			if r.running[task] >= b.run {
				delete(r.blockedRuns, task) // it is stopped as any that is not wanted, and its end is listed
			}
			continue
		}
		b.stopsSent++
		response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: b.run})
		if b.stopsSent > stopsToBlock {
			delete(r.blockedRuns, task)
			r.refused[task] = b.run
			m.nextReport = 0
		}
	}
}

// startOrBlock has the runner start a wanted run that it does not list. One that it does not start though it was
// told again and again is barred by a stop and reported as refused: runners silently pass over a run that
// is not above one stopped there.
func (m *Machine) startOrBlock(r *runner, w *protocol.RunOrder, response *HeartbeatResponse) {
	task := w.GetTask()
	if r.running[task] == w.GetRun() {
		delete(r.startAttempts, task)
		return
	}
	t := r.startAttempts[task]
	if t == nil || t.run != w.GetRun() {
		t = &startAttempt{run: w.GetRun(), since: m.now}
		r.startAttempts[task] = t
	}
	if t.startsSent < minStartsSent || m.now-t.since < startTimeout {
		t.startsSent++
		response.Start = append(response.Start, w)
		return
	}
	t.stopsSent++
	response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: w.GetRun()})
	if t.stopsSent > stopsToBlock {
		delete(r.startAttempts, task)
		delete(r.desired, task)
		r.refused[task] = w.GetRun()
		m.nextReport = 0
	}
}
