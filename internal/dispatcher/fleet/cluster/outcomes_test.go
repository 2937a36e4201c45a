package cluster

import (
	"errors"
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
)

// TestResponseWaiter checks that a failed call does not count as a response, unless none can come
// any more.
func TestResponseWaiter(t *testing.T) {
	failed := errors.New("not reached")
	for name, tc := range map[string]struct {
		of, enough int
		answers    []error
		after      int // how many of them until the function is called
	}{
		"one of two":            {2, 1, []error{nil, nil}, 1},
		"the first fails":       {2, 1, []error{failed, nil}, 2},
		"both fail":             {2, 1, []error{failed, failed}, 2},
		"both are wanted":       {2, 2, []error{nil, nil}, 2},
		"nobody to be asked":    {0, 1, nil, 0},
		"fewer than are wanted": {1, 2, []error{nil}, 1},
	} {
		called := make(chan bool, 2)
		g := newResponseWaiter(tc.of, tc.enough, time.Hour, func() { called <- true })
		for i, err := range tc.answers {
			if done := len(called) > 0; done != (i >= tc.after) {
				t.Errorf("%s: after %d answers it was called: %t", name, i, done)
			}
			g.responded(err)
		}
		if len(called) != 1 {
			t.Errorf("%s: it was called %d times", name, len(called))
		}
	}
}

// TestOutcomeTimeout checks that a job waits for the farthest of the members that it needs, and no
// longer than a call may take or its own time allows.
func TestOutcomeTimeout(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tc := range []struct {
		name            string
		rtts            []time.Duration
		remaining, want time.Duration
	}{
		{"no member", nil, time.Second, holderTimeout},
		{"near members", []time.Duration{0, ms(1)}, time.Second, holderTimeout + ms(2)},
		{"one distant member", []time.Duration{ms(40), ms(1)}, time.Second, ms(100)},
		{"farther than a call may take", []time.Duration{ms(90)}, time.Second, callTimeout},
		{"short deadline", []time.Duration{ms(40)}, ms(7), ms(7)},
		{"deadline has passed", []time.Duration{ms(40)}, -ms(7), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var peers []members.Info
			for _, d := range tc.rtts {
				peers = append(peers, members.Info{RTT: d})
			}
			if got := outcomeTimeout(peers, tc.remaining); got != tc.want {
				t.Errorf("outcomeTimeout with %v and %s left = %s, want %s", tc.rtts, tc.remaining, got, tc.want)
			}
		})
	}
}

// TestCountQueried checks that other members are queried in place of those that may lack records.
func TestCountQueried(t *testing.T) {
	for _, tc := range []struct {
		name   string
		stages string // f for a fully rejoined member, j for a joining one
		want   int
	}{
		{"no member", "", 0},
		{"one member", "f", 1},
		{"two full members", "ff", 2},
		{"three full members", "fff", 2},
		{"first is joining", "jff", 3},
		{"first two are joining", "jjff", 4},
		{"few full members", "fjjjjjf", maxQueried},
		{"no full member", "jjjjjj", maxQueried},
		{"only two, one joining", "jf", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var order []members.Info
			for _, s := range tc.stages {
				i := members.Info{}
				i.Stage = map[rune]uint8{'f': uint8(stage.Full), 'j': uint8(stage.Joining)}[s]
				order = append(order, i)
			}
			if got := countQueried(order); got != tc.want {
				t.Errorf("countQueried(%q) = %d, want %d", tc.stages, got, tc.want)
			}
		})
	}
}
