package simnet

import (
	"slices"
)

// sameGang reports whether two runs are members of the same attempt of the same gang.
func (run *taskRun) sameGang(other *taskRun) bool {
	return run.gang && run.job == other.job && run.name.step == other.name.step && run.name.occurrence == other.name.occurrence && run.number == other.number
}

// gangMembers returns the runs in progress that belong to a run's gang.
func (sim *simulation) gangMembers(run *taskRun) (members []*taskRun) {
	for _, h := range sim.runnerHosts {
		if h.runner == nil || !h.runner.up {
			continue
		}
		for _, m := range h.runner.sortedRuns() {
			if m.sameGang(run) {
				members = append(members, m)
			}
		}
	}
	return members
}

// startCompleteGang starts the work of a gang once all its members run. They end together.
func (sim *simulation) startCompleteGang(run *taskRun) {
	members := sim.gangMembers(run)
	stage := run.job.stage(run.name)
	if len(members) < int(stage.Count) || slices.ContainsFunc(members, func(m *taskRun) bool { return m.gangComplete }) {
		return
	}
	for _, m := range members {
		m.gangComplete = true
	}
	outcome := stage.outcome(run)
	sim.after(stage.duration, func() {
		for _, h := range sim.runnerHosts {
			for _, m := range h.runner.sortedRuns() {
				if m.sameGang(run) && !m.stopping {
					h.runner.end(m, outcome)
				}
			}
		}
	})
}

// breakGang ends the other members of a complete gang with the outcome broken when one member ended
// for a reason outside the gang.
func (sim *simulation) breakGang(run *taskRun, outcome string) {
	if outcome == "done" || outcome == "broken" || outcome == "alone" {
		return
	}
	for _, h := range sim.runnerHosts {
		if h.runner == nil {
			continue
		}
		for _, m := range h.runner.sortedRuns() {
			if m != run && m.gangComplete && m.sameGang(run) {
				h.runner.end(m, "broken")
			}
		}
	}
}
