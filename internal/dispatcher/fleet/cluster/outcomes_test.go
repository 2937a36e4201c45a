package cluster

import (
	"errors"
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
)

// TestGather guards keyed jobs from being sent as if others knew of them: a call that failed
// is no answer, unless none can come any more.
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

// TestPatience has a job wait as long as the farthest of the members that it needs can take, and
// no longer than a call may or its own time.
func TestOutcomeTimeout(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, tc := range []struct {
		trips      []time.Duration
		left, want time.Duration
	}{
		{nil, time.Second, holderTimeout},
		{[]time.Duration{0, ms(1)}, time.Second, holderTimeout + ms(2)},
		{[]time.Duration{ms(40), ms(1)}, time.Second, ms(100)},
		{[]time.Duration{ms(90)}, time.Second, callTimeout},
		{[]time.Duration{ms(40)}, ms(7), ms(7)},
		{[]time.Duration{ms(40)}, -ms(7), 0},
	} {
		var of []members.Info
		for _, d := range tc.trips {
			of = append(of, members.Info{RTT: d})
		}
		if got := outcomeTimeout(of, tc.left); got != tc.want {
			t.Errorf("trips %v, %s left: it waits %s, want %s", tc.trips, tc.left, got, tc.want)
		}
	}
}

// TestAsked has keys that members which came back lately may have forgotten asked of others too.
func TestCountQueried(t *testing.T) {
	for _, tc := range []struct {
		stages string // f for one that is back, j for one that joins
		want   int
	}{{"", 0}, {"f", 1}, {"ff", 2}, {"fff", 2}, {"jff", 3}, {"jjff", 4}, {"fjjjjjf", maxQueried}, {"jjjjjj", maxQueried}, {"jf", 2}} {
		var order []members.Info
		for _, s := range tc.stages {
			i := members.Info{}
			i.Stage = map[rune]uint8{'f': uint8(stage.Full), 'j': uint8(stage.Joining)}[s]
			order = append(order, i)
		}
		if got := countQueried(order); got != tc.want {
			t.Errorf("%q: %d are asked, want %d", tc.stages, got, tc.want)
		}
	}
}
