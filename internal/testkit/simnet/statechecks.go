package simnet

import (
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/store"
)

// checkShownState checks a job's state that a client has read.
func (c *checker) checkShownState(j *job) {
	sim := c.sim
	switch j.lastState {
	case jobs.Completed.String():
		for occurrence := range j.occurrences {
			for step := range j.stages {
				if !c.stepDone(j, occurrence, step) {
					sim.violation("MIXED", "job %s is shown as completed, time %d step %d is not", j.id, occurrence, step)
				}
			}
		}
	case jobs.Failed.String():
		if !c.mayFail(j) {
			sim.violation("LOST", "job %s is shown as failed without cause", j.id)
		}
	case jobs.Canceled.String():
		if j.cancelRequestedAt == 0 {
			sim.violation("LOST", "job %s is shown as canceled, nobody has canceled it", j.id)
		}
	}
}

// mayFail reports whether a task or a gang of a job has failed as often as its queue allows.
func (c *checker) mayFail(j *job) bool {
	for occurrence := range j.occurrences {
		for step, st := range j.stages {
			failedAttempts := make(map[uint32]bool)
			for index := range int(st.Count) {
				failed := 0
				for _, record := range c.runs[taskID(j, occurrence, step, index)] {
					if record.outcome == string(jobs.EndFailed) {
						failed++
						failedAttempts[record.run.number] = true
					}
				}
				if failed >= maxAttempts[j.queue] {
					return true
				}
			}
			if st.Gang && len(failedAttempts) >= maxAttempts[j.queue] {
				return true
			}
		}
	}
	return false
}

// checkUnknownJob checks whether a client may be told that a job is unknown.
func (c *checker) checkUnknownJob(j *job) {
	sim := c.sim
	if j.acceptedAt > 0 && sim.now > j.acceptedAt+visibleTime && sim.noFaultFor(contactTime) && j.cancelRequestedAt == 0 {
		sim.violation("LOST", "job %s was accepted and is not known", j.id)
	}
}

// compareInterval is the time between two comparisons of the members' states.
const compareInterval = 250 * time.Millisecond

// compareStates checks that members hold the same state if they hold it for the same view and up to
// the same log entry.
func (sim *simulation) compareStates() {
	type position struct{ epoch, index uint64 }
	byPosition := make(map[position]*core)
	for _, c := range sim.cores {
		if !c.up {
			continue
		}
		s := c.member.Replica().Status()
		if s.View == nil || s.InstalledEpoch != s.View.GetEpoch() && !s.Following {
			continue
		}
		at := position{s.View.GetEpoch(), s.Index}
		other := byPosition[at]
		if other == nil {
			byPosition[at] = c
			continue
		}
		a, b := c.member.Replica().Store(), other.member.Replica().Store()
		if store.CombineDigests(a.Digests()) != store.CombineDigests(b.Digests()) {
			sim.violation("STATE", "%s and %s hold entry %d of epoch %d with different states: %d and %d items", c.address, other.address, at.index, at.epoch, a.Len(), b.Len())
		}
	}
	sim.after(compareInterval, sim.compareStates)
}
