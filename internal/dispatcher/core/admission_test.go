package core

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/fleet/recovery/admission"
)

// TestAdmissionWhileRejoining guards what comes in and goes out while a dispatcher comes back: nothing at a closed
// door, nothing that must not run twice before it may, nothing by what was decided before a
// standstill, and no hop after one until the door is opened anew.
func TestAdmissionWhileRejoining(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Instances: 1, Classes: []decision.Class{{ClientTimeout: time.Minute, Objective: time.Second, WorkerKind: -1},
		{Effect: decision.Keyed, DedupWindow: time.Minute, ClientTimeout: time.Minute, Objective: time.Second, WorkerKind: -1}}, Limits: decision.Limits{MaxAttempts: 3, RetryAfter: true, MaxRetryAfter: time.Second}}
	sent := &sendCounter{}
	c, err := New(cfg, 1, sent, emptyRouteTable{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	var woke []time.Duration
	c.Guard(func(still time.Duration) { woke = append(woke, still) })
	at := c.moduleTime(time.Now())
	c.now = at
	c.updateMembers(decision.MembersReplaced, []Route{{UID: "s-1", Addr: "x"}, {UID: "s-2", Addr: "y"}})
	c.step()
	n := 0
	try := func(class int) (answered bool) {
		n++
		c.guard.observe(c.now)
		got := make(responses, 1)
		job := &Job{ID: string(rune('a' + n)), Class: class, Slots: 1, Deadline: time.Now().Add(time.Minute)}
		c.Submit(job, got)
		for _, message := range c.mailbox.Drain(nil) {
			message(c)
		}
		c.step()
		return len(got) == 1
	}
	open := func(l admission.Level, keyed bool, first, stood int) {
		c.SetAdmission(l, keyed, first, stood)
		for _, message := range c.mailbox.Drain(nil) {
			message(c)
		}
	}
	if !try(0) || sent.n != 0 {
		t.Error("a closed door let a job in")
	}
	open(admission.Limited, false, 4, 0)
	if try(0) || sent.n != 1 {
		t.Error("a door that is ajar let nobody in")
	}
	if !try(1) || sent.n != 1 {
		t.Error("a job that must not run twice came in before it may")
	}
	open(admission.Unlimited, true, 0, 0)
	if try(1) || sent.n != 2 {
		t.Error("a wide door let nobody in")
	}
	c.now = at + stallBound(cfg.Rules.DrainGrace)
	if !try(0) || sent.n != 2 || len(woke) != 1 {
		t.Errorf("after a standstill %d were sent, and it was noticed %d times", sent.n, len(woke))
	}
	open(admission.Unlimited, true, 0, 0)
	if !try(0) || sent.n != 2 {
		t.Error("what was decided before the standstill opened the door")
	}
	c.addEvent(decision.Event{Type: decision.AttemptEnded, Request: 1, Worker: 1, Outcome: decision.Errored})
	c.step()
	if sent.n != 2 {
		t.Error("a further attempt was sent by what was known before the standstill")
	}
	open(admission.Unlimited, true, 0, 1)
	if try(0) || sent.n != 3 {
		t.Error("the door stays closed after it was opened anew")
	}
}

// sendCounter counts hops.
type sendCounter struct{ n int }

func (s *sendCounter) Open(decision.WorkerID, string, string) Backend { return s }
func (s *sendCounter) Send(Attempt)                                   { s.n++ }
func (s *sendCounter) Cancel(Attempt)                                 {}
func (s *sendCounter) Probe(time.Time)                                {}
func (s *sendCounter) SetAddress(string)                              {}
func (s *sendCounter) Close()                                         {}
