package decision

import (
	"testing"
	"time"
)

// TestFirstTokensBeforeSecond checks that each worker's first token is taken before any second one.
func TestFirstTokensBeforeSecond(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(10))
	for round := range 2 {
		seen := map[WorkerID]bool{}
		for range 10 {
			a := h.arrive(0, 1)
			if a.Type != Send || seen[a.Worker] {
				t.Fatalf("round %d: got %v after sends to %v, want one send to each worker", round, a, seen)
			}
			seen[a.Worker] = true
		}
	}
}

// TestSeedsShuffleTheBucket checks that dispatchers with different seeds start with different workers, so
// that they do not all choose workers in the same order.
func TestSeedsShuffleTheBucket(t *testing.T) {
	firstWorkers := map[WorkerID]bool{}
	for seed := range uint64(20) {
		d, err := New(bucketOnlyConfig(), seed)
		if err != nil {
			t.Fatal(err)
		}
		out := d.Step(time.Hour, []Event{{Type: MembersReplaced, Members: membersInOneZone(10)},
			{Type: RequestArrived, Request: 1, Deadline: 2 * time.Hour}}, nil)
		firstWorkers[out[0].Worker] = true
	}
	if len(firstWorkers) < 4 {
		t.Errorf("20 seeds start with only %d different workers of 10, want at least 4", len(firstWorkers))
	}
}

// TestLongestFreeTokenGoesFirst checks that returned tokens are used in the order of their return.
func TestLongestFreeTokenGoesFirst(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(3))
	var sent []Action
	for range 3 * defaultTokens {
		sent = append(sent, h.arrive(0, 1))
	}
	h.end(sent[5], Served)
	h.end(sent[1], Served)
	if a := h.arrive(0, 1); a.Worker != sent[5].Worker {
		t.Errorf("first send to worker %d, want %d, whose token was returned first", a.Worker, sent[5].Worker)
	}
	if a := h.arrive(0, 1); a.Worker != sent[1].Worker {
		t.Errorf("second send to worker %d, want %d", a.Worker, sent[1].Worker)
	}
}

// TestNoFreeTokenRejectsAtOnce checks that a request without a free token is rejected at once, with a
// retry-after.
func TestNoFreeTokenRejectsAtOnce(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(1))
	for range defaultTokens {
		if a := h.arrive(4, 1); a.Type != Send {
			t.Fatalf("got %v while tokens are free, want a send", a)
		}
	}
	a := h.arrive(4, 1)
	if a.Type != Reject || a.After <= 0 || a.After > h.d.cfg.Limits.MaxRetryAfter {
		t.Errorf("got %+v, want a Reject with a retry-after of at most %v", a, h.d.cfg.Limits.MaxRetryAfter)
	}
}

// TestSlotsTakeTokensOfOneWorker checks that a request of several slots takes all its tokens from one
// worker.
func TestSlotsTakeTokensOfOneWorker(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	first := h.arrive(0, 5)
	second := h.arrive(0, 5)
	if first.Worker == second.Worker {
		t.Fatalf("both requests of 5 slots went to worker %d, which has 8 tokens", first.Worker)
	}
	if a := h.arrive(0, 5); a.Type != Reject {
		t.Errorf("got %v, want a Reject: each worker has 3 free tokens", a)
	}
	h.end(first, Served)
	if a := h.arrive(0, 5); a.Worker != first.Worker {
		t.Errorf("got %v, want a send to the worker whose 5 tokens were returned", a)
	}
}

// TestWideRequestAfterFailures checks that a failed worker keeps enough tokens for one request of many slots,
// so that such requests are not locked out.
func TestWideRequestAfterFailures(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(1))
	h.end(h.arrive(4, 4), Errored)
	h.advance(3 * time.Second)
	if a := h.arrive(4, 4); a.Type != Send {
		t.Errorf("got %v, want a send", a)
	}
	if a := h.arrive(4, 1); a.Type != Reject {
		t.Errorf("got %v, want a Reject: one request at a time after a failure", a)
	}
}

// TestTokensFollowWeights checks that workers get requests in proportion to their weights.
func TestTokensFollowWeights(t *testing.T) {
	cfg := bucketOnlyConfig()
	cfg.WeightKnown = true
	list := membersInOneZone(20)
	for i := range list {
		list[i].Weight = float64(1 + 2*(i%2))
	}
	h := newDriver(t, cfg, list)
	heavy := 0
	for range 40 {
		if a := h.arrive(0, 1); list[a.Worker-100].Weight == 3 {
			heavy++
		}
	}
	if heavy < 26 || heavy > 34 {
		t.Errorf("workers of three times the weight got %d of 40 requests, want 26 to 34", heavy)
	}
}

// TestJoiningWorkerIsNotOverloaded guards rule 4 against incident ie2a5c7: unused tokens of another zone
// had collected at the front of the bucket, and a joining worker's token inserted among them was the next
// one used at every dispatcher.
func TestJoiningWorkerIsNotOverloaded(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers = false
	got := 0
	for seed := range uint64(30) {
		list := members(40)
		d, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &driver{t: t, d: d, now: time.Hour, timers: map[uint32]time.Duration{}}
		h.step(Event{Type: MembersReplaced, Members: list})
		d.zones.RecordStart(0, time.Millisecond)
		d.zones.RecordStart(1, 100*time.Millisecond) // starts in zone 1 are slow
		for range 100 {
			h.end(h.arrive(4, 1), Served)
		}
		h.step(Event{Type: MembersChanged, Members: []Member{{Worker: 100, StartedAt: h.now}}})
		h.advance(8 * time.Second)
		for range 4 {
			a := h.arrive(4, 1)
			if a.Worker == 100 {
				got++
			}
			h.end(a, Served)
		}
	}
	if got > 20 {
		t.Errorf("the joining worker got %d of 120 requests at 30 dispatchers, want at most 20", got)
	}
}
