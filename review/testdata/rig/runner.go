package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runnerConfig describes a runner.
type runnerConfig struct {
	service        string
	cpu, mem, gpus int64
	labels         []string
}

// runner is a stand-in of an application's runner, with HTTP heartbeats to the companion on its machine. What a task does
// stands in its Spec: "ms=N" is how long it works, "last" that it works until it is stopped, "gang=N" that it works only
// together with N-1 others, and "fail=N" that its runs up to number N end failed.
type runner struct {
	rig     *rig
	cfg     runnerConfig
	id      string
	machine *machine
	health  net.Listener
	client  *http.Client
	cancel  context.CancelFunc
	stopped chan struct{}
	ended   chan struct{} // signals the end of a run

	mu       sync.Mutex
	sequence uint64
	fence    uint64
	running  map[string]*run   // by task
	barred   map[string]uint32 // by task: runs up to this number are rejected
	finished []finishedRun     // not acknowledged
	ends     uint64
	hold     time.Time
	failed   map[string]int // by task: runs that have ended failed
	unread   int            // answers that are no JSON
}

// run is a run that is going.
type run struct {
	task    string
	number  uint32
	spec    string
	started time.Time
	timer   *time.Timer
}

// finishedRun is the end of a run.
type finishedRun struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// answer is the answer to a heartbeat.
type answer struct {
	HoldMs     int64
	LastSeen   uint64
	FenceToken uint64
	RetryMs    int64
	Start      [][]any
	Stop       [][]any
}

// startRunner starts a runner on a side machine.
func startRunner(r *rig, cfg runnerConfig, m *machine) *runner {
	n := newRunner(r, cfg, m)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go n.serve(ctx)
	return n
}

// newRunner returns a runner that answers health checks and sends no heartbeats yet.
func newRunner(r *rig, cfg runnerConfig, m *machine) *runner {
	health, err := net.Listen("tcp4", m.app())
	require(err == nil, "address of a runner: %v", err)
	n := &runner{rig: r, cfg: cfg, id: fmt.Sprintf("i-%s-%06x", strings.ReplaceAll(m.name, "-", ""), time.Now().UnixNano()&0xffffff), machine: m, health: health,
		client: &http.Client{Timeout: time.Second}, cancel: func() {}, stopped: make(chan struct{}), ended: make(chan struct{}, 1),
		running: make(map[string]*run), barred: make(map[string]uint32), failed: make(map[string]int)}
	go func() {
		_ = http.Serve(health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })) // ends with the listener
	}()
	return n
}

// close ends the runner without a word, as a crash does.
func (n *runner) close() {
	n.cancel()
	n.health.Close()
	<-n.stopped
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.running {
		t.timer.Stop()
	}
	clear(n.running)
}

// serve sends heartbeats until the runner is closed.
func (n *runner) serve(ctx context.Context) {
	defer close(n.stopped)
	for ctx.Err() == nil {
		pause := n.beat(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-n.ended:
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// beat sends a heartbeat, carries out its answer and returns the pause until the next one.
func (n *runner) beat(ctx context.Context) time.Duration {
	body := n.account()
	sent := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+n.machine.control()+"/v1/instances/"+n.id, bytes.NewReader(body))
	if err != nil {
		return heartbeatMax
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := n.client.Do(request)
	if err != nil {
		return 50 * time.Millisecond
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 || time.Since(sent) > time.Second {
		return 50 * time.Millisecond
	}
	var a answer
	if err := json.Unmarshal(content, &a); err != nil {
		n.unreadable(content, err)
		return 50 * time.Millisecond
	}
	n.obey(sent, &a)
	if a.RetryMs == 0 {
		return heartbeatMax
	}
	return time.Duration(a.RetryMs) * time.Millisecond
}

// unreadable counts an answer that is no JSON, and records the first and then every twentieth.
func (n *runner) unreadable(content []byte, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unread++; n.unread%20 == 1 {
		n.rig.record.logf("runner %s: the answer to a heartbeat can't be read, %d until now: %v: %.300q", n.id, n.unread, err, content)
	}
}

// account returns the body of the next heartbeat.
func (n *runner) account() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sequence++
	running, finished := [][]any{}, [][]any{}
	for _, t := range n.running {
		running = append(running, []any{t.task, t.number, "", 0})
	}
	for _, f := range n.finished[:min(len(n.finished), 500)] {
		finished = append(finished, []any{f.number, f.task, f.run, f.how, ""})
	}
	body, _ := json.Marshal(map[string]any{ // plain values: it can't fail
		"Service": n.cfg.service, "Address": n.machine.app(), "Zone": "z1", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]int64{"Cpu": n.cfg.cpu, "MemMb": n.cfg.mem, "Gpus": n.cfg.gpus}, "Labels": n.cfg.labels,
		"ClockMs": time.Since(n.rig.record.started).Milliseconds(), "Sequence": n.sequence, "Running": running, "Finished": finished})
	return body
}

// obey carries out the answer to a heartbeat.
func (n *runner) obey(sent time.Time, a *answer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.FenceToken < n.fence {
		return
	}
	n.fence = a.FenceToken
	for len(n.finished) > 0 && n.finished[0].number <= a.LastSeen {
		n.finished = n.finished[1:]
	}
	if a.HoldMs > 0 {
		n.extendHold(sent.Add(min(time.Duration(a.HoldMs)*time.Millisecond, holdMax)))
	}
	for _, s := range a.Stop {
		n.stop(text(s, 0), uint32(number(s, 1)))
	}
	if a.HoldMs > 0 {
		for _, s := range a.Start {
			n.start(text(s, 0), uint32(number(s, 1)), text(s, 2))
		}
	}
}

// extendHold sets the time at which everything is killed, unless it was later already.
func (n *runner) extendHold(until time.Time) {
	if !until.After(n.hold) {
		return
	}
	n.hold = until
	time.AfterFunc(time.Until(until), func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if time.Now().Before(n.hold) {
			return
		}
		for _, t := range n.running {
			n.end(t, "lapsed")
		}
	})
}

// start starts a run, unless it is going or isn't above one that was stopped or has ended here.
func (n *runner) start(task string, number uint32, spec string) {
	if n.running[task] != nil || number <= n.barred[task] {
		return
	}
	t := &run{task: task, number: number, spec: spec, started: time.Now(), timer: time.NewTimer(time.Hour)}
	n.running[task] = t
	n.rig.record.logf("runner %s: start %s run %d", n.id, task, number)
	switch members := word(spec, "gang"); {
	case members > 0:
		n.rig.gangs.join(n, t, members)
	default:
		n.work(t)
	}
}

// work lets a run work until its end.
func (n *runner) work(t *run) {
	if strings.Contains(t.spec, "last") {
		return
	}
	how := "done"
	if int(t.number) <= word(t.spec, "fail") {
		how = "failed"
	}
	t.timer = time.AfterFunc(time.Duration(word(t.spec, "ms"))*time.Millisecond, func() { n.finish(t, how) })
}

// finish ends a run that is still going.
func (n *runner) finish(t *run, how string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.end(t, how)
}

// stop ends a run, or rejects it if it isn't there yet.
func (n *runner) stop(task string, number uint32) {
	if t := n.running[task]; t != nil {
		if t.number <= number {
			n.end(t, "stopped")
		}
		return
	}
	n.barred[task] = max(n.barred[task], number)
}

// end records the end of a run. The caller holds the lock.
func (n *runner) end(t *run, how string) {
	if n.running[t.task] != t {
		return
	}
	t.timer.Stop()
	delete(n.running, t.task)
	n.barred[t.task] = max(n.barred[t.task], t.number)
	if how == "failed" {
		n.failed[t.task]++
	}
	n.ends++
	n.finished = append(n.finished, finishedRun{number: n.ends, task: t.task, run: t.number, how: how})
	n.rig.record.logf("runner %s: end %s run %d %s", n.id, t.task, t.number, how)
	if word(t.spec, "gang") > 0 {
		go n.rig.gangs.leave(t, how)
	}
	select {
	case n.ended <- struct{}{}:
	default:
	}
}

// tasks returns the names of the tasks that are going.
func (n *runner) tasks() (names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for task := range n.running {
		names = append(names, task)
	}
	return names
}

// running returns the runner of a job's task that is going, by task.
func (r *rig) running(job string) map[string]*runner {
	out := make(map[string]*runner)
	for _, n := range r.runners {
		for _, task := range n.tasks() {
			if strings.HasPrefix(task, job) {
				out[task] = n
			}
		}
	}
	return out
}

// member is a run of a gang on its runner.
type member struct {
	runner *runner
	run    *run
}

// gangTable holds the members of the gangs that are going, by step and run.
type gangTable struct {
	mu      sync.Mutex
	members map[string][]member
}

// gangOf names the gang of a run.
func gangOf(t *run) string {
	return t.task[:strings.LastIndexByte(t.task, '.')] + " " + strconv.Itoa(int(t.number))
}

// join adds a member to its gang, which works from the moment that all are there. A member that waits for the others for
// gang_ms ends alone. The caller holds the runner's lock.
func (g *gangTable) join(n *runner, t *run, size int) {
	t.timer = time.AfterFunc(gangTime, func() { n.finish(t, "alone") })
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.members == nil {
		g.members = make(map[string][]member)
	}
	all := append(g.members[gangOf(t)], member{runner: n, run: t})
	g.members[gangOf(t)] = all
	if len(all) < size {
		return
	}
	go func() {
		for _, m := range all {
			m.runner.mu.Lock()
			m.run.timer.Stop()
			m.runner.work(m.run)
			m.runner.mu.Unlock()
		}
	}()
}

// leave ends the other members of a gang: done, if the run that has ended is done, and otherwise broken.
func (g *gangTable) leave(t *run, how string) {
	g.mu.Lock()
	all := g.members[gangOf(t)]
	delete(g.members, gangOf(t))
	g.mu.Unlock()
	if how != "done" {
		how = "broken"
	}
	for _, m := range all {
		if m.run != t {
			m.runner.finish(m.run, how)
		}
	}
}

// word returns the number of "name=number" in a text, 0 if there is none.
func word(spec, name string) int {
	for _, w := range strings.Fields(spec) {
		if value, ok := strings.CutPrefix(w, name+"="); ok {
			n, _ := strconv.Atoi(value)
			return n
		}
	}
	return 0
}

// text returns an element of a list as a text.
func text(list []any, index int) string {
	if index < len(list) {
		s, _ := list[index].(string)
		return s
	}
	return ""
}

// number returns an element of a list as a number.
func number(list []any, index int) float64 {
	if index < len(list) {
		n, _ := list[index].(float64)
		return n
	}
	return 0
}

// failTask ends a task that is going as failed.
func (n *runner) failTask(task string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.running[task]; t != nil {
		n.end(t, "failed")
	}
}

// run returns the number of a task's run that is going, 0 if there is none.
func (r *rig) run(task string) int {
	for _, n := range r.runners {
		n.mu.Lock()
		t := n.running[task]
		n.mu.Unlock()
		if t != nil {
			return int(t.number)
		}
	}
	return 0
}

// failures returns how many runs of a task have ended failed.
func (r *rig) failures(task string) (count int) {
	for _, n := range r.runners {
		n.mu.Lock()
		count += n.failed[task]
		n.mu.Unlock()
	}
	return count
}

// badAnswers returns how many answers to heartbeats were no JSON.
func (r *rig) badAnswers() (count int) {
	for _, n := range r.runners {
		n.mu.Lock()
		count += n.unread
		n.mu.Unlock()
	}
	return count
}
