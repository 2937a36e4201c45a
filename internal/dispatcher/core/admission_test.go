package core

import (
	"testing"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
)

// sendCounter is all backends, and counts attempts.
type sendCounter struct{ sent int }

func (s *sendCounter) Open(decision.WorkerID, string, string) Backend { return s }
func (s *sendCounter) Send(Attempt)                                   { s.sent++ }
func (s *sendCounter) Cancel(Attempt)                                 {}
func (s *sendCounter) Probe(time.Time)                                {}
func (s *sendCounter) SetAddress(string)                              {}
func (s *sendCounter) Close()                                         {}

// rejoining is a core that is guarded, with two workers.
type rejoining struct {
	*Core
	backends *sendCounter
	jobs     int
	stalls   int // that the core has reported
}

func newRejoining(t *testing.T) *rejoining {
	t.Helper()
	classes := []decision.Class{
		{ClientTimeout: time.Minute, Objective: time.Second, WorkerKind: -1},
		{Effect: decision.Keyed, DedupWindow: time.Minute, ClientTimeout: time.Minute, Objective: time.Second, WorkerKind: -1},
	}
	limits := decision.Limits{MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second}
	backends := &sendCounter{}
	r := &rejoining{Core: newTestCoreOf(t, decision.Config{Instances: 1, Classes: classes, Limits: limits}, backends), backends: backends}
	r.Guard(func(time.Duration) { r.stalls++ })
	r.now = r.moduleTime(time.Now())
	r.updateMembers(decision.MembersReplaced, []Route{{UID: "s-1", Addr: "x"}, {UID: "s-2", Addr: "y"}})
	r.step()
	return r
}

// submit submits a job of a class and reports whether it has its response at once.
func (r *rejoining) submit(class int) (answered bool) {
	r.jobs++
	r.guard.observe(r.now)
	got := make(responses, 1)
	r.Submit(&Job{ID: string(rune('a' + r.jobs)), Class: class, Slots: 1, Deadline: time.Now().Add(time.Minute)}, got)
	runTurns(r.Core, 1)
	return len(got) == 1
}

// setAdmission sets the admission at once.
func (r *rejoining) setAdmission(level admission.Level, admitsKeyed bool, initial, stalls int) {
	r.SetAdmission(level, admitsKeyed, initial, stalls)
	deliverMail(r.Core)
}

// TestAdmissionWhileRejoining guards what is admitted and sent while a dispatcher
// rejoins: nothing while admission is closed, nothing that must not run twice before it
// may, nothing by a decision from before a stall, and no attempt after a stall until
// admission is opened anew.
func TestAdmissionWhileRejoining(t *testing.T) {
	const safe, keyed = 0, 1
	r := newRejoining(t)
	start := r.now
	if !r.submit(safe) || r.backends.sent != 0 {
		t.Error("a job was admitted while admission was closed")
	}
	r.setAdmission(admission.Limited, false, 4, 0)
	if r.submit(safe) || r.backends.sent != 1 {
		t.Error("no job was admitted while admission was ajar")
	}
	if !r.submit(keyed) || r.backends.sent != 1 {
		t.Error("a job that must not run twice was admitted before it may")
	}
	r.setAdmission(admission.Unlimited, true, 0, 0)
	if r.submit(keyed) || r.backends.sent != 2 {
		t.Error("no job was admitted while admission was wide")
	}
	r.now = start + stallBound(r.cfg.Rules.DrainGrace)
	if !r.submit(safe) || r.backends.sent != 2 || r.stalls != 1 {
		t.Errorf("after a stall %d were sent, and it was reported %d times", r.backends.sent, r.stalls)
	}
	r.setAdmission(admission.Unlimited, true, 0, 0)
	if !r.submit(safe) || r.backends.sent != 2 {
		t.Error("a decision from before the stall opened admission")
	}
	r.addEvent(decision.Event{Type: decision.AttemptEnded, Request: 1, Worker: 1, Outcome: decision.Errored})
	r.step()
	if r.backends.sent != 2 {
		t.Error("a further attempt was sent by the knowledge from before the stall")
	}
	r.setAdmission(admission.Unlimited, true, 0, 1)
	if r.submit(safe) || r.backends.sent != 3 {
		t.Error("admission stays closed after it was opened anew")
	}
}
