package decision

import (
	"testing"
	"time"
)

// TestNumbersOutOfRangeAreHarmless covers class and tenant numbers out of range.
func TestNumbersOutOfRangeAreHarmless(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	for _, class := range []int{-1, 99} {
		if a := h.arrive(class, 1); a.Type != Reject {
			t.Errorf("class %d: got %v, want a refusal", class, a)
		}
	}
	out := h.step(Event{Type: RequestArrived, Request: 77, Tenant: 1 << 30, Deadline: h.now + time.Second})
	if len(out) != 1 || out[0].Type != Send {
		t.Errorf("an unknown tenant: got %v, want a send", out)
	}
}

// TestSettingsChange checks what stays over a change of settings: a request keeps the class that it arrived
// with, none gets an attempt beyond a lowered limit, and tokens in use stay in use.
func TestSettingsChange(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(3))
	safe, other := h.arrive(0, 1), h.arrive(0, 1)
	cfg := bucketOnlyConfig()
	cfg.Classes[0].Effect = Unsafe
	cfg.Classes = append(cfg.Classes, Class{Effect: Keyed, DedupScope: ScopeZone, DedupWindow: time.Second, WorkerKind: -1})
	h.step(Event{Type: SettingsChanged, Settings: &cfg})
	again := h.end(safe, Errored)
	if len(again) != 1 || again[0].Type != Send {
		t.Errorf("a request that came as safe got %v after its attempt failed, want another", again)
	}
	strict := h.arrive(0, 1)
	if out := h.end(strict, Errored); len(out) != 1 || out[0].Type != Fail {
		t.Errorf("a request that came as unsafe got %v after its attempt failed, want a failure", out)
	}
	if a := h.arrive(5, 1); a.Type != Send {
		t.Errorf("a request of the new class got %v", a)
	}
	cfg.Limits.MaxAttempts = 1
	h.step(Event{Type: SettingsChanged, Settings: &cfg})
	if out := h.end(other, Errored); len(out) != 1 || out[0].Type != Reject {
		t.Errorf("past the lowered cap a request got %v, want a refusal", out)
	}
	tokensInUse := 0
	for _, w := range h.d.listed {
		tokensInUse += w.InUse
	}
	if tokensInUse != 2 {
		t.Errorf("%d tokens are in use, want those of the two open attempts", tokensInUse)
	}
}

// TestAdopt checks that the open attempt of a request from an earlier process holds its worker's token, and
// counts for what the request may still do.
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
			t.Errorf("an adopted request led to %v, want nothing", h.lastActions)
		}
		return Action{Request: id, Worker: worker}
	}
	safe, unsafe, left := adopt(1, 0, 100), adopt(2, 4, 101), adopt(3, 0, 999)
	if n := tokensInUse(); n != 2 {
		t.Errorf("%d tokens are in use, want those of the two attempts at listed workers", n)
	}
	if out := h.end(safe, Errored); len(out) != 1 || out[0].Type != Send || out[0].Worker != 101 || out[0].Attempt != 1 {
		t.Errorf("its failure led to %v, want a second attempt elsewhere", out)
	}
	if out := h.end(unsafe, Errored); len(out) != 1 || out[0].Type != Fail {
		t.Errorf("an unsafe one's failure led to %v, want a final failure", out)
	}
	if past := h.d.PriorAttempts(1); len(past) != 2 || !past[0].Ended || past[1].Ended {
		t.Errorf("its attempts are %+v", past)
	}
	h.end(left, Served)
	if n := tokensInUse(); n != 1 {
		t.Errorf("%d tokens are in use at the end, want the second attempt's", n)
	}
}
