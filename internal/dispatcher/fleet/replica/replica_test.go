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

// facts draws facts that collide: few names, times and versions.
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

func storeOf(all []Fact) *Store {
	s := New(DefaultBounds())
	for _, f := range all {
		_, _, _ = s.Merge(f, now)
	}
	return s
}

func contents(s *Store) []Fact {
	var out []Fact
	for k := range Kinds {
		out = append(out, s.All(Kind(k))...)
	}
	return out
}

// TestMergeIsALattice checks that merging facts in any order, any number of times and in any
// groups leaves the same store, and that equal stores have equal digests.
func TestMergeIsALattice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := rapid.SliceOf(facts()).Draw(t, "a"), rapid.SliceOf(facts()).Draw(t, "b"), rapid.SliceOf(facts()).Draw(t, "c")
		want := storeOf(slices.Concat(a, b, c))
		left := storeOf(slices.Concat(contents(storeOf(slices.Concat(a, b))), c))
		right := storeOf(slices.Concat(contents(storeOf(slices.Concat(c, b))), contents(storeOf(a)), b, a, a))
		for _, got := range []*Store{left, right} {
			if diff := cmp.Diff(contents(want), contents(got)); diff != "" {
				t.Fatalf("another order leaves something else (-one +other):\n%s", diff)
			}
			if got.Digest() != want.Digest() {
				t.Fatal("equal stores have different digests")
			}
		}
	})
}

// TestDrainPersists checks that, after any merges, a runner that a discovery reported as draining
// does not look ready unless that discovery has reported it in a newer version.
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
				t.Fatalf("%+v was told, and the runner looks ready: %+v", drain, f)
			}
		}
	})
}

// TestDigestFinds checks that differing stores have differing digests, and that two stores become
// equal by exchanging the differing buckets alone.
func TestDigestFinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := storeOf(rapid.SliceOf(facts()).Draw(t, "a")), storeOf(rapid.SliceOf(facts()).Draw(t, "b"))
		differ := a.DifferingBuckets(b.Digest(), now)
		if same := cmp.Equal(contents(a), contents(b)); same != (len(differ) == 0) {
			t.Fatalf("the stores are the same: %t, buckets that differ: %v", same, differ)
		}
		for _, i := range differ {
			mine, others := a.Bucket(i), b.Bucket(i)
			for _, f := range others {
				_, _, _ = a.Merge(f, now)
			}
			for _, f := range mine {
				_, _, _ = b.Merge(f, now)
			}
		}
		if a.Digest() != b.Digest() || len(a.DifferingBuckets(b.Digest(), now)) > 0 {
			t.Fatal("after an exchange they differ still")
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
		t.Errorf("%d facts are left and %d dropped, of a bound of 32", n, dropped)
	}
	if _, ok := small.Get(Key{Health, "0", ""}); !ok {
		t.Error("the newest is gone")
	}
	large.DifferingBuckets(small.Digest(), now)
	if small.Digest() != large.Digest() {
		t.Error("the other keeps what was dropped here, and would send it for ever")
	}
	if out, _, _ := small.Merge(Fact{Key: Key{Kind: Health, Name: "99"}, At: now - 99}, now); out != Expired {
		t.Errorf("what was dropped comes back: %d", out)
	}
}

// TestEnds checks that deduplication windows and tombstones expire by the time given.
func TestEnds(t *testing.T) {
	gone := Fact{Key: Key{Runner, "s-1", "d"}, State: Deleted, Rev: 4, At: now}
	job := Fact{Key: Key{JobOutcome, "render/k", "zone-a"}, State: Sent, At: now, Until: now + 500}
	s := storeOf([]Fact{gone, job})
	if got := s.Outcomes("render/k", now); len(got) != 1 || len(s.Outcomes("render/k", now+500)) > 0 {
		t.Errorf("of the key is known %v, and after its window %v", got, s.Outcomes("render/k", now+500))
	}
	again := Fact{Key: job.Key, State: Sent, At: now + 600, Until: now + 900}
	late := storeOf([]Fact{{Key: job.Key, State: Done, At: now, Until: now + 500}})
	if out, _, _ := late.Merge(again, now+600); out != Accepted {
		t.Errorf("a key that comes again after its window is not taken in: %d", out)
	}
	if s.Expire(now + 499); len(contents(s)) != 2 {
		t.Errorf("left %v, want both", contents(s))
	}
	if s.Expire(now + 500); len(contents(s)) != 1 || len(s.outcomeScopes) > 0 {
		t.Errorf("left %v, want the window ended", contents(s))
	}
	if s.Expire(now + tombstoneTTL); len(contents(s)) != 0 || s.Digest() != New(DefaultBounds()).Digest() {
		t.Errorf("left %v", contents(s))
	}
	if out, _, _ := s.Merge(gone, now+tombstoneTTL); out != Expired {
		t.Errorf("a forgotten end was taken in again: %d", out)
	}
}

// TestConflicts checks that contradicting results are reported.
func TestConflicts(t *testing.T) {
	job := Fact{Key: OutcomeKey("render/k", "zone-a", "d1", 7), By: "d1", Epoch: 7, State: Done, At: now, Until: now + 500, Sum: "1"}
	s := storeOf([]Fact{job})
	other := job
	other.Sum = "2"
	if _, conflict, _ := s.Merge(other, now); !conflict {
		t.Error("two results of one key are no conflict")
	}
	if _, conflict, _ := s.Merge(other, now); conflict {
		t.Error("the same told again is one")
	}
	other = job
	other.Key, other.By, other.Sum = OutcomeKey("render/k", "zone-a", "d2", 7), "d2", "3"
	if _, conflict, _ := s.Merge(other, now); !conflict {
		t.Error("two dispatchers' results of one key are no conflict")
	}
	other.Key, other.By = OutcomeKey("render/k", "zone-b", "d3", 7), "d3"
	if _, conflict, _ := s.Merge(other, now); conflict {
		t.Error("another group's result is one")
	}
}

// TestInvalid checks that malformed facts are rejected.
func TestInvalid(t *testing.T) {
	long := string(make([]byte, 2000))
	for name, f := range map[string]Fact{
		"no kind":        {},
		"newer kind":     {Key: Key{Kind: kindEnd, Name: "x"}},
		"no name":        {Key: Key{Kind: Health}},
		"long name":      {Key: Key{Kind: Health, Name: long}},
		"long entry":     {Key: Key{Kind: Health, Name: "x"}, Entry: json.RawMessage(`"` + long + `"`)},
		"entry no JSON":  {Key: Key{Kind: Health, Name: "x"}, Entry: json.RawMessage(`{`)},
		"from tomorrow":  {Key: Key{Kind: Health, Name: "x"}, At: now + 86_400_000},
		"no state":       {Key: Key{Kind: Runner, Name: "x"}},
		"endless window": {Key: Key{Kind: JobOutcome, Name: "x"}, State: Sent, At: now, Until: now + 1e12},
	} {
		s := New(DefaultBounds())
		if out, _, err := s.Merge(f, now); out != Invalid || err == nil || len(contents(s)) > 0 {
			t.Errorf("%s: outcome %d, %v", name, out, err)
		}
	}
}
