package freshness

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestAgeCountsFromLastContact checks that the notification time of a change that a silent watch missed counts from the
// watch's last byte (rule 3), not from the detection of the time-out, and that failed calls do not change it until the
// list is complete again.
func TestAgeCountsFromLastContact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Clock{Rules: Rules{MaxRefreshInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
			Number: rapid.IntRange(0, 299).Draw(t, "number"), Count: 300, Pushed: rapid.Bool().Draw(t, "pushed")}}
		last := time.Duration(rapid.Int64Range(1, 1e12).Draw(t, "last"))
		c.RecordContact(last)
		if c.Stale(last+time.Hour) || c.HasDeadline() {
			t.Fatal("the list is stale or has a deadline while its watch is alive")
		}
		at := c.WatchTimedOut(last + WatchTimeout)
		for i := range rapid.IntRange(0, 5).Draw(t, "failures") {
			if c.ValidUntil() != last+NotifiedWithin+c.DrainGrace || !c.HasDeadline() {
				t.Fatalf("after %d failed calls the list is valid until %v after the last byte, want %v and a deadline", i, c.ValidUntil()-last, NotifiedWithin+c.DrainGrace)
			}
			c.RecordContact(at) // the start of a failed call must not extend the validity
			next := c.CallFailed(at)
			if next < at || !c.Pushed && next < at+minCallInterval || next > at+NotifiedWithin {
				t.Fatalf("the next call is %v after the last, want %v at most, and unless pushed %v at least", next-at, NotifiedWithin, minCallInterval)
			}
			at = next
		}
		if c.Stale(c.ValidUntil()-1) || !c.Stale(c.ValidUntil()) {
			t.Fatal("the list does not become stale exactly at ValidUntil")
		}
		c.RecordComplete(at)
		if c.Stale(at+time.Hour) || c.HasDeadline() {
			t.Fatal("a list that is complete again is stale or has a deadline")
		}
	})
}

// TestFirstAnswerTimeout checks that a new process waits for discovery's first answer for longer than its call may be
// delayed by the spread, and for an agent's answer no longer than the drain grace.
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
		{"few", 3, false, fewCallersTimeout, time.Second / 2},
		{"the largest number of few dispatchers", MaxUnspreadCallers, false, fewCallersTimeout, time.Second},
		{"pushed lists", 300, true, grace, grace},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rules := Rules{MaxRefreshInterval: 10 * time.Second, Count: tc.count, DrainGrace: grace, Pushed: tc.pushed}
			got := FirstAnswerTimeout(rules)
			if got < tc.shortest || got > tc.longest {
				t.Errorf("FirstAnswerTimeout returned %s, want %s to %s", got, tc.shortest, tc.longest)
			}
			if spread := Spread(rules.MaxRefreshInterval, rules.Count, 0); !tc.pushed && got <= spread {
				t.Errorf("FirstAnswerTimeout returned %s, want more than the spread of %s", got, spread)
			}
		})
	}
}

// TestFailedInQueue checks that a new process continues to wait if its call, one of many dispatchers', failed in
// discovery's queue, and not if discovery was down.
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
		{"many, discovery down", many, minQueueTime - 1, false},
		{"few", few, 3 * time.Second, false},
		{"pushed lists", pushed, 3 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := FailedInQueue(tc.rules, tc.took); got != tc.want {
				t.Errorf("FailedInQueue after %v returned %t, want %t", tc.took, got, tc.want)
			}
		})
	}
}

// TestEveryDispatcherRefreshesInTime checks that all dispatchers have the list before changes are binding when all watches
// time out, discovery moves, or discovery is down for a while. Discovery answers a fixed number of calls a second, one
// after another, and fails calls that have waited too long.
func TestEveryDispatcherRefreshesInTime(t *testing.T) {
	const rate = 100 // calls a second; of 300 simultaneous calls a third could not be answered within 3 s
	at := time.Hour
	silence := func(c *Clock) time.Duration { c.RecordContact(at); return c.WatchTimedOut(at + WatchTimeout) }
	move := func(c *Clock) time.Duration { return c.DiscoveryMoved(at) }
	// When discovery goes down, up-to-date watches end and calls in its queue fail.
	ended := func(c *Clock) time.Duration { c.RecordContact(at); return c.WatchEnded(at) }
	failed := func(c *Clock) time.Duration { c.RecordContact(at - time.Second); return c.CallFailed(at) }
	for _, tc := range []struct {
		name        string
		count       int
		begin       func(c *Clock) time.Duration
		down, waits time.Duration // how long discovery is down, and how long a call takes to fail meanwhile
	}{
		{"silent watches", 300, silence, 0, 3 * time.Second},
		{"a move", 300, move, 0, 3 * time.Second},
		{"a move, few dispatchers", 4, move, 0, 3 * time.Second},
		{"down for 8 s", 300, ended, 8 * time.Second, 2 * time.Second},
		{"down for 8 s, long waits", 300, ended, 8 * time.Second, 3 * time.Second},
		{"down for 30 s", 300, failed, 30 * time.Second, 2 * time.Second},
		{"down for 8 s, few dispatchers", 4, ended, 8 * time.Second, 2 * time.Second},
		{"down for 8 s, refused at once", 300, ended, 8 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var calls []call
			for i := range tc.count {
				c := &Clock{Rules: Rules{MaxRefreshInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond,
					Number: i, Count: tc.count}}
				calls = append(calls, call{tc.begin(c), c})
			}
			upAt := at + tc.down
			d := discovery{upAt: upAt, wasDown: tc.down > 0, waits: max(tc.waits, time.Millisecond), interval: time.Second / rate}
			d.answerAll(t, calls)
			t.Logf("longest wait %v, %d calls failed, all lists complete %v after the recovery", d.longest, d.failed, d.idleAt-upAt)
			if maxFailed := tc.count * int(1+2*tc.down/time.Second); d.failed > maxFailed {
				t.Errorf("%d calls failed, want %d at most", d.failed, maxFailed)
			}
		})
	}
}

// call is a dispatcher's next call to discovery.
type call struct {
	at    time.Duration
	clock *Clock
}

// discovery simulates discovery: it answers calls one after another.
type discovery struct {
	upAt     time.Duration // calls before this time fail
	wasDown  bool          // changes count as notified from upAt on
	waits    time.Duration // how long a call takes to fail
	interval time.Duration // how long a call takes to be answered

	idleAt  time.Duration // when it has answered all calls so far
	failed  int
	longest time.Duration // wait of an answered call
}

// answerAll answers or fails the calls, and the calls that follow failures, until all dispatchers have an answer. It
// reports an error for each dispatcher that has its list only after the first change is binding.
func (d *discovery) answerAll(t *testing.T, calls []call) {
	t.Helper()
	for len(calls) > 0 {
		slices.SortFunc(calls, func(a, b call) int { return int(a.at - b.at) })
		next := calls[0]
		calls = calls[1:]
		if d.idleAt = max(d.idleAt, next.at); next.at < d.upAt || d.idleAt-next.at > callTimeout {
			d.failed++
			next.clock.RecordContact(next.at)
			calls = append(calls, call{next.clock.CallFailed(next.at + d.waits), next.clock})
			continue
		}
		d.idleAt += d.interval
		until := next.clock.ValidUntil()
		if d.wasDown {
			until = d.upAt + NotifiedWithin + next.clock.DrainGrace
		}
		if d.idleAt > until {
			t.Errorf("dispatcher %d has the list %v too late", next.clock.Number, d.idleAt-until)
		}
		d.longest = max(d.longest, d.idleAt-next.at)
		next.clock.RecordComplete(d.idleAt)
	}
}

// TestPushedListIsFetchedAtOnce checks that an agent is called without delay, as the call does not load discovery.
func TestPushedListIsFetchedAtOnce(t *testing.T) {
	c := Clock{Rules: Rules{DrainGrace: time.Second, Count: 300, Number: 7, Pushed: true}}
	if at := c.DiscoveryMoved(time.Hour); at != time.Hour {
		t.Errorf("the agent is called after %v, want at once", at-time.Hour)
	}
}

// TestSpread checks that the spread of the first call leaves time for discovery's queue within the refresh interval, and
// that the spread grows with the numbers of failures and dispatchers.
func TestSpread(t *testing.T) {
	for _, tc := range []struct {
		name          string
		count, failed int
		want          time.Duration
	}{
		{"few", 4, 0, 156250 * time.Microsecond},
		{"the largest number of few dispatchers", 16, 0, 625 * time.Millisecond},
		{"few after failures", 4, 4, 10 * time.Second},
		{"many", 80, 0, 3 * time.Second},
		{"very many", 300, 0, 3 * time.Second},
		{"very many after failures", 300, 3, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Spread(10*time.Second, tc.count, tc.failed); got != tc.want {
				t.Errorf("%d dispatchers, %d failed calls: spread %v, want %v", tc.count, tc.failed, got, tc.want)
			}
		})
	}
}

// TestWatchEndedKeepsListForRefreshInterval checks that after discovery has ended the watch the list may be used for the
// configured refresh interval, even if that is shorter than the time after a failed call.
func TestWatchEndedKeepsListForRefreshInterval(t *testing.T) {
	for _, within := range []time.Duration{time.Second, 48 * time.Second} {
		c := Clock{Rules: Rules{MaxRefreshInterval: within, DrainGrace: 500 * time.Millisecond, Count: 1}}
		c.RecordComplete(10 * time.Second)
		c.WatchEnded(10 * time.Second)
		if got, want := c.ValidUntil(), 10*time.Second+within+500*time.Millisecond; got != want {
			t.Errorf("refresh interval %v: the list is valid until %v, want %v", within, got, want)
		}
	}
}
