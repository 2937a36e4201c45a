package replica

import (
	"testing"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestOneWriter has a copy that hears a process's words in any order, some twice, some never,
// hold the last that it heard; and a word that others rest on is never taken back.
func TestOneWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := FateKey("release/k", "a#0", "d1", 7)
		var words []Fact
		var was *Fact
		resting, done := 0, false // attempts that may run, and whether one has
		for i := range rapid.IntRange(1, 12).Draw(t, "words") {
			at := now + int64(i)/3
			switch rapid.IntRange(0, 3).Draw(t, "word") {
			case 0, 1:
				f := Sending(was, key, "d1", 7, at, 1000)
				was = &f
				resting++
			case 2:
				f, ok := Freed(was)
				if ok && (resting != 1 || done) {
					t.Fatalf("%d rest on a word that is taken back", resting)
				}
				if !ok {
					continue
				}
				was, resting = &f, 0
			case 3:
				f := Finished(was, key, "d1", 7, at, 1000, "sum")
				was, done = &f, true
			}
			words = append(words, *was)
		}
		if len(words) == 0 {
			return
		}
		s := New(DefaultBounds())
		order := rapid.SliceOf(rapid.IntRange(0, len(words)-1)).Draw(t, "order")
		last := -1
		for _, i := range order {
			if _, _, err := s.Merge(words[i], now+5); err != nil {
				t.Fatal(err)
			}
			last = max(last, i)
		}
		if got, ok := s.Get(key); last >= 0 && (!ok || Newer(&got, &words[last]) != 0) {
			t.Fatalf("it holds %+v, and has heard %+v", got, words[last])
		}
	})
}

// TestBound has a key be bound to each group once, from the first attempt there that may have
// run, whoever sent it, and to none where all surely never did.
func TestBound(t *testing.T) {
	sent := func(group, by string, at int64) Fact {
		return Sending(nil, FateKey("release/k", group, by, 7), by, 7, at, 1000)
	}
	freed, _ := Freed(new(sent("b#0", "d1", now)))
	got := Bound([]Fact{sent("a#0", "d2", now+5), freed, sent("a#0", "d@1/7", now+1), sent("c@x#1", "d1", now+2)})
	if len(got) != 2 || got[0].Scope != "a#0" || got[0].At != now+1 || got[0].Until != now+1001 || got[1].Scope != "c@x#1" {
		t.Errorf("bound to %+v", got)
	}
	if got := Bound([]Fact{freed}); len(got) > 0 {
		t.Errorf("what never ran binds it to %+v", got)
	}
	again := Sending(&freed, freed.Key, "d1", 7, now, 1000)
	if Newer(&again, &freed) <= 0 || again.State != Sent {
		t.Errorf("what is sent after that does not count: %+v", again)
	}
}
