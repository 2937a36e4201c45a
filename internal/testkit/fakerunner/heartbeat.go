package fakerunner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHeartbeat is returned if a heartbeat gets no valid response within 1 s.
var ErrHeartbeat = errors.New("fake runner: heartbeat not acknowledged")

// slots is the number of concurrent tasks that a runner declares.
const slots = 8

// heartbeat is the body of a heartbeat request. The field names are the JSON keys of the protocol.
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
	Running  [][]any // task, run, checkpoint, progress
	Finished [][]any // sequence number of the end, task, run, outcome, checkpoint
}

// capacity is the capacity that a heartbeat declares.
type capacity struct {
	CPU   int64 `json:"Cpu"`
	MemMB int64 `json:"MemMb"`
	GPUs  int64 `json:"Gpus"`
}

// heartbeatResponse is the body of an agent's response. The field names are the JSON keys of the
// protocol.
type heartbeatResponse struct {
	HoldMs     int64  // run lease in ms from the sending of the heartbeat; 0 if there are no orders
	LastSeen   uint64 // highest acknowledged sequence number of an end
	FenceToken uint64
	RetryMs    int64   // interval until the next heartbeat, in ms
	Start      [][]any // task, run, spec
	Stop       [][]any // task, run
}

// sendHeartbeat sends a heartbeat and applies the response. It returns the interval until the next
// heartbeat. The error is ErrHeartbeat if there is no valid response in time.
func (r *Runner) sendHeartbeat(ctx context.Context) (time.Duration, error) {
	body, err := json.Marshal(r.nextHeartbeat())
	if err != nil {
		return 0, errors.Wrap(err, "fake runner: encode the heartbeat")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/v1/instances/%s", r.cfg.Agent, r.cfg.ID), bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "fake runner: make the heartbeat's request")
	}
	sent := time.Now()
	response, err := r.client.Do(request)
	if err != nil {
		return 0, errors.CombineErrors(ErrHeartbeat, err)
	}
	defer response.Body.Close()
	var orders heartbeatResponse
	if err := json.NewDecoder(response.Body).Decode(&orders); err != nil || response.StatusCode/100 != 2 || time.Since(sent) > responseTimeout {
		return 0, errors.CombineErrors(ErrHeartbeat, err)
	}
	r.apply(sent, &orders)
	return max(time.Duration(orders.RetryMs)*time.Millisecond, endDelay), nil
}

// nextHeartbeat returns the next heartbeat, with the current runs and the unacknowledged ends.
func (r *Runner) nextHeartbeat() *heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	h := &heartbeat{Service: r.cfg.Service, Zone: r.cfg.Zone, Version: "v1", Slots: slots, State: "ready", Labels: r.cfg.Labels, Sequence: r.sequence,
		Capacity: capacity{CPU: r.cfg.CPU, MemMB: r.cfg.MemMB, GPUs: r.cfg.GPUs}}
	for _, run := range r.running {
		h.Running = append(h.Running, []any{run.Task, run.Number, "", 0})
	}
	for _, e := range r.unacknowledgedEnds {
		h.Finished = append(h.Finished, []any{e.Number, e.Task, e.Run, e.Outcome, ""})
	}
	return h
}

// apply carries out the response to a heartbeat that was sent at the given time. A response with an
// older fencing token is ignored, since its orders come from a head that has been replaced.
func (r *Runner) apply(sent time.Time, orders *heartbeatResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if orders.FenceToken < r.fencingToken {
		return
	}
	r.fencingToken = orders.FenceToken
	for len(r.unacknowledgedEnds) > 0 && r.unacknowledgedEnds[0].Number <= orders.LastSeen {
		r.unacknowledgedEnds = r.unacknowledgedEnds[1:]
	}
	if orders.HoldMs == 0 {
		return
	}
	r.extendRunLease(sent.Add(time.Duration(orders.HoldMs) * time.Millisecond))
	for _, s := range orders.Stop {
		r.stop(stringAt(s, 0), numberAt(s, 1))
	}
	for _, s := range orders.Start {
		r.start(stringAt(s, 0), numberAt(s, 1), stringAt(s, 2))
	}
}

// stringAt returns the string at an index of a list, empty if there is none.
func stringAt(items []any, index int) string {
	if index < len(items) {
		s, _ := items[index].(string)
		return s
	}
	return ""
}

// numberAt returns the number at an index of a list, 0 if there is none.
func numberAt(items []any, index int) uint32 {
	if index < len(items) {
		n, _ := items[index].(float64)
		return uint32(n)
	}
	return 0
}
