package simnet

import (
	"fmt"
	"strings"
	"time"

	"frosttide/internal/protocol"
)

// Jobs of many small tasks, which all run on the only runner of their service (Options.ManyTasks).
// The runner has more runs, and more ends that are not acknowledged, than any other.

const (
	bulkQueue   = "bulk"
	bulkService = "pack"
	// bulkSpecsOneIn is the share of the jobs with a spec of the largest size that JSON makes six times as
	// long, as 1 in bulkSpecsOneIn. The starts of their tasks exceed maxResponseBytes together.
	bulkSpecsOneIn = 4
	// maxBulkInterval bounds the time between two jobs.
	maxBulkInterval = 1500 * time.Millisecond
)

// bulkSize is the size of the runner of bulkService and of the jobs on it.
type bulkSize struct {
	runnerCPU    int64 // in thousandths of a core
	maxTasks     int   // of a job
	lastingTasks int   // of the long-running job, more than the runner has tokens; 0 for no such job
}

// bulkSize returns the sizes for the options of the simulation. Hundreds of lasting tasks beside hundreds
// of others would only make it slow.
func (sim *simulation) bulkSize() bulkSize {
	if sim.options.LastingTasks {
		return bulkSize{runnerCPU: 8000, maxTasks: 40, lastingTasks: 170}
	}
	return bulkSize{runnerCPU: 64000, maxTasks: 400}
}

// bulkRoute is the route of bulkQueue, which firstConfig lacks.
const bulkRoute = `{"Name":"bulk","Host":"h","PathPrefix":"/m/","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":1,"Service":"pack","MaxAttempts":2,"Stretch":4},`

// startBulkJobs submits jobs of many small tasks at random intervals until the length of the
// simulation has passed, and before them a long-running one that is never canceled.
func (c *client) startBulkJobs() {
	sim := c.sim
	if !sim.options.ManyTasks {
		return
	}
	if sim.bulkSize().lastingTasks > 0 {
		sim.after(2*time.Second, func() { c.submit(sim.newLastingJob()) })
	}
	var next func()
	next = func() {
		if sim.now > sim.options.Length {
			return
		}
		c.submit(sim.newBulkJob())
		sim.after(sim.randomDuration(maxBulkInterval/5, maxBulkInterval), next)
	}
	sim.after(2*time.Second, next)
}

// newBulkJob draws a job of many small tasks of the same length.
func (sim *simulation) newBulkJob() *job {
	j := &job{id: fmt.Sprintf("%016x", sim.rng.Uint64()), queue: bulkQueue, service: bulkService, occurrences: 1}
	j.spec = "spec of " + j.id + unusualText(j.id)
	if sim.rng.IntN(bulkSpecsOneIn) == 0 {
		j.spec += strings.Repeat("\x01", largeSpecBytes)
	}
	st := &stage{
		Stage:    &protocol.Stage{Count: uint32(1 + sim.rng.IntN(sim.bulkSize().maxTasks)), Cpu: 50, MemMb: 10, EstimateMs: 1000},
		seed:     sim.rng.Uint64(),
		duration: sim.randomDuration(time.Second, 4*time.Second),
	}
	if sim.rng.IntN(4) == 0 {
		st.failureRate = 0.05
	}
	j.stages = []*stage{st}
	return j
}

// newLastingJob returns a long-running job of more tasks than a runner has tokens, which need hardly any
// CPU or none.
func (sim *simulation) newLastingJob() *job {
	j := sim.newBulkJob()
	j.neverCanceled = true
	first := j.stages[0]
	first.LongRunning, first.failureRate = true, 0
	first.Count, first.Cpu, first.MemMb = uint32(sim.bulkSize().lastingTasks), int64(5*sim.rng.IntN(2)), 1
	return j
}

// newBulkRunnerHost adds the machine of the runner of bulkService.
func (sim *simulation) newBulkRunnerHost() *runnerHost {
	h := sim.newRunnerHost(sim.options.Runners)
	h.bulk = true
	return h
}

// maxMessageBytes is more than any message between processes may take, in encoded bytes.
const maxMessageBytes = 2 * protocol.MaxListBytes

// checkMessageSize checks the encoded size of a message between processes.
func (c *checker) checkMessageSize(from, to string, size int, e *protocol.Envelope) {
	if size > maxMessageBytes {
		c.sim.violation("SIZE", "%s sends %s a message of %d bytes: %T", from, to, size, e.GetBody())
	}
}
