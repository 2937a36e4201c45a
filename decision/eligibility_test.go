package decision

import (
	"testing"
	"time"

	"frosttide/decision/permit"
)

// TestLatestStart checks that an attempt has to begin before the deduplication window closes and, at a
// warming worker, before it would count against another window of the budget.
func TestLatestStart(t *testing.T) {
	start := 1000 * time.Hour
	cfg := Config{Instances: 1, Classes: []Class{{Effect: Keyed, DedupWindow: 10 * time.Second, Objective: time.Second, WorkerKind: -1},
		{Objective: time.Second, WorkerKind: -1}}, Limits: Limits{MaxAttempts: 3, ConnectTimeout: 250 * time.Millisecond},
		Rules: Rules{InitialCapacity: 0.5, WarmUp: 20 * time.Second, OverloadMultiple: 2.5, OverloadWindow: time.Second}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	sends := func(now time.Duration, events ...Event) (out []Action) {
		for _, a := range d.Step(now, events, nil) {
			if a.Type == Send {
				out = append(out, a)
			}
		}
		return out
	}
	warmList := Event{Type: MembersReplaced, Members: []Member{{Worker: 1}, {Worker: 2}}}
	first := sends(start, warmList, Event{Type: RequestArrived, Request: 1, Deadline: start + time.Minute})
	if len(first) != 1 || first[0].LatestStart != 0 {
		t.Fatalf("a first attempt at a warm worker: got %+v, want one send without a latest start", first)
	}
	retry := sends(start+2*time.Second, Event{Type: AttemptEnded, Request: 1, Worker: first[0].Worker, Outcome: ConnReset})
	if want := start + 10*time.Second - permit.MaxStall; len(retry) != 1 || retry[0].LatestStart != want {
		t.Errorf("a retry of a keyed request: got %+v, want one send with the latest start %v", retry, want)
	}
	now := start + 5*time.Second
	warmingList := Event{Type: MembersReplaced, Members: []Member{{Worker: 3, StartedAt: now - 18*time.Second}}}
	warming := sends(now, warmingList, Event{Type: RequestArrived, Request: 2, Class: 1, Deadline: now + time.Minute})
	if len(warming) != 1 || warming[0].LatestStart != now+warmUpStartWithin {
		t.Errorf("an attempt at a warming worker: got %+v, want one send to begin within %v", warming, warmUpStartWithin)
	}
}

// TestCancelUnconfirmed checks that a request is not retried if the worker may not have received the cancel.
func TestCancelUnconfirmed(t *testing.T) {
	for _, unconfirmed := range []bool{false, true} {
		d, err := New(Config{Instances: 1, Classes: []Class{{Objective: time.Second, WorkerKind: -1}}, Limits: Limits{MaxAttempts: 3}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		var at WorkerID
		for _, a := range d.Step(time.Hour, []Event{{Type: MembersReplaced, Members: []Member{{Worker: 1}, {Worker: 2}}},
			{Type: RequestArrived, Request: 1, Deadline: 2 * time.Hour}}, nil) {
			if a.Type == Send {
				at = a.Worker
			}
		}
		sent, rejected := 0, 0
		ended := Event{Type: AttemptEnded, Request: 1, Worker: at, Outcome: TimedOut, CancelUnconfirmed: unconfirmed}
		for _, a := range d.Step(time.Hour+time.Second, []Event{ended}, nil) {
			switch a.Type {
			case Send:
				sent++
			case Reject:
				rejected++
			}
		}
		if unconfirmed && (sent != 0 || rejected != 1) || !unconfirmed && sent != 1 {
			t.Errorf("cancel unconfirmed %t: %d retries and %d rejects, want one reject if unconfirmed, otherwise one retry",
				unconfirmed, sent, rejected)
		}
	}
}

// TestNoAttemptPastTarget checks that a request past its latency target, whose answer has no value any
// more, gets no further attempt: the attempt would be canceled at once.
func TestNoAttemptPastTarget(t *testing.T) {
	cfg := Config{Instances: 1, StartEvents: true, Metrics: []Metric{MetricFreeSlots},
		Classes: []Class{{Objective: time.Second, ClientTimeout: time.Minute, WorkerKind: -1}},
		Limits:  Limits{MaxAttempts: 3, CancelAllowed: true, HedgingAllowed: true}}
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	step := func(events ...Event) (sent, ended int) {
		for _, a := range d.Step(now, events, nil) {
			switch a.Type {
			case Send:
				sent++
			case Reject, Fail:
				ended++
			}
		}
		return sent, ended
	}
	report := [MaxMetrics]float32{4}
	step(Event{Type: MembersReplaced, Members: []Member{{Worker: 1}}},
		Event{Type: RequestArrived, Request: 1, Deadline: now + time.Minute},
		Event{Type: AttemptEnded, Request: 1, Worker: 1, Outcome: Served, LoadCount: 1, Load: report})
	step(Event{Type: MembersReplaced, Members: []Member{{Worker: 1}, {Worker: 2}}})
	if sent, _ := step(Event{Type: RequestArrived, Request: 2, Deadline: now + time.Minute}); sent != 1 {
		t.Fatalf("%d attempts of a request within its target, want 1", sent)
	}
	var to WorkerID
	for id := range d.requests[2].attempts {
		to = d.requests[2].attempts[id].worker.Worker
	}
	now += 5 * time.Second // past the target of one second
	if sent, ended := step(Event{Type: AttemptEnded, Request: 2, Worker: to, Outcome: Errored}); sent != 0 || ended != 1 {
		t.Errorf("past the target: %d attempts and %d final answers, want 0 and 1", sent, ended)
	}
}
