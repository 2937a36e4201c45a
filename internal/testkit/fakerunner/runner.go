// Package fakerunner is a runner for demonstrations and tests: it sends heartbeats to its companion and does as
// it is told, but its tasks only wait for the time that their text names. It keeps the rules of the
// protocol: holds, fencing tokens, ends that are listed until they are noted.
package fakerunner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Config says what a runner is.
type Config struct {
	ID              string
	Agent           string // address of its companion, host:port
	Service         string
	Zone            string
	Labels          []string
	CPU             int64 // thousandths of a core
	MemMB           int64
	GPUs            int64
	DefaultDuration time.Duration // how long a task takes whose text names no time
}

// Run is a run under way.
type Run struct {
	Task      string
	Number    uint32
	StartedAt time.Time
	timer     *time.Timer
}

// End is a run that has ended.
type End struct {
	Number  uint64
	Task    string
	Run     uint32
	Outcome string
}

// Runner is the runner. It is safe for concurrent use.
type Runner struct {
	cfg                Config
	client             *http.Client
	mu                 sync.Mutex
	sequence           uint64
	running            map[string]*Run
	blockedRuns        map[string]uint32
	unacknowledgedEnds []End
	history            []End
	nextEnd            uint64
	fencingToken       uint64
	holdTimer          *time.Timer
	draining           bool
	wake               chan struct{}
}

// responseTimeout is how long an answer is worth anything.
const responseTimeout = time.Second

// endDelay is how long after an end the next heartbeat goes out.
const endDelay = 50 * time.Millisecond

// New returns a runner that does nothing until Serve.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, client: &http.Client{Timeout: responseTimeout}, running: make(map[string]*Run), blockedRuns: make(map[string]uint32), wake: make(chan struct{}, 1)}
}

// Serve sends heartbeats until the context ends.
func (r *Runner) Serve(ctx context.Context) {
	pause := endDelay
	for ctx.Err() == nil {
		if again, err := r.sendHeartbeat(ctx); err == nil {
			pause = again
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-r.wake:
			time.Sleep(endDelay)
		}
	}
}

// Drain has the runner say that it is about to leave.
func (r *Runner) Drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// Running returns the runs under way.
func (r *Runner) Running() (out []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.running {
		out = append(out, *one)
	}
	return out
}

// History returns all ends so far.
func (r *Runner) History() []End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]End(nil), r.history...)
}

// heartbeat is what a heartbeat says.
type heartbeat struct {
	Service  string
	Address  string
	Zone     string
	Version  string
	Slots    int
	State    string
	Capacity capacity
	Labels   []string
	Sequence uint64
	Running  [][]any
	Finished [][]any
}

// capacity is what a runner has.
type capacity struct {
	CPU   int64 `json:"Cpu"`
	MemMB int64 `json:"MemMb"`
	GPUs  int64 `json:"Gpus"`
}

// heartbeatResponse is what a companion says.
type heartbeatResponse struct {
	HoldMs     int64
	LastSeen   uint64
	FenceToken uint64
	RetryMs    int64
	Start      [][]any
	Stop       [][]any
}

// ErrHeartbeat is returned for a heartbeat that is not acknowledged.
var ErrHeartbeat = errors.New("toy runner: the heartbeat is not acknowledged")

// sendHeartbeat sends one heartbeat and carries out the answer; it returns the pause until the next.
func (r *Runner) sendHeartbeat(ctx context.Context) (time.Duration, error) {
	body, err := json.Marshal(r.heartbeat())
	if err != nil {
		return 0, errors.Wrap(err, "toy runner: the heartbeat can't be written")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/instances/%s", r.cfg.Agent, r.cfg.ID), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "toy runner: the heartbeat can't be sent")
	}
	sent := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return 0, errors.CombineErrors(ErrHeartbeat, err)
	}
	defer response.Body.Close()
	var a heartbeatResponse
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil || response.StatusCode/100 != 2 || time.Since(sent) > responseTimeout {
		return 0, errors.CombineErrors(ErrHeartbeat, err)
	}
	r.apply(sent, &a)
	return max(time.Duration(a.RetryMs)*time.Millisecond, endDelay), nil
}

func (r *Runner) heartbeat() *heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	a := &heartbeat{Service: r.cfg.Service, Zone: r.cfg.Zone, Version: "v1", Slots: 8, State: "ready", Labels: r.cfg.Labels, Sequence: r.sequence}
	if r.draining {
		a.State = "draining"
	}
	a.Capacity = capacity{CPU: r.cfg.CPU, MemMB: r.cfg.MemMB, GPUs: r.cfg.GPUs}
	for _, one := range r.running {
		a.Running = append(a.Running, []any{one.Task, one.Number, "", 0})
	}
	for _, e := range r.unacknowledgedEnds {
		a.Finished = append(a.Finished, []any{e.Number, e.Task, e.Run, e.Outcome, ""})
	}
	return a
}

// apply carries out an answer.
func (r *Runner) apply(sent time.Time, a *heartbeatResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.FenceToken < r.fencingToken {
		return
	}
	r.fencingToken = a.FenceToken
	for len(r.unacknowledgedEnds) > 0 && r.unacknowledgedEnds[0].Number <= a.LastSeen {
		r.unacknowledgedEnds = r.unacknowledgedEnds[1:]
	}
	if a.HoldMs == 0 {
		return
	}
	r.extend(sent.Add(time.Duration(a.HoldMs) * time.Millisecond))
	for _, s := range a.Stop {
		r.stop(stringAt(s, 0), numberAt(s, 1))
	}
	for _, s := range a.Start {
		r.start(stringAt(s, 0), numberAt(s, 1), stringAt(s, 2))
	}
}

func stringAt(list []any, at int) string {
	if at < len(list) {
		s, _ := list[at].(string)
		return s
	}
	return ""
}

func numberAt(list []any, at int) uint32 {
	if at < len(list) {
		n, _ := list[at].(float64)
		return uint32(n)
	}
	return 0
}

// extend has all runs end as lapsed at a hold's end, unless it is extended again.
func (r *Runner) extend(until time.Time) {
	if r.holdTimer != nil {
		r.holdTimer.Stop()
	}
	r.holdTimer = time.AfterFunc(time.Until(until), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, one := range r.running {
			r.end(one, "lapsed")
		}
	})
}

// start begins a run; its text may name a time, as in "sleep 300ms", and "fail" has it fail.
func (r *Runner) start(task string, run uint32, spec string) {
	if r.running[task] != nil || run <= r.blockedRuns[task] {
		return
	}
	one := &Run{Task: task, Number: run, StartedAt: time.Now()}
	r.running[task] = one
	outcome, duration := "done", r.cfg.DefaultDuration
	for _, word := range strings.Fields(spec) {
		if d, err := time.ParseDuration(word); err == nil {
			duration = d
		}
		if word == "fail" {
			outcome = "failed"
		}
	}
	one.timer = time.AfterFunc(duration, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(one, outcome)
	})
}

func (r *Runner) stop(task string, run uint32) {
	one := r.running[task]
	if one == nil {
		r.blockedRuns[task] = max(r.blockedRuns[task], run)
		return
	}
	if one.Number <= run {
		r.end(one, "stopped")
	}
}

func (r *Runner) end(one *Run, outcome string) {
	if r.running[one.Task] != one {
		return
	}
	one.timer.Stop()
	delete(r.running, one.Task)
	r.blockedRuns[one.Task] = max(r.blockedRuns[one.Task], one.Number)
	r.nextEnd++
	e := End{Number: r.nextEnd, Task: one.Task, Run: one.Number, Outcome: outcome}
	r.unacknowledgedEnds = append(r.unacknowledgedEnds, e)
	r.history = append(r.history, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
