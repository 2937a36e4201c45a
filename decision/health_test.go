package decision

import (
	"testing"
	"time"
)

// TestFastErrorsDoNotAttract checks that a worker that fails at once, and so always has free tokens, gets
// few requests.
func TestFastErrorsDoNotAttract(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(5))
	bad := 0
	for range 200 {
		a := h.arrive(4, 1)
		if a.Worker == 102 {
			bad++
			h.end(a, Errored)
		} else {
			h.end(a, Served)
		}
		h.advance(10 * time.Millisecond)
	}
	if bad == 0 || bad > 6 {
		t.Errorf("a worker that fails every request got %d of 200 requests within 2 s, want 1 to 6", bad)
	}
}

// TestOverdueStart checks that a worker with an overdue start is avoided, and that its request gets no second
// attempt, as the worker may still run a canceled one.
func TestOverdueStart(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers = false
	h := newDriver(t, cfg, members(12))
	first := h.arrive(0, 1)
	if out := h.advance(time.Second); len(out) != 0 {
		t.Fatalf("an overdue start led to %v, want no actions", out)
	}
	for range 22 {
		if a := h.arrive(4, 1); a.Worker == first.Worker {
			t.Fatal("a send to a worker with an overdue start")
		}
	}
	h.step(Event{Type: AttemptStarted, Request: first.Request, Worker: first.Worker})
	for range 11 {
		if a := h.arrive(4, 1); a.Worker == first.Worker {
			return
		}
	}
	t.Error("the worker got none of 11 requests after it had started the overdue one")
}

// TestOccasionalConnectionReset checks that a worker rests only after two connection resets without a start
// in between.
func TestOccasionalConnectionReset(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(1))
	for range 5 {
		h.end(h.arrive(0, 1), ConnReset)
		a := h.arrive(0, 1)
		if a.Type != Send {
			t.Fatalf("got %v after one reset, want a send", a)
		}
		h.serve(a)
	}
	h.end(h.arrive(0, 1), ConnReset)
	h.end(h.arrive(0, 1), ConnReset)
	if w := h.d.listed[0]; w.RestUntil <= h.now || w.Limit != 1 {
		t.Errorf("after two resets in a row: token limit %d and rest until %v, want limit 1 and a rest", w.Limit, w.RestUntil)
	}
}

// TestUnusableRequestChangesNoHealth checks that requests that no worker can run fail at once and change
// neither the tokens nor the retry budget.
func TestUnusableRequestChangesNoHealth(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	maxSlots, retries := h.d.maxRequestSlots, h.d.retryCredit-1
	h.d.retryCredit = retries
	for range 5 * defaultTokens {
		if a := h.end(h.arrive(0, 5), Unusable); len(a) != 1 || a[0].Type != Fail {
			t.Fatalf("got %v, want one Fail", a)
		}
	}
	if h.d.maxRequestSlots != maxSlots || h.d.retryCredit > retries+retryCreditPerRequest/2 {
		t.Errorf("maximum request slots %d and retry credit %g, want %d and about %g",
			h.d.maxRequestSlots, h.d.retryCredit, maxSlots, retries)
	}
	for range 2 * defaultTokens {
		if a := h.arrive(4, 1); a.Type != Send {
			t.Fatalf("got %v with all tokens free, want a send", a)
		}
	}
}
