package replica

import (
	"testing"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestRecordsOfOneWriter checks that a replica that receives a process's records in any order, with
// repetitions and omissions, holds the latest one it received, and that a record on which other
// attempts rely is never retracted.
func TestRecordsOfOneWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := OutcomeKey("release/k", "a#0", "d1", 7)
		var updates []Fact
		var current *Fact
		relying, done := 0, false // attempts relying on the current record; whether one has run
		for i := range rapid.IntRange(1, 12).Draw(t, "record count") {
			at := now + int64(i)/3
			switch rapid.IntRange(0, 3).Draw(t, "record") {
			case 0, 1:
				f := RecordSending(current, key, "d1", 7, at, 1000)
				current = &f
				relying++
			case 2:
				f, ok := RecordNeverRan(current)
				if ok && (relying != 1 || done) {
					t.Fatalf("retracted a record on which %d attempts rely, or one that is done; want one attempt, not done", relying)
				}
				if !ok {
					continue
				}
				current, relying = &f, 0
			case 3:
				f := RecordDone(current, key, "d1", 7, at, 1000, "sum")
				current, done = &f, true
			}
			updates = append(updates, *current)
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
			t.Fatalf("the store holds %+v, want the latest received record %+v", got, updates[last])
		}
	})
}

// TestBoundGroups checks that a job is bound once to each group in which an attempt may have run,
// from the first such attempt by any dispatcher, and to no other group.
func TestBoundGroups(t *testing.T) {
	sent := func(group, by string, at int64) Fact {
		return RecordSending(nil, OutcomeKey("release/k", group, by, 7), by, 7, at, 1000)
	}
	retracted, _ := RecordNeverRan(new(sent("b#0", "d1", now)))
	got := BoundGroups([]Fact{sent("a#0", "d2", now+5), retracted, sent("a#0", "d@1/7", now+1), sent("c@x#1", "d1", now+2)})
	if len(got) != 2 || got[0].Scope != "a#0" || got[0].At != now+1 || got[0].Until != now+1001 || got[1].Scope != "c@x#1" {
		t.Errorf("got groups %+v, want a#0 since its first attempt, and c@x#1", got)
	}
	if got := BoundGroups([]Fact{retracted}); len(got) > 0 {
		t.Errorf("after a retraction only: got groups %+v, want none", got)
	}
	again := RecordSending(&retracted, retracted.Key, "d1", 7, now, 1000)
	if Compare(&again, &retracted) <= 0 || again.State != Sent {
		t.Errorf("got record %+v of an attempt after a retraction, want Sent, and that it wins over the retraction", again)
	}
}
