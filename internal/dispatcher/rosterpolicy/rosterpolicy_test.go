package rosterpolicy

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

var bounds = Config{Fresh: 2 * time.Minute, Old: time.Hour, Max: 24 * time.Hour, Zone: "a", ProbeRate: 100, Dispatchers: 1, WarmUp: 23 * time.Second,
	Outage: 5 * time.Second, MaxMissing: 0.5, DoubtTimeout: 30 * time.Second}

const day = 24 * time.Hour

// TestAge has ages classed by the bounds, and confirmations from the future count as very old.
func TestAge(t *testing.T) {
	now := 20000 * day
	for age, want := range map[time.Duration]Age{-day: VeryOld, -time.Second: Fresh, 0: Fresh, time.Minute: Fresh, time.Hour: Old,
		2 * time.Hour: VeryOld, 2 * day: Unusable} {
		if got := bounds.Age(now, now-age); got != want {
			t.Errorf("%s: %s, want %s", age, got, want)
		}
	}
}

// TestStandings has stored runners get work by their age and by what is observed of them.
func TestStandings(t *testing.T) {
	now := 20000 * day
	for _, tc := range []struct {
		name     string
		stored   Stored
		evidence []Evidence // one every two seconds
		want     Standing
	}{
		{"fresh", Stored{Confirmed: now}, nil, Used},
		{"fresh, refuses", Stored{Confirmed: now}, []Evidence{Refused}, Withheld},
		{"old", Stored{Confirmed: now - time.Hour}, nil, Withheld},
		{"old, one good probe", Stored{Confirmed: now - time.Hour}, []Evidence{Answered}, Used},
		{"very old, one good probe", Stored{Confirmed: now - 5*time.Hour}, []Evidence{Answered}, Withheld},
		{"very old, two good probes", Stored{Confirmed: now - 5*time.Hour}, []Evidence{Answered, Answered}, Used},
		{"very old, starts a job", Stored{Confirmed: now - 5*time.Hour}, []Evidence{Started}, Used},
		{"too old", Stored{Confirmed: now - 2*day}, []Evidence{Answered, Answered, Started}, Rejected},
		{"failing, one good probe", Stored{Confirmed: now - time.Hour, Failing: true}, []Evidence{Answered}, Withheld},
		{"draining", Stored{Confirmed: now, Barred: true}, []Evidence{Answered, Started, Answered}, Barred},
		{"another runner at its address", Stored{Confirmed: now}, []Evidence{Impostor, Answered, Answered, Answered}, Rejected},
		{"refuses, then answers", Stored{Confirmed: now}, []Evidence{Refused, Answered}, Used},
		{"refuses, answers, times out", Stored{Confirmed: now}, []Evidence{Refused, Answered, TimedOut}, Withheld},
		{"proven, one broken connection", Stored{Confirmed: now}, []Evidence{Started, Broken}, Used},
		{"proven, two broken connections", Stored{Confirmed: now}, []Evidence{Started, Broken, Broken}, Withheld},
		{"proven, then refuses", Stored{Confirmed: now}, []Evidence{Started, Refused}, Withheld},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.stored.UID = "s"
			table := New(bounds, now, []Stored{tc.stored}, 1)
			for i, e := range tc.evidence {
				table.Observe(now+time.Duration(i+1)*2*time.Second, "s", e)
			}
			if got, _, reason := table.Standing("s"); got != tc.want {
				t.Errorf("it is %s (%s), want %s", got, reason, tc.want)
			}
		})
	}
}

// TestBook checks the invariants of the state table over random histories. Its name is that of the folder with
// histories that once failed.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 20000 * day
		cfg := bounds
		cfg.Dispatchers = rapid.IntRange(1, 8).Draw(t, "dispatchers")
		cfg.Number = rapid.IntRange(0, cfg.Dispatchers-1).Draw(t, "number")
		var stored []Stored
		for i := range rapid.IntRange(1, 12).Draw(t, "n") {
			stored = append(stored, Stored{UID: fmt.Sprint("s-", i), Addr: fmt.Sprint("a-", i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
				Confirmed: now - time.Duration(rapid.IntRange(-3600, 200000).Draw(t, "age"))*time.Second,
				Barred:    rapid.Bool().Draw(t, "barred"), Failing: rapid.Bool().Draw(t, "failing")})
		}
		table := New(cfg, now, stored, rapid.Uint64().Draw(t, "seed"))
		down := map[string]time.Duration{} // when it was last seen not to be up
		probing := map[string]bool{}
		startedAt := now
		probes := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			uids, next := table.NextProbes(now, 5)
			if len(uids) > 5 {
				t.Fatalf("%d are asked at once", len(uids))
			}
			if len(uids) == 0 && next <= now {
				t.Fatal("it is never asked, and never waited")
			}
			for _, uid := range uids {
				if s, _, _ := table.Standing(uid); probing[uid] || s == Barred || s == Rejected {
					t.Fatalf("%s is asked, though it is %s", uid, s)
				}
				probing[uid] = true
				probes++
			}
			if limit := probeBurst + 1 + int(float64(now-startedAt)/float64(time.Second)*cfg.ProbeRate); probes > limit {
				t.Fatalf("%d were asked in %s", probes, now-startedAt)
			}
			s := stored[rapid.IntRange(0, len(stored)-1).Draw(t, "who")]
			e := Evidence(rapid.IntRange(0, int(Impostor)).Draw(t, "evidence"))
			previous, previousCold, _ := table.Standing(s.UID)
			table.Observe(now, s.UID, e)
			delete(probing, s.UID)
			current, cold, reason := table.Standing(s.UID)
			if !e.Good() && current == Withheld {
				down[s.UID] = now
			}
			for _, uid := range func() []string { warm, _ := table.Tick(now); return warm }() {
				if _, cold, _ := table.Standing(uid); table.Owned(uid) || now < cold+cfg.WarmUp || cold < down[uid] {
					t.Fatalf("%s is taken for warm at %s, cold from %s", uid, now, cold)
				}
			}
			switch {
			case s.Barred && current != Barred:
				t.Fatalf("%s was barred and is %s", s.UID, current)
			case cfg.Age(startedAt, s.Confirmed) == Unusable && current == Used:
				t.Fatal("one that is too old is used")
			case previous == Withheld && current == Used && !table.Owned(s.UID):
				t.Fatalf("%s is another's while it is cold", s.UID)
			case e.Good() && previous == Waiting && current != Waiting, e.Good() && previous == Used && current != Used:
				t.Fatalf("good evidence takes %s out: %s", s.UID, reason)
			case e.Good() && previous == Used && cold != previousCold:
				t.Fatal("good evidence makes it cold again")
			case !e.Good() && current == Used && previous != Used:
				t.Fatal("bad evidence puts it in")
			case current == Used && cold < startedAt:
				t.Fatal("it is taken for warm before anybody knows")
			case current == Used && previous != Used && cold < down[s.UID]:
				t.Fatal("it is taken for warmer than it can be")
			}
		}
	})
}

// TestShares has dispatchers that do not communicate agree on the owners of each cold runner: each dispatcher owns
// some, and no runner has more owners than its ration is divided by.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, n := rapid.IntRange(1, 20).Draw(t, "dispatchers"), rapid.IntRange(1, 200).Draw(t, "runners")
		var stored []Stored
		for i := range n {
			stored = append(stored, Stored{UID: fmt.Sprint("s-", i), Confirmed: day})
		}
		users, has := map[string]int{}, make([]int, all)
		owners := 0
		for number := range all {
			cfg := bounds
			cfg.Dispatchers, cfg.Number = all, number
			table := New(cfg, day, stored, uint64(number))
			owners = table.owners
			for _, s := range stored {
				if table.Owned(s.UID) {
					users[s.UID]++
					has[number]++
				}
			}
		}
		for _, s := range stored {
			if users[s.UID] != owners {
				t.Fatalf("%s is used by %d, its ration is for %d", s.UID, users[s.UID], owners)
			}
		}
		for number, own := range has {
			if own == 0 && n >= coldPerDispatcher && owners < all && n*owners >= 8*all {
				t.Fatalf("dispatcher %d of %d has none of %d, %d each", number, all, n, owners)
			}
		}
	})
}

// TestOrder has a dispatcher probe its own zone and the youngest runners first, and not the same ones as all others.
func TestOrder(t *testing.T) {
	now := 20000 * day
	var stored []Stored
	for i := range 100 {
		s := Stored{UID: fmt.Sprint("s-", i), Zone: "b", Confirmed: now - 2*time.Hour}
		if i < 40 {
			s.Zone = "a"
		}
		if i < 20 {
			s.Confirmed = now - 10*time.Minute
		}
		stored = append(stored, s)
	}
	firsts := map[string]bool{}
	for seed := range uint64(8) {
		uids, next := New(bounds, now, stored, seed).NextProbes(now, 100)
		if len(uids) != probeBurst+1 || next > now+time.Second {
			t.Fatalf("%d are asked at first, the next after %s", len(uids), next-now)
		}
		for _, uid := range uids {
			var i int
			fmt.Sscanf(uid, "s-%d", &i)
			if i >= 20 {
				t.Errorf("%s is asked among the first", uid)
			}
		}
		firsts[uids[0]] = true
	}
	if len(firsts) < 4 {
		t.Errorf("of 8 dispatchers all begin with one of %v", firsts)
	}
}

// TestTakenAndBarred has a runner rejected whose address is another's, and one barred that operators have excluded.
func TestTakenAndBarred(t *testing.T) {
	table := New(bounds, day, []Stored{{UID: "s", Addr: "x", Confirmed: day}, {UID: "t", Addr: "y", Confirmed: day}}, 1)
	if diff := cmp.Diff([]string{"s"}, table.RejectAddress("x", "u")); diff != "" {
		t.Error(diff)
	}
	if s, _, _ := table.Standing("s"); s != Rejected {
		t.Errorf("a runner whose address is another's is %s", s)
	}
	table.SetExcluded("t", true)
	table.Observe(day, "t", Started)
	if s, _, _ := table.Standing("t"); s != Barred {
		t.Errorf("one that operators left out is %s", s)
	}
	table.SetExcluded("t", false)
	table.Observe(day, "t", Answered)
	if s, _, _ := table.Standing("t"); s != Used {
		t.Errorf("one that they put back and that answers is %s", s)
	}
	table.Remove("s")
	table.Remove("t")
	if remaining := table.UIDs(); len(remaining) > 0 {
		t.Errorf("%v are left", remaining)
	}
}

// TestLists has a full list that lacks most runners after an outage doubted, and accepted where it is confirmed.
func TestLists(t *testing.T) {
	type step struct {
		after          time.Duration
		failed         bool
		known, missing int
		want           Verdict
	}
	for _, tc := range []struct {
		name   string
		stored bool
		steps  []step
	}{
		{"an ordinary day", false, []step{{0, false, 10, 10, Accepted}, {time.Hour, false, 10, 9, Accepted}}},
		{"a short outage", false, []step{{0, true, 0, 0, 0}, {time.Second, false, 10, 10, Accepted}}},
		{"a long outage, then two empty lists", false, []step{{0, true, 0, 0, 0}, {time.Minute, false, 10, 10, Doubted}, {time.Second, false, 10, 10, Accepted}}},
		{"a long outage, then half, then all", false, []step{{0, true, 0, 0, 0}, {time.Minute, false, 10, 6, Doubted}, {time.Second, false, 10, 0, Accepted},
			{time.Second, false, 10, 10, Accepted}}},
		{"a long outage, then most", false, []step{{0, true, 0, 0, 0}, {time.Minute, false, 10, 5, Accepted}}},
		{"from a stored list", true, []step{{0, false, 10, 10, Doubted}, {time.Second, false, 10, 10, Accepted}}},
		{"flapping", false, []step{{0, true, 0, 0, 0}, {time.Minute, false, 10, 10, Doubted}, {time.Second, true, 0, 0, 0},
			{time.Minute, false, 10, 10, Accepted}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, now := NewFullUpdatePolicy(bounds, tc.stored), day
			for i, s := range tc.steps {
				now += s.after
				if s.failed {
					l.Failed(now)
					continue
				}
				if got := l.Judge(now, s.known, s.missing); got != s.want {
					t.Errorf("step %d: %d, want %d", i, got, s.want)
				}
			}
		})
	}
}
