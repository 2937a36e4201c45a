package replica

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const now = int64(1_790_000_000_000)

// facts draws facts from so few names, times and versions that many of them have the same key.
func facts() *rapid.Generator[Fact] {
	return rapid.Custom(func(t *rapid.T) Fact {
		kind := rapid.SampledFrom([]Kind{Runner, Health, JobOutcome}).Draw(t, "kind")
		f := Fact{Key: Key{Kind: kind, Name: rapid.SampledFrom([]string{"s-1", "s-2", "s-3"}).Draw(t, "name")},
			At: now - int64(rapid.IntRange(0, 5).Draw(t, "at")), By: rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "by")}
		small := func(name string) uint64 { return uint64(rapid.IntRange(0, 3).Draw(t, name)) }
		switch kind {
		case Runner:
			f.Scope = rapid.SampledFrom([]string{"disc-a", "disc-b"}).Draw(t, "scope")
			f.Gen, f.Rev, f.State = small("gen"), small("rev"), State(1+small("state")%3)
		case Health:
			f.Entry = json.RawMessage(fmt.Sprint(small("entry")))
		case JobOutcome:
			f.State, f.Rev, f.Until, f.Sum = State(1+small("state")%3), small("rev"), now+1+int64(small("until")), fmt.Sprint(small("sum"))
		}
		return f
	})
}

// storeOf returns a store into which the facts were merged in the order given.
func storeOf(all []Fact) *Store {
	s := New(DefaultBounds())
	for _, f := range all {
		_, _, _ = s.Merge(f, now)
	}
	return s
}

// contents returns all facts of a store, ordered by kind, name and scope.
func contents(s *Store) []Fact {
	var out []Fact
	for k := range Kinds {
		out = append(out, s.All(Kind(k))...)
	}
	return out
}

// TestMergeOrderIndependent checks that merging is associative, commutative and idempotent: facts
// merged in any order and grouping, also repeatedly, result in the same store. It also checks that
// equal stores have equal digests.
func TestMergeOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := rapid.SliceOf(facts()).Draw(t, "a"), rapid.SliceOf(facts()).Draw(t, "b"), rapid.SliceOf(facts()).Draw(t, "c")
		want := storeOf(slices.Concat(a, b, c))
		left := storeOf(slices.Concat(contents(storeOf(slices.Concat(a, b))), c))
		right := storeOf(slices.Concat(contents(storeOf(slices.Concat(c, b))), contents(storeOf(a)), b, a, a))
		for _, got := range []*Store{left, right} {
			if diff := cmp.Diff(contents(want), contents(got)); diff != "" {
				t.Fatalf("another order of merging results in another store (-want +got):\n%s", diff)
			}
			if got.Digest() != want.Digest() {
				t.Fatal("equal stores have different digests")
			}
		}
	})
}

// TestDrainPersists checks that, after any merges, a runner that a discovery reported as draining
// is not in state Serving unless that discovery has reported it in a newer version.
func TestDrainPersists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOf(facts()).Draw(t, "facts")
		s := storeOf(all)
		for _, drain := range all {
			if drain.Kind != Runner || drain.State != Draining {
				continue
			}
			f, _ := s.Get(drain.Key)
			newer := f.Gen > drain.Gen || f.Gen == drain.Gen && f.Rev > drain.Rev
			if !newer && f.State == Serving {
				t.Fatalf("after merging %+v the store holds %+v, want no Serving state without a newer version", drain, f)
			}
		}
	})
}

// TestDifferingBuckets checks that differing stores have differing digests, and that two stores
// become equal by exchanging only the differing buckets.
func TestDifferingBuckets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := storeOf(rapid.SliceOf(facts()).Draw(t, "a")), storeOf(rapid.SliceOf(facts()).Draw(t, "b"))
		differing := a.DifferingBuckets(b.Digest(), now)
		if same := cmp.Equal(contents(a), contents(b)); same != (len(differing) == 0) {
			t.Fatalf("equal stores: %t, but got differing buckets %v", same, differing)
		}
		for _, i := range differing {
			ofA, ofB := a.Bucket(i), b.Bucket(i)
			for _, f := range ofB {
				_, _, _ = a.Merge(f, now)
			}
			for _, f := range ofA {
				_, _, _ = b.Merge(f, now)
			}
		}
		if a.Digest() != b.Digest() || len(a.DifferingBuckets(b.Digest(), now)) > 0 {
			t.Fatal("the stores still differ after exchanging the differing buckets")
		}
	})
}

// TestBounds checks that a store beyond its bound drops its oldest facts, counts them, and does
// not accept them again from a member that still has them.
func TestBounds(t *testing.T) {
	small, large := New(Bounds{Health: 32, JobOutcome: 32}), New(DefaultBounds())
	order := rand.New(rand.NewPCG(1, 2)).Perm(100)
	for _, i := range order {
		f := Fact{Key: Key{Kind: Health, Name: fmt.Sprint(i)}, At: now - int64(i)}
		_, _, _ = small.Merge(f, now)
		_, _, _ = large.Merge(f, now)
	}
	n, dropped := small.Len(Health)
	if n > 32 || n < 16 || dropped == 0 {
		t.Errorf("got %d facts stored and %d dropped, want 16 to 32 stored and the others dropped", n, dropped)
	}
	if _, ok := small.Get(Key{Health, "0", ""}); !ok {
		t.Error("the newest fact was dropped, want the oldest dropped first")
	}
	large.DifferingBuckets(small.Digest(), now)
	if small.Digest() != large.Digest() {
		t.Error("the other store keeps facts dropped here, and would send them at each comparison")
	}
	if out, _, _ := small.Merge(Fact{Key: Key{Kind: Health, Name: "99"}, At: now - 99}, now); out != Expired {
		t.Errorf("merging a dropped fact again: got result %d, want Expired", out)
	}
}

// TestExpiry checks that outcome records expire at the end of their deduplication window, and
// tombstones after tombstoneTTL.
func TestExpiry(t *testing.T) {
	tombstone := Fact{Key: Key{Runner, "s-1", "d"}, State: Deleted, Rev: 4, At: now}
	job := Fact{Key: Key{JobOutcome, "render/k", "zone-a"}, State: Sent, At: now, Until: now + 500}
	s := storeOf([]Fact{tombstone, job})
	if got := s.Outcomes("render/k", now); len(got) != 1 || len(s.Outcomes("render/k", now+500)) > 0 {
		t.Errorf("got records %v during the window and %v after it, want one and none", got, s.Outcomes("render/k", now+500))
	}
	again := Fact{Key: job.Key, State: Sent, At: now + 600, Until: now + 900}
	late := storeOf([]Fact{{Key: job.Key, State: Done, At: now, Until: now + 500}})
	if out, _, _ := late.Merge(again, now+600); out != Accepted {
		t.Errorf("merging a record of the key's next window: got result %d, want Accepted", out)
	}
	if s.Expire(now + 499); len(contents(s)) != 2 {
		t.Errorf("got facts %v before the end of the window, want both", contents(s))
	}
	if s.Expire(now + 500); len(contents(s)) != 1 || len(s.outcomeScopes) > 0 {
		t.Errorf("got facts %v at the end of the window, want only the tombstone and no outcome scope", contents(s))
	}
	if s.Expire(now + tombstoneTTL); len(contents(s)) != 0 || s.Digest() != New(DefaultBounds()).Digest() {
		t.Errorf("got facts %v after tombstoneTTL, want an empty store", contents(s))
	}
	if out, _, _ := s.Merge(tombstone, now+tombstoneTTL); out != Expired {
		t.Errorf("merging an expired tombstone: got result %d, want Expired", out)
	}
}

// TestConflicts checks that different results of one job in one group are reported as a conflict,
// whether one process recorded them or two, and that repetitions and other groups are not.
func TestConflicts(t *testing.T) {
	job := Fact{Key: OutcomeKey("render/k", "zone-a", "d1", 7), By: "d1", Epoch: 7, State: Done, At: now, Until: now + 500, Sum: "1"}
	s := storeOf([]Fact{job})
	other := job
	other.Sum = "2"
	if _, conflict, _ := s.Merge(other, now); !conflict {
		t.Error("two results in one record: got no conflict, want one")
	}
	if _, conflict, _ := s.Merge(other, now); conflict {
		t.Error("a repeated fact: got a conflict, want none")
	}
	other = job
	other.Key, other.By, other.Sum = OutcomeKey("render/k", "zone-a", "d2", 7), "d2", "3"
	if _, conflict, _ := s.Merge(other, now); !conflict {
		t.Error("two dispatchers' results of one job: got no conflict, want one")
	}
	other.Key, other.By = OutcomeKey("render/k", "zone-b", "d3", 7), "d3"
	if _, conflict, _ := s.Merge(other, now); conflict {
		t.Error("another group's result: got a conflict, want none")
	}
}

// TestInvalid checks that malformed facts are rejected with an error and not stored.
func TestInvalid(t *testing.T) {
	long := string(make([]byte, 2000))
	for name, f := range map[string]Fact{
		"no kind":        {},
		"newer kind":     {Key: Key{Kind: kindEnd, Name: "x"}},
		"no name":        {Key: Key{Kind: Health}},
		"long name":      {Key: Key{Kind: Health, Name: long}},
		"long entry":     {Key: Key{Kind: Health, Name: "x"}, Entry: json.RawMessage(`"` + long + `"`)},
		"invalid JSON":   {Key: Key{Kind: Health, Name: "x"}, Entry: json.RawMessage(`{`)},
		"future time":    {Key: Key{Kind: Health, Name: "x"}, At: now + 86_400_000},
		"no state":       {Key: Key{Kind: Runner, Name: "x"}},
		"endless window": {Key: Key{Kind: JobOutcome, Name: "x"}, State: Sent, At: now, Until: now + 1e12},
	} {
		s := New(DefaultBounds())
		if out, _, err := s.Merge(f, now); out != Invalid || err == nil || len(contents(s)) > 0 {
			t.Errorf("%s: got result %d, error %v; want Invalid, an error and an empty store", name, out, err)
		}
	}
}
