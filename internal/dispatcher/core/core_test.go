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

// emptyRouteTable is a RouteTable without workers.
type emptyRouteTable struct{}

func (emptyRouteTable) Watch() {}
func (emptyRouteTable) Fetch() {}

// responses is an Ingress whose responses the test reads.
type responses chan Response

func (r responses) Respond(response Response) { r <- response }

// openBackends remembers which backends are open.
type openBackends map[string]bool

func (o openBackends) Open(_ decision.WorkerID, uid, _ string) Backend {
	o[uid] = true
	return recordingBackend{o, uid}
}

// recordingBackend records that it is closed, and nothing else.
type recordingBackend struct {
	open openBackends
	uid  string
}

func (recordingBackend) Send(Attempt)      {}
func (recordingBackend) Cancel(Attempt)    {}
func (recordingBackend) Probe(time.Time)   {}
func (recordingBackend) SetAddress(string) {}
func (b recordingBackend) Close()          { delete(b.open, b.uid) }

// newTestCore makes a core with one class that logs nothing and whose clock has been
// read.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	return newTestCoreWith(t, decision.Class{Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}, openBackends{})
}

// newTestCoreWith does so with a class and backends.
func newTestCoreWith(t *testing.T, class decision.Class, backends Backends) *Core {
	t.Helper()
	return newTestCoreOf(t, decision.Config{Classes: []decision.Class{class}}, backends)
}

// newTestCoreOf does so with whole settings.
func newTestCoreOf(t *testing.T, cfg decision.Config, backends Backends) *Core {
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

// deliverMail executes a core's mail.
func deliverMail(c *Core) {
	for _, message := range c.mailbox.Drain(nil) {
		message(c)
	}
}

// runTurns executes a core's mail and steps, as often as said: a message may cause
// another.
func runTurns(c *Core, turns int) {
	for range turns {
		deliverMail(c)
		c.step()
	}
}

// TestRejectedRequestsAreRemoved guards the memory: nothing is left of requests that
// were rejected at once, however late their deadlines.
func TestRejectedRequestsAreRemoved(t *testing.T) {
	c := newTestCoreWith(t, decision.Class{Objective: time.Second, ClientTimeout: time.Hour}, nil)
	got := make(responses, 1)
	for i := range 1000 {
		c.handleArrival(&Job{ID: fmt.Sprint(i), Slots: 1, Deadline: time.Now().Add(time.Hour)}, got)
		c.step()
		if response := <-got; response.Verdict != Rejected {
			t.Fatalf("response %+v without a worker", response)
		}
	}
	if len(c.timers) > 0 || len(c.requests) > 0 || len(c.requestsByJobID) > 0 {
		t.Errorf("%d timers, %d requests and %d IDs are left", len(c.timers), len(c.requests), len(c.requestsByJobID))
	}
}

// TestAttemptDoesNotStartBeforeItsRequest guards traces against a clock that was read
// before the request came in the same batch: its attempt would start before it.
func TestAttemptDoesNotStartBeforeItsRequest(t *testing.T) {
	c := &Core{now: time.Second}
	record := &trace.Record{Received: time.Second + time.Microsecond}
	c.recordStart(record, nil)
	if got := record.Attempts[0].Sent; got < record.Received {
		t.Errorf("the attempt starts at %v, its request at %v", got, record.Received)
	}
}

// TestHintsCountUntilOwnFindings guards a new dispatcher: what others have found out
// about a worker counts, before it is listed and after, until an attempt from here has
// ended there.
func TestHintsCountUntilOwnFindings(t *testing.T) {
	c := newTestCore(t)
	hint := func(uid string, failures int) {
		c.Hint(uid, decision.Health{Failures: failures, Failed: failures > 0, Pace: 1})
		runTurns(c, 1)
	}
	want := func(uid string, failures int) {
		t.Helper()
		if got := c.module.Health(c.workers[uid].number).Failures; got != failures {
			t.Errorf("%s counts as failed %d times, want %d", uid, got, failures)
		}
	}
	hint("s-1", 3)
	c.updateMembers(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}, {UID: "s-2", Addr: "y"}})
	c.step()
	want("s-1", 3)
	want("s-2", 0)
	hint("s-2", 2)
	want("s-2", 2)
	c.workers["s-2"].hasEndedAttempt = true
	hint("s-2", 0)
	want("s-2", 2)
	found := -1
	c.OwnFindings(func(all map[string]decision.Health) { found = len(all) })
	deliverMail(c)
	if found != 1 {
		t.Errorf("findings on %d workers, want on the one where an attempt has ended", found)
	}
}
