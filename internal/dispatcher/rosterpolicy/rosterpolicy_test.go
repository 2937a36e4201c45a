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

func TestAge(t *testing.T) {
	now := 20000 * day
	for age, want := range map[time.Duration]Age{-day: VeryOld, -time.Second: Fresh, 0: Fresh, time.Minute: Fresh, time.Hour: Old,
		2 * time.Hour: VeryOld, 2 * day: Unusable} {
		if got := bounds.Age(now, now-age); got != want {
			t.Errorf("%s: %s, want %s", age, got, want)
		}
	}
}

// TestStandings guards who gets work of a stored list, and when.
func TestStandings(t *testing.T) {
	now := 20000 * day
	for _, tc := range []struct {
		name   string
		stored Stored
		hears  []Evidence // one every two seconds
		want   Standing
	}{
		{"fresh", Stored{Confirmed: now}, nil, Used},
		{"fresh and gone", Stored{Confirmed: now}, []Evidence{Refused}, Withheld},
		{"old", Stored{Confirmed: now - time.Hour}, nil, Withheld},
		{"old, answers", Stored{Confirmed: now - time.Hour}, []Evidence{Answered}, Used},
		{"very old, answers once", Stored{Confirmed: now - 5*time.Hour}, []Evidence{Answered}, Withheld},
		{"very old, answers twice", Stored{Confirmed: now - 5*time.Hour}, []Evidence{Answered, Answered}, Used},
		{"very old, told a start", Stored{Confirmed: now - 5*time.Hour}, []Evidence{Started}, Used},
		{"too old", Stored{Confirmed: now - 2*day}, []Evidence{Answered, Answered, Started}, Rejected},
		{"failing, answers once", Stored{Confirmed: now - time.Hour, Failing: true}, []Evidence{Answered}, Withheld},
		{"draining", Stored{Confirmed: now, Barred: true}, []Evidence{Answered, Started, Answered}, Barred},
		{"another", Stored{Confirmed: now}, []Evidence{Impostor, Answered, Answered, Answered}, Rejected},
		{"went and came", Stored{Confirmed: now}, []Evidence{Refused, Answered}, Used},
		{"went again", Stored{Confirmed: now}, []Evidence{Refused, Answered, TimedOut}, Withheld},
		{"works, one break", Stored{Confirmed: now}, []Evidence{Started, Broken}, Used},
		{"works, two breaks", Stored{Confirmed: now}, []Evidence{Started, Broken, Broken}, Withheld},
		{"works, is gone", Stored{Confirmed: now}, []Evidence{Started, Refused}, Withheld},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.stored.UID = "s"
			b := New(bounds, now, []Stored{tc.stored}, 1)
			for i, e := range tc.hears {
				b.Observe(now+time.Duration(i+1)*2*time.Second, "s", e)
			}
			if got, _, why := b.Standing("s"); got != tc.want {
				t.Errorf("it is %s (%s), want %s", got, why, tc.want)
			}
		})
	}
}

// TestBook holds any history of a book against what must hold of all.
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
		b := New(cfg, now, stored, rapid.Uint64().Draw(t, "seed"))
		down := map[string]time.Duration{} // when it was last seen not to be up
		asking := map[string]bool{}
		start := now
		asked := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			uids, next := b.NextProbes(now, 5)
			if len(uids) > 5 {
				t.Fatalf("%d are asked at once", len(uids))
			}
			if len(uids) == 0 && next <= now {
				t.Fatal("it is never asked, and never waited")
			}
			for _, uid := range uids {
				if s, _, _ := b.Standing(uid); asking[uid] || s == Barred || s == Rejected {
					t.Fatalf("%s is asked, though it is %s", uid, s)
				}
				asking[uid] = true
				asked++
			}
			if most := probeBurst + 1 + int(float64(now-start)/float64(time.Second)*cfg.ProbeRate); asked > most {
				t.Fatalf("%d were asked in %s", asked, now-start)
			}
			s := stored[rapid.IntRange(0, len(stored)-1).Draw(t, "who")]
			e := Evidence(rapid.IntRange(0, int(Impostor)).Draw(t, "evidence"))
			before, coldBefore, _ := b.Standing(s.UID)
			b.Observe(now, s.UID, e)
			delete(asking, s.UID)
			after, cold, why := b.Standing(s.UID)
			if !e.Good() && after == Withheld {
				down[s.UID] = now
			}
			for _, uid := range func() []string { warm, _ := b.Tick(now); return warm }() {
				if _, cold, _ := b.Standing(uid); b.Owned(uid) || now < cold+cfg.WarmUp || cold < down[uid] {
					t.Fatalf("%s is taken for warm at %s, cold from %s", uid, now, cold)
				}
			}
			switch {
			case s.Barred && after != Barred:
				t.Fatalf("%s was barred and is %s", s.UID, after)
			case cfg.Age(start, s.Confirmed) == Unusable && after == Used:
				t.Fatal("one that is too old is used")
			case before == Withheld && after == Used && !b.Owned(s.UID):
				t.Fatalf("%s is another's while it is cold", s.UID)
			case e.Good() && before == Waiting && after != Waiting, e.Good() && before == Used && after != Used:
				t.Fatalf("good evidence takes %s out: %s", s.UID, why)
			case e.Good() && before == Used && cold != coldBefore:
				t.Fatal("good evidence makes it cold again")
			case !e.Good() && after == Used && before != Used:
				t.Fatal("bad evidence puts it in")
			case after == Used && cold < start:
				t.Fatal("it is taken for warm before anybody knows")
			case after == Used && before != Used && cold < down[s.UID]:
				t.Fatal("it is taken for warmer than it can be")
			}
		}
	})
}

// TestShares guards rule 4 where dispatchers know nothing of each other: all of them draw
// alike who uses a runner while it is cold, each has some, and no runner has more of them
// than the ration is divided by.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, n := rapid.IntRange(1, 20).Draw(t, "dispatchers"), rapid.IntRange(1, 200).Draw(t, "runners")
		var stored []Stored
		for i := range n {
			stored = append(stored, Stored{UID: fmt.Sprint("s-", i), Confirmed: day})
		}
		users, has := map[string]int{}, make([]int, all)
		share := 0
		for number := range all {
			cfg := bounds
			cfg.Dispatchers, cfg.Number = all, number
			b := New(cfg, day, stored, uint64(number))
			share = b.owners
			for _, s := range stored {
				if b.Owned(s.UID) {
					users[s.UID]++
					has[number]++
				}
			}
		}
		for _, s := range stored {
			if users[s.UID] != share {
				t.Fatalf("%s is used by %d, its ration is for %d", s.UID, users[s.UID], share)
			}
		}
		for number, own := range has {
			if own == 0 && n >= coldPerDispatcher && share < all && n*share >= 8*all {
				t.Fatalf("dispatcher %d of %d has none of %d, %d each", number, all, n, share)
			}
		}
	})
}

// TestOrder guards the first seconds: the own zone and the youngest are asked first, and
// not the same ones by every dispatcher.
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

func TestTakenAndBarred(t *testing.T) {
	b := New(bounds, day, []Stored{{UID: "s", Addr: "x", Confirmed: day}, {UID: "t", Addr: "y", Confirmed: day}}, 1)
	if diff := cmp.Diff([]string{"s"}, b.RejectAddress("x", "u")); diff != "" {
		t.Error(diff)
	}
	if s, _, _ := b.Standing("s"); s != Rejected {
		t.Errorf("a runner whose address is another's is %s", s)
	}
	b.SetExcluded("t", true)
	b.Observe(day, "t", Started)
	if s, _, _ := b.Standing("t"); s != Barred {
		t.Errorf("one that operators left out is %s", s)
	}
	b.SetExcluded("t", false)
	b.Observe(day, "t", Answered)
	if s, _, _ := b.Standing("t"); s != Used {
		t.Errorf("one that they put back and that answers is %s", s)
	}
	b.Remove("s")
	b.Remove("t")
	if left := b.UIDs(); len(left) > 0 {
		t.Errorf("%v are left", left)
	}
}

// TestLists guards the fleet against a roster that comes back with nothing, and the
// roster's word where it is meant.
func TestLists(t *testing.T) {
	type step struct {
		after        time.Duration
		failed       bool
		known, lacks int
		want         Verdict
	}
	for _, tc := range []struct {
		name   string
		stored bool
		steps  []step
	}{
		{"an ordinary day", false, []step{{0, false, 10, 10, Accepted}, {time.Hour, false, 10, 9, Accepted}}},
		{"a short silence", false, []step{{0, true, 0, 0, 0}, {time.Second, false, 10, 10, Accepted}}},
		{"a long silence, then nothing, twice", false, []step{{0, true, 0, 0, 0}, {time.Minute, false, 10, 10, Doubted}, {time.Second, false, 10, 10, Accepted}}},
		{"a long silence, then half, then all", false, []step{{0, true, 0, 0, 0}, {time.Minute, false, 10, 6, Doubted}, {time.Second, false, 10, 0, Accepted},
			{time.Second, false, 10, 10, Accepted}}},
		{"a long silence, then most", false, []step{{0, true, 0, 0, 0}, {time.Minute, false, 10, 5, Accepted}}},
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
				if got := l.Judge(now, s.known, s.lacks); got != s.want {
					t.Errorf("step %d: %d, want %d", i, got, s.want)
				}
			}
		})
	}
}
