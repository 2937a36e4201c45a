package simnet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/jobs"
	"frosttide/internal/data/gateway"
	"frosttide/internal/protocol"
)

// gatewayHost is a machine that takes clients' jobs.
type gatewayHost struct {
	*process
	sim            *simulation
	node           *gateway.Node
	pendingReplies map[uint64]func(chainclient.Outcome)
	version        uint64 // highest configuration that this life has had
}

func gatewayAddress(i int) string { return fmt.Sprintf("carrier%d", i) }

func (sim *simulation) newGateway(i int) *gatewayHost {
	c := &gatewayHost{sim: sim, process: &process{address: gatewayAddress(i)}}
	sim.processes[c.address] = c.process
	c.receive = func(from string, e *protocol.Envelope) { c.node.Receive(sim.clock(c.process), from, e) }
	c.turn = c.applyOutput
	return c
}

func (c *gatewayHost) boot() {
	sim := c.sim
	sim.start(c.process)
	c.pendingReplies, c.version = make(map[uint64]func(chainclient.Outcome)), 0
	c.node = gateway.NewNode(c.address, sim.rng.Uint64()>>1, []string{coreAddress(0), coreAddress(1), coreAddress(2)})
	sim.repeat(c.process, tickEvery, func() { c.node.Tick(sim.clock(c.process)) })
}

func (c *gatewayHost) applyOutput() {
	sim := c.sim
	sends, outcomes := c.node.Turn(sim.clock(c.process))
	for _, s := range sends {
		sim.send(c.process, s.To, s.Message)
	}
	for _, o := range outcomes {
		if answer := c.pendingReplies[o.ID]; answer != nil {
			delete(c.pendingReplies, o.ID)
			answer(o)
		}
	}
	if v := c.node.Table().Version; v < c.version {
		sim.violation("CONFIG", "%s goes back from version %d to %d", c.address, c.version, v)
	} else {
		c.version = v
	}
}

// request has a request answered; nothing comes back where the process dies.
func (c *gatewayHost) request(r *protocol.ClientRequest, read bool, within time.Duration, answer func(chainclient.Outcome)) {
	sim := c.sim
	if !c.up {
		return
	}
	sim.execute(c.process, func() {
		id := c.node.Do(sim.clock(c.process), r, read, within)
		c.pendingReplies[id] = answer
	})
}

// taskName is a task's name in its parts.
type taskName struct{ occasion, step, index int }

// stage is a step of a job as its client knows it.
type stage struct {
	*protocol.Stage
	duration    time.Duration // of work
	seed        uint64
	failureRate float64 // share of runs that fail by themselves
}

// fails tells whether a run fails by itself; the same one always does.
func (s *stage) fails(name taskName, number uint32) bool {
	if s.failureRate == 0 {
		return false
	}
	index := name.index
	if s.Gang {
		index = 0
	}
	return rand.New(rand.NewPCG(s.seed, uint64(number)<<32|uint64(name.occasion)<<24|uint64(name.step)<<16|uint64(index))).Float64() < s.failureRate
}

// job is a job as its client knows it.
type job struct {
	id                   string
	queue                string
	service              string
	spec                 string
	stages               []*stage
	occasions            int
	startAtMs            int64
	intervalMs           int64
	sentAt               time.Duration
	attempts             int
	pendingAttempts      int // tries without an answer
	rejected             int
	indeterminate        int
	acceptedAt           time.Duration // 0 before
	cancelRequestedAt    time.Duration
	cancelAcknowledgedAt time.Duration
	lastState            string
	lastStateAt          time.Duration
}

func (j *job) stage(name taskName) *stage { return j.stages[name.step] }

func (j *job) longRunning() bool { return j.stages[0].LongRunning }

// submit returns the job as it is sent.
func (j *job) submit() *protocol.Submit {
	s := &protocol.Submit{Queue: j.queue, Id: j.id, Spec: j.spec, MaxRuns: uint32(j.occasions), StartAtMs: j.startAtMs, IntervalMs: j.intervalMs}
	if j.occasions == 1 && j.startAtMs == 0 {
		s.MaxRuns = 0
	}
	for _, st := range j.stages {
		s.Stages = append(s.Stages, st.Stage)
	}
	return s
}

// client sends jobs, asks for their states and cancels some.
type client struct {
	sim  *simulation
	jobs []*job
}

const (
	// largeSpecBytes is how much longer texts are than usual where they are long.
	largeSpecBytes    = 3900
	maxSubmitAttempts = 4
	clientTimeout     = 2500 * time.Millisecond
)

// newJob draws a job.
func (sim *simulation) newJob() *job {
	j := &job{id: fmt.Sprintf("%016x", sim.rng.Uint64()), occasions: 1, sentAt: sim.now}
	j.spec = "spec of " + j.id
	if sim.options.LargeSpecs {
		j.spec += strings.Repeat(".", largeSpecBytes)
	}
	j.queue = []string{"quick", "batch"}[sim.rng.IntN(2)]
	j.service = map[string]string{"quick": "cut", "batch": "render"}[j.queue]
	kind := sim.rng.IntN(10)
	steps := 1 + sim.rng.IntN(2)
	for i := range steps {
		st := &stage{Stage: &protocol.Stage{Count: uint32(1 + sim.rng.IntN(4)), Cpu: int64(500 + 500*sim.rng.IntN(4)), MemMb: 100, EstimateMs: 500}, seed: sim.rng.Uint64()}
		st.duration = sim.randomDuration(200*time.Millisecond, 2500*time.Millisecond)
		st.Checkpoints = sim.rng.IntN(2) == 0
		if i > 0 {
			st.DependsOn = []uint32{uint32(i - 1)}
		}
		if sim.rng.IntN(4) == 0 {
			st.failureRate = 0.2
		}
		j.stages = append(j.stages, st)
	}
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
		j.occasions = 2 + sim.rng.IntN(3)
		j.startAtMs = sim.now.Milliseconds() + dayBeginsMs + int64(sim.rng.IntN(3000))
		j.intervalMs = int64(500 + sim.rng.IntN(2000))
	case 7:
		first.failureRate = 1
	}
	return j
}

// submit sends a job until it is taken or its tries are over.
func (c *client) submit(j *job) {
	sim := c.sim
	c.jobs = append(c.jobs, j)
	sim.checker.jobs[j.id] = j
	c.attemptSubmit(j)
}

func (c *client) attemptSubmit(j *job) {
	sim := c.sim
	if j.acceptedAt > 0 || j.attempts >= maxSubmitAttempts {
		return
	}
	j.attempts++
	j.pendingAttempts++
	at := sim.gateways[sim.rng.IntN(len(sim.gateways))]
	answered := false
	again := func(unclear bool, pause time.Duration) {
		if answered {
			return
		}
		answered = true
		j.pendingAttempts--
		if unclear {
			j.indeterminate++
		} else {
			j.rejected++
		}
		sim.after(pause, func() { c.attemptSubmit(j) })
	}
	at.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: j.submit()}}, false, clientTimeout, func(o chainclient.Outcome) {
		switch {
		case answered:
		case o.Reply.GetStatus() == http.StatusOK:
			answered = true
			j.pendingAttempts--
			j.acceptedAt = sim.now
			sim.report.Accepted++
			sim.trace("job %s is accepted", j.id)
			c.follow(j)
		case o.Reply != nil || !o.MayHaveExecuted:
			again(false, time.Second)
		default:
			again(true, 300*time.Millisecond)
		}
	})
	sim.after(clientTimeout+200*time.Millisecond, func() { again(true, 300*time.Millisecond) })
}

// follow asks for a job's state now and then, and cancels some jobs.
func (c *client) follow(j *job) {
	sim := c.sim
	sim.after(sim.randomDuration(time.Second, 6*time.Second), func() { c.readState(j, nil) })
	if sim.rng.IntN(15) == 0 {
		sim.after(sim.randomDuration(0, 5*time.Second), func() { c.submitConflicting(j) })
	}
	if j.longRunning() || sim.rng.IntN(12) == 0 {
		sim.after(sim.randomDuration(500*time.Millisecond, 8*time.Second), func() { c.cancel(j) })
	}
}

// submitConflicting hands in another job under the ID of one that was accepted: by another queue, or with another text. Nobody may
// acknowledge it, as it would never run.
func (c *client) submitConflicting(j *job) {
	sim := c.sim
	other := j.submit()
	if sim.rng.IntN(2) == 0 {
		other.Spec += " of another"
	} else {
		other.Queue = map[string]string{"quick": "batch", "batch": "quick"}[j.queue]
	}
	at := sim.gateways[sim.rng.IntN(len(sim.gateways))]
	at.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: other}}, false, clientTimeout, func(o chainclient.Outcome) {
		if o.Reply.GetStatus() == http.StatusOK {
			sim.violation("LOST", "another job under the ID of %s is acknowledged", j.id)
		}
	})
}

// readState asks for a job's state.
func (c *client) readState(j *job, then func(answered bool)) {
	sim := c.sim
	at, began := sim.gateways[sim.rng.IntN(len(sim.gateways))], sim.now
	at.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_ReadState{ReadState: &protocol.ReadState{Id: j.id, Queue: j.queue}}}, true, clientTimeout, func(o chainclient.Outcome) {
		switch o.Reply.GetStatus() {
		case http.StatusOK:
			j.lastState = strings.Trim(strings.TrimPrefix(string(o.Reply.GetBody()), `{"State":`), `"}`)
			j.lastStateAt = sim.now
			sim.record(Call{Kind: StateCall, Began: began, Ended: sim.now, Job: j.id, State: j.lastState})
			sim.checker.checkShownState(j)
		case http.StatusGone:
			sim.checker.checkUnknownJob(j)
		}
		if then != nil {
			then(o.Reply.GetStatus() == http.StatusOK)
		}
	})
}

// cancel has a job canceled, again where no answer comes.
func (c *client) cancel(j *job) {
	sim := c.sim
	if j.cancelAcknowledgedAt > 0 {
		return
	}
	if j.cancelRequestedAt == 0 {
		j.cancelRequestedAt = sim.now
	}
	at := sim.gateways[sim.rng.IntN(len(sim.gateways))]
	at.request(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: j.id, Queue: j.queue}}}, false, clientTimeout, func(o chainclient.Outcome) {
		if o.Reply.GetStatus() == http.StatusOK && j.cancelAcknowledgedAt == 0 {
			j.cancelAcknowledgedAt = sim.now
			sim.trace("job %s is canceled", j.id)
		}
	})
	sim.after(clientTimeout, func() { c.cancel(j) })
}

// finalStates are the states after which nothing runs.
var finalStates = map[string]bool{jobs.Completed.String(): true, jobs.Failed.String(): true, jobs.Canceled.String(): true}
