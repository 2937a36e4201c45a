package decision

import (
	"testing"
	"time"
)

// TestNumbersOutOfRangeAreHarmless checks that a class out of range is rejected and a tenant out of range is
// served.
func TestNumbersOutOfRangeAreHarmless(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	for _, class := range []int{-1, 99} {
		if a := h.arrive(class, 1); a.Type != Reject {
			t.Errorf("class %d: got %v, want a Reject", class, a)
		}
	}
	out := h.step(Event{Type: RequestArrived, Request: 77, Tenant: 1 << 30, Deadline: h.now + time.Second})
	if len(out) != 1 || out[0].Type != Send {
		t.Errorf("an unknown tenant: got %v, want a send", out)
	}
}

// TestSettingsChange checks that after a change of settings open requests keep the class they arrived with,
// no request gets an attempt beyond a lowered limit, and tokens in use stay in use.
func TestSettingsChange(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(3))
	safe, other := h.arrive(0, 1), h.arrive(0, 1)
	cfg := bucketOnlyConfig()
	cfg.Classes[0].Effect = Unsafe
	cfg.Classes = append(cfg.Classes, Class{Effect: Keyed, DedupScope: ScopeZone, DedupWindow: time.Second, WorkerKind: -1})
	h.step(Event{Type: SettingsChanged, Settings: &cfg})
	again := h.end(safe, Errored)
	if len(again) != 1 || again[0].Type != Send {
		t.Errorf("a request that arrived as safe got %v after its attempt failed, want a send", again)
	}
	strict := h.arrive(0, 1)
	if out := h.end(strict, Errored); len(out) != 1 || out[0].Type != Fail {
		t.Errorf("a request that arrived as unsafe got %v after its attempt failed, want a Fail", out)
	}
	if a := h.arrive(5, 1); a.Type != Send {
		t.Errorf("a request of the new class got %v, want a send", a)
	}
	cfg.Limits.MaxAttempts = 1
	h.step(Event{Type: SettingsChanged, Settings: &cfg})
	if out := h.end(other, Errored); len(out) != 1 || out[0].Type != Reject {
		t.Errorf("beyond the lowered limit a request got %v, want a Reject", out)
	}
	tokensInUse := 0
	for _, w := range h.d.listed {
		tokensInUse += w.InUse
	}
	if tokensInUse != 2 {
		t.Errorf("%d tokens are in use, want the 2 of the open attempts", tokensInUse)
	}
}

// TestAdopt checks that open attempts taken over from an earlier process hold their workers' tokens and count
// as attempts of their requests.
func TestAdopt(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	tokensInUse := func() (n int) {
		for _, w := range h.d.listed {
			n += w.InUse
		}
		return n
	}
	adopt := func(id RequestID, class int, worker WorkerID) Action {
		h.step(Event{Type: RequestArrived, Request: id, Class: class, Deadline: h.now + time.Second,
			PriorAttempts: []AttemptRecord{{Worker: worker, SentAt: h.now - time.Second, Started: true}}})
		if len(h.lastActions) > 0 {
			t.Errorf("an adopted request led to %v, want no actions", h.lastActions)
		}
		return Action{Request: id, Worker: worker}
	}
	safe, unsafe, left := adopt(1, 0, 100), adopt(2, 4, 101), adopt(3, 0, 999)
	if n := tokensInUse(); n != 2 {
		t.Errorf("%d tokens are in use, want the 2 of the attempts at listed workers", n)
	}
	if out := h.end(safe, Errored); len(out) != 1 || out[0].Type != Send || out[0].Worker != 101 || out[0].Attempt != 1 {
		t.Errorf("the failure of the safe request led to %v, want attempt 1 at worker 101", out)
	}
	if out := h.end(unsafe, Errored); len(out) != 1 || out[0].Type != Fail {
		t.Errorf("the failure of the unsafe request led to %v, want a Fail", out)
	}
	if prior := h.d.PriorAttempts(1); len(prior) != 2 || !prior[0].Ended || prior[1].Ended {
		t.Errorf("attempts of the safe request: %+v, want an ended and an open one", prior)
	}
	h.end(left, Served)
	if n := tokensInUse(); n != 1 {
		t.Errorf("%d tokens are in use at the end, want the 1 of the second attempt", n)
	}
}
