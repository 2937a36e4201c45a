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
	"frosttide/internal/protocol"
)

// scheduleOneByOne does what a pass does, without a shortcut: it looks at each step and has its tasks tried each by
// itself.
func scheduleOneByOne(s *Scheduler) {
	for _, step := range s.jobs.TakeReady() {
		w := &waitingStep{step: step, request: placementRequest(step), priority: s.priority(step.Job), since: s.now, objective: s.objectiveFor(step)}
		w.class = w.objective.class(s.wallMs)
		s.queue(step.Job.Service).add(w)
	}
	for _, service := range slices.Sorted(maps.Keys(s.queues)) {
		q := s.queues[service]
		q.reclassify(s.wallMs)
		if len(q.entries) == 0 {
			continue
		}
		q.updateHeadroom(s.now)
		for _, e := range q.entries {
			w, p := e.waitingStep, s.newPass(q) // a pass of its own knows of nothing that was blocked
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

// runnersByTask returns the runner of each task that runs.
func (h *harness) runnersByTask() map[string]string {
	runs := make(map[string]string)
	for id, runner := range h.scheduler.runners {
		for task := range runner.live {
			runs[task] = id
		}
	}
	return runs
}

// randomStage returns a stage of one of a few kinds.
func randomStage(rng *rand.Rand) *protocol.Stage {
	step := &protocol.Stage{Count: 1 + uint32(rng.IntN(6)), Cpu: int64(500 * (1 + rng.IntN(4))), MemMb: int64(500 * rng.IntN(4)), EstimateMs: 3000}
	switch rng.IntN(6) {
	case 0:
		step.Gang, step.SameRack = true, rng.IntN(2) == 0
	case 1:
		step.Affinity = fmt.Sprintf("r%d-1", rng.IntN(3))
	case 2:
		step.AntiAffinity = 1 + uint32(rng.IntN(2))
	case 3:
		step.Requirements = "big"
	}
	return step
}

// TestPassMatchesOneByOne compares a pass with placing without any shortcut, over random work.
func TestPassMatchesOneByOne(t *testing.T) {
	started := 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 4))
		pair := []*harness{newHarness(t), newHarness(t)}
		for _, h := range pair {
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
			after := time.Duration(rng.IntN(1500)) * time.Millisecond
			for _, h := range pair {
				h.now += after
				h.scheduler.Tick(h.now, h.wall(), h.now)
				h.reportAll()
				for i, stage := range stages {
					h.scheduler.HandleRequest("client", &protocol.ClientRequest{Id: uint64(1000 + i), Op: &protocol.ClientRequest_Submit{Submit: &protocol.Submit{
						Id: fmt.Sprintf("%016x", 100*step+i+1), Queue: queue, Spec: "s", Stages: []*protocol.Stage{stage}}}})
				}
				h.endFirst(runner, reason)
			}
			scheduleOneByOne(pair[1].scheduler)
			for _, h := range pair {
				h.commit()
			}
			require.Equal(t, pair[1].runnersByTask(), pair[0].runnersByTask(), "seed %d step %d", seed, step)
			started += len(pair[0].runnersByTask())
		}
	}
	require.Greater(t, started, 5000)
}

// passRunnerCount is how many runners the plays of a pass have, in three racks.
const passRunnerCount = 6

// reportAll has all companions report.
func (h *harness) reportAll() {
	for i := range passRunnerCount {
		labels := []string{fmt.Sprintf("r%d-1", i%3)}
		if i%2 == 0 {
			labels = append(labels, "big")
		}
		h.report(agentName(i), runnerName(i), func(report *protocol.RunnerReport) { report.Account.Labels = labels })
	}
}

// endFirst has a runner report the end of the first of its runs, by name.
func (h *harness) endFirst(id, reason string) {
	runner := h.scheduler.runners[id]
	for _, task := range slices.Sorted(maps.Keys(runner.live)) {
		if run := runner.live[task]; !run.pending {
			h.scheduler.recordEnds(runner.session, []*protocol.RunEnd{{Number: runner.recordedEnd + 1, Task: task, Run: run.number, How: reason}})
			return
		}
	}
}

// TestReportsLongestWaitingStep checks that the log is told of the step that has waited longest, now and then.
func TestReportsLongestWaitingStep(t *testing.T) {
	h := newHarness(t)
	h.register("c0", "w0")
	h.submit(1, "slow", &protocol.Stage{Count: 1, Cpu: 4000, MemMb: 1, EstimateMs: 60_000})
	h.submit(2, "slow", &protocol.Stage{Count: 3, Cpu: 3000, MemMb: 1, EstimateMs: 60_000})
	require.Empty(t, h.scheduler.TakeEvents())
	reported := 0
	for range 100 {
		h.now += 100 * time.Millisecond
		h.report("c0", "w0")
		h.commit()
		for _, event := range h.scheduler.TakeEvents() {
			require.Equal(t, "Step waits for runners", event.Message)
			require.Equal(t, 3, event.Value("waitingTasks"))
			require.Equal(t, 0, event.Value("step"))
			require.Equal(t, "0000000000000002", event.Value("job"))
			require.Contains(t, event.Value("reason"), "1 are full")
			reported++
		}
	}
	require.Equal(t, 2, reported, "after 5 s and after 10 s")
}

// TestCounters checks what is counted of a service's tasks.
func TestCounters(t *testing.T) {
	h := newHarness(t)
	h.register("c0", "w0")
	h.submit(1, "slow", &protocol.Stage{Count: 6, Cpu: 1000, MemMb: 1, EstimateMs: 60_000})
	step := h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 6, step.Ready)
	require.EqualValues(t, 2, step.Blocked, "four have room")
	require.EqualValues(t, 4, step.Started)
	require.Equal(t, 2, step.WaitingTasks)
	require.Equal(t, 1, step.WaitingSteps)
	h.endFirst("w0", "failed")
	h.endFirst("w0", "done")
	h.commit()
	step = h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 7, step.Ready, "the one that failed is to be started again")
	require.EqualValues(t, 6, step.Started)
	require.Equal(t, map[string]uint64{"failed": 1, "done": 1}, step.Ended)
	require.Equal(t, 1, step.WaitingTasks)
	h.endFirst("w0", "in a way of its own")
	h.commit()
	step = h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 1, step.Ended[endOther])
	h.scheduler.declareLost("w0")
	h.commit()
	step = h.scheduler.Status().Services["svc"]
	require.EqualValues(t, 4, step.Ended["lost"])
	require.Equal(t, 5, step.WaitingTasks)
}

// TestPassBetweenTicksLooksAtAll checks that a pass between two ticks places the last of many steps once there is a
// reason to go through the queue, though all before it wait for a rack that is full.
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
	require.Len(t, q.entries, waiting, "the rack is full, and they wait for it")
	last := q.entries[waiting-1]
	last.since -= time.Hour // it waits for the rack no longer
	require.Nil(t, h.scheduler.Entry(h.now), "nothing has changed")
	h.scheduler.fleet.RecordOutcome(h.scheduler.fleet.Runner("w1"), "j", false, h.now)
	require.NotNil(t, h.scheduler.Entry(h.now))
	require.Equal(t, "w1", h.runnersByTask()[last.step.TaskID(0)])
	require.Len(t, q.entries, waiting-1)
}
