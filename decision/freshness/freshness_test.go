package freshness

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestAgeCountsFromLastContact checks rule 3: a change that a silent watch misses counts from its last byte,
// not from when its time-out was noticed, over any number of failed calls, until the list is complete again.
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

// TestFirstAnswerTimeout checks that a new process waits for discovery's first answer wherever its call is
// in the spread, and for an agent no longer than work may still be sent by an old list.
func TestFirstAnswerTimeout(t *testing.T) {
	const grace = time.Second / 2
	for _, tc := range []struct {
		name              string
		count             int
		pushed            bool
		shortest, longest time.Duration
	}{
		{"many dispatchers", 300, false, NotifiedWithin, NotifiedWithin},
		{"just more than few", 20, false, NotifiedWithin, NotifiedWithin},
		{"a few", 3, false, fewCallersTimeout, time.Second / 2},
		{"the most that are few", MaxUnspreadCallers, false, fewCallersTimeout, time.Second},
		{"pushed lists", 300, true, grace, grace},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rules := Rules{MaxRefreshInterval: 10 * time.Second, Count: tc.count, DrainGrace: grace, Pushed: tc.pushed}
			got := FirstAnswerTimeout(rules)
			if got < tc.shortest || got > tc.longest {
				t.Errorf("it waits %s, want %s to %s", got, tc.shortest, tc.longest)
			}
			if spread := Spread(rules.MaxRefreshInterval, rules.Count, 0); !tc.pushed && got <= spread {
				t.Errorf("it waits %s, and its call may come after %s", got, spread)
			}
		})
	}
}

// TestFailedInQueue checks that a process goes on waiting where a call of many dispatchers has failed in
// discovery's queue, and not where it found discovery down.
func TestFailedInQueue(t *testing.T) {
	many, few, pushed := Rules{Count: 300}, Rules{Count: MaxUnspreadCallers}, Rules{Count: 300, Pushed: true}
	for _, tc := range []struct {
		name  string
		rules Rules
		took  time.Duration
		want  bool
	}{
		{"many, a long wait", many, 3 * time.Second, true},
		{"many, the shortest wait", many, minQueueTime, true},
		{"many, found down", many, minQueueTime - 1, false},
		{"few", few, 3 * time.Second, false},
		{"pushed lists", pushed, 3 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := FailedInQueue(tc.rules, tc.took); got != tc.want {
				t.Errorf("after %v it waits on: %t, want %t", tc.took, got, tc.want)
			}
		})
	}
}

// TestEveryDispatcherRefreshesInTime checks that all dispatchers have the list before changes bind when all
// watches time out, discovery moves, or it is down for a while. Discovery answers a number of calls a
// second, one after another, and fails those that have waited too long.
func TestEveryDispatcherRefreshesInTime(t *testing.T) {
	const rate = 100 // calls a second; asked at once, a third of 300 could not be answered in 3 s
	at := time.Hour
	silence := func(c *Clock) time.Duration { c.RecordContact(at); return c.WatchTimedOut(at + WatchTimeout) }
	move := func(c *Clock) time.Duration { return c.DiscoveryMoved(at) }
	// As discovery goes down watches end that had sent every change, and calls in its queue fail.
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
		t.Run(tc.name, func(t *testing.T) {
			var calls []call
			for i := range tc.count {
				c := &Clock{Rules: Rules{MaxRefreshInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
					Number: i, Count: tc.count}}
				calls = append(calls, call{tc.begin(c), c})
			}
			back := at + tc.down
			d := discovery{back: back, wasDown: tc.down > 0, waits: max(tc.waits, time.Millisecond), interval: time.Second / rate}
			d.answerAll(t, calls)
			t.Logf("longest wait %v, %d calls failed, all complete %v after the return", d.longest, d.failed, d.free-back)
			if maxFailed := tc.count * int(1+2*tc.down/time.Second); d.failed > maxFailed {
				t.Errorf("%d calls failed, want %d at most", d.failed, maxFailed)
			}
		})
	}
}

// call is a dispatcher's next call of discovery.
type call struct {
	at    time.Duration
	clock *Clock
}

// discovery is a simulated discovery that answers calls one after another.
type discovery struct {
	back     time.Duration // calls before that time fail
	wasDown  bool          // every change counts from back on
	waits    time.Duration // how long a call takes to fail
	interval time.Duration // how long a call takes to be answered

	free    time.Duration // when it has answered all calls so far
	failed  int
	longest time.Duration // wait of an answered call
}

// answerAll answers or fails the calls, and those that follow failures, until all are answered; each dispatcher has to
// have its list before the first change binds.
func (d *discovery) answerAll(t *testing.T, calls []call) {
	t.Helper()
	for len(calls) > 0 {
		slices.SortFunc(calls, func(a, b call) int { return int(a.at - b.at) })
		next := calls[0]
		calls = calls[1:]
		if d.free = max(d.free, next.at); next.at < d.back || d.free-next.at > callTimeout {
			d.failed++
			next.clock.RecordContact(next.at)
			calls = append(calls, call{next.clock.CallFailed(next.at + d.waits), next.clock})
			continue
		}
		d.free += d.interval
		until := next.clock.ValidUntil()
		if d.wasDown {
			until = d.back + NotifiedWithin + next.clock.DrainGrace
		}
		if d.free > until {
			t.Errorf("dispatcher %d has the list %v too late", next.clock.Number, d.free-until)
		}
		d.longest = max(d.longest, d.free-next.at)
		next.clock.RecordComplete(d.free)
	}
}

// TestPushedListIsFetchedAtOnce checks that an agent is called without a wait, as the call costs nothing.
func TestPushedListIsFetchedAtOnce(t *testing.T) {
	c := Clock{Rules: Rules{DrainGrace: time.Second, Count: 300, Number: 7, Pushed: true}}
	if at := c.DiscoveryMoved(time.Hour); at != time.Hour {
		t.Errorf("an agent is called %v late", at-time.Hour)
	}
}

// TestSpread checks that the first call lies within the refresh interval, with time for discovery's queue,
// and that the spread grows with failures and with dispatchers.
func TestSpread(t *testing.T) {
	for _, tc := range []struct {
		name          string
		count, failed int
		want          time.Duration
	}{
		{"a few", 4, 0, 156250 * time.Microsecond},
		{"the most that are few", 16, 0, 625 * time.Millisecond},
		{"a few after failures", 4, 4, 10 * time.Second},
		{"many", 80, 0, 3 * time.Second},
		{"very many", 300, 0, 3 * time.Second},
		{"very many after failures", 300, 3, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Spread(10*time.Second, tc.count, tc.failed); got != tc.want {
				t.Errorf("%d dispatchers, %d failed: %v, want %v", tc.count, tc.failed, got, tc.want)
			}
		})
	}
}

// TestWatchEndedKeepsListForRefreshInterval checks that a list whose watch discovery has ended may be used
// for the refresh interval of the settings, also where that is shorter than after a failed call.
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
