package agent

import (
	"cmp"
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
	startBytes int           // encoded size of the start; 0 if it is not known yet
}

// replace returns the desired run of an order that takes the place of d, which may be nil. Attempts
// to start the same run still count.
func (d *desiredRun) replace(order *protocol.RunOrder) *desiredRun {
	if d == nil || d.order.GetRun() != order.GetRun() {
		return &desiredRun{order: order}
	}
	replaced := *d
	replaced.order, replaced.startBytes = order, 0
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

// startDesiredRuns adds the starts of the desired runs that the runner does not list to a response. If
// not all of them fit, those that were sent least often come first, so that each one comes.
func (m *Machine) startDesiredRuns(r *runner, builder *responseBuilder) {
	var due []*desiredRun
	size := 0
	for _, task := range slices.Sorted(maps.Keys(r.desired)) {
		desired := r.desired[task]
		switch {
		case !m.needsStart(r, desired):
		case r.allEndsKnown && desired.startFailed(m.now):
			m.blockFailedStart(r, desired, builder)
		default:
			due = append(due, desired)
			size += desired.encodedBytes()
		}
	}
	if size > builder.startsLeft {
		slices.SortStableFunc(due, func(a, b *desiredRun) int { return cmp.Compare(a.startsSent, b.startsSent) })
	}
	for _, desired := range due {
		if !builder.start(desired) {
			return
		}
		if desired.startsSent == 0 {
			desired.firstStart = m.now
		}
		desired.startsSent++
	}
}

// needsStart reports whether the start of a desired run may have to be sent: the runner does not list
// the run. While the runner has more ends than it lists, the run may have ended already, so that nothing
// is concluded from starts without effect. A run that has begun needs no start: its end will be listed.
func (m *Machine) needsStart(r *runner, desired *desiredRun) bool {
	return r.running[desired.order.GetTask()] != desired.order.GetRun() && (!desired.begun || r.allEndsKnown)
}

// blockFailedStart adds a stop of a run whose starts have had no effect to a response, and reports the
// run as refused once it certainly never starts.
func (m *Machine) blockFailedStart(r *runner, desired *desiredRun, builder *responseBuilder) {
	task, run := desired.order.GetTask(), desired.order.GetRun()
	if !builder.stop(task, run) {
		return
	}
	desired.stopsSent++
	if desired.stopsSent > stopsToBlock {
		delete(r.desired, task)
		m.refuseRun(r, task, run)
	}
}

// stopUndesiredRuns adds stops of the runs that the runner lists and that are not desired to a response.
func (m *Machine) stopUndesiredRuns(r *runner, builder *responseBuilder) {
	for _, task := range slices.Sorted(maps.Keys(r.running)) {
		run := r.running[task]
		if desired := r.desired[task]; desired == nil || desired.order.GetRun() != run {
			builder.stop(task, run)
		}
	}
}

// stopBlockedRuns adds stops of the blocked runs to a response. A run is reported as refused once
// enough stops were sent and the runner lists all ends, since it may have ended before them.
func (m *Machine) stopBlockedRuns(r *runner, builder *responseBuilder) {
	for _, task := range slices.Sorted(maps.Keys(r.blockedRuns)) {
		blocked := r.blockedRuns[task]
		if running := r.running[task]; running != 0 {
			if running >= blocked.run {
				// It is stopped like any run that is not desired, and the runner lists its end.
				delete(r.blockedRuns, task)
			}
			continue
		}
		if blocked.stopsSent <= stopsToBlock && builder.stop(task, blocked.run) {
			blocked.stopsSent++
		}
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
