package core

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// emptyRouteTable is a RouteTable that never lists a worker.
type emptyRouteTable struct{}

func (emptyRouteTable) Watch() {}
func (emptyRouteTable) Fetch() {}

// responses is an Ingress that passes the responses to the test.
type responses chan Response

func (r responses) Respond(response Response) { r <- response }

// openBackends makes backends and records which of them are open, by UID.
type openBackends map[string]bool

func (o openBackends) Open(_ decision.WorkerID, uid, _ string) Backend {
	o[uid] = true
	return recordingBackend{o, uid}
}

// recordingBackend is removed from openBackends when it is closed. Its other methods do nothing.
type recordingBackend struct {
	open openBackends
	uid  string
}

func (recordingBackend) Send(Attempt)      {}
func (recordingBackend) Cancel(Attempt)    {}
func (recordingBackend) Probe(time.Time)   {}
func (recordingBackend) SetAddress(string) {}
func (b recordingBackend) Close()          { delete(b.open, b.uid) }

// newTestCore returns a core with a single class, no logging and its clock already read.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	return newTestCoreWithClass(t, decision.Class{Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}, openBackends{})
}

// newTestCoreWithClass is newTestCore with the given class and backends.
func newTestCoreWithClass(t *testing.T, class decision.Class, backends Backends) *Core {
	t.Helper()
	return newTestCoreWithConfig(t, decision.Config{Classes: []decision.Class{class}}, backends)
}

// newTestCoreWithConfig is newTestCore with the given configuration and backends.
func newTestCoreWithConfig(t *testing.T, cfg decision.Config, backends Backends) *Core {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c, err := New(cfg, 1, backends, emptyRouteTable{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.moduleTime(time.Now())
	return c
}

// deliverMail executes the messages in a core's mailbox.
func deliverMail(c *Core) {
	for _, message := range c.mailbox.Drain(nil) {
		message(c)
	}
}

// runTurns delivers the mail and steps the decision module, the given number of times, because a
// message may cause further ones.
func runTurns(c *Core, turns int) {
	for range turns {
		deliverMail(c)
		c.step()
	}
}

// TestRejectedRequestsAreRemoved guards against a memory leak: requests that are rejected at once
// must leave nothing behind, however late their deadlines are.
func TestRejectedRequestsAreRemoved(t *testing.T) {
	c := newTestCoreWithClass(t, decision.Class{Objective: time.Second, ClientTimeout: time.Hour}, nil)
	got := make(responses, 1)
	for i := range 1000 {
		c.handleArrival(&Job{ID: fmt.Sprint(i), Slots: 1, Deadline: time.Now().Add(time.Hour)}, got)
		c.step()
		if response := <-got; response.Verdict != Rejected {
			t.Fatalf("response without a worker = %+v, want Rejected", response)
		}
	}
	if len(c.timers) > 0 || len(c.requests) > 0 || len(c.requestsByJobID) > 0 {
		t.Errorf("%d timers, %d requests and %d job IDs remain, want none", len(c.timers), len(c.requests), len(c.requestsByJobID))
	}
}

// TestAttemptDoesNotStartBeforeItsRequest guards against traces in which an attempt starts before
// its request. The core's clock is read at the start of a turn, and a request of that turn may have
// arrived after that.
func TestAttemptDoesNotStartBeforeItsRequest(t *testing.T) {
	c := &Core{now: time.Second}
	record := &trace.Record{Received: time.Second + time.Microsecond}
	c.recordStart(record, nil)
	if got := record.Attempts[0].Sent; got < record.Received {
		t.Errorf("attempt sent at %v, before its request was received at %v", got, record.Received)
	}
}

// TestHintsCountUntilOwnFindings checks that a new dispatcher uses other dispatchers' health
// records of a worker, whether received before or after the worker is listed, until one of its own
// attempts has ended there.
func TestHintsCountUntilOwnFindings(t *testing.T) {
	c := newTestCore(t)
	hint := func(uid string, failures int) {
		c.Hint(uid, decision.Health{Failures: failures, Failed: failures > 0, Pace: 1})
		runTurns(c, 1)
	}
	assertFailures := func(uid string, failures int) {
		t.Helper()
		if got := c.module.Health(c.workers[uid].number).Failures; got != failures {
			t.Errorf("%s: failures = %d, want %d", uid, got, failures)
		}
	}
	hint("s-1", 3)
	c.updateMembers(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}, {UID: "s-2", Addr: "y"}})
	c.step()
	assertFailures("s-1", 3)
	assertFailures("s-2", 0)
	hint("s-2", 2)
	assertFailures("s-2", 2)
	c.workers["s-2"].hasEndedAttempt = true
	hint("s-2", 0)
	assertFailures("s-2", 2)
	workers := -1
	c.OwnFindings(func(all map[string]decision.Health) { workers = len(all) })
	deliverMail(c)
	if workers != 1 {
		t.Errorf("OwnFindings returned %d workers, want only the one where an attempt has ended", workers)
	}
}
