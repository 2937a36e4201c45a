// Package front is the HTTP interface of workflows: calls of clients and operators at the
// console's address, and the headers of jobs that are steps. It translates HTTP to commands of
// package executor and their refusals to HTTP statuses, and decides nothing. Its handlers are safe
// for concurrent use.
package front

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/executor"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// The headers of a job that is a step of a workflow.
const (
	HeaderFlow = "X-Workflow"      // the workflow's id
	HeaderStep = "X-Workflow-Step" // its number, from 1
	HeaderUndo = "X-Workflow-Undo" // its undo as JSON in base64; empty if a call has registered the step
)

const (
	// maxCall bounds the bytes of a call's body: an undo's body in base64 and its names.
	maxCall = flow.MaxBodyBytes*4/3 + 8<<10
	// callTimeout bounds a call; clients wait for a second.
	callTimeout = 800 * time.Millisecond
	// maxListed bounds how many workflows a list shows.
	maxListed = 500
	// effectGrace is how long after its deadline a step's job may still have an effect: it is
	// recalled at the deadline, and a runner may be about to finish it.
	effectGrace = 2 * time.Second
)

// ExecutorSource returns the member's executor, nil while it has none.
type ExecutorSource func() *executor.Executor

// call is the body of a client's or an operator's call.
type call struct {
	ID           string     `json:"id"`
	DeadlineMS   int64      `json:"deadline_ms"` // from now
	LeaseMS      int64      `json:"lease_ms"`
	UndoAttempts int        `json:"undo_tries"` // of one undo before the workflow is stuck; 0 for flow.DefaultAttempts
	Step         int        `json:"step"`
	Steps        int        `json:"steps"`
	Undo         *flow.Undo `json:"undo"`
	Reason       string     `json:"why"`
}

// commandKinds are the kinds that clients and operators may call.
var commandKinds = []statetable.Kind{
	statetable.Begin,
	statetable.Step,
	statetable.Commit,
	statetable.Undo,
	statetable.RenewLease,
	statetable.Skip,
	statetable.Retry,
	statetable.GiveUp,
}

// Handler answers GET /api/workflow (the list), GET /api/workflow/ID and POST /api/workflow/KIND,
// where KIND is one of begin, step, commit, undo, touch, skip, again and give-up. Now is the
// cluster's time since 1970.
func Handler(source ExecutorSource, now func() time.Duration) http.Handler {
	mux := http.NewServeMux()
	with := func(do func(http.ResponseWriter, *http.Request, *executor.Executor)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if e := source(); e != nil {
				do(w, r, e)
				return
			}
			http.Error(w, executor.ErrDisabled.Error(), http.StatusServiceUnavailable)
		}
	}
	mux.HandleFunc("GET /api/workflow", with(handleList))
	mux.HandleFunc("GET /api/workflow/{id}", with(handleShow))
	for _, kind := range commandKinds {
		mux.HandleFunc("POST /api/workflow/"+string(kind), with(func(w http.ResponseWriter, r *http.Request, e *executor.Executor) {
			handleCommand(w, r, e, kind, now())
		}))
	}
	return mux
}

// handleCommand answers a call that proposes a command of a kind.
func handleCommand(w http.ResponseWriter, r *http.Request, e *executor.Executor, kind statetable.Kind, now time.Duration) {
	var c call
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeResult(w, flow.NewRefusal(flow.TooLarge, "the call has more than %d bytes", maxCall))
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil || c.ID == "" {
		writeResult(w, flow.NewRefusal(flow.Invalid, `the body is to be JSON with an "id"`))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(callTimeout))
	defer cancel()
	if kind == statetable.Step {
		if c.Undo == nil {
			writeResult(w, flow.NewRefusal(flow.Invalid, "the undo of step %d is missing", c.Step))
			return
		}
		writeResult(w, e.Register(ctx, c.ID, c.Step, c.Undo, time.Now())) // its job will set the time until which it may have an effect
		return
	}
	n := c.Step
	if kind == statetable.Commit {
		n = c.Steps
	}
	writeResult(w, e.Propose(ctx, &statetable.Command{
		Kind:          kind,
		ID:            c.ID,
		N:             n,
		Reason:        c.Reason,
		LeaseDuration: c.LeaseMS,
		MaxAttempts:   c.UndoAttempts,
		Deadline:      now.Milliseconds() + c.DeadlineMS,
	}))
}

// statusOfKind is the HTTP status for each kind of refusal.
var statusOfKind = map[string]int{
	flow.NotFound:   http.StatusNotFound,
	flow.OutOfOrder: http.StatusConflict,
	flow.TooLarge:   http.StatusRequestEntityTooLarge,
	flow.TooMany:    http.StatusTooManyRequests,
	flow.Invalid:    http.StatusBadRequest,
	flow.Fenced:     http.StatusConflict,
}

// writeResult answers 200 for no error, the refusal's status and text, or 503 if the call was not
// executed, or its outcome is not known.
func writeResult(w http.ResponseWriter, err error) {
	var refusal *flow.Refusal
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.As(err, &refusal):
		http.Error(w, refusal.Text, cmp.Or(statusOfKind[refusal.Kind], http.StatusConflict))
	case errors.Is(err, ledger.ErrUnclear):
		http.Error(w, err.Error()+"; nothing is lost by trying again", http.StatusServiceUnavailable)
	default:
		http.Error(w, "not done: "+err.Error()+"; nothing is lost by trying again", http.StatusServiceUnavailable)
	}
}

// flowView is the JSON form of one workflow.
type flowView struct {
	*flow.Flow
	Next int `json:"next,omitempty"` // the step whose undo is next, while it is undone or stuck
}

// handleShow answers with one workflow.
func handleShow(w http.ResponseWriter, r *http.Request, e *executor.Executor) {
	f := e.Find(r.PathValue("id"))
	if f == nil {
		writeResult(w, flow.NewRefusal(flow.NotFound, "there is no workflow %s", r.PathValue("id")))
		return
	}
	s := flowView{Flow: f}
	if f.Phase == flow.Undoing || f.Phase == flow.Stuck {
		s.Next = f.NextUndo()
	}
	writeJSON(w, s)
}

// flowList is the JSON form of the list.
type flowList struct {
	Live           int                `json:"live"`
	Ended          int                `json:"ended"` // ended workflows that are remembered
	Bytes          int                `json:"bytes"`
	DroppedUpdates uint64             `json:"lost_words"`
	UndosSent      uint64             `json:"undos_sent"`
	ByPhase        map[flow.Phase]int `json:"by_phase"`
	Flows          []flowRow          `json:"workflows"` // at most maxListed: stuck ones first, then by deadline
}

// flowRow is one workflow in the list.
type flowRow struct {
	ID       string     `json:"id"`
	Phase    flow.Phase `json:"phase"`
	Steps    int        `json:"steps"`
	Deadline int64      `json:"deadline"`
	Holder   string     `json:"holder,omitempty"`
	Reason   string     `json:"why,omitempty"`
}

// handleList answers with the list of live workflows.
func handleList(w http.ResponseWriter, _ *http.Request, e *executor.Executor) {
	live, ended, bytes := e.List()
	out := flowList{
		Live:           len(live),
		Ended:          ended,
		Bytes:          bytes,
		DroppedUpdates: e.DroppedUpdates(),
		UndosSent:      e.UndosSent(),
		ByPhase:        map[flow.Phase]int{},
		Flows:          []flowRow{},
	}
	slices.SortFunc(live, func(a, b *flow.Flow) int {
		stuck := func(f *flow.Flow) int { return map[bool]int{true: 0, false: 1}[f.Phase == flow.Stuck] }
		return cmp.Or(cmp.Compare(stuck(a), stuck(b)), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	for i, f := range live {
		out.ByPhase[f.Phase]++
		if i < maxListed {
			out.Flows = append(out.Flows, flowRow{f.ID, f.Phase, len(f.Steps), f.Deadline, f.Holder, f.Reason})
		}
	}
	writeJSON(w, out)
}

// writeJSON answers with a value as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client is gone
}

// Steps registers the jobs that are steps of workflows; the ingress calls it. The zero value
// refuses all steps.
type Steps struct {
	Executor ExecutorSource
}

// Begin registers the step that a job's headers describe, before the job is sent and within its
// deadline. It returns the HTTP status and text of the answer if the step is refused, otherwise 0
// and the function that takes the job's verdict. For a job that is no step all results are zero.
func (s Steps) Begin(ctx context.Context, h http.Header, deadline time.Time) (code int, text string, settled func(core.Verdict)) {
	id := h.Get(HeaderFlow)
	if id == "" {
		return 0, "", nil
	}
	var e *executor.Executor
	if s.Executor != nil {
		e = s.Executor()
	}
	if e == nil {
		return http.StatusServiceUnavailable, executor.ErrDisabled.Error(), nil
	}
	n, u, err := parseStep(h)
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(callTimeout)))
		defer cancel()
		err = e.Register(ctx, id, n, u, deadline.Add(effectGrace))
	}
	var refusal *flow.Refusal
	switch {
	case err == nil:
		return 0, "", func(v core.Verdict) { e.EndStep(id, n, v) }
	case errors.As(err, &refusal):
		return cmp.Or(statusOfKind[refusal.Kind], http.StatusConflict), refusal.Text, nil
	}
	return http.StatusServiceUnavailable, "the step was not sent: " + err.Error(), nil
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// parseStep reads the headers of a step: its number and its undo, nil if there is none. Its errors
// are *flow.Refusal.
func parseStep(h http.Header) (n int, u *flow.Undo, err error) {
	n, err = strconv.Atoi(h.Get(HeaderStep))
	if err != nil || n < 1 {
		return 0, nil, flow.NewRefusal(flow.Invalid, "%s is no number from 1", HeaderStep)
	}
	text := strings.TrimSpace(h.Get(HeaderUndo))
	if text == "" {
		return n, nil, nil
	}
	raw, err := base64.StdEncoding.DecodeString(text)
	if err == nil {
		u = &flow.Undo{}
		err = json.Unmarshal(raw, u)
	}
	if err != nil {
		return 0, nil, flow.NewRefusal(flow.Invalid, "%s is no JSON in base64", HeaderUndo)
	}
	return n, u, nil
}
