package core

import (
	"testing"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
)

// sendCounter provides all backends and counts the attempts sent to them.
type sendCounter struct{ sent int }

func (s *sendCounter) Open(decision.WorkerID, string, string) Backend { return s }
func (s *sendCounter) Send(Attempt)                                   { s.sent++ }
func (s *sendCounter) Cancel(Attempt)                                 {}
func (s *sendCounter) Probe(time.Time)                                {}
func (s *sendCounter) SetAddress(string)                              {}
func (s *sendCounter) Close()                                         {}

// rejoiningCore is a core with two workers on which Guard was called.
type rejoiningCore struct {
	*Core
	backends *sendCounter
	jobs     int
	stalls   int // reported by the core
}

func newRejoiningCore(t *testing.T) *rejoiningCore {
	t.Helper()
	classes := []decision.Class{
		{ClientTimeout: time.Minute, Objective: time.Second, WorkerKind: -1},
		{Effect: decision.Keyed, DedupWindow: time.Minute, ClientTimeout: time.Minute, Objective: time.Second, WorkerKind: -1},
	}
	limits := decision.Limits{MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second}
	backends := &sendCounter{}
	r := &rejoiningCore{Core: newTestCoreWithConfig(t, decision.Config{Instances: 1, Classes: classes, Limits: limits}, backends), backends: backends}
	r.Guard(func(time.Duration) { r.stalls++ })
	r.now = r.moduleTime(time.Now())
	r.updateMembers(decision.MembersReplaced, []Route{{UID: "s-1", Addr: "x"}, {UID: "s-2", Addr: "y"}})
	r.step()
	return r
}

// submit submits a job of a class and reports whether it was answered at once.
func (r *rejoiningCore) submit(class int) (answered bool) {
	r.jobs++
	r.guard.observe(r.now)
	got := make(responses, 1)
	r.Submit(&Job{ID: string(rune('a' + r.jobs)), Class: class, Slots: 1, Deadline: time.Now().Add(time.Minute)}, got)
	runTurns(r.Core, 1)
	return len(got) == 1
}

// setAdmission calls SetAdmission and delivers the message.
func (r *rejoiningCore) setAdmission(level admission.Level, admitsKeyed bool, initial, stalls int) {
	r.SetAdmission(level, admitsKeyed, initial, stalls)
	deliverMail(r.Core)
}

// TestAdmissionWhileRejoining guards what a rejoining dispatcher admits and sends: no job while
// admission is closed, no job that must not run twice before these are admitted, no job because of
// a decision made before a stall, and no attempt after a stall until admission is reopened.
func TestAdmissionWhileRejoining(t *testing.T) {
	const safe, keyed = 0, 1
	r := newRejoiningCore(t)
	start := r.now
	if !r.submit(safe) || r.backends.sent != 0 {
		t.Error("a job was admitted while admission was closed")
	}
	r.setAdmission(admission.Limited, false, 4, 0)
	if r.submit(safe) || r.backends.sent != 1 {
		t.Error("a job was not admitted and sent while admission was limited")
	}
	if !r.submit(keyed) || r.backends.sent != 1 {
		t.Error("a job that must not run twice was admitted without admitsKeyed")
	}
	r.setAdmission(admission.Unlimited, true, 0, 0)
	if r.submit(keyed) || r.backends.sent != 2 {
		t.Error("a job was not admitted and sent while admission was unlimited")
	}
	r.now = start + stallBound(r.cfg.Rules.DrainGrace)
	if !r.submit(safe) || r.backends.sent != 2 || r.stalls != 1 {
		t.Errorf("after a stall: %d attempts sent, %d stalls reported; want a rejection, 2 and 1", r.backends.sent, r.stalls)
	}
	r.setAdmission(admission.Unlimited, true, 0, 0)
	if !r.submit(safe) || r.backends.sent != 2 {
		t.Error("a decision made before the stall reopened admission")
	}
	r.addEvent(decision.Event{Type: decision.AttemptEnded, Request: 1, Worker: 1, Outcome: decision.Errored})
	r.step()
	if r.backends.sent != 2 {
		t.Error("a retry was sent on information from before the stall")
	}
	r.setAdmission(admission.Unlimited, true, 0, 1)
	if r.submit(safe) || r.backends.sent != 3 {
		t.Error("a job was not admitted and sent after admission was reopened")
	}
}
