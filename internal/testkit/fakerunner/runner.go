// Package fakerunner implements a runner for demonstrations and tests. It sends heartbeats to its
// agent and carries out the orders in the responses, but its tasks only wait for the duration in
// their spec.
//
// It follows the runner's side of the protocol: it ignores orders with an older fencing token, ends
// its runs as lapsed when the run lease (the "hold" of the protocol) expires, and reports the end
// of a run in each heartbeat until it is acknowledged.
//
// Package devcluster starts one runner for each agent. A Runner is safe for concurrent use.
package fakerunner

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Config holds the parameters of a runner. Most of them are declared in its heartbeats.
type Config struct {
	ID              string // identifies the runner in the path of its heartbeats
	Agent           string // address of the agent, host:port
	Service         string
	Zone            string
	Labels          []string
	CPU             int64 // thousandths of a core
	MemMB           int64
	GPUs            int64
	DefaultDuration time.Duration // duration of tasks whose spec has none
}

// Run is a run of a task that is in progress.
type Run struct {
	Task      string
	Number    uint32 // number of the run among those of its task
	StartedAt time.Time
	timer     *time.Timer // ends the run after its duration
}

// End is the end of a run.
type End struct {
	Number  uint64 // sequence number among this runner's ends, from 1
	Task    string
	Run     uint32
	Outcome string // "done", "failed", "stopped" or "lapsed", as in the protocol
}

// Runner is a fake runner. It sends nothing until Serve is called.
type Runner struct {
	cfg    Config
	client *http.Client
	wake   chan struct{} // signaled when a run ends, so that the next heartbeat is sent early

	mu sync.Mutex // guards the fields below

	// Content of the next heartbeat.
	sequence           uint64
	running            map[string]*Run // by task
	unacknowledgedEnds []End           // in order of their numbers

	// State from earlier responses.
	fencingToken  uint64            // the highest seen; responses with a lower one are ignored
	blockedRuns   map[string]uint32 // by task, the highest run number that must not be started
	runLeaseTimer *time.Timer       // ends all runs when the lease expires; nil without a lease

	history []End // all ends, for tests
}

// responseTimeout bounds the wait for the response to a heartbeat. Later responses are ignored.
const responseTimeout = time.Second

// endDelay is the delay between the end of a run and the next heartbeat, so that one heartbeat
// reports all runs that end at about the same time. It is also the minimum interval between
// heartbeats.
const endDelay = 50 * time.Millisecond

// New returns a runner that has no runs and holds no run lease.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, client: &http.Client{Timeout: responseTimeout}, running: make(map[string]*Run), blockedRuns: make(map[string]uint32), wake: make(chan struct{}, 1)}
}

// Serve sends heartbeats until the context is canceled. After a failed heartbeat it waits for the
// interval of the last successful response.
func (r *Runner) Serve(ctx context.Context) {
	interval := endDelay
	for ctx.Err() == nil {
		if next, err := r.sendHeartbeat(ctx); err == nil {
			interval = next
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		case <-r.wake:
			time.Sleep(endDelay)
		}
	}
}

// Running returns the runs in progress, in no particular order.
func (r *Runner) Running() (out []Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.running {
		out = append(out, *run)
	}
	return out
}

// History returns the ends of all runs so far, oldest first.
func (r *Runner) History() []End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]End(nil), r.history...)
}
