package core

import (
	"testing"
	"time"

	"frosttide/decision"
)

// TestHeldBack guards a process that begins with a list which may be old: what comes before
// discovery's first word is sent to nobody until then, and never for a client that has left. What
// comes after is taken in at once.
func TestHeldBack(t *testing.T) {
	c := silentCore(t)
	c.HoldBack()
	c.listed(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}})
	work := func() {
		for range 3 {
			for _, message := range c.box.Drain(nil) {
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
	c.Submit(jobs["stays"], make(answers, 1))
	c.Submit(jobs["leaves"], make(answers, 1))
	work()
	if len(c.requests) > 0 {
		t.Fatalf("%d jobs were taken in before discovery's first word", len(c.requests))
	}
	c.Leave(jobs["leaves"])
	c.Begin()
	work()
	if r := c.byID["stays"]; r == nil || len(r.hops) != 1 {
		t.Errorf("the job whose client waits has become %+v", r)
	}
	if c.byID["leaves"] != nil {
		t.Error("the job of a client that has left is sent")
	}
	c.Submit(jobs["after"], make(answers, 1))
	work()
	if r := c.byID["after"]; r == nil || len(r.hops) != 1 {
		t.Errorf("a job that comes after has become %+v", r)
	}
	if len(c.asking) > 0 || c.early != nil {
		t.Errorf("%d jobs wait still", len(c.asking))
	}
}

// TestHeldBackOver guards what is held back against having no answer: where its time is over before
// discovery has spoken, and where the process is told to end.
func TestHeldBackOver(t *testing.T) {
	c := silentCore(t)
	c.HoldBack()
	work := func() {
		for _, message := range c.box.Drain(nil) {
			message(c)
		}
		c.step()
	}
	refused := func(got answers) {
		t.Helper()
		late := time.After(5 * time.Second)
		for {
			select {
			case a := <-got:
				if a.Verdict != Shed {
					t.Errorf("answered %+v", a)
				}
				return
			case <-c.box.Ready():
				work()
			case <-late:
				t.Fatal("a job that is held back has no answer")
			}
		}
	}
	short, long := make(answers, 1), make(answers, 1)
	c.Submit(&Job{ID: "short", Slots: 1, Deadline: time.Now().Add(20 * time.Millisecond)}, short)
	c.Submit(&Job{ID: "long", Slots: 1, Deadline: time.Now().Add(time.Hour)}, long)
	refused(short)
	if len(long) > 0 {
		t.Error("a job that has time is refused too")
	}
	c.EndBy(time.Now().Add(time.Minute))
	refused(long)
	c.Begin()
	work()
	if len(c.requests) > 0 || len(c.asking) > 0 {
		t.Errorf("%d requests are taken in, %d wait", len(c.requests), len(c.asking))
	}
}
