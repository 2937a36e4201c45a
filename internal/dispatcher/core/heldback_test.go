package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestHeldBackUntilDiscoveryAnswers guards a process that begins with a list which may be old: what comes before
// discovery's first word is sent to nobody until then, and never for a client that has left. What
// comes after is taken in at once.
func TestHeldBackUntilDiscoveryAnswers(t *testing.T) {
	c := newTestCore(t)
	c.HoldBack()
	c.updateMembers(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}})
	work := func() {
		for range 3 {
			for _, message := range c.mailbox.Drain(nil) {
				message(c)
			}
			c.step()
		}
	}
	deadline := time.Now().Add(time.Hour)
	jobs := map[string]*Job{}
	for _, id := range []string{"stays", "leaves", "after"} {
		jobs[id] = &Job{ID: id, Slots: 1, Deadline: deadline}
	}
	c.Submit(jobs["stays"], make(responses, 1))
	c.Submit(jobs["leaves"], make(responses, 1))
	work()
	if len(c.requests) > 0 {
		t.Fatalf("%d jobs were taken in before discovery's first word", len(c.requests))
	}
	c.ClientLeft(jobs["leaves"])
	c.ReleaseHeldBack()
	work()
	if r := c.byID["stays"]; r == nil || len(r.attempts) != 1 {
		t.Errorf("the job whose client waits has become %+v", r)
	}
	if c.byID["leaves"] != nil {
		t.Error("the job of a client that has left is sent")
	}
	c.Submit(jobs["after"], make(responses, 1))
	work()
	if r := c.byID["after"]; r == nil || len(r.attempts) != 1 {
		t.Errorf("a job that comes after has become %+v", r)
	}
	if len(c.awaitingAdmission) > 0 || c.heldBack != nil {
		t.Errorf("%d jobs wait still", len(c.awaitingAdmission))
	}
}

// TestHeldBackJobsAreAnswered guards what is held back against having no answer: where its time is over before
// discovery has spoken, and where the process is told to end.
func TestHeldBackJobsAreAnswered(t *testing.T) {
	c := newTestCore(t)
	c.HoldBack()
	work := func() {
		for _, message := range c.mailbox.Drain(nil) {
			message(c)
		}
		c.step()
	}
	refused := func(got responses) {
		t.Helper()
		late := time.After(5 * time.Second)
		for {
			select {
			case a := <-got:
				if a.Verdict != Rejected {
					t.Errorf("answered %+v", a)
				}
				return
			case <-c.mailbox.Ready():
				work()
			case <-late:
				t.Fatal("a job that is held back has no answer")
			}
		}
	}
	short, long := make(responses, 1), make(responses, 1)
	c.Submit(&Job{ID: "short", Slots: 1, Deadline: time.Now().Add(20 * time.Millisecond)}, short)
	c.Submit(&Job{ID: "long", Slots: 1, Deadline: time.Now().Add(time.Hour)}, long)
	refused(short)
	if len(long) > 0 {
		t.Error("a job that has time is refused too")
	}
	c.StopBy(time.Now().Add(time.Minute))
	refused(long)
	c.ReleaseHeldBack()
	work()
	if len(c.requests) > 0 || len(c.awaitingAdmission) > 0 {
		t.Errorf("%d requests are taken in, %d wait", len(c.requests), len(c.awaitingAdmission))
	}
}
