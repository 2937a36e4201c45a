package cluster

import (
	"errors"
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
)

// TestResponseWaiter checks that the callback is called once: after enough responses, not counting
// failed calls, or when all calls have ended.
func TestResponseWaiter(t *testing.T) {
	errUnreachable := errors.New("member unreachable")
	for name, tc := range map[string]struct {
		peers, wanted int
		responses     []error
		calledAfter   int // number of responses after which the callback is called
	}{
		"one of two":              {2, 1, []error{nil, nil}, 1},
		"the first call fails":    {2, 1, []error{errUnreachable, nil}, 2},
		"both calls fail":         {2, 1, []error{errUnreachable, errUnreachable}, 2},
		"two of two":              {2, 2, []error{nil, nil}, 2},
		"no peers":                {0, 1, nil, 0},
		"fewer peers than wanted": {1, 2, []error{nil}, 1},
	} {
		called := make(chan bool, 2)
		w := newResponseWaiter(tc.peers, tc.wanted, time.Hour, func() { called <- true })
		for i, err := range tc.responses {
			if done := len(called) > 0; done != (i >= tc.calledAfter) {
				t.Errorf("%s: after %d responses: callback called = %t, want the opposite", name, i, done)
			}
			w.responded(err)
		}
		if len(called) != 1 {
			t.Errorf("%s: callback called %d times, want 1", name, len(called))
		}
	}
}

// TestOutcomeTimeout checks that a job waits for the round trips to the farthest member, but no
// longer than callTimeout and its own remaining time.
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

// TestCountQueried checks that further members are queried in addition to holders that may lack
// records.
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
