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

// noList is a route table that names nobody.
type noList struct{}

func (noList) Watch() {}
func (noList) Fetch() {}

// silentCore makes a core that logs nothing and whose clock has been read.
func silentCore(t *testing.T) *Core {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Objective: time.Second, GiveUp: time.Hour, WorkerKind: -1}}}
	c, err := New(cfg, 1, opened{}, noList{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	c.now = c.clock(time.Now())
	return c
}

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
	c := silentCore(t)
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

// remembering is a memory of fates that the test answers.
type remembering struct {
	told func([]Fate)
	free int
}

func (r *remembering) Ask(_ *Job, told func([]Fate))                      { r.told = told }
func (r *remembering) Free(*Job, Fate)                                    { r.free++ }
func (*remembering) Sending(_ *Job, _ Fate, _ time.Duration, send func()) { send() }
func (*remembering) Done(_ *Job, _ Fate, _ time.Duration, _ []byte)       {}

// TestSentElsewhere guards a job that another dispatcher has sent: its hop here is told in its
// story at its own place, and one that was asked for while the process began to end has its
// answer before that end.
func TestSentElsewhere(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := decision.Config{Classes: []decision.Class{{Effect: decision.Keyed, Group: decision.ScopeAll, Window: time.Hour,
		Objective: time.Second, GiveUp: time.Hour, WorkerKind: -1}}}
	c, err := New(cfg, 1, opened{}, noList{}, func(int, int) {}, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	fates := &remembering{}
	c.Remember(fates)
	c.Record(func(*trace.Story) {})
	c.now = c.clock(time.Now())
	drains := Route{UID: "s-3", Addr: "z"}
	drains.State = decision.Draining
	c.listed(decision.MembersChanged, []Route{{UID: "s-1", Addr: "x"}, drains, {UID: "s-2", Addr: "y"}})
	c.step()
	work := func() {
		for range 3 {
			for _, message := range c.box.Drain(nil) {
				message(c)
			}
			c.step()
		}
	}
	job := &Job{ID: "x", Key: "k", Slots: 1, Deadline: time.Now().Add(time.Hour), Story: &trace.Story{}}
	c.Submit(job, make(answers, 1))
	work()
	by := time.Now().Add(time.Minute)
	c.EndBy(by)
	work()
	fates.told([]Fate{{}})
	work()
	r := c.byID["x"]
	if r == nil || len(r.hops) != 2 || len(r.story.Hops) != 2 || r.story.Hops[1].Ended != 0 || r.story.Hops[0].Ended == 0 {
		t.Fatalf("request %+v", r)
	}
	if got := r.story.Hops[0].Target; got != "s-3" {
		t.Errorf("%s stands for the group, so that the job can't go there, and another gets none", got)
	}
	if r.deadline > c.clock(by) {
		t.Errorf("its deadline is %s after the process's end", r.deadline-c.clock(by))
	}
}

// TestFreed has others forget an attempt that surely never ran, and remember one that may have,
// also where another of the same request never did.
func TestFreed(t *testing.T) {
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
		fates := &remembering{}
		c := &Core{cfg: decision.Config{Classes: []decision.Class{{Effect: decision.Keyed, Group: decision.ScopeAll}}}, fates: fates}
		r := &request{job: &Job{Key: "k"}}
		for i, o := range tc.ends {
			r.hops = append(r.hops, hop{to: &worker{}, told: true})
			r.hops[i].never = o.NeverRan()
			c.freed(r, i)
		}
		if fates.free != tc.want {
			t.Errorf("%s: %d words, want %d", name, fates.free, tc.want)
		}
	}
}

// agreeing is what members agree on of one job: whether it may go, and where it went before.
type agreeing struct {
	before []Fate
	may    bool
	asked  []Fate
	never  int
}

func (a *agreeing) Before() []Fate { return a.before }
func (a *agreeing) Never(Fate)     { a.never++ }
func (a *agreeing) Going(group Fate, _ time.Duration, send func(bool)) {
	a.asked = append(a.asked, group)
	send(a.may)
}

// notes counts what runners are sent.
type notes struct{ sent map[string]int }

func (n notes) Open(_ decision.WorkerID, uid, _ string) Target {
	return noted{target{opened{}, uid}, n.sent}
}

type noted struct {
	target
	sent map[string]int
}

func (n noted) Send(Hop) { n.sent[n.uid]++ }

// TestPlaces guards the effect of a job whose places are agreed on: it is sent nowhere before its
// group is, and to no other group than it went to, however few of those told of it are left.
func TestPlaces(t *testing.T) {
	for name, tc := range map[string]struct {
		may    bool
		before []Fate
		want   map[string]int
	}{
		"agreed":           {true, nil, map[string]int{"s-a": 1}},
		"not agreed":       {false, nil, map[string]int{}},
		"sent to the far":  {true, []Fate{{Zone: "b"}}, map[string]int{"s-b2": 1}},
		"its group is out": {true, []Fate{{Zone: "c"}}, map[string]int{}},
	} {
		cfg := decision.Config{Zones: 2, Limits: decision.Limits{MaxAttempts: 3}, Classes: []decision.Class{{Effect: decision.Keyed, Group: decision.ScopeZone, Window: time.Hour, Objective: time.Second, GiveUp: time.Hour, WorkerKind: -1}}}
		to := notes{map[string]int{}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		c, err := New(cfg, 1, to, noList{}, func(int, int) {}, logrus.NewEntry(log))
		if err != nil {
			t.Fatal(err)
		}
		fates := &remembering{}
		c.Remember(fates)
		c.now = c.clock(time.Now())
		far := func(uid string, state decision.MemberState) Route {
			return Route{UID: uid, Addr: uid, ZoneName: "b", Member: decision.Member{Zone: 1, State: state}}
		}
		c.listed(decision.MembersChanged, []Route{{UID: "s-a", Addr: "x", ZoneName: "a"}, far("s-b1", decision.Draining), far("s-b2", decision.Ready)})
		c.step()
		a, got := &agreeing{before: tc.before, may: tc.may}, make(answers, 1)
		c.Submit(&Job{ID: "x", Key: "k", Slots: 1, Deadline: time.Now().Add(time.Hour), Places: a}, got)
		for range 6 {
			for _, message := range c.box.Drain(nil) {
				message(c)
			}
			if told := fates.told; told != nil {
				fates.told = nil
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
