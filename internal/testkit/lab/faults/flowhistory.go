package faults

import (
	"time"

	"github.com/anishathalye/porcupine"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// flowCall is a call of a workflow's client, or the observation of its final state.
type flowCall struct {
	verb string // begin, step, commit, undo and others; end for the observation
	n    int
	is   flowState // the observed state, if verb is end
}

// flowState is what distinguishes workflows in the model: whether it exists, is committed or is
// being undone, and for how many steps the log has an undo.
type flowState struct {
	there, committed, back bool
	steps                  int
}

// flowModel is the state machine of a workflow for porcupine. A call that was not acknowledged may
// take effect at any later time, or never. The end of a lease or deadline may start the undo at any
// time before the commit.
var flowModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{flowState{}} },
	Step: func(state, in, out any) []any {
		w, acknowledged := in.(flowCall), out.(bool)
		var next []any
		for _, s := range possibleStates(state.(flowState)) {
			if w.verb == "end" {
				if s == w.is {
					next = append(next, s)
				}
				continue
			}
			if to, ok := s.apply(w); ok {
				next = append(next, to)
			}
			if !acknowledged {
				next = append(next, s)
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// possibleStates returns the states that a workflow may be in without a further call: its lease or
// deadline may have ended.
func possibleStates(s flowState) []flowState {
	if !s.there || s.committed || s.back {
		return []flowState{s}
	}
	expired := s
	expired.back = true
	return []flowState{s, expired}
}

// apply returns the state after a committed call, and false if the call can't be committed in s.
func (s flowState) apply(w flowCall) (flowState, bool) {
	open := s.there && !s.committed && !s.back
	switch w.verb {
	case "begin":
		ok := !s.there
		s.there = true
		return s, ok
	case "step":
		ok := open && w.n <= s.steps+1
		s.steps = max(s.steps, w.n)
		return s, ok
	case "commit":
		ok := open || s.committed
		s.committed = true
		return s, ok
	case "undo":
		ok := s.there && !s.committed
		s.back = true
		return s, ok
	}
	return s, s.there // other calls change nothing in this model
}

// recordFlowCall records a call of a workflow's client, which began at from and ends now, and
// whether it was acknowledged.
func (r *scriptRun) recordFlowCall(id, verb string, n int, from time.Time, yes bool) {
	f := r.flows[id]
	if f == nil {
		return
	}
	f.beginAcknowledged = f.beginAcknowledged || verb == "begin" && yes
	f.calls = append(f.calls, porcupine.Operation{ClientId: len(f.calls), Input: flowCall{verb: verb, n: n}, Output: yes,
		Call: int64(from.Sub(r.began)), Return: int64(time.Since(r.began))})
}

// consistentWith reports whether the recorded calls can have led to the final state. Calls that
// were not acknowledged extend to the end of the history: they may take effect at any time.
func (f *workflowRun) consistentWith(agreed *flow.Flow) bool {
	is := flowState{}
	if agreed != nil {
		is = flowState{there: true, committed: agreed.Phase == flow.Committed, back: agreed.Phase != flow.Committed && agreed.Phase != flow.Active, steps: len(agreed.Steps)}
	}
	const end = int64(time.Hour)
	history := []porcupine.Operation{{ClientId: len(f.calls), Input: flowCall{verb: "end", is: is}, Output: true, Call: end, Return: end + 1}}
	for _, o := range f.calls {
		if !o.Output.(bool) {
			o.Return = end + 1
		}
		history = append(history, o)
	}
	return porcupine.CheckOperations(flowModel, history)
}
