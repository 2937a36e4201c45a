package decision

import (
	"testing"
	"time"

	"frosttide/decision/permit"
)

// TestLatestStart checks that an attempt begins before the window closes in which repeats are dropped and,
// at a warming worker, before its part of the budget belongs to another window.
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
		t.Fatalf("a first attempt at a warm worker: %+v", first)
	}
	again := sends(start+2*time.Second, Event{Type: AttemptEnded, Request: 1, Worker: first[0].Worker, Outcome: ConnReset})
	if want := start + 10*time.Second - permit.MaxStall; len(again) != 1 || again[0].LatestStart != want {
		t.Errorf("a repeat of a keyed request: %+v, want it to begin by %v", again, want)
	}
	now := start + 5*time.Second
	warmingList := Event{Type: MembersReplaced, Members: []Member{{Worker: 3, StartedAt: now - 18*time.Second}}}
	cold := sends(now, warmingList, Event{Type: RequestArrived, Request: 2, Class: 1, Deadline: now + time.Minute})
	if len(cold) != 1 || cold[0].LatestStart != now+warmUpStartWithin {
		t.Errorf("an attempt at a worker that warms up: %+v, want it to begin within %v", cold, warmUpStartWithin)
	}
}

// TestCancelUnconfirmed checks that no attempt follows one whose worker may not know of its cancel.
func TestCancelUnconfirmed(t *testing.T) {
	for _, unsure := range []bool{false, true} {
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
		sent, refused := 0, 0
		ended := Event{Type: AttemptEnded, Request: 1, Worker: at, Outcome: TimedOut, CancelUnconfirmed: unsure}
		for _, a := range d.Step(time.Hour+time.Second, []Event{ended}, nil) {
			switch a.Type {
			case Send:
				sent++
			case Reject:
				refused++
			}
		}
		if unsure && (sent != 0 || refused != 1) || !unsure && sent != 1 {
			t.Errorf("unsure %t: %d attempts follow, %d refusals", unsure, sent, refused)
		}
	}
}

// TestNoAttemptPastTarget checks that no attempt is sent that would be canceled at once, as its request
// cannot be in time any more and has no value later.
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
		t.Fatalf("%d attempts of a job in time", sent)
	}
	var to WorkerID
	for id := range d.requests[2].attempts {
		to = d.requests[2].attempts[id].worker.Worker
	}
	now += 5 * time.Second // past its second
	if sent, ended := step(Event{Type: AttemptEnded, Request: 2, Worker: to, Outcome: Errored}); sent != 0 || ended != 1 {
		t.Errorf("%d attempts and %d answers once it is too late, want its answer", sent, ended)
	}
}
