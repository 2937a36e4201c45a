package rosterpolicy

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

var defaultConfig = Config{Fresh: 2 * time.Minute, Old: time.Hour, Max: 24 * time.Hour, Zone: "a", ProbeRate: 100, Dispatchers: 1, WarmUp: 23 * time.Second,
	Outage: 5 * time.Second, MaxMissing: 0.5, DoubtTimeout: 30 * time.Second}

const day = 24 * time.Hour

// TestAge checks the bounds of the age classes, and that a confirmation from the future is VeryOld.
func TestAge(t *testing.T) {
	now := 20000 * day
	for _, tc := range []struct {
		name string
		age  time.Duration
		want Age
	}{
		{"from the future", -day, VeryOld},
		{"within the clock skew", -time.Second, Fresh},
		{"just now", 0, Fresh},
		{"a minute", time.Minute, Fresh},
		{"an hour", time.Hour, Old},
		{"two hours", 2 * time.Hour, VeryOld},
		{"two days", 2 * day, Unusable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := defaultConfig.Age(now, now-tc.age); got != tc.want {
				t.Errorf("Age = %s, want %s", got, tc.want)
			}
		})
	}
}

// TestStandings checks the standing of a stored runner by its age and a sequence of evidence.
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
			table := New(defaultConfig, now, []Stored{tc.stored}, 1)
			for i, e := range tc.evidence {
				table.Observe(now+time.Duration(i+1)*2*time.Second, "s", e)
			}
			if got, _, reason := table.Standing("s"); got != tc.want {
				t.Errorf("standing = %s (%s), want %s", got, reason, tc.want)
			}
		})
	}
}

// TestStateTable checks the invariants of the state table on random sequences of evidence.
func TestStateTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			h.probe(t)
			s := h.stored[rapid.IntRange(0, len(h.stored)-1).Draw(t, "runner")]
			e := Evidence(rapid.IntRange(0, int(Impostor)).Draw(t, "evidence"))
			h.observe(t, s, e)
		}
	})
}

// history drives a state table with random events and tracks what the invariants are checked by.
type history struct {
	cfg            Config
	stored         []Stored
	table          *StateTable
	startedAt, now time.Duration
	down           map[string]time.Duration // when bad evidence last withheld a runner
	probing        map[string]bool          // runners with a probe in flight
	probes         int                      // probes started so far
}

func newHistory(t *rapid.T) *history {
	h := &history{cfg: defaultConfig, startedAt: 20000 * day, now: 20000 * day, down: map[string]time.Duration{}, probing: map[string]bool{}}
	h.cfg.Dispatchers = rapid.IntRange(1, 8).Draw(t, "dispatchers")
	h.cfg.Number = rapid.IntRange(0, h.cfg.Dispatchers-1).Draw(t, "number")
	for i := range rapid.IntRange(1, 12).Draw(t, "n") {
		h.stored = append(h.stored, Stored{UID: fmt.Sprint("s-", i), Addr: fmt.Sprint("a-", i), Zone: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
			Confirmed: h.now - time.Duration(rapid.IntRange(-3600, 200000).Draw(t, "age"))*time.Second,
			Barred:    rapid.Bool().Draw(t, "barred"), Failing: rapid.Bool().Draw(t, "failing")})
	}
	h.table = New(h.cfg, h.now, h.stored, rapid.Uint64().Draw(t, "seed"))
	return h
}

// probe starts the probes that the table requests. It fails the test if they exceed the limit or
// the probe rate, or if a runner is probed that must not be.
func (h *history) probe(t *rapid.T) {
	t.Helper()
	uids, next := h.table.NextProbes(h.now, 5)
	if len(uids) > 5 {
		t.Fatalf("NextProbes returned %d runners, want at most 5", len(uids))
	}
	if len(uids) == 0 && next <= h.now {
		t.Fatal("NextProbes returned no runner and a next call that is not in the future")
	}
	for _, uid := range uids {
		if s, _, _ := h.table.Standing(uid); h.probing[uid] || s == Barred || s == Rejected {
			t.Fatalf("NextProbes returned %s, which is %s; want a runner without a probe in flight that is not barred or rejected", uid, s)
		}
		h.probing[uid] = true
		h.probes++
	}
	if limit := probeBurst + 1 + int(float64(h.now-h.startedAt)/float64(time.Second)*h.cfg.ProbeRate); h.probes > limit {
		t.Fatalf("%d probes started in %s, which exceeds the probe rate", h.probes, h.now-h.startedAt)
	}
}

// observe passes evidence of a runner and the current time to the table. It fails the test if a
// standing changes against the invariants of the package.
func (h *history) observe(t *rapid.T, s Stored, e Evidence) {
	t.Helper()
	previous, previousWarmingUpSince, _ := h.table.Standing(s.UID)
	h.table.Observe(h.now, s.UID, e)
	delete(h.probing, s.UID)
	current, warmingUpSince, reason := h.table.Standing(s.UID)
	if !e.Good() && current == Withheld {
		h.down[s.UID] = h.now
	}
	warmed, _ := h.table.Tick(h.now)
	for _, uid := range warmed {
		if _, warmingUpSince, _ := h.table.Standing(uid); h.table.Owned(uid) || h.now < warmingUpSince+h.cfg.WarmUp || warmingUpSince < h.down[uid] {
			t.Fatalf("Tick returned %s as warm at %s, though it may be warming up since %s, was down later, or is owned", uid, h.now, warmingUpSince)
		}
	}
	switch {
	case s.Barred && current != Barred:
		t.Fatalf("barred runner %s: standing = %s, want barred", s.UID, current)
	case h.cfg.Age(h.startedAt, s.Confirmed) == Unusable && current == Used:
		t.Fatal("a runner of unusable age is used")
	case previous == Withheld && current == Used && !h.table.Owned(s.UID):
		t.Fatalf("runner %s is used while it is cold, though this dispatcher does not own it", s.UID)
	case e.Good() && previous == Waiting && current != Waiting, e.Good() && previous == Used && current != Used:
		t.Fatalf("good evidence took runner %s out of use: %s", s.UID, reason)
	case e.Good() && previous == Used && warmingUpSince != previousWarmingUpSince:
		t.Fatal("good evidence changed the warm-up start of a runner in use")
	case !e.Good() && current == Used && previous != Used:
		t.Fatal("bad evidence brought a runner into use")
	case current == Used && warmingUpSince < h.startedAt:
		t.Fatal("a runner in use counts as warming up since before the table's start")
	case current == Used && previous != Used && warmingUpSince < h.down[s.UID]:
		t.Fatal("a runner came into use with a warm-up start before it was last down")
	}
}

// TestColdRunnerOwners checks that dispatchers agree on the owners of each cold runner without
// communicating: every dispatcher owns some, and each runner has as many owners as its warm-up
// budget is divided for.
func TestColdRunnerOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dispatchers, n := rapid.IntRange(1, 20).Draw(t, "dispatchers"), rapid.IntRange(1, 200).Draw(t, "runners")
		var stored []Stored
		for i := range n {
			stored = append(stored, Stored{UID: fmt.Sprint("s-", i), Confirmed: day})
		}
		ownersOf, ownedBy := map[string]int{}, make([]int, dispatchers)
		owners := 0
		for number := range dispatchers {
			cfg := defaultConfig
			cfg.Dispatchers, cfg.Number = dispatchers, number
			table := New(cfg, day, stored, uint64(number))
			owners = table.owners
			for _, s := range stored {
				if table.Owned(s.UID) {
					ownersOf[s.UID]++
					ownedBy[number]++
				}
			}
		}
		for _, s := range stored {
			if ownersOf[s.UID] != owners {
				t.Fatalf("runner %s has %d owners, want %d", s.UID, ownersOf[s.UID], owners)
			}
		}
		for number, own := range ownedBy {
			if own == 0 && n >= warmingUpPerDispatcher && owners < dispatchers && n*owners >= 8*dispatchers {
				t.Fatalf("dispatcher %d of %d owns none of %d runners with %d owners each", number, dispatchers, n, owners)
			}
		}
	})
}

// TestProbeOrder checks that a dispatcher first probes the runners of its own zone that were
// confirmed most recently, and that dispatchers with different seeds start with different ones.
func TestProbeOrder(t *testing.T) {
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
	firstProbed := map[string]bool{}
	for seed := range uint64(8) {
		uids, next := New(defaultConfig, now, stored, seed).NextProbes(now, 100)
		if len(uids) != probeBurst+1 || next > now+time.Second {
			t.Fatalf("NextProbes returned %d runners and a next call after %s, want probeBurst+1 runners and at most 1 s", len(uids), next-now)
		}
		for _, uid := range uids {
			var i int
			fmt.Sscanf(uid, "s-%d", &i)
			if i >= 20 {
				t.Errorf("%s is among the first probes, want one of s-0 to s-19", uid)
			}
		}
		firstProbed[uids[0]] = true
	}
	if len(firstProbed) < 4 {
		t.Errorf("the first runners that 8 dispatchers probe are %v, want at least 4 different ones", firstProbed)
	}
}

// TestRejectAddressAndSetExcluded checks that a runner is rejected when its address is
// reassigned, and that one is barred while operators exclude it and used again once it is
// reinstated and probed.
func TestRejectAddressAndSetExcluded(t *testing.T) {
	table := New(defaultConfig, day, []Stored{{UID: "s", Addr: "x", Confirmed: day}, {UID: "t", Addr: "y", Confirmed: day}}, 1)
	if diff := cmp.Diff([]string{"s"}, table.RejectAddress("x", "u")); diff != "" {
		t.Error(diff)
	}
	if s, _, _ := table.Standing("s"); s != Rejected {
		t.Errorf("standing after RejectAddress = %s, want rejected", s)
	}
	table.SetExcluded("t", true)
	table.Observe(day, "t", Started)
	if s, _, _ := table.Standing("t"); s != Barred {
		t.Errorf("standing while excluded = %s, want barred", s)
	}
	table.SetExcluded("t", false)
	table.Observe(day, "t", Answered)
	if s, _, _ := table.Standing("t"); s != Used {
		t.Errorf("standing after reinstatement and a successful probe = %s, want used", s)
	}
	table.Remove("s")
	table.Remove("t")
	if remaining := table.UIDs(); len(remaining) > 0 {
		t.Errorf("runners after Remove: %v, want none", remaining)
	}
}

// TestFullUpdatePolicy checks that a full list that lacks most runners is doubted after an outage,
// and that the next one is accepted.
func TestFullUpdatePolicy(t *testing.T) {
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
		{"no outage", false, []step{{0, false, 10, 10, Accepted}, {time.Hour, false, 10, 9, Accepted}}},
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
			policy, now := NewFullUpdatePolicy(defaultConfig, tc.stored), day
			for i, s := range tc.steps {
				now += s.after
				if s.failed {
					policy.Failed(now)
					continue
				}
				if got := policy.Judge(now, s.known, s.missing); got != s.want {
					t.Errorf("step %d: verdict = %d, want %d", i, got, s.want)
				}
			}
		})
	}
}
