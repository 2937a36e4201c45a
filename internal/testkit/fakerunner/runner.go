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
	ID        string
	Companion string // address of its companion, host:port
	Service   string
	Zone      string
	Labels    []string
	CPU       int64 // thousandths of a core
	MemMB     int64
	GPUs      int64
	Usual     time.Duration // how long a task takes whose text names no time
}

// Run is a run under way.
type Run struct {
	Task   string
	Number uint32
	Began  time.Time
	end    *time.Timer
}

// End is a run that has ended.
type End struct {
	Number uint64
	Task   string
	Run    uint32
	How    string
}

// Runner is the runner. It is safe for concurrent use.
type Runner struct {
	cfg      Config
	client   *http.Client
	mu       sync.Mutex
	sequence uint64
	running  map[string]*Run
	barred   map[string]uint32
	ends     []End
	history  []End
	next     uint64
	fence    uint64
	lapse    *time.Timer
	draining bool
	wake     chan struct{}
}

// answerTime is how long an answer is worth anything.
const answerTime = time.Second

// endPause is how long after an end the next heartbeat goes out.
const endPause = 50 * time.Millisecond

// New returns a runner that does nothing until Serve.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, client: &http.Client{Timeout: answerTime}, running: make(map[string]*Run), barred: make(map[string]uint32), wake: make(chan struct{}, 1)}
}

// Serve sends heartbeats until the context ends.
func (r *Runner) Serve(ctx context.Context) {
	pause := endPause
	for ctx.Err() == nil {
		if again, err := r.beat(ctx); err == nil {
			pause = again
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-r.wake:
			time.Sleep(endPause)
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

// account is what a heartbeat says.
type account struct {
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

// answer is what a companion says.
type answer struct {
	HoldMs     int64
	LastSeen   uint64
	FenceToken uint64
	RetryMs    int64
	Start      [][]any
	Stop       [][]any
}

// errBeat is returned for a heartbeat that is not acknowledged.
var errBeat = errors.New("toy runner: the heartbeat is not acknowledged")

// beat sends one heartbeat and carries out the answer; it returns the pause until the next.
func (r *Runner) beat(ctx context.Context) (time.Duration, error) {
	body, err := json.Marshal(r.account())
	if err != nil {
		return 0, errors.Wrap(err, "toy runner: the heartbeat can't be written")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/instances/%s", r.cfg.Companion, r.cfg.ID), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "toy runner: the heartbeat can't be sent")
	}
	sent := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return 0, errors.CombineErrors(errBeat, err)
	}
	defer response.Body.Close()
	var a answer
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil || response.StatusCode/100 != 2 || time.Since(sent) > answerTime {
		return 0, errors.CombineErrors(errBeat, err)
	}
	r.obey(sent, &a)
	return max(time.Duration(a.RetryMs)*time.Millisecond, endPause), nil
}

func (r *Runner) account() *account {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	a := &account{Service: r.cfg.Service, Zone: r.cfg.Zone, Version: "v1", Slots: 8, State: "ready", Labels: r.cfg.Labels, Sequence: r.sequence}
	if r.draining {
		a.State = "draining"
	}
	a.Capacity = capacity{CPU: r.cfg.CPU, MemMB: r.cfg.MemMB, GPUs: r.cfg.GPUs}
	for _, one := range r.running {
		a.Running = append(a.Running, []any{one.Task, one.Number, "", 0})
	}
	for _, e := range r.ends {
		a.Finished = append(a.Finished, []any{e.Number, e.Task, e.Run, e.How, ""})
	}
	return a
}

// obey carries out an answer.
func (r *Runner) obey(sent time.Time, a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.FenceToken < r.fence {
		return
	}
	r.fence = a.FenceToken
	for len(r.ends) > 0 && r.ends[0].Number <= a.LastSeen {
		r.ends = r.ends[1:]
	}
	if a.HoldMs == 0 {
		return
	}
	r.extend(sent.Add(time.Duration(a.HoldMs) * time.Millisecond))
	for _, s := range a.Stop {
		r.stop(text(s, 0), number(s, 1))
	}
	for _, s := range a.Start {
		r.start(text(s, 0), number(s, 1), text(s, 2))
	}
}

func text(list []any, at int) string {
	if at < len(list) {
		s, _ := list[at].(string)
		return s
	}
	return ""
}

func number(list []any, at int) uint32 {
	if at < len(list) {
		n, _ := list[at].(float64)
		return uint32(n)
	}
	return 0
}

// extend has all runs end as lapsed at a hold's end, unless it is extended again.
func (r *Runner) extend(until time.Time) {
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(time.Until(until), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, one := range r.running {
			r.end(one, "lapsed")
		}
	})
}

// start begins a run; its text may name a time, as in "sleep 300ms", and "fail" has it fail.
func (r *Runner) start(task string, run uint32, spec string) {
	if r.running[task] != nil || run <= r.barred[task] {
		return
	}
	one := &Run{Task: task, Number: run, Began: time.Now()}
	r.running[task] = one
	how, takes := "done", r.cfg.Usual
	for _, word := range strings.Fields(spec) {
		if d, err := time.ParseDuration(word); err == nil {
			takes = d
		}
		if word == "fail" {
			how = "failed"
		}
	}
	one.end = time.AfterFunc(takes, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.end(one, how)
	})
}

func (r *Runner) stop(task string, run uint32) {
	one := r.running[task]
	if one == nil {
		r.barred[task] = max(r.barred[task], run)
		return
	}
	if one.Number <= run {
		r.end(one, "stopped")
	}
}

func (r *Runner) end(one *Run, how string) {
	if r.running[one.Task] != one {
		return
	}
	one.end.Stop()
	delete(r.running, one.Task)
	r.barred[one.Task] = max(r.barred[one.Task], one.Number)
	r.next++
	e := End{Number: r.next, Task: one.Task, Run: one.Number, How: how}
	r.ends = append(r.ends, e)
	r.history = append(r.history, e)
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
