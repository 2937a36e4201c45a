package simnet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// taskName is the parsed name of a task.
type taskName struct{ occurrence, step, index int }

// stage is a step of a job as its client knows it, with the simulated behavior of its runs.
type stage struct {
	*protocol.Stage
	duration    time.Duration // of a run
	seed        uint64
	failureRate float64 // share of runs that fail by themselves, 0 to 1
}

// fails reports whether a run fails by itself. The answer for a run never changes, and all members
// of a gang fail together.
func (s *stage) fails(name taskName, number uint32) bool {
	if s.failureRate == 0 {
		return false
	}
	index := name.index
	if s.Gang {
		index = 0
	}
	return rand.New(rand.NewPCG(s.seed, uint64(number)<<32|uint64(name.occurrence)<<24|uint64(name.step)<<16|uint64(index))).Float64() < s.failureRate
}

// outcome returns the outcome of a run that ends by itself.
func (s *stage) outcome(run *taskRun) string {
	if s.fails(run.name, run.number) {
		return "failed"
	}
	return "done"
}

// job is a job as its client knows it.
type job struct {
	id          string
	queue       string
	service     string
	spec        string
	stages      []*stage
	occurrences int
	startAtMs   int64 // milliseconds since 1970; 0 to start at once
	intervalMs  int64

	// Attempts to submit the job.
	attempts        int
	pendingAttempts int           // attempts without an answer so far
	rejected        int           // attempts that certainly had no effect
	indeterminate   int           // attempts that may have had an effect
	acceptedAt      time.Duration // 0 for not yet

	neverCanceled        bool          // its client does not cancel it, though it is long-running
	patience             time.Duration // after which its client gives it up; 0 for never
	cancelRequestedAt    time.Duration // 0 for not yet
	cancelAcknowledgedAt time.Duration // 0 for not yet
	lastState            string        // state that a client has read; empty for none yet
}

// stage returns the step that a task belongs to.
func (j *job) stage(name taskName) *stage { return j.stages[name.step] }

// longRunning reports whether the job runs until it is canceled.
func (j *job) longRunning() bool { return j.stages[0].LongRunning }

// submission returns the request that submits the job.
func (j *job) submission() *protocol.Submit {
	s := &protocol.Submit{Queue: j.queue, Id: j.id, Spec: j.spec, MaxRuns: uint32(j.occurrences), StartAtMs: j.startAtMs, IntervalMs: j.intervalMs}
	if j.occurrences == 1 && j.startAtMs == 0 {
		s.MaxRuns = 0
	}
	for _, st := range j.stages {
		s.Stages = append(s.Stages, st.Stage)
	}
	return s
}

// newJob draws a job: its queue, one or two steps, and its special properties.
func (sim *simulation) newJob() *job {
	j := &job{id: fmt.Sprintf("%016x", sim.rng.Uint64()), occurrences: 1}
	j.spec = "spec of " + j.id + unusualText(j.id)
	if sim.options.LargeSpecs {
		j.spec += strings.Repeat(".", largeSpecBytes)
	}
	j.queue = []string{"quick", "batch"}[sim.rng.IntN(2)]
	j.service = map[string]string{"quick": "cut", "batch": "render"}[j.queue]
	kind := sim.rng.IntN(10)
	steps := 1 + sim.rng.IntN(2)
	for i := range steps {
		j.stages = append(j.stages, sim.newStage(i))
	}
	sim.specialize(j, kind)
	sim.drawPatience(j)
	return j
}

// unusualTexts are ends of specs with characters that encoders often get wrong: those that Go quotes
// with escapes that JSON does not have, and line separators.
var unusualTexts = []string{
	"",
	" \"\U0001f3f4\U000e0067\U000e0062\U000e0065\U000e006e\U000e0067\U000e007f\"",
	" \\ \a\v\x00\x1b\x7f",
	" \"\u2028\u2029\ufeff\u200d\"",
}

// unusualText returns the end of the spec of a job by its ID, without drawing a random number.
func unusualText(id string) string { return unusualTexts[int(id[len(id)-1])%len(unusualTexts)] }

// newStage draws the step of a job with the given number. Each step depends on the one before it.
func (sim *simulation) newStage(number int) *stage {
	st := &stage{Stage: &protocol.Stage{Count: uint32(1 + sim.rng.IntN(4)), Cpu: int64(500 + 500*sim.rng.IntN(4)), MemMb: 100, EstimateMs: 500}, seed: sim.rng.Uint64()}
	st.duration = sim.randomDuration(200*time.Millisecond, 2500*time.Millisecond)
	st.Checkpoints = sim.rng.IntN(2) == 0
	if number > 0 {
		st.DependsOn = []uint32{uint32(number - 1)}
	}
	if sim.rng.IntN(4) == 0 {
		st.failureRate = 0.2
	}
	return st
}

// specialize gives a job the special properties of a kind from 0 to 9; kinds 8 and 9 have none.
func (sim *simulation) specialize(j *job, kind int) {
	first := j.stages[0]
	switch kind {
	case 0:
		first.Gang, first.Count = true, uint32(1+sim.rng.IntN(3))
	case 1:
		first.Gang, first.Count, first.SameRack = true, 2, true
	case 2:
		first.AntiAffinity = 1
	case 3:
		first.Requirements = []string{"a", "b"}[sim.rng.IntN(2)]
	case 4:
		first.Affinity = "r0-1"
	case 5:
		j.stages = j.stages[:1]
		first.LongRunning, first.Count, first.Cpu = true, 1, 500
	case 6:
		j.occurrences = 2 + sim.rng.IntN(3)
		j.startAtMs = sim.now.Milliseconds() + startOfDayMs + int64(sim.rng.IntN(3000))
		j.intervalMs = int64(500 + sim.rng.IntN(2000))
	case 7:
		first.failureRate = 1
	}
}

// finalStates are the states in which a job has no more runs.
var finalStates = map[string]bool{jobs.Completed.String(): true, jobs.Failed.String(): true, jobs.Canceled.String(): true}
