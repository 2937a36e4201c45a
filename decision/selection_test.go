package decision

import (
	"slices"
	"testing"
	"time"
)

// TestAllUnhealthyFailsOpen checks that requests are sent even if every worker has failed recently.
func TestAllUnhealthyFailsOpen(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(3))
	for range 3 {
		h.end(h.arrive(4, 1), Errored)
	}
	if a := h.arrive(4, 1); a.Type != Send {
		t.Errorf("got %v, want a send though all workers rest", a)
	}
}

// TestLeastCostFirst checks that eligible workers are chosen by tokens in use, by pace while it is
// remembered, and by zone.
func TestLeastCostFirst(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	slow := h.d.listed[0]
	for range 40 { // both serve the same class, the slow one takes three times as long
		a, b := h.arrive(0, 1), h.arrive(0, 1)
		for _, x := range []Action{a, b} {
			h.step(Event{Type: AttemptStarted, Request: x.Request, Worker: x.Worker})
		}
		for _, wait := range []bool{false, true} {
			h.advance(50 * time.Millisecond)
			if wait {
				h.advance(50 * time.Millisecond)
			}
			for _, x := range []Action{a, b} {
				if (x.Worker == slow.Worker) == wait {
					h.end(x, Served)
				}
			}
		}
	}
	requests := func() (got [2]int) {
		var sent []Action
		for range 6 {
			sent = append(sent, h.arrive(0, 1))
		}
		for _, a := range sent {
			if a.Worker == slow.Worker {
				got[0]++
			} else {
				got[1]++
			}
			h.step(Event{Type: RequestCanceled, Request: a.Request})
			h.end(a, Canceled)
		}
		return got
	}
	if got := requests(); got[1] != 4 {
		t.Errorf("of 6 requests the slow worker got %d and the other %d, want 2 and 4", got[0], got[1])
	}
	h.advance(paceMemory)
	if got := requests(); got[1] != 3 {
		t.Errorf("of 6 requests the workers got %d and %d, want 3 each: the pace is forgotten", got[0], got[1])
	}

	cfg := testConfig()
	cfg.PullMembers = false
	h = newDriver(t, cfg, members(4))
	for i, own := range []bool{true, true, false, false} {
		if a := h.arrive(0, 1); (a.Worker%2 == 0) != own {
			t.Errorf("request %d went to worker %d, want a worker of the local zone: %v", i, a.Worker, own)
		}
	}
}

// TestLostZoneOfManyDispatchers checks that with many dispatchers two unreachable workers make their whole
// zone count as unavailable, and that work goes to other zones until the list contains a new start: the
// zone's workers may all be warming up before discovery has listed that.
func TestLostZoneOfManyDispatchers(t *testing.T) {
	for _, instances := range []int{4, 80} {
		cfg := bucketOnlyConfig()
		cfg.Zones, cfg.Instances = 2, instances
		list := members(12) // zone 0 is the dispatcher's own
		h := newDriver(t, cfg, list)
		for range 20 {
			for out := []Action{h.arrive(0, 1)}; len(out) == 1 && out[0].Type == Send; {
				outcome := Served
				if list[out[0].Worker-100].Zone == 0 {
					outcome = ConnectFailed
				}
				out = slices.Clone(h.end(out[0], outcome))
			}
		}
		h.advance(time.Second)
		own := func() (n int) {
			for range 20 {
				a := h.arrive(0, 1)
				if a.Type == Send && list[a.Worker-100].Zone == 0 {
					n++
				}
				h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
				h.end(a, Canceled) // does not affect the worker's pace
			}
			return n
		}
		if n := own(); (n == 0) != (instances == 80) {
			t.Errorf("%d dispatchers: %d of 20 requests went to the unavailable zone, want none only with 80 dispatchers", instances, n)
		}
		for i := range list {
			list[i].StartedAt = h.now
		}
		h.step(Event{Type: MembersReplaced, Members: list})
		h.advance(cfg.Rules.WarmUp + time.Second)
		if n := own(); n == 0 {
			t.Errorf("%d dispatchers: the zone got none of 20 requests after the new start was listed and the warm-up over", instances)
		}
	}
}

// TestAllZonesSeemLost checks that a worker that has just failed does not get every request in a row if two
// workers of each zone were unreachable, so that every zone counts as unavailable.
func TestAllZonesSeemLost(t *testing.T) {
	cfg := testConfig()
	cfg.PullMembers, cfg.Instances, cfg.Instance, cfg.Zones, cfg.Zone = false, 300, 17, 3, 0
	list := members(99)
	for i := range list {
		list[i].Zone = i % 3
	}
	h := newDriver(t, cfg, list)
	failed := map[WorkerID]bool{}
	for zones, n := map[int]int{}, 0; len(zones) < 3 || zones[0] < 2 || zones[1] < 2 || zones[2] < 2; n++ {
		if n == 100 { // limits the loop: rejected arrivals make no worker fail
			t.Fatalf("failed workers by zone after 100 arrivals: %v, want 2 in each of 3 zones", zones)
		}
		a := h.arrive(0, 1)
		for a.Type == Send {
			failed[a.Worker] = true
			zones[int(a.Worker-100)%3]++
			out := h.end(a, ConnectFailed)
			if a = (Action{}); len(out) == 1 {
				a = out[0]
			}
		}
	}
	for range 10 {
		a := h.arrive(0, 1)
		if a.Type != Send || failed[a.Worker] {
			t.Fatalf("got %v after %d of 99 workers had failed, want a send to another worker", a, len(failed))
		}
		h.end(a, Canceled)
	}
}
