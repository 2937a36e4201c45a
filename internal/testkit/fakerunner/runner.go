// Package fakerunner is a runner for demonstrations and tests. It sends heartbeats to its agent and obeys the
// responses, but its tasks only wait for the time that their spec names.
//
// It keeps the runner's side of the protocol: a fencing token never goes back, runs end as lapsed when their lease
// (the "hold" of the protocol) expires, and the end of a run is reported in each heartbeat until it is acknowledged.
//
// The development cluster (devcluster) starts one for each agent. A Runner is safe for concurrent use.
package fakerunner

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Config describes a runner.
type Config struct {
	ID              string
	Agent           string // address of its agent, host:port
	Service         string
	Zone            string
	Labels          []string
	CPU             int64 // thousandths of a core
	MemMB           int64
	GPUs            int64
	DefaultDuration time.Duration // how long a task runs whose spec names no duration
}

// Run is a run in progress.
type Run struct {
	Task      string
	Number    uint32
	StartedAt time.Time
	timer     *time.Timer // ends the run
}

// End is the end of a run.
type End struct {
	Number  uint64 // counts the ends of this runner, from 1
	Task    string
	Run     uint32
	Outcome string // "done", "failed", "stopped" or "lapsed", as in the protocol
}

// Runner is one runner. New makes it, and it does nothing until Serve.
type Runner struct {
	cfg    Config
	client *http.Client
	wake   chan struct{} // a run has ended: the next heartbeat is due early

	mu sync.Mutex // guards what follows

	// What the next heartbeat says.
	sequence           uint64
	running            map[string]*Run // by task
	unacknowledgedEnds []End           // in the order of their numbers

	// What earlier responses have said.
	fencingToken  uint64            // the highest so far; responses with a lower one are ignored
	blockedRuns   map[string]uint32 // by task, the highest run that must not start any more
	runLeaseTimer *time.Timer       // ends all runs when the run lease expires; nil before the first one

	history []End // all ends, for tests
}

// responseTimeout is how long a heartbeat waits for its response. A later one is ignored.
const responseTimeout = time.Second

// endDelay is how long after the end of a run the next heartbeat is sent, so that ends at about the same time go
// together. It is the shortest interval between heartbeats as well.
const endDelay = 50 * time.Millisecond

// New returns a runner.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, client: &http.Client{Timeout: responseTimeout}, running: make(map[string]*Run), blockedRuns: make(map[string]uint32), wake: make(chan struct{}, 1)}
}

// Serve sends heartbeats until the context ends. A heartbeat that fails is followed by the next one after the
// interval that the agent named last.
func (r *Runner) Serve(ctx context.Context) {
	interval := endDelay
	for ctx.Err() == nil {
		if named, err := r.sendHeartbeat(ctx); err == nil {
			interval = named
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

// History returns the ends of all runs so far, the oldest first.
func (r *Runner) History() []End {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]End(nil), r.history...)
}
