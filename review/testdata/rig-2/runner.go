package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The figures of the pages for runners.
const (
	answerLimit = 4 << 20 // an answer that holds more acknowledges nothing
	answerTime  = time.Second
	beatPause   = 50 * time.Millisecond // after an end, or after the outstanding answer
	firstRetry  = 200 * time.Millisecond
	endsAtOnce  = 500
	stopTime    = 100 * time.Millisecond // stop_ms allows 400
)

// behavior says how the tasks of a job end.
type behavior struct {
	duration time.Duration
	last     bool // runs until it is stopped
	failures int  // the first runs of a task, up to this number, fail
}

// taskTable knows the behavior of the tasks by job, and their demand.
type taskTable struct {
	mu   sync.Mutex
	jobs map[string]knownJob
}

type knownJob struct {
	job      job
	behavior behavior
}

func newTaskTable() *taskTable { return &taskTable{jobs: make(map[string]knownJob)} }

// add registers a job before it is handed in.
func (t *taskTable) add(j job, b behavior) job {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[j.ID] = knownJob{job: j, behavior: b}
	return j
}

// find returns the job and the step of a task ID.K.STEP.INDEX.
func (t *taskTable) find(task string) (knownJob, stage, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return knownJob{}, stage{}, false
	}
	known, ok := t.jobs[parts[0]]
	var step int
	_, err := fmt.Sscan(parts[2], &step)
	if !ok || err != nil || step >= len(known.job.Stages) {
		return knownJob{}, stage{}, false
	}
	return known, known.job.Stages[step], true
}

// run is a run that is going.
type run1 struct {
	task     string
	number   int
	begun    time.Time
	step     stage
	stopping bool
	end      *time.Timer
}

// start is a start that a runner has carried out.
type started struct {
	runner, task string
	number       int
	at           time.Duration
}

// end is an end that a runner lists.
type ended struct {
	n         int
	task      string
	number    int
	how       string
	at        time.Duration
	forgotten bool
}

// runner is a stand-in for a runner that takes its orders in the answers to its heartbeats.
type runner struct {
	world            *world
	id               string
	labels           []string
	cpu, memMb, gpus int
	agent            string
	app              net.Listener
	client           *http.Client
	cancel           context.CancelFunc
	finished         chan struct{}
	wake             chan struct{}
	mu               sync.Mutex
	sequence         int
	running          map[string]*run1
	blocked          map[string]int  // by task: highest run stopped or ended here
	listed           map[string]bool // runs with an end, as task/run
	ends             []*ended        // all ends
	starts           []started       // all starts
	fence            int64
	hold             time.Time
	failAll          bool // fails whatever it starts (grey)
	oversized        int  // answers that were too large
	notAnswered      int
	largest          int
	holdEver         bool
	lapses           int // times that the hold was over after there had been one
	over             bool
}

// addRunner starts a runner on a side machine.
func (w *world) addRunner(side int, id string, cpu, memMb int, labels ...string) *runner {
	m := w.cluster.side[side]
	app, err := net.Listen("tcp4", m.address(appPort))
	if err != nil {
		stop("runner %s: %v", id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &runner{world: w, id: id, labels: labels, cpu: cpu, memMb: memMb, agent: m.address(controlPort), app: app,
		client: &http.Client{Timeout: answerTime}, cancel: cancel, finished: make(chan struct{}), wake: make(chan struct{}, 1),
		running: make(map[string]*run1), blocked: make(map[string]int), listed: make(map[string]bool)}
	w.runners = append(w.runners, r)
	go func() {
		_ = http.Serve(app, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) }))
	}()
	go r.serve(ctx)
	go r.watchHold(ctx)
	return r
}

func (r *runner) close() {
	select {
	case <-r.finished: // it has crashed before
		return
	default:
	}
	r.cancel()
	r.app.Close()
	<-r.finished
}

func (r *runner) hasHold() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holdEver
}

// serve sends heartbeats.
func (r *runner) serve(ctx context.Context) {
	defer close(r.finished)
	retry := firstRetry
	for ctx.Err() == nil {
		if next, ok := r.beat(ctx); ok {
			retry = next
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(retry, beatPause)):
		case <-r.wake:
			time.Sleep(beatPause)
		}
	}
}

type answer struct {
	HoldMs     int64
	LastSeen   int
	FenceToken int64
	RetryMs    int64
	Start      [][]any
	Stop       [][]any
}

// beat sends one heartbeat and carries out the answer.
func (r *runner) beat(ctx context.Context) (time.Duration, bool) {
	body := r.account()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.agent+"/v1/instances/"+r.id, bytes.NewReader(body))
	if err != nil {
		return 0, false
	}
	request.Header.Set("Content-Type", "application/json")
	sent := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		r.count(func() { r.notAnswered++ })
		return 0, false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	r.count(func() { r.largest = max(r.largest, len(content)) })
	switch {
	case err != nil || time.Since(sent) > answerTime:
		r.count(func() { r.notAnswered++ })
		return 0, false
	case response.StatusCode/100 != 2:
		return 0, false
	case len(content) > answerLimit:
		r.count(func() { r.oversized++ })
		return 0, false
	}
	var a answer
	if json.Unmarshal(content, &a) != nil {
		return 0, false
	}
	r.apply(sent, &a)
	return time.Duration(a.RetryMs) * time.Millisecond, true
}

func (r *runner) count(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// account returns the body of a heartbeat.
func (r *runner) account() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	running, finished := [][]any{}, [][]any{}
	for _, run := range r.running {
		running = append(running, []any{run.task, run.number, "", 0})
	}
	for _, e := range r.ends {
		if !e.forgotten && len(finished) < endsAtOnce {
			finished = append(finished, []any{e.n, e.task, e.number, e.how, ""})
		}
	}
	body, _ := json.Marshal(map[string]any{"Service": "work", "Address": r.app.Addr().String(), "Zone": "zone-1", "Version": "v1", "Slots": 8,
		"State": "ready", "ColdRemainingMs": 0, "Capacity": map[string]int{"Cpu": r.cpu, "MemMb": r.memMb, "Gpus": r.gpus},
		"Labels": r.labels, "ClockMs": r.world.now().Milliseconds(), "Sequence": r.sequence, "Running": running, "Finished": finished})
	return body
}

// apply carries out an answer.
func (r *runner) apply(sent time.Time, a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.FenceToken < r.fence {
		return
	}
	r.fence = a.FenceToken
	for _, e := range r.ends {
		if e.n <= a.LastSeen {
			e.forgotten = true
		}
	}
	if a.HoldMs <= 0 {
		return
	}
	if until := sent.Add(time.Duration(min(a.HoldMs, 10_000)) * time.Millisecond); until.After(r.hold) {
		r.hold = until
	}
	r.holdEver = true
	if !time.Now().Before(r.hold) {
		return
	}
	for _, s := range a.Stop {
		r.stop(s[0].(string), int(s[1].(float64)))
	}
	for _, s := range a.Start {
		r.start(s[0].(string), int(s[1].(float64)), s[2].(string))
	}
}

// start begins a run; the caller holds the lock.
func (r *runner) start(task string, number int, spec string) {
	if current := r.running[task]; current != nil && current.number == number {
		return // told again
	}
	if number <= r.blocked[task] || r.running[task] != nil {
		if key := fmt.Sprintf("%s/%d", task, number); !r.listed[key] {
			r.list(task, number, "refused")
		}
		return
	}
	known, step, ok := r.world.tasks.find(task)
	r.starts = append(r.starts, started{runner: r.id, task: task, number: number, at: r.world.now()})
	r.world.log("runner %s: starts %s run %d", r.id, task, number)
	if !ok || known.job.Spec != spec {
		r.world.log("runner %s: the task or its Spec is not what a client sent", r.id)
	}
	begun := &run1{task: task, number: number, begun: time.Now(), step: step}
	r.running[task] = begun
	if known.behavior.last && !r.failAll {
		return
	}
	how, duration := "done", known.behavior.duration
	if number <= known.behavior.failures {
		how = "failed"
	}
	if r.failAll {
		how, duration = "failed", 200*time.Millisecond
	}
	begun.end = time.AfterFunc(duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endRun(begun, how)
	})
}

// stop stops a run; the caller holds the lock.
func (r *runner) stop(task string, number int) {
	current := r.running[task]
	if current == nil || current.number > number {
		r.blocked[task] = max(r.blocked[task], number)
		return
	}
	if current.stopping || current.number != number {
		return
	}
	current.stopping = true
	time.AfterFunc(stopTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.endRun(current, "stopped")
	})
}

// endRun ends a run unless it has ended; the caller holds the lock.
func (r *runner) endRun(run *run1, how string) {
	if r.running[run.task] != run {
		return
	}
	if run.end != nil {
		run.end.Stop()
	}
	delete(r.running, run.task)
	r.list(run.task, run.number, how)
}

// list lists an end; the caller holds the lock.
func (r *runner) list(task string, number int, how string) {
	r.blocked[task] = max(r.blocked[task], number)
	r.listed[fmt.Sprintf("%s/%d", task, number)] = true
	r.ends = append(r.ends, &ended{n: len(r.ends) + 1, task: task, number: number, how: how, at: r.world.now()})
	r.world.log("runner %s: %s run %d ends %s", r.id, task, number, how)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// watchHold ends everything once the hold is over.
func (r *runner) watchHold(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		r.mu.Lock()
		over := time.Now().After(r.hold)
		if over && !r.over && r.holdEver {
			r.lapses++
		}
		r.over = over
		if over {
			for _, run := range r.running {
				r.endRun(run, "lapsed")
			}
		}
		r.mu.Unlock()
	}
}

// setGrey makes the runner fail all that it starts, or ends that.
func (r *runner) setGrey(grey bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failAll = grey
	r.world.log("runner %s: fails all that it starts: %v", r.id, grey)
}

// usage returns how much of the capacity of all runners is in use, and the capacity.
func (w *world) usage() (cpu, cpuAll, memMb, memMbAll int) {
	for _, r := range w.runners {
		r.mu.Lock()
		cpuAll, memMbAll = cpuAll+r.cpu, memMbAll+r.memMb
		for _, run := range r.running {
			cpu, memMb = cpu+run.step.CPU, memMb+run.step.MemMb
		}
		r.mu.Unlock()
	}
	return cpu, cpuAll, memMb, memMbAll
}

// runningOf returns how many runs of a job are going.
func (w *world) runningOf(id string) (count int) {
	for _, r := range w.runners {
		r.mu.Lock()
		for task := range r.running {
			if strings.HasPrefix(task, id+".") {
				count++
			}
		}
		r.mu.Unlock()
	}
	return count
}

// startsOf returns the starts of a job's tasks.
func (w *world) startsOf(id string) (out []started) {
	for _, r := range w.runners {
		r.mu.Lock()
		for _, s := range r.starts {
			if strings.HasPrefix(s.task, id+".") {
				out = append(out, s)
			}
		}
		r.mu.Unlock()
	}
	return out
}

// endsOf returns how many runs of a job have ended in a way.
func (w *world) endsOf(id, how string) (count int) {
	for _, r := range w.runners {
		r.mu.Lock()
		for _, e := range r.ends {
			if strings.HasPrefix(e.task, id+".") && e.how == how {
				count++
			}
		}
		r.mu.Unlock()
	}
	return count
}

// fits returns how many tasks of a step the runners that it may run on have room for.
func (w *world) fits(s stage) (times int) {
	for _, r := range w.runners {
		if s.Requirements != "" && !slices.Contains(r.labels, s.Requirements) {
			continue
		}
		r.mu.Lock()
		freeCPU, freeMem := r.cpu, r.memMb
		for _, run := range r.running {
			freeCPU, freeMem = freeCPU-run.step.CPU, freeMem-run.step.MemMb
		}
		r.mu.Unlock()
		here := 1 << 20
		if s.CPU > 0 {
			here = min(here, freeCPU/s.CPU)
		}
		if s.MemMb > 0 {
			here = min(here, freeMem/s.MemMb)
		}
		times += here
	}
	return times
}
