package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestHeldBackUntilDiscoveryAnswers guards a process that begins with a list which may
// be old: jobs that come before discovery's first answer are sent to nobody until then,
// and never for a client that has left. Jobs that come after are taken in at once.
func TestHeldBackUntilDiscoveryAnswers(t *testing.T) {
	c := newTestCore(t)
	c.HoldBack()
	c.updateMembers(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}})
	deadline := time.Now().Add(time.Hour)
	jobs := map[string]*Job{}
	for _, id := range []string{"stays", "leaves", "after"} {
		jobs[id] = &Job{ID: id, Slots: 1, Deadline: deadline}
	}
	c.Submit(jobs["stays"], make(responses, 1))
	c.Submit(jobs["leaves"], make(responses, 1))
	runTurns(c, 3)
	if len(c.requests) > 0 {
		t.Fatalf("%d jobs were taken in before discovery's first answer", len(c.requests))
	}
	c.ClientLeft(jobs["leaves"])
	c.ReleaseHeldBack()
	runTurns(c, 3)
	if r := c.requestsByJobID["stays"]; r == nil || len(r.attempts) != 1 {
		t.Errorf("the job whose client waits has become %+v", r)
	}
	if c.requestsByJobID["leaves"] != nil {
		t.Error("the job of a client that has left is sent")
	}
	c.Submit(jobs["after"], make(responses, 1))
	runTurns(c, 3)
	if r := c.requestsByJobID["after"]; r == nil || len(r.attempts) != 1 {
		t.Errorf("a job that comes after has become %+v", r)
	}
	if len(c.awaitingAdmission) > 0 || c.heldBack != nil {
		t.Errorf("%d jobs still wait", len(c.awaitingAdmission))
	}
}

// TestHeldBackJobsAreAnswered guards held-back jobs against having no response: where
// the deadline passes before discovery's answer, and where the process is told to stop.
func TestHeldBackJobsAreAnswered(t *testing.T) {
	c := newTestCore(t)
	c.HoldBack()
	short, long := make(responses, 1), make(responses, 1)
	c.Submit(&Job{ID: "short", Slots: 1, Deadline: time.Now().Add(20 * time.Millisecond)}, short)
	c.Submit(&Job{ID: "long", Slots: 1, Deadline: time.Now().Add(time.Hour)}, long)
	awaitRejection(t, c, short)
	if len(long) > 0 {
		t.Error("a job whose deadline has not passed is rejected too")
	}
	c.StopBy(time.Now().Add(time.Minute))
	awaitRejection(t, c, long)
	c.ReleaseHeldBack()
	runTurns(c, 1)
	if len(c.requests) > 0 || len(c.awaitingAdmission) > 0 {
		t.Errorf("%d requests are taken in, %d wait", len(c.requests), len(c.awaitingAdmission))
	}
}

// awaitRejection runs the core until a held-back job is rejected.
func awaitRejection(t *testing.T, c *Core, got responses) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case response := <-got:
			if response.Verdict != Rejected {
				t.Errorf("response %+v", response)
			}
			return
		case <-c.mailbox.Ready():
			runTurns(c, 1)
		case <-timeout:
			t.Fatal("a held-back job has no response")
		}
	}
}
