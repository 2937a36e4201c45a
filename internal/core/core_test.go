package core

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/trace"
)

// noList is a route table that names nobody.
type noList struct{}

func (noList) Watch() {}
func (noList) Fetch() {}

// TestForgotten guards the memory: nothing is left of requests that were refused
// at once, however late their deadlines.
func TestForgotten(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Objective: time.Second, GiveUp: time.Hour}}}
	c, err := New(cfg, 1, nil, noList{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.clock(time.Now())
	got := make(answers, 1)
	for i := range 1000 {
		c.arrived(&Job{ID: fmt.Sprint(i), Slots: 1, Deadline: time.Now().Add(time.Hour)}, got)
		c.step()
		if a := <-got; a.Verdict != Shed {
			t.Fatalf("answer %+v without a runner", a)
		}
	}
	if len(c.due) > 0 || len(c.requests) > 0 || len(c.byID) > 0 {
		t.Errorf("%d reminders, %d requests and %d ids are left", len(c.due), len(c.requests), len(c.byID))
	}
}

type answers chan Answer

func (x answers) Answer(a Answer) { x <- a }

// opened remembers which targets are open.
type opened map[string]bool

func (o opened) Open(_ decision.WorkerID, uid, _ string) Target {
	o[uid] = true
	return target{o, uid}
}

type target struct {
	open opened
	uid  string
}

func (target) Send(Hop)        {}
func (target) GiveUp(Hop)      {}
func (target) Probe(time.Time) {}
func (target) Move(string)     {}
func (t target) Close()        { delete(t.open, t.uid) }

// TestSources guards runners that discovery does not list against its whole lists, for the
// core and for the module.
func TestSources(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Objective: time.Second, GiveUp: time.Hour, WorkerKind: -1}}}
	open := opened{}
	c, err := New(cfg, 1, open, noList{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.clock(time.Now())
	c.listed(decision.MembersChanged, []Route{{UID: "own", Addr: "x", Source: 1}})
	c.listed(decision.MembersReplaced, []Route{{UID: "a", Addr: "y"}, {UID: "b", Addr: "z"}})
	c.listed(decision.MembersReplaced, []Route{{UID: "b", Addr: "z"}})
	c.step()
	if !open["own"] || !open["b"] || open["a"] {
		t.Errorf("open are %v", open)
	}
	if held, limit := c.module.Held(c.workers["own"].number); held != 0 || limit == 0 {
		t.Errorf("to the module the runner has %d tokens, %d at most", held, limit)
	}
}

// TestHopBeginsWithItsRequest guards traces against a clock that was read before the
// request came in the same batch: its hop would begin before it.
func TestHopBeginsWithItsRequest(t *testing.T) {
	c := &Core{now: time.Second}
	s := &trace.Story{Came: time.Second + time.Microsecond}
	c.began(s, nil)
	if got := s.Hops[0].Began; got < s.Came {
		t.Errorf("the hop begins at %v, its request at %v", got, s.Came)
	}
}

// TestHints guards a newcomer from what others know already: what they found of a runner
// counts, before it is listed and after, until a job from here has met it.
func TestHints(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Objective: time.Second, GiveUp: time.Hour, WorkerKind: -1}}}
	c, err := New(cfg, 1, opened{}, noList{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.clock(time.Now())
	tell := func(uid string, failures int) {
		c.Hint(uid, decision.Health{Failures: failures, Failed: failures > 0, Pace: 1})
		for _, message := range c.box.Drain(nil) {
			message(c)
		}
		c.step()
	}
	want := func(uid string, failures int) {
		t.Helper()
		if got := c.module.Health(c.workers[uid].number).Failures; got != failures {
			t.Errorf("%s counts as failed %d times, want %d", uid, got, failures)
		}
	}
	tell("s-1", 3)
	c.listed(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}, {UID: "s-2", Addr: "y"}})
	c.step()
	want("s-1", 3)
	want("s-2", 0)
	tell("s-2", 2)
	want("s-2", 2)
	c.workers["s-2"].met = true
	tell("s-2", 0)
	want("s-2", 2)
	found := -1
	c.Found(func(all map[string]decision.Health) { found = len(all) })
	for _, message := range c.box.Drain(nil) {
		message(c)
	}
	if found != 1 {
		t.Errorf("health of %d runners is told, want of the one that was met", found)
	}
}
