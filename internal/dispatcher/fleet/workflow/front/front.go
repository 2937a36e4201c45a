// Package front is how clients and operators speak of workflows: calls at the console's
// address, and headers of jobs that are steps. It turns HTTP into the desk's terms and back, and
// decides nothing.
package front

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/workflow/executor"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// The headers of a job that is a step.
const (
	HeaderFlow = "X-Workflow"      // the workflow's id
	HeaderStep = "X-Workflow-Step" // its number, from 1
	HeaderUndo = "X-Workflow-Undo" // its undo as JSON in base64, where it was not registered by a call
)

const (
	// maxCall bounds a call's body: an undo's body in base64 and its names.
	maxCall = flow.MostBody*4/3 + 8<<10
	// answerWithin bounds a call, as whoever makes one waits for a second.
	answerWithin = 800 * time.Millisecond
	// mostShown bounds a list.
	mostShown = 500
	// settles is how long after its deadline a step's job may have an effect: it is recalled
	// then, and a runner that has begun it may be at its end.
	settles = 2 * time.Second
)

// Desk is whoever carries workflows out; nil where there are none.
type Desk func() *executor.Desk

// call is what a client or an operator says.
type call struct {
	ID         string     `json:"id"`
	DeadlineMS int64      `json:"deadline_ms"` // from now
	LeaseMS    int64      `json:"lease_ms"`
	UndoTries  int        `json:"undo_tries"` // before it is stuck; 0 for flow.Tries
	Step       int        `json:"step"`
	Steps      int        `json:"steps"`
	Undo       *flow.Undo `json:"undo"`
	Why        string     `json:"why"`
}

// Handler answers GET /api/workflow, which lists, GET /api/workflow/ID, and POST
// /api/workflow/WORD with WORD one of begin, step, commit, undo, touch, skip, again, give-up.
func Handler(of Desk, now func() time.Duration) http.Handler {
	mux := http.NewServeMux()
	with := func(do func(http.ResponseWriter, *http.Request, *executor.Desk)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if d := of(); d != nil {
				do(w, r, d)
				return
			}
			http.Error(w, executor.ErrOff.Error(), http.StatusServiceUnavailable)
		}
	}
	mux.HandleFunc("GET /api/workflow", with(list))
	mux.HandleFunc("GET /api/workflow/{id}", with(show))
	for _, word := range []statetable.Kind{statetable.Begin, statetable.Step, statetable.Commit, statetable.Undo, statetable.Touch, statetable.Skip, statetable.Again, statetable.GiveUp} {
		mux.HandleFunc("POST /api/workflow/"+string(word), with(func(w http.ResponseWriter, r *http.Request, d *executor.Desk) { said(w, r, d, word, now()) }))
	}
	return mux
}

func said(w http.ResponseWriter, r *http.Request, d *executor.Desk, word statetable.Kind, now time.Duration) {
	var c call
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		answer(w, flow.No(flow.Large, "the call has more than %d bytes", maxCall))
		return
	}
	if err == nil {
		err = json.Unmarshal(text, &c)
	}
	if err != nil || c.ID == "" {
		answer(w, flow.No(flow.Bad, `the body is to be JSON with an "id"`))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(answerWithin))
	defer cancel()
	if word == statetable.Step {
		if c.Undo == nil {
			answer(w, flow.No(flow.Bad, "the undo of step %d is missing", c.Step))
			return
		}
		answer(w, d.Register(ctx, c.ID, c.Step, c.Undo, time.Now())) // its job tells until when
		return
	}
	n := c.Step
	if word == statetable.Commit {
		n = c.Steps
	}
	answer(w, d.Do(ctx, &statetable.Command{Kind: word, ID: c.ID, N: n, Why: c.Why, LeaseFor: c.LeaseMS, Tries: c.UndoTries, Deadline: now.Milliseconds() + c.DeadlineMS}))
}

// status is a refusal's.
var status = map[string]int{flow.Unknown: http.StatusNotFound, flow.Order: http.StatusConflict, flow.Large: http.StatusRequestEntityTooLarge,
	flow.Many: http.StatusTooManyRequests, flow.Bad: http.StatusBadRequest, flow.Fenced: http.StatusConflict}

func answer(w http.ResponseWriter, err error) {
	var no *flow.Refusal
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.As(err, &no):
		http.Error(w, no.Text, cmp.Or(status[no.Kind], http.StatusConflict))
	default:
		http.Error(w, "not done: "+err.Error()+"; nothing is lost by trying again", http.StatusServiceUnavailable)
	}
}

// shown is a workflow as people see it.
type shown struct {
	*flow.Flow
	Next int `json:"next,omitempty"` // the step whose undo is next, where it is undone
}

func show(w http.ResponseWriter, r *http.Request, d *executor.Desk) {
	f := d.Find(r.PathValue("id"))
	if f == nil {
		answer(w, flow.No(flow.Unknown, "there is no workflow %s", r.PathValue("id")))
		return
	}
	s := shown{Flow: f}
	if f.Phase == flow.Undoing || f.Phase == flow.Stuck {
		s.Next = f.Next()
	}
	write(w, s)
}

// listing is what the list tells.
type listing struct {
	Live  int                `json:"live"`
	Ended int                `json:"ended"` // that are remembered
	Bytes int                `json:"bytes"`
	Lost  uint64             `json:"lost_words"`
	Ran   uint64             `json:"undos_sent"`
	By    map[flow.Phase]int `json:"by_phase"`
	Some  []row              `json:"workflows"` // stuck ones first, then by deadline, bounded
}

type row struct {
	ID       string     `json:"id"`
	Phase    flow.Phase `json:"phase"`
	Steps    int        `json:"steps"`
	Deadline int64      `json:"deadline"`
	Holder   string     `json:"holder,omitempty"`
	Why      string     `json:"why,omitempty"`
}

func list(w http.ResponseWriter, _ *http.Request, d *executor.Desk) {
	live, over, bytes := d.List()
	out := listing{Live: len(live), Ended: over, Bytes: bytes, Lost: d.Lost(), Ran: d.Ran(), By: map[flow.Phase]int{}, Some: []row{}}
	slices.SortFunc(live, func(a, b *flow.Flow) int {
		stuck := func(f *flow.Flow) int { return map[bool]int{true: 0, false: 1}[f.Phase == flow.Stuck] }
		return cmp.Or(cmp.Compare(stuck(a), stuck(b)), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.ID, b.ID))
	})
	for i, f := range live {
		out.By[f.Phase]++
		if i < mostShown {
			out.Some = append(out.Some, row{f.ID, f.Phase, len(f.Steps), f.Deadline, f.Holder, f.Why})
		}
	}
	write(w, out)
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that has left hears nothing
}

// Steps takes part in jobs that are steps; the ingress asks it. The zero value knows none.
type Steps struct {
	Of Desk
}

// Begin has the step of a job's headers agreed on, before the job is sent and by its deadline.
// It returns the status and the text of an answer where it can't be, and what takes the job's
// verdict. For a job that is no step all of it is zero.
func (s Steps) Begin(ctx context.Context, h http.Header, deadline time.Time) (code int, text string, settled func(core.Verdict)) {
	id := h.Get(HeaderFlow)
	if id == "" {
		return 0, "", nil
	}
	var d *executor.Desk
	if s.Of != nil {
		d = s.Of()
	}
	if d == nil {
		return http.StatusServiceUnavailable, executor.ErrOff.Error(), nil
	}
	n, u, err := parse(h)
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, min2(deadline, time.Now().Add(answerWithin)))
		defer cancel()
		err = d.Register(ctx, id, n, u, deadline.Add(settles))
	}
	var no *flow.Refusal
	switch {
	case err == nil:
		return 0, "", func(v core.Verdict) { d.Settled(id, n, v) }
	case errors.As(err, &no):
		return cmp.Or(status[no.Kind], http.StatusConflict), no.Text, nil
	}
	return http.StatusServiceUnavailable, "the step was not sent: " + err.Error(), nil
}

func min2(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// parse reads a step's headers.
func parse(h http.Header) (n int, u *flow.Undo, err error) {
	n, err = strconv.Atoi(h.Get(HeaderStep))
	if err != nil || n < 1 {
		return 0, nil, flow.No(flow.Bad, "%s is no number from 1", HeaderStep)
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
		return 0, nil, flow.No(flow.Bad, "%s is no JSON in base64", HeaderUndo)
	}
	return n, u, nil
}
