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

// carrierHost is a machine that takes clients' jobs.
type carrierHost struct {
	*process
	world   *world
	node    *gateway.Node
	answers map[uint64]func(chainclient.Outcome)
	version uint64 // highest configuration that this life has had
}

func carrierAddress(i int) string { return fmt.Sprintf("carrier%d", i) }

func (w *world) newCarrier(i int) *carrierHost {
	c := &carrierHost{world: w, process: &process{address: carrierAddress(i)}}
	w.processes[c.address] = c.process
	c.receive = func(from string, e *protocol.Envelope) { c.node.Receive(w.clock(c.process), from, e) }
	c.turn = c.carryOut
	return c
}

func (c *carrierHost) begin() {
	w := c.world
	w.start(c.process)
	c.answers, c.version = make(map[uint64]func(chainclient.Outcome)), 0
	c.node = gateway.NewNode(c.address, w.rng.Uint64()>>1, []string{coreAddress(0), coreAddress(1), coreAddress(2)})
	w.repeat(c.process, tickEvery, func() { c.node.Tick(w.clock(c.process)) })
}

func (c *carrierHost) carryOut() {
	w := c.world
	sends, outcomes := c.node.Turn(w.clock(c.process))
	for _, s := range sends {
		w.send(c.process, s.To, s.Message)
	}
	for _, o := range outcomes {
		if answer := c.answers[o.ID]; answer != nil {
			delete(c.answers, o.ID)
			answer(o)
		}
	}
	if v := c.node.Table().Version; v < c.version {
		w.broken("CONFIG", "%s goes back from version %d to %d", c.address, c.version, v)
	} else {
		c.version = v
	}
}

// ask has a request answered; nothing comes back where the process dies.
func (c *carrierHost) ask(r *protocol.ClientRequest, read bool, within time.Duration, answer func(chainclient.Outcome)) {
	w := c.world
	if !c.up {
		return
	}
	w.run(c.process, func() {
		id := c.node.Ask(w.clock(c.process), r, read, within)
		c.answers[id] = answer
	})
}

// taskName is a task's name in its parts.
type taskName struct{ occasion, step, index int }

// stage is a step of a job as its client knows it.
type stage struct {
	*protocol.Stage
	time   time.Duration // of work
	seed   uint64
	failAt float64 // share of runs that fail by themselves
}

// fails tells whether a run fails by itself; the same one always does.
func (s *stage) fails(name taskName, number uint32) bool {
	if s.failAt == 0 {
		return false
	}
	index := name.index
	if s.Gang {
		index = 0
	}
	return rand.New(rand.NewPCG(s.seed, uint64(number)<<32|uint64(name.occasion)<<24|uint64(name.step)<<16|uint64(index))).Float64() < s.failAt
}

// job is a job as its client knows it.
type job struct {
	id         string
	queue      string
	service    string
	spec       string
	stages     []*stage
	occasions  int
	startAtMs  int64
	intervalMs int64
	sentAt     time.Duration
	tries      int
	open       int // tries without an answer
	rejected   int
	unclear    int
	acked      time.Duration // 0 before
	cancelSent time.Duration
	cancelAck  time.Duration
	shown      string
	shownAt    time.Duration
}

func (j *job) stage(name taskName) *stage { return j.stages[name.step] }

func (j *job) lasting() bool { return j.stages[0].LongRunning }

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
	world *world
	jobs  []*job
}

const (
	// bulkSpec is how much longer texts are than usual where they are long.
	bulkSpec   = 3900
	mostTries  = 4
	clientWait = 2500 * time.Millisecond
)

// newJob draws a job.
func (w *world) newJob() *job {
	j := &job{id: fmt.Sprintf("%016x", w.rng.Uint64()), occasions: 1, sentAt: w.now}
	j.spec = "spec of " + j.id
	if w.options.Bulk {
		j.spec += strings.Repeat(".", bulkSpec)
	}
	j.queue = []string{"quick", "batch"}[w.rng.IntN(2)]
	j.service = map[string]string{"quick": "cut", "batch": "render"}[j.queue]
	kind := w.rng.IntN(10)
	steps := 1 + w.rng.IntN(2)
	for i := range steps {
		st := &stage{Stage: &protocol.Stage{Count: uint32(1 + w.rng.IntN(4)), Cpu: int64(500 + 500*w.rng.IntN(4)), MemMb: 100, EstimateMs: 500}, seed: w.rng.Uint64()}
		st.time = w.between(200*time.Millisecond, 2500*time.Millisecond)
		st.Checkpoints = w.rng.IntN(2) == 0
		if i > 0 {
			st.DependsOn = []uint32{uint32(i - 1)}
		}
		if w.rng.IntN(4) == 0 {
			st.failAt = 0.2
		}
		j.stages = append(j.stages, st)
	}
	first := j.stages[0]
	switch kind {
	case 0:
		first.Gang, first.Count = true, uint32(1+w.rng.IntN(3))
	case 1:
		first.Gang, first.Count, first.SameRack = true, 2, true
	case 2:
		first.AntiAffinity = 1
	case 3:
		first.Requirements = []string{"a", "b"}[w.rng.IntN(2)]
	case 4:
		first.Affinity = "r0-1"
	case 5:
		j.stages = j.stages[:1]
		first.LongRunning, first.Count, first.Cpu = true, 1, 500
	case 6:
		j.occasions = 2 + w.rng.IntN(3)
		j.startAtMs = w.now.Milliseconds() + dayBeginsMs + int64(w.rng.IntN(3000))
		j.intervalMs = int64(500 + w.rng.IntN(2000))
	case 7:
		first.failAt = 1
	}
	return j
}

// hand sends a job until it is taken or its tries are over.
func (c *client) hand(j *job) {
	w := c.world
	c.jobs = append(c.jobs, j)
	w.check.jobs[j.id] = j
	c.try(j)
}

func (c *client) try(j *job) {
	w := c.world
	if j.acked > 0 || j.tries >= mostTries {
		return
	}
	j.tries++
	j.open++
	at := w.carriers[w.rng.IntN(len(w.carriers))]
	answered := false
	again := func(unclear bool, pause time.Duration) {
		if answered {
			return
		}
		answered = true
		j.open--
		if unclear {
			j.unclear++
		} else {
			j.rejected++
		}
		w.after(pause, func() { c.try(j) })
	}
	at.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: j.submit()}}, false, clientWait, func(o chainclient.Outcome) {
		switch {
		case answered:
		case o.Reply.GetStatus() == http.StatusOK:
			answered = true
			j.open--
			j.acked = w.now
			w.report.Accepted++
			w.trace("job %s is accepted", j.id)
			c.follow(j)
		case o.Reply != nil || !o.Sent:
			again(false, time.Second)
		default:
			again(true, 300*time.Millisecond)
		}
	})
	w.after(clientWait+200*time.Millisecond, func() { again(true, 300*time.Millisecond) })
}

// follow asks for a job's state now and then, and cancels some jobs.
func (c *client) follow(j *job) {
	w := c.world
	w.after(w.between(time.Second, 6*time.Second), func() { c.look(j, nil) })
	if w.rng.IntN(15) == 0 {
		w.after(w.between(0, 5*time.Second), func() { c.twin(j) })
	}
	if j.lasting() || w.rng.IntN(12) == 0 {
		w.after(w.between(500*time.Millisecond, 8*time.Second), func() { c.cancel(j) })
	}
}

// twin hands in another job under the ID of one that was accepted: by another queue, or with another text. Nobody may
// acknowledge it, as it would never run.
func (c *client) twin(j *job) {
	w := c.world
	other := j.submit()
	if w.rng.IntN(2) == 0 {
		other.Spec += " of another"
	} else {
		other.Queue = map[string]string{"quick": "batch", "batch": "quick"}[j.queue]
	}
	at := w.carriers[w.rng.IntN(len(w.carriers))]
	at.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Submit{Submit: other}}, false, clientWait, func(o chainclient.Outcome) {
		if o.Reply.GetStatus() == http.StatusOK {
			w.broken("LOST", "another job under the ID of %s is acknowledged", j.id)
		}
	})
}

// look asks for a job's state.
func (c *client) look(j *job, then func(answered bool)) {
	w := c.world
	at, began := w.carriers[w.rng.IntN(len(w.carriers))], w.now
	at.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_ReadState{ReadState: &protocol.ReadState{Id: j.id, Queue: j.queue}}}, true, clientWait, func(o chainclient.Outcome) {
		switch o.Reply.GetStatus() {
		case http.StatusOK:
			j.shown = strings.Trim(strings.TrimPrefix(string(o.Reply.GetBody()), `{"State":`), `"}`)
			j.shownAt = w.now
			w.record(Call{Kind: StateCall, Began: began, Ended: w.now, Job: j.id, State: j.shown})
			w.check.shown(j)
		case http.StatusGone:
			w.check.shownGone(j)
		}
		if then != nil {
			then(o.Reply.GetStatus() == http.StatusOK)
		}
	})
}

// cancel has a job canceled, again where no answer comes.
func (c *client) cancel(j *job) {
	w := c.world
	if j.cancelAck > 0 {
		return
	}
	if j.cancelSent == 0 {
		j.cancelSent = w.now
	}
	at := w.carriers[w.rng.IntN(len(w.carriers))]
	at.ask(&protocol.ClientRequest{Op: &protocol.ClientRequest_Cancel{Cancel: &protocol.Cancel{Id: j.id, Queue: j.queue}}}, false, clientWait, func(o chainclient.Outcome) {
		if o.Reply.GetStatus() == http.StatusOK && j.cancelAck == 0 {
			j.cancelAck = w.now
			w.trace("job %s is canceled", j.id)
		}
	})
	w.after(clientWait, func() { c.cancel(j) })
}

// finalStates are the states after which nothing runs.
var finalStates = map[string]bool{jobs.Completed.String(): true, jobs.Failed.String(): true, jobs.Canceled.String(): true}
