package faults

import (
	"time"

	"github.com/anishathalye/porcupine"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// flowWord is what a workflow's client said, or what is agreed on of it at the end.
type flowWord struct {
	verb string // begin, step, commit, undo and others; end for what is agreed on
	n    int
	is   flowState // at the end
}

// flowState is a workflow as its client can tell: committed, taken back or neither, and how many
// steps have their undo agreed on.
type flowState struct {
	there, committed, back bool
	steps                  int
}

// flowModel is a workflow in one order of words. A word without a yes may have come to be, at any
// later time, or never; a lease or a deadline may take it back at any time before it is committed.
var flowModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{flowState{}} },
	Step: func(state, in, out any) []any {
		w, yes := in.(flowWord), out.(bool)
		var next []any
		for _, s := range mayBe(state.(flowState)) {
			if w.verb == "end" {
				if s == w.is {
					next = append(next, s)
				}
				continue
			}
			if to, ok := s.after(w); ok {
				next = append(next, to)
			}
			if !yes {
				next = append(next, s)
			}
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// mayBe returns what a workflow may be by now that nobody has spoken of.
func mayBe(s flowState) []flowState {
	if !s.there || s.committed || s.back {
		return []flowState{s}
	}
	over := s
	over.back = true
	return []flowState{s, over}
}

// after returns what a word that is agreed on leads to; false where it can't be agreed on.
func (s flowState) after(w flowWord) (flowState, bool) {
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
	return s, s.there // it changes nothing that is told apart here
}

// says notes what a workflow's client said and what that came to.
func (r *runner) says(id, verb string, n int, from time.Time, yes bool) {
	f := r.flows[id]
	if f == nil {
		return
	}
	f.sure = f.sure || verb == "begin" && yes
	f.said = append(f.said, porcupine.Operation{ClientId: len(f.said), Input: flowWord{verb: verb, n: n}, Output: yes,
		Call: int64(from.Sub(r.began)), Return: int64(time.Since(r.began))})
}

// ledTo tells whether what was said can have led to what is agreed on at the end, in one order.
// What had no yes has no end of its own: it may come to be as long as anybody looks.
func (f *begun) ledTo(agreed *flow.Flow) bool {
	is := flowState{}
	if agreed != nil {
		is = flowState{there: true, committed: agreed.Phase == flow.Committed, back: agreed.Phase != flow.Committed && agreed.Phase != flow.Active, steps: len(agreed.Steps)}
	}
	const end = int64(time.Hour)
	history := []porcupine.Operation{{ClientId: len(f.said), Input: flowWord{verb: "end", is: is}, Output: true, Call: end, Return: end + 1}}
	for _, o := range f.said {
		if !o.Output.(bool) {
			o.Return = end + 1
		}
		history = append(history, o)
	}
	return porcupine.CheckOperations(flowModel, history)
}
