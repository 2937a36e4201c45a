package decision

import (
	"slices"
	"testing"
	"time"
)

// TestAllUnwellFailsOpen checks that requests are sent though every worker has failed lately.
func TestAllUnwellFailsOpen(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(3))
	for range 3 {
		h.end(h.arrive(4, 1), Errored)
	}
	if a := h.arrive(4, 1); a.Type != Send {
		t.Errorf("got %v, want a send though all workers rest", a)
	}
}

// TestLeastCostFirst checks the order of eligible workers: by tokens in use, by pace while it is remembered,
// and by zone.
func TestLeastCostFirst(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(2))
	slow := h.d.listed[0]
	for range 40 { // both serve the same class, one takes three times as long
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
	jobs := func() (got [2]int) {
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
	if got := jobs(); got[1] != 4 {
		t.Errorf("of 6 jobs the slow worker got %d and the other, of half its time, %d", got[0], got[1])
	}
	h.advance(paceMemory)
	if got := jobs(); got[1] != 3 {
		t.Errorf("of 6 jobs %d and %d, want halves: the pace is long ago", got[0], got[1])
	}

	cfg := testConfig()
	cfg.PullMembers = false
	h = newDriver(t, cfg, members(4))
	for i, own := range []bool{true, true, false, false} {
		if a := h.arrive(0, 1); (a.Worker%2 == 0) != own {
			t.Errorf("job %d went to worker %d, want the own zone first among idle ones: %v", i, a.Worker, own)
		}
	}
}

// TestLostZoneOfManyDispatchers checks that two workers that cannot be reached tell one of many dispatchers
// about all workers of their zone, and that work goes elsewhere until the list names a new start: they may
// all warm up before discovery has listed that.
func TestLostZoneOfManyDispatchers(t *testing.T) {
	for _, instances := range []int{4, 80} {
		cfg := bucketOnlyConfig()
		cfg.Zones, cfg.Instances = 2, instances
		list := members(12) // zone 0 is the own one
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
				h.end(a, Canceled) // says nothing of the worker's pace
			}
			return n
		}
		if n := own(); (n == 0) != (instances == 80) {
			t.Errorf("%d dispatchers: %d of 20 jobs went to the lost zone", instances, n)
		}
		for i := range list {
			list[i].StartedAt = h.now
		}
		h.step(Event{Type: MembersReplaced, Members: list})
		h.advance(cfg.Rules.WarmUp + time.Second)
		if n := own(); n == 0 {
			t.Errorf("%d dispatchers: nothing goes to the zone long after its start was listed", instances)
		}
	}
}

// TestAllZonesSeemLost checks that a worker that has just failed does not get every request in a row where
// two workers of each zone did not connect, so that every zone counts as lost.
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
		if n == 100 { // guards the test: arrivals that are refused fail no runner
			t.Fatalf("after 100 arrivals runners of %v zones had failed", zones)
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
			t.Fatalf("got %v while %d of 99 runners had failed", a, len(failed))
		}
		h.end(a, Canceled)
	}
}
