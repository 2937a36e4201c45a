package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// startAttempt is the start of a run that the runner does not list. Responses may be lost, so that the start is sent
// again with each.
type startAttempt struct {
	run        uint32
	since      time.Duration
	startsSent int // in responses
	stopsSent  int // in responses, after the starts had no effect
}

// blockedRun is a run that is no longer desired and that the runner has not listed: its start may be on the way, or may
// never have been sent. Runners pass over a start whose run number is not above that of a stop, so that enough stops
// make sure that the run never starts. Until then the head keeps the run's capacity.
type blockedRun struct {
	run       uint32
	stopsSent int // in responses
}

// startOrBlock adds the start of a desired run that the runner does not list to a response. A run that does not start
// after many of them gets stops instead, and is reported as refused once it certainly never starts.
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
		m.refuse(r, task, run)
	}
}

// stopBlockedRuns adds the stops of the blocked runs to a response.
func (m *Machine) stopBlockedRuns(r *runner, response *HeartbeatResponse) {
	for _, task := range slices.Sorted(maps.Keys(r.blockedRuns)) {
		blocked := r.blockedRuns[task]
		if running := r.running[task]; running != 0 {
			if running >= blocked.run {
				delete(r.blockedRuns, task) // it is stopped as any run that is not desired, and its end is listed
			}
			continue
		}
		blocked.stopsSent++
		response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: blocked.run})
		if blocked.stopsSent > stopsToBlock {
			delete(r.blockedRuns, task)
			m.refuse(r, task, blocked.run)
		}
	}
}

// refuse reports, at once, that a run certainly never starts.
func (m *Machine) refuse(r *runner, task string, run uint32) {
	r.refused[task] = run
	m.nextReport = 0
}
