// Package front is the HTTP interface of workflows: requests of clients and operators at the
// console's address, and the headers of jobs that are steps. It translates requests to commands of
// package statetable, which package executor proposes, and refusals to HTTP statuses. It makes no
// decisions about workflows. Its handlers are safe for concurrent use.
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
	HeaderFlow = "X-Workflow"      // id of the workflow
	HeaderStep = "X-Workflow-Step" // number of the step, from 1
	HeaderUndo = "X-Workflow-Undo" // undo as JSON in base64; empty if it is registered already
)

const (
	// maxRequestBytes bounds the body of a request: the body of an undo in base64, and 8 KiB for
	// the other fields.
	maxRequestBytes = flow.MaxBodyBytes*4/3 + 8<<10
	// requestTimeout bounds a request. It is below the timeout of the clients, which is a second.
	requestTimeout = 800 * time.Millisecond
	// maxListed bounds the workflows that the list contains.
	maxListed = 500
	// effectGrace is how long after its deadline the job of a step may still take effect: the job is
	// recalled at the deadline, when a runner may be about to finish it.
	effectGrace = 2 * time.Second
)

// ExecutorSource returns the member's executor, or nil while it has none. It must be safe for
// concurrent use.
type ExecutorSource func() *executor.Executor

// request is the JSON body of a client's or an operator's request. Which fields count depends on
// the kind of the command.
type request struct {
	ID           string     `json:"id"`
	DeadlineMS   int64      `json:"deadline_ms"` // ms from now
	LeaseMS      int64      `json:"lease_ms"`
	UndoAttempts int        `json:"undo_tries"` // maxAttempts of flow.Begin
	Step         int        `json:"step"`       // number of the step, for Step and Skip
	Steps        int        `json:"steps"`      // number of all steps, for Commit
	Undo         *flow.Undo `json:"undo"`
	Reason       string     `json:"why"`
}

// commandKinds are the kinds of commands that clients and operators may request.
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

// Handler returns a handler of GET /api/workflow (the list), GET /api/workflow/ID and
// POST /api/workflow/KIND, where KIND is one of begin, step, commit, undo, touch, skip, again and
// give-up. now returns the cluster's time as the duration since the Unix epoch.
func Handler(source ExecutorSource, now func() time.Duration) http.Handler {
	mux := http.NewServeMux()
	withExecutor := func(handle func(http.ResponseWriter, *http.Request, *executor.Executor)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if e := source(); e != nil {
				handle(w, r, e)
				return
			}
			http.Error(w, executor.ErrDisabled.Error(), http.StatusServiceUnavailable)
		}
	}
	mux.HandleFunc("GET /api/workflow", withExecutor(handleList))
	mux.HandleFunc("GET /api/workflow/{id}", withExecutor(handleShow))
	for _, kind := range commandKinds {
		mux.HandleFunc("POST /api/workflow/"+string(kind), withExecutor(func(w http.ResponseWriter, r *http.Request, e *executor.Executor) {
			handleCommand(w, r, e, kind, now())
		}))
	}
	return mux
}

// handleCommand proposes the command of the given kind that a request describes, and writes the
// response. now is the cluster's time since the Unix epoch.
func handleCommand(w http.ResponseWriter, r *http.Request, e *executor.Executor, kind statetable.Kind, now time.Duration) {
	var c request
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		writeResult(w, flow.NewRefusal(flow.TooLarge, "the call has more than %d bytes", maxRequestBytes))
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil || c.ID == "" {
		writeResult(w, flow.NewRefusal(flow.Invalid, `the body is to be JSON with an "id"`))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(requestTimeout))
	defer cancel()
	if kind == statetable.Step {
		if c.Undo == nil {
			writeResult(w, flow.NewRefusal(flow.Invalid, "the undo of step %d is missing", c.Step))
			return
		}
		// The step's job sets the time until which it may take effect when its headers register
		// the step again.
		writeResult(w, e.Register(ctx, c.ID, c.Step, c.Undo, time.Now()))
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

// statusOfKind maps each kind of refusal to an HTTP status.
var statusOfKind = map[string]int{
	flow.NotFound:   http.StatusNotFound,
	flow.OutOfOrder: http.StatusConflict,
	flow.TooLarge:   http.StatusRequestEntityTooLarge,
	flow.TooMany:    http.StatusTooManyRequests,
	flow.Invalid:    http.StatusBadRequest,
	flow.Fenced:     http.StatusConflict,
}

// writeResult writes the response to a command: 200 if err is nil, the status and text of a
// refusal, or 503 if the command was not executed or its outcome is unknown.
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
	Next int `json:"next,omitempty"` // the step to undo next, while the workflow is Undoing or Stuck
}

// handleShow writes the workflow with the id in the path, or 404 if this member has none.
func handleShow(w http.ResponseWriter, r *http.Request, e *executor.Executor) {
	f := e.Find(r.PathValue("id"))
	if f == nil {
		writeResult(w, flow.NewRefusal(flow.NotFound, "there is no workflow %s", r.PathValue("id")))
		return
	}
	view := flowView{Flow: f}
	if f.Phase == flow.Undoing || f.Phase == flow.Stuck {
		view.Next = f.NextUndo()
	}
	writeJSON(w, view)
}

// flowList is the JSON form of the list of workflows.
type flowList struct {
	Live           int                `json:"live"`
	Ended          int                `json:"ended"` // ended workflows that are retained
	Bytes          int                `json:"bytes"` // estimated memory of the live workflows
	DroppedUpdates uint64             `json:"lost_words"`
	UndosSent      uint64             `json:"undos_sent"`
	ByPhase        map[flow.Phase]int `json:"by_phase"`
	// Flows are at most maxListed workflows: Stuck ones first, then the earliest deadline first.
	Flows []flowRow `json:"workflows"`
}

// flowRow is the summary of one workflow in a flowList.
type flowRow struct {
	ID       string     `json:"id"`
	Phase    flow.Phase `json:"phase"`
	Steps    int        `json:"steps"`
	Deadline int64      `json:"deadline"`
	Holder   string     `json:"holder,omitempty"`
	Reason   string     `json:"why,omitempty"`
}

// handleList writes the list of live workflows as this member knows them.
func handleList(w http.ResponseWriter, _ *http.Request, e *executor.Executor) {
	live, ended, bytes := e.List()
	list := flowList{
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
		list.ByPhase[f.Phase]++
		if i < maxListed {
			list.Flows = append(list.Flows, flowRow{f.ID, f.Phase, len(f.Steps), f.Deadline, f.Holder, f.Reason})
		}
	}
	writeJSON(w, list)
}

// writeJSON writes a value as the JSON body of a response.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// Steps registers the steps of workflows when the ingress receives their jobs. The zero value
// refuses all steps with status 503.
type Steps struct {
	Executor ExecutorSource
}

// Begin registers the step that a job's headers describe, before the job is sent and at the latest
// at the job's deadline. If the step is refused or can't be registered, it returns the HTTP status
// and text of the response. Otherwise code is 0 and onVerdict records the verdict of the job as the
// outcome of the step. For a job that is not a step all results are zero.
func (s Steps) Begin(ctx context.Context, h http.Header, deadline time.Time) (code int, text string, onVerdict func(core.Verdict)) {
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
		ctx, cancel := context.WithDeadline(ctx, earlier(deadline, time.Now().Add(requestTimeout)))
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

// parseStep parses the headers of a step: its number, and its undo, which is nil if there is none.
// Its errors are of type *flow.Refusal.
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
