package core

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// emptyRouteTable is a route table that names nobody.
type emptyRouteTable struct{}

func (emptyRouteTable) Watch() {}
func (emptyRouteTable) Fetch() {}

// newTestCore makes a core that logs nothing and whose clock has been read.
func newTestCore(t *testing.T) *Core {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}}}
	c, err := New(cfg, 1, openBackends{}, emptyRouteTable{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.moduleTime(time.Now())
	return c
}

// TestRejectedRequestsAreRemoved guards the memory: nothing is left of requests that were refused
// at once, however late their deadlines.
func TestRejectedRequestsAreRemoved(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Objective: time.Second, ClientTimeout: time.Hour}}}
	c, err := New(cfg, 1, nil, emptyRouteTable{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.moduleTime(time.Now())
	got := make(responses, 1)
	for i := range 1000 {
		c.handleArrival(&Job{ID: fmt.Sprint(i), Slots: 1, Deadline: time.Now().Add(time.Hour)}, got)
		c.step()
		if a := <-got; a.Verdict != Rejected {
			t.Fatalf("answer %+v without a runner", a)
		}
	}
	if len(c.timers) > 0 || len(c.requests) > 0 || len(c.byID) > 0 {
		t.Errorf("%d reminders, %d requests and %d ids are left", len(c.timers), len(c.requests), len(c.byID))
	}
}

type responses chan Response

func (x responses) Respond(a Response) { x <- a }

// openBackends remembers which targets are open.
type openBackends map[string]bool

func (o openBackends) Open(_ decision.WorkerID, uid, _ string) Backend {
	o[uid] = true
	return recordingBackend{o, uid}
}

type recordingBackend struct {
	open openBackends
	uid  string
}

func (recordingBackend) Send(Attempt)      {}
func (recordingBackend) Cancel(Attempt)    {}
func (recordingBackend) Probe(time.Time)   {}
func (recordingBackend) SetAddress(string) {}
func (t recordingBackend) Close()          { delete(t.open, t.uid) }

// TestWholeListKeepsOtherSources guards runners that discovery does not list against its whole lists, for the
// core and for the module.
func TestWholeListKeepsOtherSources(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}}}
	open := openBackends{}
	c, err := New(cfg, 1, open, emptyRouteTable{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.moduleTime(time.Now())
	c.updateMembers(decision.MembersChanged, []Route{{UID: "own", Addr: "x", Source: 1}})
	c.updateMembers(decision.MembersReplaced, []Route{{UID: "a", Addr: "y"}, {UID: "b", Addr: "z"}})
	c.updateMembers(decision.MembersReplaced, []Route{{UID: "b", Addr: "z"}})
	c.step()
	if !open["own"] || !open["b"] || open["a"] {
		t.Errorf("open are %v", open)
	}
	if held, limit := c.module.TokensInUse(c.workers["own"].number); held != 0 || limit == 0 {
		t.Errorf("to the module the runner has %d tokens, %d at most", held, limit)
	}
}

// TestAttemptDoesNotStartBeforeItsRequest guards traces against a clock that was read before the
// request came in the same batch: its hop would begin before it.
func TestAttemptDoesNotStartBeforeItsRequest(t *testing.T) {
	c := &Core{now: time.Second}
	s := &trace.Record{Received: time.Second + time.Microsecond}
	c.recordStart(s, nil)
	if got := s.Attempts[0].Sent; got < s.Received {
		t.Errorf("the hop begins at %v, its request at %v", got, s.Received)
	}
}

// TestHintsCountUntilOwnFindings guards a newcomer from what others know already: what they found of a runner
// counts, before it is listed and after, until a job from here has met it.
func TestHintsCountUntilOwnFindings(t *testing.T) {
	c := newTestCore(t)
	tell := func(uid string, failures int) {
		c.Hint(uid, decision.Health{Failures: failures, Failed: failures > 0, Pace: 1})
		for _, message := range c.mailbox.Drain(nil) {
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
	c.updateMembers(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}, {UID: "s-2", Addr: "y"}})
	c.step()
	want("s-1", 3)
	want("s-2", 0)
	tell("s-2", 2)
	want("s-2", 2)
	c.workers["s-2"].hasEndedAttempt = true
	tell("s-2", 0)
	want("s-2", 2)
	found := -1
	c.OwnFindings(func(all map[string]decision.Health) { found = len(all) })
	for _, message := range c.mailbox.Drain(nil) {
		message(c)
	}
	if found != 1 {
		t.Errorf("health of %d runners is told, want of the one that was met", found)
	}
}

// fakeOutcomeStore is a memory of fates that the test answers.
type fakeOutcomeStore struct {
	lookedUp func([]OutcomeRecord)
	neverRan int
}

func (r *fakeOutcomeStore) Lookup(_ *Job, told func([]OutcomeRecord))                         { r.lookedUp = told }
func (r *fakeOutcomeStore) RecordNeverRan(*Job, OutcomeRecord)                                { r.neverRan++ }
func (*fakeOutcomeStore) RecordSending(_ *Job, _ OutcomeRecord, _ time.Duration, send func()) { send() }
func (*fakeOutcomeStore) RecordDone(_ *Job, _ OutcomeRecord, _ time.Duration, _ []byte)       {}

// TestJobSentByAnotherDispatcher guards a job that another dispatcher has sent: its hop here is told in its
// story at its own place, and one that was asked for while the process began to end has its
// answer before that end.
func TestJobSentByAnotherDispatcher(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Effect: decision.Keyed, DedupScope: decision.ScopeAll, DedupWindow: time.Hour,
		Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}}}
	c, err := New(cfg, 1, openBackends{}, emptyRouteTable{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	fates := &fakeOutcomeStore{}
	c.SetOutcomeStore(fates)
	c.SetRecordHook(func(*trace.Record) {})
	c.now = c.moduleTime(time.Now())
	drains := Route{UID: "s-3", Addr: "z"}
	drains.State = decision.Draining
	c.updateMembers(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}, drains, {UID: "s-2", Addr: "y"}})
	c.step()
	work := func() {
		for range 3 {
			for _, message := range c.mailbox.Drain(nil) {
				message(c)
			}
			c.step()
		}
	}
	job := &Job{ID: "x", Key: "k", Slots: 1, Deadline: time.Now().Add(time.Hour), Record: &trace.Record{}}
	c.Submit(job, make(responses, 1))
	work()
	by := time.Now().Add(time.Minute)
	c.StopBy(by)
	work()
	fates.lookedUp([]OutcomeRecord{{}})
	work()
	r := c.byID["x"]
	if r == nil || len(r.attempts) != 2 || len(r.record.Attempts) != 2 || r.record.Attempts[1].Ended != 0 || r.record.Attempts[0].Ended == 0 {
		t.Fatalf("request %+v", r)
	}
	if got := r.record.Attempts[0].Backend; got != "s-3" {
		t.Errorf("%s stands for the group, so that the job can't go there, and another gets none", got)
	}
	if r.deadline > c.moduleTime(by) {
		t.Errorf("its deadline is %s after the process's end", r.deadline-c.moduleTime(by))
	}
}

// TestNeverRanIsRecorded has others forget an attempt that surely never ran, and remember one that may have,
// also where another of the same request never did.
func TestNeverRanIsRecorded(t *testing.T) {
	for name, tc := range map[string]struct {
		ends []decision.Outcome
		want int
	}{
		"never ran":            {[]decision.Outcome{decision.ConnectFailed}, 1},
		"may have":             {[]decision.Outcome{decision.ConnReset}, 0},
		"both never":           {[]decision.Outcome{decision.Rejected, decision.ConnectFailed}, 2},
		"the first may have":   {[]decision.Outcome{decision.ConnReset, decision.ConnectFailed}, 0},
		"the second may have":  {[]decision.Outcome{decision.Rejected, decision.ConnReset}, 1},
		"it was given up here": {[]decision.Outcome{decision.Canceled}, 0},
	} {
		fates := &fakeOutcomeStore{}
		c := &Core{cfg: decision.Config{Classes: []decision.Class{{Effect: decision.Keyed, DedupScope: decision.ScopeAll}}}, outcomeStore: fates}
		r := &request{job: &Job{Key: "k"}}
		for i, o := range tc.ends {
			r.attempts = append(r.attempts, attemptState{worker: &worker{}, recorded: true})
			r.attempts[i].neverRan = o.NeverRan()
			c.recordNeverRan(r, i)
		}
		if fates.neverRan != tc.want {
			t.Errorf("%s: %d words, want %d", name, fates.neverRan, tc.want)
		}
	}
}

// fakePlacements is what members agree on of one job: whether it may go, and where it went before.
type fakePlacements struct {
	previous  []OutcomeRecord
	agrees    bool
	proposed  []OutcomeRecord
	withdrawn int
}

func (a *fakePlacements) Previous() []OutcomeRecord { return a.previous }
func (a *fakePlacements) Withdraw(OutcomeRecord)    { a.withdrawn++ }
func (a *fakePlacements) Propose(group OutcomeRecord, _ time.Duration, send func(bool)) {
	a.proposed = append(a.proposed, group)
	send(a.agrees)
}

// sendCounts counts what runners are sent.
type sendCounts struct{ sent map[string]int }

func (n sendCounts) Open(_ decision.WorkerID, uid, _ string) Backend {
	return countingBackend{recordingBackend{openBackends{}, uid}, n.sent}
}

type countingBackend struct {
	recordingBackend
	sent map[string]int
}

func (n countingBackend) Send(Attempt) { n.sent[n.uid]++ }

// TestPlacementsAreAgreedBeforeSending guards the effect of a job whose places are agreed on: it is sent nowhere before its
// group is, and to no other group than it went to, however few of those told of it are left.
func TestPlacementsAreAgreedBeforeSending(t *testing.T) {
	for name, tc := range map[string]struct {
		may    bool
		before []OutcomeRecord
		want   map[string]int
	}{
		"agreed":           {true, nil, map[string]int{"s-a": 1}},
		"not agreed":       {false, nil, map[string]int{}},
		"sent to the far":  {true, []OutcomeRecord{{Zone: "b"}}, map[string]int{"s-b2": 1}},
		"its group is out": {true, []OutcomeRecord{{Zone: "c"}}, map[string]int{}},
	} {
		cfg := decision.Config{Zones: 2, Limits: decision.Limits{MaxAttempts: 3}, Classes: []decision.Class{{Effect: decision.Keyed, DedupScope: decision.ScopeZone, DedupWindow: time.Hour, Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}}}
		to := sendCounts{map[string]int{}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		c, err := New(cfg, 1, to, emptyRouteTable{}, func(int, int) {}, logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		fates := &fakeOutcomeStore{}
		c.SetOutcomeStore(fates)
		c.now = c.moduleTime(time.Now())
		far := func(uid string, state decision.MemberState) Route {
			return Route{UID: uid, Addr: uid, ZoneName: "b", Member: decision.Member{Zone: 1, State: state}}
		}
		c.updateMembers(decision.MembersChanged, []Route{{UID: "s-a", Addr: "x", ZoneName: "a"}, far("s-b1", decision.Draining), far("s-b2", decision.Ready)})
		c.step()
		a, got := &fakePlacements{previous: tc.before, agrees: tc.may}, make(responses, 1)
		c.Submit(&Job{ID: "x", Key: "k", Slots: 1, Deadline: time.Now().Add(time.Hour), Placements: a}, got)
		for range 6 {
			for _, message := range c.mailbox.Drain(nil) {
				message(c)
			}
			if told := fates.lookedUp; told != nil {
				fates.lookedUp = nil
				told(nil)
			}
			c.step()
		}
		if diff := cmp.Diff(tc.want, to.sent); diff != "" {
			t.Errorf("%s: sent\n%s", name, diff)
		}
		if len(tc.want) == 0 && len(got) == 0 {
			t.Errorf("%s: it has no answer", name)
		}
	}
}
