package magpierelay_test

import (
	"fmt"
	"time"

	"magpierelay"
)

// A host tells a dispatcher of its workers and of a request, carries out the
// send that comes back, and reports how it ended.
func Example() {
	cfg := magpierelay.Config{
		Classes: []magpierelay.Class{{Effect: magpierelay.Safe, Objective: 200 * time.Millisecond, Worth: 1,
			WorkerKind: -1}},
		Limits: magpierelay.Limits{MaxAttempts: 3},
	}
	d, err := magpierelay.New(cfg, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	actions := d.Step(now, []magpierelay.Event{
		{Type: magpierelay.MembersReplaced, Members: []magpierelay.Member{{Worker: 7}}},
		{Type: magpierelay.RequestArrived, Request: 1, Deadline: now + 5*time.Second, Slots: 1},
	}, nil)
	for _, a := range actions {
		if a.Type == magpierelay.Send {
			fmt.Printf("send request %d to worker %d\n", a.Request, a.Worker)
		}
	}
	now += 30 * time.Millisecond
	actions = d.Step(now, []magpierelay.Event{
		{Type: magpierelay.AttemptEnded, Request: 1, Worker: 7, Outcome: magpierelay.Served, Closed: true},
	}, nil)
	fmt.Println("actions after the answer:", len(actions))
	// Output:
	// send request 1 to worker 7
	// actions after the answer: 0
}
