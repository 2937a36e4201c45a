package freshness

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestAgeCountsFromLastContact guards rule 3: what a silent watch misses counts from its last byte,
// not from when the silence was noticed, over any number of calls that fail; it ends once
// the list is held.
func TestAgeCountsFromLastContact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Clock{Rules: Rules{MaxRefreshInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
			Number: rapid.IntRange(0, 299).Draw(t, "number"), Count: 300, Pushed: rapid.Bool().Draw(t, "pushed")}}
		last := time.Duration(rapid.Int64Range(1, 1e12).Draw(t, "last"))
		c.RecordContact(last)
		if c.Stale(last+time.Hour) || c.HasDeadline() {
			t.Fatal("a watch that speaks lets the list grow old")
		}
		at := c.WatchTimedOut(last + WatchTimeout)
		for i := range rapid.IntRange(0, 5).Draw(t, "failures") {
			if c.ValidUntil() != last+NotifiedWithin+c.DrainGrace || !c.HasDeadline() {
				t.Fatalf("after %d calls the list counts until %v past the last byte", i, c.ValidUntil()-last)
			}
			c.RecordContact(at) // the call's own begin is no word of discovery's
			next := c.CallFailed(at)
			if next < at || !c.Pushed && next < at+minCallInterval || next > at+NotifiedWithin {
				t.Fatalf("the next call is %v after the last", next-at)
			}
			at = next
		}
		if c.Stale(c.ValidUntil()-1) || !c.Stale(c.ValidUntil()) {
			t.Fatal("the list is not stale from the moment on that binds")
		}
		c.RecordComplete(at)
		if c.Stale(at+time.Hour) || c.HasDeadline() {
			t.Fatal("a list that is held again is stale")
		}
	})
}

// TestFirstAnswerTimeout has a new process wait for discovery's first word, wherever its call is in the
// spread, and for an agent no longer than work may still be sent by an old list.
func TestFirstAnswerTimeout(t *testing.T) {
	for _, tc := range []struct {
		rules             Rules
		shortest, longest time.Duration
	}{
		{Rules{MaxRefreshInterval: 10 * time.Second, Count: 300, DrainGrace: time.Second / 2}, NotifiedWithin, NotifiedWithin},
		{Rules{MaxRefreshInterval: 10 * time.Second, Count: 20, DrainGrace: time.Second / 2}, NotifiedWithin, NotifiedWithin},
		{Rules{MaxRefreshInterval: 10 * time.Second, Count: 3, DrainGrace: time.Second / 2}, fewCallersTimeout, time.Second / 2},
		{Rules{MaxRefreshInterval: 10 * time.Second, Count: MaxUnspreadCallers, DrainGrace: time.Second / 2}, fewCallersTimeout, time.Second},
		{Rules{MaxRefreshInterval: 10 * time.Second, Count: 300, DrainGrace: time.Second / 2, Pushed: true}, time.Second / 2, time.Second / 2},
	} {
		if got := FirstAnswerTimeout(tc.rules); got < tc.shortest || got > tc.longest || !tc.rules.Pushed && got <= Spread(tc.rules.MaxRefreshInterval, tc.rules.Count, 0) {
			t.Errorf("%+v: it waits %s", tc.rules, got)
		}
	}
}

// TestFailedInQueue has many dispatchers wait on where a call has failed in discovery's line, and nobody
// where it found discovery down.
func TestFailedInQueue(t *testing.T) {
	many, few, pushed := Rules{Count: 300}, Rules{Count: MaxUnspreadCallers}, Rules{Count: 300, Pushed: true}
	for _, tc := range []struct {
		rules Rules
		took  time.Duration
		want  bool
	}{
		{many, 3 * time.Second, true}, {many, minQueueTime, true}, {many, minQueueTime - 1, false},
		{few, 3 * time.Second, false}, {pushed, 3 * time.Second, false},
	} {
		if got := FailedInQueue(tc.rules, tc.took); got != tc.want {
			t.Errorf("%+v, after %v: waits on %t", tc.rules, tc.took, got)
		}
	}
}

// TestEveryDispatcherRefreshesInTime guards the fleet whose watches all fall silent, or whose
// discovery moves, or is down for a while: discovery answers so many calls a second, one after
// another, and fails what has waited for a time. Everybody has the list before it binds.
func TestEveryDispatcherRefreshesInTime(t *testing.T) {
	const rate = 100 // calls a second; asked at once, a third of 300 could not be answered in 3 s
	at := time.Hour
	silence := func(c *Clock) time.Duration { c.RecordContact(at); return c.WatchTimedOut(at + WatchTimeout) }
	move := func(c *Clock) time.Duration { return c.DiscoveryMoved(at) }
	// Watches end as discovery goes down: those that had told all, and calls in its line.
	ended := func(c *Clock) time.Duration { c.RecordContact(at); return c.WatchEnded(at) }
	failed := func(c *Clock) time.Duration { c.RecordContact(at - time.Second); return c.CallFailed(at) }
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
			c := &Clock{Rules: Rules{MaxRefreshInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond, Number: i, Count: tc.count}}
			calls = append(calls, call{tc.begin(c), c})
		}
		back := at + tc.down
		free, fails, longest := time.Duration(0), 0, time.Duration(0)
		for len(calls) > 0 {
			slices.SortFunc(calls, func(a, b call) int { return int(a.at - b.at) })
			x := calls[0]
			calls = calls[1:]
			waits := max(tc.waits, time.Millisecond)
			if free = max(free, x.at); x.at < back || free-x.at > callTimeout {
				fails++
				x.by.RecordContact(x.at)
				calls = append(calls, call{x.by.CallFailed(x.at + waits), x.by})
				continue
			}
			free += time.Second / rate
			until := x.by.ValidUntil()
			if tc.down > 0 { // what is told at the return binds from then on
				until = back + NotifiedWithin + x.by.DrainGrace
			}
			if free > until {
				t.Errorf("%s: dispatcher %d has the list %v too late", tc.name, x.by.Number, free-until)
			}
			longest = max(longest, free-x.at)
			x.by.RecordComplete(free)
		}
		t.Logf("%s: longest wait %v, %d calls failed, all held %v after the return", tc.name, longest, fails, free-back)
		if longest := tc.count * int(1+2*tc.down/time.Second); fails > longest {
			t.Errorf("%s: %d calls failed, want %d at most", tc.name, fails, longest)
		}
	}
}

// TestPushedListIsFetchedAtOnce has nobody wait where a call costs nothing.
func TestPushedListIsFetchedAtOnce(t *testing.T) {
	c := Clock{Rules: Rules{DrainGrace: time.Second, Count: 300, Number: 7, Pushed: true}}
	if at := c.DiscoveryMoved(time.Hour); at != time.Hour {
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

// TestWatchEndedKeepsListForRefreshInterval has a list whose watch discovery has ended count for as long as the settings say,
// also where that is less than what a failed call is given.
func TestWatchEndedKeepsListForRefreshInterval(t *testing.T) {
	for _, within := range []time.Duration{time.Second, 48 * time.Second} {
		c := Clock{Rules: Rules{MaxRefreshInterval: within, DrainGrace: 500 * time.Millisecond, Count: 1}}
		c.RecordComplete(10 * time.Second)
		c.WatchEnded(10 * time.Second)
		if got, want := c.ValidUntil(), 10*time.Second+within+500*time.Millisecond; got != want {
			t.Errorf("settings of %v: the list counts until %v, want %v", within, got, want)
		}
	}
}
