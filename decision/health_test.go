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
		t.Errorf("a worker that fails everything got %d of 200 jobs within 2 s", bad)
	}
}

// TestOverdueStart checks that a worker with an overdue start is avoided, and that nobody gets a second
// attempt of its request, as it may run what is canceled.
func TestOverdueStart(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers = false
	h := newDriver(t, cfg, members(12))
	first := h.arrive(0, 1)
	if out := h.advance(time.Second); len(out) != 0 {
		t.Fatalf("a late start led to %v", out)
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
	t.Error("the worker got nothing after it had started the job")
}

// TestOccasionalConnectionReset checks that a worker rests only if a second connection breaks before a
// request has started.
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
		t.Errorf("after two resets in a row the worker has %d tokens and no rest", w.Limit)
	}
}

// TestUnusableRequestChangesNoHealth checks that requests that no worker can use fail at once, and change
// neither tokens nor the retry budget.
func TestUnusableRequestChangesNoHealth(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	widest, retries := h.d.maxRequestSlots, h.d.retryCredit-1
	h.d.retryCredit = retries
	for range 5 * defaultTokens {
		if a := h.end(h.arrive(0, 5), Unusable); len(a) != 1 || a[0].Type != Fail {
			t.Fatalf("got %v, want the job to fail", a)
		}
	}
	if h.d.maxRequestSlots != widest || h.d.retryCredit > retries+retryCreditPerRequest/2 {
		t.Errorf("widest %d and retries %g, want %d and %g", h.d.maxRequestSlots, h.d.retryCredit, widest, retries)
	}
	for range 2 * defaultTokens {
		if a := h.arrive(4, 1); a.Type != Send {
			t.Fatalf("got %v with all tokens free", a)
		}
	}
}
