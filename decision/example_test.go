package decision_test

import (
	"fmt"
	"time"

	"frosttide/decision"
)

// A host delivers a list of workers and a request, carries out the resulting Send and reports the end of the
// attempt.
func Example() {
	cfg := decision.Config{
		Classes: []decision.Class{{Effect: decision.Safe, Objective: 200 * time.Millisecond, Value: 1,
			WorkerKind: -1}},
		Limits: decision.Limits{MaxAttempts: 3},
	}
	d, err := decision.New(cfg, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	actions := d.Step(now, []decision.Event{
		{Type: decision.MembersReplaced, Members: []decision.Member{{Worker: 7}}},
		{Type: decision.RequestArrived, Request: 1, Deadline: now + 5*time.Second, Slots: 1},
	}, nil)
	for _, a := range actions {
		if a.Type == decision.Send {
			fmt.Printf("send request %d to worker %d\n", a.Request, a.Worker)
		}
	}
	now += 30 * time.Millisecond
	actions = d.Step(now, []decision.Event{
		{Type: decision.AttemptEnded, Request: 1, Worker: 7, Outcome: decision.Served, RequestClosed: true},
	}, nil)
	fmt.Println("actions after the answer:", len(actions))
	// Output:
	// send request 1 to worker 7
	// actions after the answer: 0
}
