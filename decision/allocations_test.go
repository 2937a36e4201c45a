package decision

import (
	"testing"
	"time"
)

// TestAllocationsDoNotGrowWithWorkers checks that a request, and a change of the list, allocate no more with
// 16 times the workers.
func TestAllocationsDoNotGrowWithWorkers(t *testing.T) {
	need := func(workers int) (request, change float64) {
		d, err := New(Config{Instances: 300, Instance: 1, Zones: 1, Classes: []Class{{Objective: time.Second, ClientTimeout: time.Minute, WorkerKind: -1}},
			Limits: Limits{MaxAttempts: 3}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		whole := Event{Type: MembersReplaced}
		for i := range workers {
			whole.Members = append(whole.Members, Member{Worker: WorkerID(i + 1)})
		}
		now := time.Hour
		actions := d.Step(now, []Event{whole}, nil)
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
				t.Fatal("a request found no worker")
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
	request, change := need(200)
	manyRequest, manyChange := need(3200)
	if manyRequest > request+1 || manyChange > change+1 {
		t.Errorf("with 200 workers a request allocates %g times and a change %g, with 3200 %g and %g", request, change, manyRequest, manyChange)
	}
}
