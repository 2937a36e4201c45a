package simnet

import (
	"slices"
)

// sameGang tells whether a run is a member of the same gang as another, in the same attempt.
func (m *run) sameGang(o *run) bool {
	return m.gang && m.job == o.job && m.name.step == o.name.step && m.name.occurrence == o.name.occurrence && m.number == o.number
}

// gangMembers returns the members of a run's gang that are running.
func (sim *simulation) gangMembers(one *run) (members []*run) {
	for _, h := range sim.runnerHosts {
		if h.runner == nil || !h.runner.up {
			continue
		}
		for _, m := range h.runner.sortedRuns() {
			if m.sameGang(one) {
				members = append(members, m)
			}
		}
	}
	return members
}

// startCompleteGang has a gang begin its work once all its members run. They end together.
func (sim *simulation) startCompleteGang(one *run) {
	members := sim.gangMembers(one)
	stage := one.job.stage(one.name)
	if len(members) < int(stage.Count) || slices.ContainsFunc(members, func(m *run) bool { return m.gangComplete }) {
		return
	}
	for _, m := range members {
		m.gangComplete = true
	}
	outcome := stage.outcome(one)
	sim.after(stage.duration, func() {
		for _, h := range sim.runnerHosts {
			for _, m := range h.runner.sortedRuns() {
				if m.sameGang(one) && !m.stopping {
					h.runner.end(m, outcome)
				}
			}
		}
	})
}

// breakGang ends the other members of a complete gang as broken where one has ended by something that did not come
// from the gang itself.
func (sim *simulation) breakGang(one *run, outcome string) {
	if outcome == "done" || outcome == "broken" || outcome == "alone" {
		return
	}
	for _, h := range sim.runnerHosts {
		if h.runner == nil {
			continue
		}
		for _, m := range h.runner.sortedRuns() {
			if m != one && m.gangComplete && m.sameGang(one) {
				h.runner.end(m, "broken")
			}
		}
	}
}
