package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// startAttempt tracks the start of a run that the runner does not list yet. Since responses may be
// lost, the start is repeated in every response until the run is listed or blocked.
type startAttempt struct {
	run        uint32
	since      time.Duration
	startsSent int // responses that contained the start
	stopsSent  int // responses that contained a stop, after the starts had no effect
}

// blockedRun is a run that is no longer desired and that the runner has not listed: its start may
// still be in flight, or may never have been sent. Runners ignore a start whose run number is not
// above that of a stop, so that enough stops ensure that the run never starts. Until then the head
// keeps the run's capacity reserved.
type blockedRun struct {
	run       uint32
	stopsSent int // responses that contained the stop
}

// startOrBlock adds the start of a desired run to a response, unless the runner lists the run. If
// many starts have had no effect, it adds stops instead, and reports the run as refused once it
// certainly never starts.
func (m *Machine) startOrBlock(r *runner, order *protocol.RunOrder, response *HeartbeatResponse) {
	task, run := order.GetTask(), order.GetRun()
	if r.running[task] == run {
		delete(r.startAttempts, task)
		return
	}
	attempt := r.startAttempts[task]
	if attempt == nil || attempt.run != run {
		attempt = &startAttempt{run: run, since: m.now}
		r.startAttempts[task] = attempt
	}
	if attempt.startsSent < minStartsSent || m.now-attempt.since < startTimeout {
		attempt.startsSent++
		response.Start = append(response.Start, order)
		return
	}
	attempt.stopsSent++
	response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: run})
	if attempt.stopsSent > stopsToBlock {
		delete(r.startAttempts, task)
		delete(r.desired, task)
		m.refuseRun(r, task, run)
	}
}

// stopBlockedRuns adds stops of the blocked runs to a response. A run is reported as refused once
// enough stops were sent.
func (m *Machine) stopBlockedRuns(r *runner, response *HeartbeatResponse) {
	for _, task := range slices.Sorted(maps.Keys(r.blockedRuns)) {
		blocked := r.blockedRuns[task]
		if running := r.running[task]; running != 0 {
			if running >= blocked.run {
				// respond stops it like any run that is not desired, and the runner lists its end.
				delete(r.blockedRuns, task)
			}
			continue
		}
		blocked.stopsSent++
		response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: blocked.run})
		if blocked.stopsSent > stopsToBlock {
			delete(r.blockedRuns, task)
			m.refuseRun(r, task, blocked.run)
		}
	}
}

// refuseRun records that a run certainly never starts and makes a report due immediately.
func (m *Machine) refuseRun(r *runner, task string, run uint32) {
	r.refused[task] = run
	m.nextReport = 0
}
