package decision

import (
	"testing"
	"time"
)

// TestRetryBudget checks that retries remain a small fraction of the attempts even if every attempt fails, so
// that they do not amplify an overload.
func TestRetryBudget(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(30))
	retries := 0
	for range 200 {
		a := h.arrive(0, 1)
		for a.Type == Send {
			out := h.end(a, Rejected)
			a = out[0]
			if a.Type == Send {
				retries++
			}
		}
	}
	if most := maxRetryCredit + 200*retryCreditPerRequest; retries == 0 || float64(retries) > most {
		t.Errorf("%d retries for 200 requests, want 1 to %v", retries, most)
	}
}

// TestShedding checks that requests are rejected while starts are late, those with the lowest value per
// second first, and accepted again once starts are on time.
func TestShedding(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers = false
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[1].Value = 10
	h := newDriver(t, cfg, membersInOneZone(40))
	rejected := func() (lowValue, highValue int) {
		for range 20 {
			for class := range 2 {
				a := h.arrive(class, 1)
				if a.Type == Send {
					h.step(Event{Type: RequestCanceled, Request: a.Request})
					h.end(a, Canceled)
				} else if class == 0 {
					lowValue++
				} else {
					highValue++
				}
			}
		}
		return lowValue, highValue
	}
	if lowValue, highValue := rejected(); lowValue+highValue > 0 {
		t.Fatalf("%d low-value and %d high-value requests of 20 each rejected before any late start, want none", lowValue, highValue)
	}
	for range 6 {
		h.arrive(1, 1)
		h.advance(800 * time.Millisecond)
	}
	if lowValue, highValue := rejected(); lowValue < 10 || highValue > 5 {
		t.Errorf("%d low-value and %d high-value requests of 20 each rejected while starts are late, "+
			"want at least 10 and at most 5", lowValue, highValue)
	}
	for range 60 {
		if a := h.arrive(1, 1); a.Type == Send {
			h.serve(a)
		}
		h.advance(800 * time.Millisecond)
	}
	if lowValue, highValue := rejected(); lowValue+highValue > 0 {
		t.Errorf("%d low-value and %d high-value requests of 20 each rejected after starts were on time again, want none",
			lowValue, highValue)
	}
}

// TestFullQueuesRaiseShedding checks that full queues lead to rejections before their late starts are seen,
// as all queues of a slow fleet fill in these seconds.
func TestFullQueuesRaiseShedding(t *testing.T) {
	for _, instances := range []int{10, 300} {
		cfg := testConfig()
		cfg.PullMembers, cfg.Instances = false, instances
		h := newDriver(t, cfg, membersInOneZone(30))
		for range 8 {
			h.end(h.arrive(4, 1), Rejected)
		}
		rejected := 0
		for range 20 {
			if h.arrive(4, 1).Type == Reject {
				rejected++
			}
		}
		if rejected < 10 {
			t.Errorf("one of %d dispatchers: %d of 20 requests rejected after 8 full queues, want at least 10", instances, rejected)
		}
	}
}

// TestOverdueStartsAmongManyDispatchersDoNotRaiseShedding checks that one of 300 dispatchers does not reject
// requests because of late starts: it hits a full queue by chance, while most workers have capacity.
func TestOverdueStartsAmongManyDispatchersDoNotRaiseShedding(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers, cfg.Instances = false, 300
	h := newDriver(t, cfg, membersInOneZone(40))
	for range 6 {
		h.arrive(1, 1)
		h.advance(800 * time.Millisecond)
	}
	rejected := 0
	for range 40 {
		if a := h.arrive(0, 1); a.Type != Send {
			rejected++
		} else {
			h.step(Event{Type: RequestCanceled, Request: a.Request})
			h.end(a, Canceled)
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 40 requests rejected after 6 late starts at one of 300 dispatchers, want none", rejected)
	}
}

// TestSheddingEnds checks that a fraction of requests is always accepted: a dispatcher that rejected
// everything would see no starts and never stop rejecting (incident i96cb58).
func TestSheddingEnds(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers = false
	cfg.Classes = cfg.Classes[4:]
	h := newDriver(t, cfg, membersInOneZone(80))
	var waiting []Action
	for range 40 {
		waiting = append(waiting, h.arrive(0, 1))
	}
	h.advance(time.Second)
	for _, a := range waiting {
		h.end(a, Rejected)
	}
	rejected := func(n int) (out int) {
		for range n {
			if a := h.arrive(0, 1); a.Type == Reject {
				out++
			} else {
				h.serve(a)
				h.advance(time.Second)
			}
		}
		return out
	}
	if early := rejected(10); early == 0 {
		t.Fatal("none of 10 requests was rejected after 40 late starts")
	}
	rejected(50)
	if stillRejected := rejected(50); stillRejected > 0 {
		t.Errorf("%d of 50 requests rejected though every start was on time, want none", stillRejected)
	}
}

// TestStoppingProcessRejectsLongWork checks that a stopping process rejects a class whose requests would
// mostly be interrupted and serves the others, and that a short deadline set by the client leads to no
// rejection.
func TestStoppingProcessRejectsLongWork(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	h.d.meanRun[0], h.d.meanRun[4] = 0.3, 2.5
	for _, tc := range []struct {
		class    int
		stopping bool
		want     ActionType
	}{{0, true, Send}, {4, true, Reject}, {4, false, Send}} {
		h.lastRequest++
		out := h.step(Event{Type: RequestArrived, Request: h.lastRequest, Class: tc.class,
			ProcessStopping: tc.stopping, Deadline: h.now + 2*time.Second})
		if len(out) != 1 || out[0].Type != tc.want {
			t.Errorf("class %d, stopping %t: got %v, want %v", tc.class, tc.stopping, out, tc.want)
		}
	}
}
