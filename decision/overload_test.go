package decision

import (
	"testing"
	"time"
)

// TestRetryBudget checks that further attempts stay a small fraction where every attempt fails, so that
// retries do not amplify an overload.
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
		t.Errorf("%d further attempts for 200 requests, want at most %v", retries, most)
	}
}

// TestShedding checks that requests are rejected while queues are full and starts late, those of the least
// value per second first, and taken again once starts are on time.
func TestShedding(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers = false
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[1].Value = 10
	h := newDriver(t, cfg, membersInOneZone(40))
	refused := func() (lesser, worthier int) {
		for range 20 {
			for class := range 2 {
				a := h.arrive(class, 1)
				if a.Type == Send {
					h.step(Event{Type: RequestCanceled, Request: a.Request})
					h.end(a, Canceled)
				} else if class == 0 {
					lesser++
				} else {
					worthier++
				}
			}
		}
		return lesser, worthier
	}
	if lesser, worthier := refused(); lesser+worthier > 0 {
		t.Fatalf("%d and %d of 20 refused before any was late", lesser, worthier)
	}
	for range 6 {
		h.arrive(1, 1)
		h.advance(800 * time.Millisecond)
	}
	if lesser, worthier := refused(); lesser < 10 || worthier > 5 {
		t.Errorf("%d lesser and %d worthier of 20 refused while starts are late", lesser, worthier)
	}
	for range 60 {
		if a := h.arrive(1, 1); a.Type == Send {
			h.serve(a)
		}
		h.advance(800 * time.Millisecond)
	}
	if lesser, worthier := refused(); lesser+worthier > 0 {
		t.Errorf("%d and %d of 20 still refused after starts were prompt again", lesser, worthier)
	}
}

// TestFullQueuesRaiseShedding checks that full queues lead to rejections before the first late starts in
// them do, as in those seconds all queues of a slow fleet fill.
func TestFullQueuesRaiseShedding(t *testing.T) {
	for _, instances := range []int{10, 300} {
		cfg := testConfig()
		cfg.PullMembers, cfg.Instances = false, instances
		h := newDriver(t, cfg, membersInOneZone(30))
		for range 8 {
			h.end(h.arrive(4, 1), Rejected)
		}
		refused := 0
		for range 20 {
			if h.arrive(4, 1).Type == Reject {
				refused++
			}
		}
		if refused < 10 {
			t.Errorf("of %d dispatchers: %d of 20 refused after 8 full queues within one moment", instances, refused)
		}
	}
}

// TestOverdueStartsAmongManyDispatchersDoNotRaiseShedding checks that one of 300 dispatchers does not reject
// because of late starts: it meets a full queue by chance, while most workers have capacity.
func TestOverdueStartsAmongManyDispatchersDoNotRaiseShedding(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers, cfg.Instances = false, 300
	h := newDriver(t, cfg, membersInOneZone(40))
	for range 6 {
		h.arrive(1, 1)
		h.advance(800 * time.Millisecond)
	}
	refused := 0
	for range 40 {
		if a := h.arrive(0, 1); a.Type != Send {
			refused++
		} else {
			h.step(Event{Type: RequestCanceled, Request: a.Request})
			h.end(a, Canceled)
		}
	}
	if refused > 0 {
		t.Errorf("%d of 40 refused after 6 late starts of one of 300 dispatchers", refused)
	}
}

// TestSheddingEnds checks that a fraction of requests is always let in: a dispatcher that rejected
// everything would see no start, and reject for good (incident i96cb58).
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
	refused := func(n int) (out int) {
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
	if early := refused(10); early == 0 {
		t.Fatal("nothing is shed after 40 late starts")
	}
	refused(50)
	if stillRejected := refused(50); stillRejected > 0 {
		t.Errorf("%d of 50 are still refused though every start was prompt", stillRejected)
	}
}

// TestStoppingProcessRejectsLongWork checks that a process that ends rejects a class whose requests would
// mostly be cut off, that it serves the others, and that a short deadline of the client rejects nothing.
func TestStoppingProcessRejectsLongWork(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	h.d.meanRun[0], h.d.meanRun[4] = 0.3, 2.5
	for _, tc := range []struct {
		class  int
		ending bool
		want   ActionType
	}{{0, true, Send}, {4, true, Reject}, {4, false, Send}} {
		h.lastRequest++
		out := h.step(Event{Type: RequestArrived, Request: h.lastRequest, Class: tc.class,
			ProcessStopping: tc.ending, Deadline: h.now + 2*time.Second})
		if len(out) != 1 || out[0].Type != tc.want {
			t.Errorf("class %d, ending %t: got %v, want %v", tc.class, tc.ending, out, tc.want)
		}
	}
}
