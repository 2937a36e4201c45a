package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/placement"
	"frosttide/internal/protocol"
)

// scheduleOneByOne is the reference implementation of a scheduling cycle. It takes no shortcuts: it visits every step and
// tries each of its tasks independently.
func scheduleOneByOne(s *Scheduler) {
	for _, step := range s.jobs.TakeReady() {
		s.queue(step.Job.Service).add(s.newWaitingStep(step))
	}
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		q := s.queues[service]
		q.reclassify(s.wallMs)
		if len(q.entries) == 0 {
			continue
		}
		q.updateHeadroom(s.now)
		for _, e := range q.entries {
			w, p := e.waitingStep, s.newPass(q) // a new pass for each step has no blockages
			if w.startable() && w.request.Gang {
				p.scheduleStep(w)
				continue
			}
			for i := range w.step.Tasks {
				w.request.Rack = ""
				if s.delaysForLocality(w) {
					w.request.Rack = w.request.Affinity
				}
				p.blockages = nil
				if w.step.Tasks[i].Phase == jobs.Waiting && s.preservesHeadroom(q, w) {
					p.scheduleTask(w, i)
				}
			}
		}
		q.reclassify(s.wallMs)
	}
}

// randomStage returns a random stage. It is a gang, has an affinity, an anti-affinity or a requirement, or is plain.
func randomStage(rng *rand.Rand) *protocol.Stage {
	s := &protocol.Stage{Count: 1 + uint32(rng.IntN(6)), Cpu: int64(500 * (1 + rng.IntN(4))), MemMb: int64(500 * rng.IntN(4)), EstimateMs: 3000}
	switch rng.IntN(6) {
	case 0:
		s.Gang, s.SameRack = true, rng.IntN(2) == 0
	case 1:
		s.Affinity = fmt.Sprintf("r%d-1", rng.IntN(3))
	case 2:
		s.AntiAffinity = 1 + uint32(rng.IntN(2))
	case 3:
		s.Requirements = "big"
	}
	return s
}

// TestPassMatchesOneByOne checks on random jobs that scheduling cycles place tasks exactly as scheduleOneByOne does.
func TestPassMatchesOneByOne(t *testing.T) {
	compared := 0 // live runs, summed over all steps
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 4))
		harnesses := []*harness{newHarness(t), newHarness(t)} // the second one uses the reference
		for _, h := range harnesses {
			h.reportAll()
			h.commit()
		}
		for step := range 25 {
			var stages []*protocol.Stage
			for range rng.IntN(4) {
				stages = append(stages, randomStage(rng))
			}
			queue := []string{"fast", "slow", "once"}[rng.IntN(3)]
			runner, reason := runnerName(rng.IntN(passRunnerCount)), []string{"done", "done", "failed"}[rng.IntN(3)]
			delay := time.Duration(rng.IntN(1500)) * time.Millisecond
			for _, h := range harnesses {
				h.now += delay
				h.scheduler.Tick(h.now, h.wall(), h.now)
				h.reportAll()
				for i, stage := range stages {
					request := submitRequest(&protocol.Submit{Id: fmt.Sprintf("%016x", 100*step+i+1), Queue: queue, Spec: "s", Stages: []*protocol.Stage{stage}})
					request.Id = uint64(1000 + i)
					h.scheduler.HandleRequest("client", request)
				}
				h.endFirst(runner, reason)
			}
			scheduleOneByOne(harnesses[1].scheduler)
			for _, h := range harnesses {
				h.commit()
			}
			require.Equal(t, harnesses[1].runnersByTask(), harnesses[0].runnersByTask(), "seed %d step %d", seed, step)
			compared += len(harnesses[0].runnersByTask())
		}
	}
	require.Greater(t, compared, 5000, "the random jobs led to too few runs")
}

// passRunnerCount is the number of runners in TestPassMatchesOneByOne. They are spread over three racks.
const passRunnerCount = 6

// reportAll delivers a report of each of passRunnerCount agents.
func (h *harness) reportAll() {
	for i := range passRunnerCount {
		labels := []string{fmt.Sprintf("r%d-1", i%3)}
		if i%2 == 0 {
			labels = append(labels, "big")
		}
		h.report(agentName(i), runnerName(i), func(report *protocol.RunnerReport) { report.Account.Labels = labels })
	}
}

// TestPassBetweenTicksLooksAtAll checks that a pass between two ticks visits all steps once the fleet has changed: it
// starts the last of many steps although all steps ahead of it wait for a rack that is full.
func TestPassBetweenTicksLooksAtAll(t *testing.T) {
	const waiting = 200
	h := newHarness(t)
	h.report("c0", "w0", func(report *protocol.RunnerReport) { report.Account.Labels = []string{"r1-1"} })
	h.report("c1", "w1", func(report *protocol.RunnerReport) { report.Account.Labels = []string{"r2-1"} })
	h.commit()
	h.submit(1, "slow", &protocol.Stage{Count: 4, Cpu: 1000, MemMb: 1, EstimateMs: 60_000, Affinity: "r1-1"})
	for i := range waiting {
		h.submit(2+i, "slow", &protocol.Stage{Count: 1, Cpu: 1000, MemMb: 1, EstimateMs: 600_000, Affinity: "r1-1"})
	}
	q := h.scheduler.queues["svc"]
	require.Len(t, q.entries, waiting, "steps were started although their rack is full")
	last := q.entries[waiting-1]
	last.since -= time.Hour // it has waited long enough to be started in another rack
	require.Nil(t, h.entry(), "an entry was returned although nothing has changed")
	h.scheduler.fleet.RecordOutcome(h.scheduler.runners["w1"].fleetRunner, "j", placement.Success, h.now)
	require.NotNil(t, h.entry(), "no entry was returned although the fleet has changed")
	require.Equal(t, "w1", h.runnersByTask()[last.step.TaskID(0)])
	require.Len(t, q.entries, waiting-1)
}

// TestUrgentQueueGoesFirst checks that jobs of a more urgent queue are started before jobs that were submitted earlier.
func TestUrgentQueueGoesFirst(t *testing.T) {
	h := newHarness(t)
	slow := h.submit(1, "slow", stage(8, 1000))
	fast := h.submit(2, "fast", stage(2, 1000))
	h.register("c1", "i1")
	started := h.started("c1")
	require.Contains(t, started, fast+".0.0.0")
	require.Contains(t, started, fast+".0.0.1")
	require.Len(t, started, 4)
	require.Contains(t, started, slow+".0.0.0")
}

// TestOverdueJobsGoLast checks that jobs that can still meet their deadline are started before jobs that can't.
func TestOverdueJobsGoLast(t *testing.T) {
	h := newHarness(t)
	overdue := h.submit(1, "fast", stage(4, 1000))
	h.now += 20 * time.Second
	soon := h.submit(2, "fast", stage(4, 1000))
	h.register("c1", "i1")
	for task := range h.started("c1") {
		require.Contains(t, task, soon)
		require.NotContains(t, task, overdue)
	}
	require.Len(t, h.started("c1"), 4)
}

// TestGangAtOnceOrNotAtAll checks that no member of a gang is started before all of them fit.
func TestGangAtOnceOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	gang := stage(2, 3000)
	gang.Gang = true
	h.submit(1, "fast", gang)
	require.Empty(t, h.started("c1"), "a part of the gang was started")
	require.Contains(t, h.scheduler.Status().Waiting[0].Reason, "not for all")
	h.register("c2", "i2")
	require.Len(t, h.started("c1"), 1)
	require.Len(t, h.started("c2"), 1)
}

// TestSchedulesWithoutTick checks that a blocked task is started in the same turn in which capacity is released, without
// a tick, and that after a cycle without changes nothing asks the next one to visit all queues.
func TestSchedulesWithoutTick(t *testing.T) {
	h := newHarness(t)
	h.register("c1", "i1")
	first := h.submit(1, "fast", stage(1, 4000))
	second := h.submit(2, "fast", stage(1, 4000))
	h.report("c1", "i1")
	h.commit()
	require.Contains(t, h.started("c1"), first+".0.0.0")
	require.NotContains(t, h.started("c1"), second+".0.0.0")
	h.entry()
	require.Equal(t, h.scheduler.fleet.Changes(), h.scheduler.changesAtLastPass)
	require.False(t, h.scheduler.tickedSincePass)
	h.report("c1", "i1", ends("done", &protocol.RunEnd{Number: 1, Task: first + ".0.0.0", Run: 1}))
	require.True(t, h.appendEntry())
	h.scheduler.Committed(h.now, h.index)
	h.collect()
	require.Contains(t, h.started("c1"), second+".0.0.0")
}
