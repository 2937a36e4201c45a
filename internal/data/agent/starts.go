package agent

import (
	"maps"
	"slices"
	"time"

	"frosttide/internal/protocol"
)

// desiredRun is a run that the head wants the runner to execute, with the attempts to start it.
// Since responses may be lost, the start is repeated in every response until the run is listed or
// blocked.
type desiredRun struct {
	order      *protocol.RunOrder
	begun      bool          // the runner has listed it as running
	firstStart time.Duration // when a response first contained the start, if startsSent is not 0
	startsSent int           // responses that contained the start
	stopsSent  int           // responses that contained a stop, after the starts had no effect
}

// replace returns the desired run of an order that takes the place of d, which may be nil. Attempts
// to start the same run still count.
func (d *desiredRun) replace(order *protocol.RunOrder) *desiredRun {
	if d == nil || d.order.GetRun() != order.GetRun() {
		return &desiredRun{order: order}
	}
	replaced := *d
	replaced.order = order
	return &replaced
}

// startFailed reports whether enough starts were sent, for long enough, to conclude that further
// ones have no effect.
func (d *desiredRun) startFailed(now time.Duration) bool {
	return d.startsSent >= minStartsSent && now-d.firstStart >= startTimeout
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
//
// While the runner has more ends than it lists, the run may have ended already, so that nothing is
// concluded from starts without effect. A run that has begun needs no start: its end will be listed.
func (m *Machine) startOrBlock(r *runner, desired *desiredRun, response *HeartbeatResponse) {
	task, run := desired.order.GetTask(), desired.order.GetRun()
	if r.running[task] == run || desired.begun && !r.allEndsKnown {
		return
	}
	if !r.allEndsKnown || !desired.startFailed(m.now) {
		if desired.startsSent == 0 {
			desired.firstStart = m.now
		}
		desired.startsSent++
		response.Start = append(response.Start, desired.order)
		return
	}
	desired.stopsSent++
	response.Stop = append(response.Stop, &protocol.RunRef{Task: task, Run: run})
	if desired.stopsSent > stopsToBlock {
		delete(r.desired, task)
		m.refuseRun(r, task, run)
	}
}

// stopBlockedRuns adds stops of the blocked runs to a response. A run is reported as refused once
// enough stops were sent and the runner lists all ends, since it may have ended before them.
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
		if blocked.stopsSent > stopsToBlock && r.allEndsKnown {
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
