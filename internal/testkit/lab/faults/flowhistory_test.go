package faults

import (
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// TestFlowHistories checks that the model accepts exactly the final states that can follow from the
// calls of a workflow's client.
func TestFlowHistories(t *testing.T) {
	yes, no := true, false
	for _, tc := range []struct {
		// Begin, step, commit, undo by their first letter; a capital letter for no answer.
		said  string
		phase flow.Phase
		steps int
		ok    bool
	}{
		{"bssc", flow.Committed, 2, yes},
		{"bssc", flow.Undone, 2, no},     // an acknowledged commit is undone
		{"bssu", flow.Committed, 2, no},  // an acknowledged undo is lost
		{"bss", flow.Undone, 2, yes},     // its lease ran out
		{"bss", flow.Undone, 1, no},      // an acknowledged step is lost
		{"bsS", flow.Undone, 2, yes},     // an unanswered step may be in effect
		{"bsS", flow.Undone, 1, yes},     // or it may have had no effect
		{"bsSC", flow.Committed, 2, yes}, // both may be in effect
		{"bsCu", flow.Undone, 1, yes},    // the unanswered commit had no effect
		{"bsCu", flow.Committed, 1, no},  // an undo was acknowledged after it
		{"bsuc", flow.Committed, 1, no},
		{"bs", flow.Committed, 1, no}, // nobody committed it
		{"b", "", 0, no},              // an acknowledged workflow is lost
		{"B", "", 0, yes},             // the unanswered begin had no effect
		{"Bss", flow.Undone, 2, yes},  // the unanswered begin had an effect
		{"bsus", flow.Undone, 2, no},  // a step after the undo
	} {
		f := &workflowRun{}
		r := &scriptRun{began: time.Now().Add(-time.Hour), flows: map[string]*workflowRun{"w": f}}
		n := 0
		for i, c := range tc.said {
			if c|32 == 's' {
				n++
			}
			verb := map[rune]string{'b': "begin", 's': "step", 'c': "commit", 'u': "undo"}[c|32]
			r.recordFlowCall("w", verb, n, r.began, c >= 'a')
			o := &f.calls[i] // the calls are sequential
			o.Call, o.Return = int64(2*i), int64(2*i+1)
		}
		var agreed *flow.Flow
		if tc.phase != "" {
			agreed = &flow.Flow{Phase: tc.phase, Steps: make([]flow.Step, tc.steps)}
		}
		if got := f.consistentWith(agreed); got != tc.ok {
			t.Errorf("calls %s, final phase %s with %d steps: consistentWith = %t, want %t", tc.said, tc.phase, tc.steps, got, tc.ok)
		}
	}
}
