package core

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"frosttide/decision"
	"frosttide/internal/dispatcher/trace"
)

// fakeOutcomeStore is an OutcomeStore whose lookups are answered by the test.
type fakeOutcomeStore struct {
	answerLookup func([]OutcomeRecord) // callback of the last Lookup; nil for none
	neverRan     int                   // number of calls of RecordNeverRan
}

func (s *fakeOutcomeStore) Lookup(_ *Job, found func([]OutcomeRecord)) { s.answerLookup = found }
func (s *fakeOutcomeStore) RecordNeverRan(*Job, OutcomeRecord)         { s.neverRan++ }
func (*fakeOutcomeStore) RecordSending(_ *Job, _ OutcomeRecord, _ time.Duration, send func()) {
	send()
}
func (*fakeOutcomeStore) RecordDone(_ *Job, _ OutcomeRecord, _ time.Duration, _ []byte) {}

// fakePlacements holds the groups that one job was sent to before, and whether further ones are
// agreed on.
type fakePlacements struct {
	previous []OutcomeRecord
	agrees   bool
}

func (p *fakePlacements) Previous() []OutcomeRecord { return p.previous }
func (p *fakePlacements) Withdraw(OutcomeRecord)    {}
func (p *fakePlacements) Propose(_ OutcomeRecord, _ time.Duration, decided func(bool)) {
	decided(p.agrees)
}

// sendCounts makes backends that count the attempts sent to them, by UID.
type sendCounts struct{ sent map[string]int }

func (s sendCounts) Open(_ decision.WorkerID, uid, _ string) Backend {
	return countingBackend{recordingBackend{openBackends{}, uid}, s.sent}
}

// countingBackend counts the attempts sent to it.
type countingBackend struct {
	recordingBackend
	sent map[string]int
}

func (b countingBackend) Send(Attempt) { b.sent[b.uid]++ }

// TestJobSentByAnotherDispatcher checks a job that another dispatcher has sent before: the attempt
// of that dispatcher has its own entry in the span record, and a job whose lookup is pending when
// the process is told to stop gets a deadline before the end of the process.
func TestJobSentByAnotherDispatcher(t *testing.T) {
	c := newTestCoreWithClass(t, decision.Class{Effect: decision.Keyed, DedupScope: decision.ScopeAll, DedupWindow: time.Hour,
		Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}, openBackends{})
	store := &fakeOutcomeStore{}
	c.SetOutcomeStore(store)
	c.SetRecordHook(func(*trace.Record) {})
	draining := Route{UID: "s-3", Addr: "z"}
	draining.State = decision.Draining
	c.updateMembers(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}, draining, {UID: "s-2", Addr: "y"}})
	c.step()
	job := &Job{ID: "x", Key: "k", Slots: 1, Deadline: time.Now().Add(time.Hour), Record: &trace.Record{}}
	c.Submit(job, make(responses, 1))
	runTurns(c, 3)
	end := time.Now().Add(time.Minute)
	c.StopBy(end)
	runTurns(c, 3)
	store.answerLookup([]OutcomeRecord{{}})
	runTurns(c, 3)
	r := c.requestsByJobID["x"]
	if r == nil || len(r.attempts) != 2 || len(r.record.Attempts) != 2 {
		t.Fatalf("request = %+v, want two attempts, also in its span record", r)
	}
	if r.record.Attempts[1].Ended != 0 || r.record.Attempts[0].Ended == 0 {
		t.Fatalf("span record = %+v, want only the first attempt ended", r.record)
	}
	if got := r.record.Attempts[0].Backend; got != "s-3" {
		t.Errorf("prior attempt at %s, want the draining worker: no job is sent twice to the same worker", got)
	}
	if r.deadline > c.moduleTime(end) {
		t.Errorf("deadline is %s after the end of the process", r.deadline-c.moduleTime(end))
	}
}

// TestNeverRanIsRecorded checks that an attempt that certainly never ran is withdrawn from the
// outcome store, and that one that may have run is kept, also if another attempt of the same
// request never ran.
func TestNeverRanIsRecorded(t *testing.T) {
	for name, tc := range map[string]struct {
		ends []decision.Outcome
		want int
	}{
		"never ran":           {[]decision.Outcome{decision.ConnectFailed}, 1},
		"may have run":        {[]decision.Outcome{decision.ConnReset}, 0},
		"both never ran":      {[]decision.Outcome{decision.Rejected, decision.ConnectFailed}, 2},
		"first may have run":  {[]decision.Outcome{decision.ConnReset, decision.ConnectFailed}, 0},
		"second may have run": {[]decision.Outcome{decision.Rejected, decision.ConnReset}, 1},
		"canceled here":       {[]decision.Outcome{decision.Canceled}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeOutcomeStore{}
			class := decision.Class{Effect: decision.Keyed, DedupScope: decision.ScopeAll}
			c := &Core{cfg: decision.Config{Classes: []decision.Class{class}}, outcomeStore: store}
			r := &request{job: &Job{Key: "k"}}
			for i, outcome := range tc.ends {
				r.attempts = append(r.attempts, attemptState{worker: &worker{}, recorded: true})
				r.attempts[i].neverRan = outcome.NeverRan()
				c.recordNeverRan(r, i)
			}
			if store.neverRan != tc.want {
				t.Errorf("RecordNeverRan called %d times, want %d", store.neverRan, tc.want)
			}
		})
	}
}

// TestPlacementsAreAgreedBeforeSending guards against duplicate execution of a job whose placement
// the members must agree on: it must not be sent before its group is agreed on, and not to any
// group other than the one where it may have run, however few of the members that know of that
// group are left.
func TestPlacementsAreAgreedBeforeSending(t *testing.T) {
	for name, tc := range map[string]struct {
		agrees   bool
		previous []OutcomeRecord
		want     map[string]int
	}{
		"agreed":                  {true, nil, map[string]int{"s-a": 1}},
		"not agreed":              {false, nil, map[string]int{}},
		"sent to the far zone":    {true, []OutcomeRecord{{Zone: "b"}}, map[string]int{"s-b2": 1}},
		"its group is not listed": {true, []OutcomeRecord{{Zone: "c"}}, map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			class := decision.Class{Effect: decision.Keyed, DedupScope: decision.ScopeZone, DedupWindow: time.Hour,
				Objective: time.Second, ClientTimeout: time.Hour, WorkerKind: -1}
			backends := sendCounts{map[string]int{}}
			c := newTestCoreWithConfig(t, decision.Config{Zones: 2, Limits: decision.Limits{MaxAttempts: 3}, Classes: []decision.Class{class}}, backends)
			store := &fakeOutcomeStore{}
			c.SetOutcomeStore(store)
			far := func(uid string, state decision.MemberState) Route {
				return Route{UID: uid, Addr: uid, ZoneName: "b", Member: decision.Member{Zone: 1, State: state}}
			}
			c.updateMembers(decision.MembersChanged, []Route{{UID: "s-a", Addr: "x", ZoneName: "a"},
				far("s-b1", decision.Draining), far("s-b2", decision.Ready)})
			c.step()
			got := make(responses, 1)
			c.Submit(&Job{ID: "x", Key: "k", Slots: 1, Deadline: time.Now().Add(time.Hour),
				Placements: &fakePlacements{previous: tc.previous, agrees: tc.agrees}}, got)
			for range 6 {
				deliverMail(c)
				if found := store.answerLookup; found != nil {
					store.answerLookup = nil
					found(nil)
				}
				c.step()
			}
			if diff := cmp.Diff(tc.want, backends.sent); diff != "" {
				t.Errorf("attempts by worker (-want +got):\n%s", diff)
			}
			if len(tc.want) == 0 && len(got) == 0 {
				t.Error("a job that can't be sent got no response")
			}
		})
	}
}
