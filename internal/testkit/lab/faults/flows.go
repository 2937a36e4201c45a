package faults

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/front"
)

// effect is the first effect of a key in a zone: that of a step's job, of an undo or of another
// keyed job.
type effect struct {
	key, zone string
	at        time.Time
}

// stepKey and undoKey return the idempotency keys of a step's job and of its undo.
func stepKey(id string, n int) string { return fmt.Sprintf("flow/%s/%d", id, n) }
func undoKey(id string, n int) string { return fmt.Sprintf("flow-undo/%s/%d", id, n) }

// workflowRun is a workflow that a script has begun, with its client's calls and their answers.
type workflowRun struct {
	id                string
	beginAcknowledged bool // if false, the workflow may exist or not
	steps             int
	calls             []porcupine.Operation // its client's calls, with their outcomes
}

// flowStep executes a "flow" step of a script.
func (r *scriptRun) flowStep(w []string) error {
	at := slices.Index(w, "at")
	if at < 0 || at+1 >= len(w) {
		return errors.New("at WHO is missing")
	}
	who, err := r.resolveMembers(w[at+1])
	if err != nil {
		return err
	}
	m, id, rest := who[0], w[2], w[at+2:]
	if len(rest) == 0 {
		return errors.New("what it is to come to is missing")
	}
	want := rest[len(rest)-1]
	switch w[1] {
	case "step", "hang":
		n, err := strconv.Atoi(w[3])
		if err != nil {
			return err
		}
		send := func() (int, string) { return r.flowJob(m, id, n, w[1] == "hang") }
		if w[1] == "hang" {
			// Its outcome is unknown: nothing waits for its answer.
			r.recordFlowCall(id, "step", n, time.Now(), false)
			r.sending.Go(func() { send() })
			return r.retryUntil(func() error {
				if len(r.fleet.runners.zones(stepKey(id, n))) == 0 {
					return errors.New("no runner has it")
				}
				return nil
			})
		}
		from := time.Now()
		got, text := send()
		if want == strconv.Itoa(http.StatusOK) { // a step that was refused is retried
			if got != http.StatusOK {
				r.requireSoon(fmt.Sprintf("step %d of %s at %s", n, id, m.name), from, fmt.Errorf("status %d: %s", got, text))
			}
			_ = r.retryUntil(func() error { // the last answer is checked below
				if got != http.StatusServiceUnavailable {
					return nil
				}
				got, text = send()
				return errors.New(text)
			})
		}
		r.recordFlowCall(id, "step", n, from, got == http.StatusOK)
		if want != "any" && !slices.Contains(strings.Split(want, ","), strconv.Itoa(got)) {
			return fmt.Errorf("it was answered %d %s", got, text)
		}
		if f := r.flows[id]; f != nil && got == http.StatusOK {
			f.steps = max(f.steps, n)
		}
		return nil
	}
	call := map[string]any{"id": id, "undo_tries": 3}
	if w[1] == "begin" {
		if len(rest) != 3 {
			return errors.New("a deadline, a lease and what it is to come to are wanted")
		}
		for i, key := range []string{"deadline_ms", "lease_ms"} {
			d, err := time.ParseDuration(rest[i])
			if err != nil {
				return err
			}
			call[key] = d.Milliseconds()
		}
	}
	if f := r.flows[id]; f != nil {
		call["steps"], call["step"] = f.steps, f.steps
	}
	if w[1] == "skip" {
		n, err := strconv.Atoi(w[3])
		if err != nil {
			return err
		}
		call["step"] = n
	}
	text, _ := json.Marshal(call) // plain values: Marshal does not fail
	if w[1] == "begin" {
		r.flows[id] = &workflowRun{id: id}
	}
	from := time.Now()
	if want == "done" {
		err = r.postUntilDone(m, "/api/workflow/"+w[1], string(text))
	} else {
		_, err = r.post(m, "/api/workflow/"+w[1], string(text))
	}
	r.recordFlowCall(id, w[1], 0, from, err == nil)
	if (err == nil) != (want == "done") && want != "any" {
		return fmt.Errorf("it came to %v", err)
	}
	if err != nil {
		r.logf("%s says: %s", m.name, err)
	}
	return nil
}

// flowJob sends the job of a step with its undo, and returns the status, 0 for no answer, and the
// text of the answer. If hangs is set, the runner never reports the job as done.
func (r *scriptRun) flowJob(m *member, id string, n int, hangs bool) (int, string) {
	// Plain values: Marshal does not fail.
	undo, _ := json.Marshal(flow.Undo{Class: "release", Path: "/release/undo", Key: undoKey(id, n), Body: []byte("take it back")})
	r.mu.Lock()
	r.jobs++
	job := fmt.Sprintf("%s.flow-%s-%d-%d", m.name, id, n, r.jobs)
	r.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(jobPatience+2*jobSlack))
	defer cancel()
	path := "/release/step"
	if hangs {
		path = "/release/hang"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.clientAddr+path, strings.NewReader("frames"))
	if err != nil {
		return 0, err.Error()
	}
	for k, v := range map[string]string{"X-Qos": "release", "X-Trace-Id": job, "X-Expires-In-Ms": fmt.Sprint(jobPatience.Milliseconds()), "Idempotency-Key": stepKey(id, n),
		front.HeaderFlow: id, front.HeaderStep: strconv.Itoa(n), front.HeaderUndo: base64.StdEncoding.EncodeToString(undo)} {
		req.Header.Set(k, v)
	}
	resp, err := r.fleet.http.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 300))
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// findFlow asks a member for a workflow; it returns nil if there is none.
func (r *scriptRun) findFlow(m *member, id string) (*flow.Flow, error) {
	resp, err := r.fleet.http.Get("http://" + m.consoleAddr + "/api/workflow/" + id)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return nil, nil
	}
	var f flow.Flow
	if err := json.NewDecoder(resp.Body).Decode(&f); err != nil {
		return nil, fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return &f, nil
}

// awaitFlow waits until a workflow is in a phase at members.
func (r *scriptRun) awaitFlow(id, phase string, who []*member) error {
	return r.retryUntil(func() error {
		for _, m := range who {
			f, err := r.findFlow(m, id)
			if err != nil {
				return fmt.Errorf("%s: %w", m.name, err)
			}
			if f == nil || strings.ReplaceAll(string(f.Phase), " ", "-") != phase {
				return fmt.Errorf("at %s it is %+v", m.name, f)
			}
		}
		return nil
	})
}

// settleFlows waits at the end of a run until every workflow has ended or is reported as stuck.
func (r *scriptRun) settleFlows() error {
	for _, id := range sortedKeys(r.flows) {
		if err := r.retryUntil(func() error {
			f, err := r.findFlow(r.running()[0], id)
			if err != nil {
				return err
			}
			if f == nil && !r.flows[id].beginAcknowledged {
				return nil
			}
			if f == nil || !f.Phase.Ended() && f.Phase != flow.Stuck {
				return fmt.Errorf("workflow %s is %+v", id, f)
			}
			return nil
		}); err != nil {
			return err
		}
	}
	return nil
}

// checkFlows checks the effects at runners and the answers to clients against the guarantees of
// workflows.
func (r *scriptRun) checkFlows() {
	if len(r.flows) == 0 {
		return
	}
	first, last := map[string]time.Time{}, map[string]time.Time{}
	zones := map[string]map[string]int{}
	for _, e := range r.fleet.runners.effectsInOrder() {
		if first[e.key].IsZero() {
			first[e.key] = e.at
		}
		last[e.key] = e.at
		if zones[e.key] == nil {
			zones[e.key] = map[string]int{}
		}
		zones[e.key][e.zone]++
	}
	for _, id := range sortedKeys(r.flows) {
		f := r.flows[id]
		agreed, _ := r.findFlow(r.running()[0], id) // nil is checked below
		if !f.consistentWith(agreed) {
			r.failf("workflow %s is %+v, and its client was told otherwise: %+v", id, agreed, f.calls)
		}
		if agreed == nil {
			continue
		}
		for n := 1; n <= len(agreed.Steps); n++ {
			u, s := undoKey(id, n), stepKey(id, n)
			switch done := !first[u].IsZero(); {
			case done && agreed.Phase == flow.Committed:
				r.failf("workflow %s is committed, and step %d was undone", id, n)
			case !done && agreed.Phase == flow.Undone && agreed.Steps[n-1].State != flow.Skipped && !first[s].IsZero():
				r.failf("workflow %s is undone, and what step %d did is there yet", id, n)
			case done && last[s].After(first[u]):
				r.failf("workflow %s: step %d had its effect %s after its undo", id, n, last[s].Sub(first[u]))
			}
			if len(zones[u]) > 1 {
				r.failf("workflow %s: the undo of step %d had its effect in zones %s", id, n, strings.Join(sortedKeys(zones[u]), " "))
			}
			if next := undoKey(id, n+1); !first[u].IsZero() && !first[next].IsZero() && first[u].Before(first[next]) {
				r.failf("workflow %s: step %d was undone before step %d", id, n, n+1)
			}
		}
	}
}

// effectsInOrder returns the effects so far in the order of their time; a repeat in a zone has
// none.
func (s *runners) effectsInOrder() []effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.order)
}

// holder waits for a running member that holds the lease on undoing a workflow, and returns it.
func (r *scriptRun) holder(id string) (m *member, err error) {
	err = r.retryUntil(func() error {
		f, err := r.findFlow(r.running()[0], id)
		if err != nil {
			return err
		}
		if f != nil {
			for _, x := range r.running() {
				if x.name == f.Holder {
					m = x
					return nil
				}
			}
		}
		return fmt.Errorf("nobody holds workflow %s: %+v", id, f)
	})
	return m, err
}
