package faults

import (
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/workflow/flow"
)

// TestFlowHistories has the rig see what can't have come about from what clients were told, and
// only that.
func TestFlowHistories(t *testing.T) {
	yes, no := true, false
	for _, tc := range []struct {
		said  string // begin, step, commit, undo by their first letter; a capital for no answer
		phase flow.Phase
		steps int
		ok    bool
	}{
		{"bssc", flow.Committed, 2, yes},
		{"bssc", flow.Undone, 2, no},     // an acknowledged commit is undone
		{"bssu", flow.Committed, 2, no},  // an acknowledged undo is lost
		{"bss", flow.Undone, 2, yes},     // its lease ran out
		{"bss", flow.Undone, 1, no},      // a step that was agreed on is lost
		{"bsS", flow.Undone, 2, yes},     // it may have come to be
		{"bsS", flow.Undone, 1, yes},     // or not
		{"bsSC", flow.Committed, 2, yes}, // both may have
		{"bsCu", flow.Undone, 1, yes},    // the commit never came
		{"bsCu", flow.Committed, 1, no},  // an undo was acknowledged after it
		{"bsuc", flow.Committed, 1, no},
		{"bs", flow.Committed, 1, no}, // nobody said so
		{"b", "", 0, no},              // it is forgotten
		{"B", "", 0, yes},             // it may never have begun
		{"Bss", flow.Undone, 2, yes},  // its begin was not heard, and it is there
		{"bsus", flow.Undone, 2, no},  // a step of one that is taken back
	} {
		f := &begun{}
		r := &runner{began: time.Now().Add(-time.Hour), flows: map[string]*begun{"w": f}}
		n := 0
		for i, c := range tc.said {
			if c|32 == 's' {
				n++
			}
			verb := map[rune]string{'b': "begin", 's': "step", 'c': "commit", 'u': "undo"}[c|32]
			r.says("w", verb, n, r.began, c >= 'a')
			o := &f.said[i] // one after the other
			o.Call, o.Return = int64(2*i), int64(2*i+1)
		}
		var agreed *flow.Flow
		if tc.phase != "" {
			agreed = &flow.Flow{Phase: tc.phase, Steps: make([]flow.Step, tc.steps)}
		}
		if got := f.ledTo(agreed); got != tc.ok {
			t.Errorf("%s leads to %s with %d steps: %t, want %t", tc.said, tc.phase, tc.steps, got, tc.ok)
		}
	}
}
