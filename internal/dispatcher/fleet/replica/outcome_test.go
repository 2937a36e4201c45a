package replica

import (
	"testing"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestOneWriter checks that a replica that receives a process's records in any order, with
// repetitions and omissions, holds the latest one it received, and that a record on which other
// attempts rely is never retracted.
func TestOneWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := OutcomeKey("release/k", "a#0", "d1", 7)
		var updates []Fact
		var was *Fact
		resting, done := 0, false // attempts that may run, and whether one has
		for i := range rapid.IntRange(1, 12).Draw(t, "words") {
			at := now + int64(i)/3
			switch rapid.IntRange(0, 3).Draw(t, "word") {
			case 0, 1:
				f := RecordSending(was, key, "d1", 7, at, 1000)
				was = &f
				resting++
			case 2:
				f, ok := RecordNeverRan(was)
				if ok && (resting != 1 || done) {
					t.Fatalf("%d rest on a word that is taken back", resting)
				}
				if !ok {
					continue
				}
				was, resting = &f, 0
			case 3:
				f := RecordDone(was, key, "d1", 7, at, 1000, "sum")
				was, done = &f, true
			}
			updates = append(updates, *was)
		}
		if len(updates) == 0 {
			return
		}
		s := New(DefaultBounds())
		order := rapid.SliceOf(rapid.IntRange(0, len(updates)-1)).Draw(t, "order")
		last := -1
		for _, i := range order {
			if _, _, err := s.Merge(updates[i], now+5); err != nil {
				t.Fatal(err)
			}
			last = max(last, i)
		}
		if got, ok := s.Get(key); last >= 0 && (!ok || Compare(&got, &updates[last]) != 0) {
			t.Fatalf("it holds %+v, and has heard %+v", got, updates[last])
		}
	})
}

// TestBoundGroups checks that a key is bound to each group once, from the first attempt there that
// may have run, whoever sent it, and to no group in which no attempt can have run.
func TestBoundGroups(t *testing.T) {
	sent := func(group, by string, at int64) Fact {
		return RecordSending(nil, OutcomeKey("release/k", group, by, 7), by, 7, at, 1000)
	}
	freed, _ := RecordNeverRan(new(sent("b#0", "d1", now)))
	got := BoundGroups([]Fact{sent("a#0", "d2", now+5), freed, sent("a#0", "d@1/7", now+1), sent("c@x#1", "d1", now+2)})
	if len(got) != 2 || got[0].Scope != "a#0" || got[0].At != now+1 || got[0].Until != now+1001 || got[1].Scope != "c@x#1" {
		t.Errorf("bound to %+v", got)
	}
	if got := BoundGroups([]Fact{freed}); len(got) > 0 {
		t.Errorf("what never ran binds it to %+v", got)
	}
	again := RecordSending(&freed, freed.Key, "d1", 7, now, 1000)
	if Compare(&again, &freed) <= 0 || again.State != Sent {
		t.Errorf("what is sent after that does not count: %+v", again)
	}
}
