package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestHeldBackUntilDiscoveryAnswers guards a process that starts with a possibly outdated list of
// workers: jobs submitted before discovery's first answer must not be sent until then, and never if
// their client has disconnected. Jobs submitted afterwards are processed at once.
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
		t.Fatalf("%d requests exist before discovery's first answer, want none", len(c.requests))
	}
	c.ClientLeft(jobs["leaves"])
	c.ReleaseHeldBack()
	runTurns(c, 3)
	if r := c.requestsByJobID["stays"]; r == nil || len(r.attempts) != 1 {
		t.Errorf("the job of a connected client: request = %+v, want one attempt", r)
	}
	if c.requestsByJobID["leaves"] != nil {
		t.Error("the job of a disconnected client was processed")
	}
	c.Submit(jobs["after"], make(responses, 1))
	runTurns(c, 3)
	if r := c.requestsByJobID["after"]; r == nil || len(r.attempts) != 1 {
		t.Errorf("a job submitted after the release: request = %+v, want one attempt", r)
	}
	if len(c.awaitingAdmission) > 0 || c.heldBack != nil {
		t.Errorf("%d jobs still await admission, or jobs are still held back", len(c.awaitingAdmission))
	}
}

// TestHeldBackJobsAreAnswered guards against held-back jobs that never get a response: because
// their deadline passes before discovery answers, or because the process is told to stop.
func TestHeldBackJobsAreAnswered(t *testing.T) {
	c := newTestCore(t)
	c.HoldBack()
	short, long := make(responses, 1), make(responses, 1)
	c.Submit(&Job{ID: "short", Slots: 1, Deadline: time.Now().Add(20 * time.Millisecond)}, short)
	c.Submit(&Job{ID: "long", Slots: 1, Deadline: time.Now().Add(time.Hour)}, long)
	awaitRejection(t, c, short)
	if len(long) > 0 {
		t.Error("a job was rejected before its deadline")
	}
	c.StopBy(time.Now().Add(time.Minute))
	awaitRejection(t, c, long)
	c.ReleaseHeldBack()
	runTurns(c, 1)
	if len(c.requests) > 0 || len(c.awaitingAdmission) > 0 {
		t.Errorf("after the rejections: %d requests, %d jobs awaiting admission, want none", len(c.requests), len(c.awaitingAdmission))
	}
}

// awaitRejection runs the core until a held-back job is rejected, for at most 5 s.
func awaitRejection(t *testing.T, c *Core, got responses) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case response := <-got:
			if response.Verdict != Rejected {
				t.Errorf("response = %+v, want Rejected", response)
			}
			return
		case <-c.mailbox.Ready():
			runTurns(c, 1)
		case <-timeout:
			t.Fatal("a held-back job got no response within 5 s")
		}
	}
}
