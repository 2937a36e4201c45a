package decision

import (
	"testing"
	"time"
)

// TestAllocationsDoNotGrowWithWorkers checks that the allocations per request and per change of the list do
// not grow when the number of workers grows 16-fold.
func TestAllocationsDoNotGrowWithWorkers(t *testing.T) {
	request, change := allocations(t, 200)
	manyRequest, manyChange := allocations(t, 3200)
	if manyRequest > request+1 || manyChange > change+1 {
		t.Errorf("allocations per request and list change: %g and %g with 200 workers, %g and %g with 3200, "+
			"want at most one more each", request, change, manyRequest, manyChange)
	}
}

// allocations returns the number of allocations per request and per list change with n workers.
func allocations(t *testing.T, n int) (request, change float64) {
	t.Helper()
	cfg := Config{Instances: 300, Instance: 1, Zones: 1, Limits: Limits{MaxAttempts: 3},
		Classes: []Class{{Objective: time.Second, ClientTimeout: time.Minute, WorkerKind: -1}}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	list := Event{Type: MembersReplaced}
	for i := range n {
		list.Members = append(list.Members, Member{Worker: WorkerID(i + 1)})
	}
	now := time.Hour
	actions := d.Step(now, []Event{list}, nil)
	events, id := make([]Event, 1), RequestID(0)
	step := func(ev Event) {
		now += time.Millisecond
		events[0] = ev
		actions = d.Step(now, events, actions[:0])
	}
	request = testing.AllocsPerRun(200, func() {
		id++
		step(Event{Type: RequestArrived, Request: id, Deadline: now + time.Second})
		var to WorkerID
		for _, a := range actions {
			if a.Type == Send {
				to = a.Worker
			}
		}
		if to == 0 {
			t.Fatal("the request was not sent to any worker")
		}
		step(Event{Type: AttemptEnded, Request: id, Worker: to, Outcome: Served})
	})
	members, state := make([]Member, 1), Draining
	change = testing.AllocsPerRun(200, func() {
		members[0] = Member{Worker: 7, State: state}
		state = Draining - state
		step(Event{Type: MembersChanged, Members: members})
	})
	return request, change
}
