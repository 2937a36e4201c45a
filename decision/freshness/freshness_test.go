package freshness

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestRunsFromTheLastByte guards rule 3: what a silent watch misses counts from its last byte,
// not from when the silence was noticed, over any number of calls that fail; it ends once
// the list is held.
func TestRunsFromTheLastByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Clock{Rules: Rules{AskWithin: 10 * time.Second, Grace: 500 * time.Millisecond,
			Number: rapid.IntRange(0, 299).Draw(t, "number"), Count: 300, Pushed: rapid.Bool().Draw(t, "pushed")}}
		last := time.Duration(rapid.Int64Range(1, 1e12).Draw(t, "last"))
		c.Heard(last)
		if c.Stale(last+time.Hour) || c.Pressed() {
			t.Fatal("a watch that speaks lets the list grow old")
		}
		at := c.Silent(last + Quiet)
		for i := range rapid.IntRange(0, 5).Draw(t, "failures") {
			if c.Until() != last+ToldWithin+c.Grace || !c.Pressed() {
				t.Fatalf("after %d calls the list counts until %v past the last byte", i, c.Until()-last)
			}
			c.Heard(at) // the call's own begin is no word of discovery's
			next := c.Failed(at)
			if next < at || !c.Pushed && next < at+leastGap || next > at+ToldWithin {
				t.Fatalf("the next call is %v after the last", next-at)
			}
			at = next
		}
		if c.Stale(c.Until()-1) || !c.Stale(c.Until()) {
			t.Fatal("the list is not stale from the moment on that binds")
		}
		c.Held(at)
		if c.Stale(at+time.Hour) || c.Pressed() {
			t.Fatal("a list that is held again is stale")
		}
	})
}

// TestFirstWord has a new process wait for discovery's first word, wherever its call is in the
// spread, and for an agent no longer than work may still be sent by an old list.
func TestFirstWord(t *testing.T) {
	for _, tc := range []struct {
		rules       Rules
		least, most time.Duration
	}{
		{Rules{AskWithin: 10 * time.Second, Count: 300, Grace: time.Second / 2}, ToldWithin, ToldWithin},
		{Rules{AskWithin: 10 * time.Second, Count: 20, Grace: time.Second / 2}, ToldWithin, ToldWithin},
		{Rules{AskWithin: 10 * time.Second, Count: 3, Grace: time.Second / 2}, briefly, time.Second / 2},
		{Rules{AskWithin: 10 * time.Second, Count: Callers, Grace: time.Second / 2}, briefly, time.Second},
		{Rules{AskWithin: 10 * time.Second, Count: 300, Grace: time.Second / 2, Pushed: true}, time.Second / 2, time.Second / 2},
	} {
		if got := FirstWord(tc.rules); got < tc.least || got > tc.most || !tc.rules.Pushed && got <= Spread(tc.rules.AskWithin, tc.rules.Count, 0) {
			t.Errorf("%+v: it waits %s", tc.rules, got)
		}
	}
}

// TestCrowdedOut has many dispatchers wait on where a call has failed in discovery's line, and nobody
// where it found discovery down.
func TestCrowdedOut(t *testing.T) {
	many, few, pushed := Rules{Count: 300}, Rules{Count: Callers}, Rules{Count: 300, Pushed: true}
	for _, tc := range []struct {
		rules Rules
		took  time.Duration
		want  bool
	}{
		{many, 3 * time.Second, true}, {many, firstLine, true}, {many, firstLine - 1, false},
		{few, 3 * time.Second, false}, {pushed, 3 * time.Second, false},
	} {
		if got := CrowdedOut(tc.rules, tc.took); got != tc.want {
			t.Errorf("%+v, after %v: waits on %t", tc.rules, tc.took, got)
		}
	}
}

// TestThroughDiscoverysLine guards the fleet whose watches all fall silent, or whose
// discovery moves, or is down for a while: discovery answers so many calls a second, one after
// another, and fails what has waited for a time. Everybody has the list before it binds.
func TestThroughDiscoverysLine(t *testing.T) {
	const rate = 100 // calls a second; asked at once, a third of 300 could not be answered in 3 s
	at := time.Hour
	silence := func(c *Clock) time.Duration { c.Heard(at); return c.Silent(at + Quiet) }
	move := func(c *Clock) time.Duration { return c.Moved(at) }
	// Watches end as discovery goes down: those that had told all, and calls in its line.
	ended := func(c *Clock) time.Duration { c.Heard(at); return c.Ended(at) }
	failed := func(c *Clock) time.Duration { c.Heard(at - time.Second); return c.Failed(at) }
	for _, tc := range []struct {
		name        string
		count       int
		begin       func(c *Clock) time.Duration
		down, waits time.Duration // how long discovery is down, and a call waits
	}{
		{"silence", 300, silence, 0, 3 * time.Second},
		{"a move", 300, move, 0, 3 * time.Second},
		{"a few", 4, move, 0, 3 * time.Second},
		{"down for 8 s", 300, ended, 8 * time.Second, 2 * time.Second},
		{"down for 8 s, long waits", 300, ended, 8 * time.Second, 3 * time.Second},
		{"down for 30 s", 300, failed, 30 * time.Second, 2 * time.Second},
		{"down for 8 s, a few", 4, ended, 8 * time.Second, 2 * time.Second},
		{"down for 8 s, refused at once", 300, ended, 8 * time.Second, 0},
	} {
		type call struct {
			at time.Duration
			by *Clock
		}
		var calls []call
		for i := range tc.count {
			c := &Clock{Rules: Rules{AskWithin: 10 * time.Second, Grace: 500 * time.Millisecond, Number: i, Count: tc.count}}
			calls = append(calls, call{tc.begin(c), c})
		}
		back := at + tc.down
		free, fails, longest := time.Duration(0), 0, time.Duration(0)
		for len(calls) > 0 {
			slices.SortFunc(calls, func(a, b call) int { return int(a.at - b.at) })
			x := calls[0]
			calls = calls[1:]
			waits := max(tc.waits, time.Millisecond)
			if free = max(free, x.at); x.at < back || free-x.at > answers {
				fails++
				x.by.Heard(x.at)
				calls = append(calls, call{x.by.Failed(x.at + waits), x.by})
				continue
			}
			free += time.Second / rate
			until := x.by.Until()
			if tc.down > 0 { // what is told at the return binds from then on
				until = back + ToldWithin + x.by.Grace
			}
			if free > until {
				t.Errorf("%s: dispatcher %d has the list %v too late", tc.name, x.by.Number, free-until)
			}
			longest = max(longest, free-x.at)
			x.by.Held(free)
		}
		t.Logf("%s: longest wait %v, %d calls failed, all held %v after the return", tc.name, longest, fails, free-back)
		if most := tc.count * int(1+2*tc.down/time.Second); fails > most {
			t.Errorf("%s: %d calls failed, want %d at most", tc.name, fails, most)
		}
	}
}

// TestAgent has nobody wait where a call costs nothing.
func TestAgent(t *testing.T) {
	c := Clock{Rules: Rules{Grace: time.Second, Count: 300, Number: 7, Pushed: true}}
	if at := c.Moved(time.Hour); at != time.Hour {
		t.Errorf("an agent is asked %v late", at-time.Hour)
	}
}

// TestSpread has the first call lie within the time for which the list counts, with
// discovery's line in it, and the crowd's spread grow with failures and numbers.
func TestSpread(t *testing.T) {
	for _, tc := range []struct {
		count, failed int
		want          time.Duration
	}{{4, 0, 156250 * time.Microsecond}, {16, 0, 625 * time.Millisecond}, {4, 4, 10 * time.Second}, {80, 0, 3 * time.Second}, {300, 0, 3 * time.Second}, {300, 3, 10 * time.Second}} {
		if got := Spread(10*time.Second, tc.count, tc.failed); got != tc.want {
			t.Errorf("%d dispatchers, %d failed: %v, want %v", tc.count, tc.failed, got, tc.want)
		}
	}
}

// TestEndedWithin has a list whose watch discovery has ended count for as long as the settings say,
// also where that is less than what a failed call is given.
func TestEndedWithin(t *testing.T) {
	for _, within := range []time.Duration{time.Second, 48 * time.Second} {
		c := Clock{Rules: Rules{AskWithin: within, Grace: 500 * time.Millisecond, Count: 1}}
		c.Held(10 * time.Second)
		c.Ended(10 * time.Second)
		if got, want := c.Until(), 10*time.Second+within+500*time.Millisecond; got != want {
			t.Errorf("settings of %v: the list counts until %v, want %v", within, got, want)
		}
	}
}
