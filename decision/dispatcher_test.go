package decision

import (
	"slices"
	"testing"
	"time"
)

// host drives a dispatcher by hand and keeps what it asked for.
type host struct {
	t      *testing.T
	d      *Dispatcher
	now    time.Duration
	next   RequestID
	timers map[uint32]time.Duration
	last   []Action
}

func newHost(t *testing.T, cfg Config, list []Member) *host {
	t.Helper()
	d, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	h := &host{t: t, d: d, now: time.Hour, timers: map[uint32]time.Duration{}}
	h.step(Event{Type: MembersReplaced, Members: list})
	return h
}

// step hands over events and returns the actions other than timers.
func (h *host) step(events ...Event) []Action {
	h.last = h.last[:0]
	for _, a := range h.d.Step(h.now, events, nil) {
		if a.Type == SetTimer {
			h.timers[a.Token] = a.At
		} else {
			h.last = append(h.last, a)
		}
	}
	return h.last
}

// pass lets time go by and fires the timers that come due, in order.
func (h *host) pass(span time.Duration) (out []Action) {
	end := h.now + span
	for {
		token, at := uint32(0), end+1
		for k, v := range h.timers {
			if v < at || (v == at && k < token) {
				token, at = k, v
			}
		}
		if at > end {
			break
		}
		delete(h.timers, token)
		h.now = max(h.now, at)
		out = append(out, h.step(Event{Type: TimerFired, Token: token})...)
	}
	h.now = end
	return out
}

// arrive brings a request and returns what is done with it.
func (h *host) arrive(class int, slots float64) Action {
	h.t.Helper()
	h.next++
	out := h.step(Event{Type: RequestArrived, Request: h.next, Class: class, Slots: slots,
		Deadline: h.now + 5*time.Second})
	if len(out) != 1 {
		h.t.Fatalf("an arrival led to %v, want one action", out)
	}
	return out[0]
}

// end reports how an attempt ended.
func (h *host) end(a Action, o Outcome) []Action {
	return h.step(Event{Type: AttemptEnded, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt, Outcome: o,
		Closed: o == Served})
}

// serve starts a job at once and has it served after a while.
func (h *host) serve(a Action) {
	h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
	h.pass(50 * time.Millisecond)
	h.end(a, Served)
}

// plain is a config in which nothing but the bucket decides.
func plain() Config {
	cfg := testConfig()
	cfg.StartNotes, cfg.PullList, cfg.Zones = false, false, 1
	return cfg
}

// mostWithin returns how many of the times, in order, lie within a window at most.
func mostWithin(at []time.Duration, window time.Duration) (most int) {
	first := 0
	for i := range at {
		for at[i]-at[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func oneZone(n int) []Member {
	list := members(n)
	for i := range list {
		list[i].Zone = 0
	}
	return list
}

func TestFirstTokensBeforeSecond(t *testing.T) {
	h := newHost(t, plain(), oneZone(10))
	for round := range 2 {
		seen := map[WorkerID]bool{}
		for range 10 {
			a := h.arrive(0, 1)
			if a.Type != Send || seen[a.Worker] {
				t.Fatalf("round %d: %v after %v, want each worker once", round, a, seen)
			}
			seen[a.Worker] = true
		}
	}
}

func TestSeedsShuffleTheBucket(t *testing.T) {
	orders := map[WorkerID]bool{}
	for seed := range uint64(20) {
		d, err := New(plain(), seed)
		if err != nil {
			t.Fatal(err)
		}
		out := d.Step(time.Hour, []Event{{Type: MembersReplaced, Members: oneZone(10)},
			{Type: RequestArrived, Request: 1, Deadline: 2 * time.Hour}}, nil)
		orders[out[0].Worker] = true
	}
	if len(orders) < 4 {
		t.Errorf("20 seeds start at %d of 10 workers: dispatchers would march in step", len(orders))
	}
}

func TestLongestFreeTokenGoesFirst(t *testing.T) {
	h := newHost(t, plain(), oneZone(3))
	var sent []Action
	for range 3 * defaultTokens {
		sent = append(sent, h.arrive(0, 1))
	}
	h.end(sent[5], Served)
	h.end(sent[1], Served)
	if a := h.arrive(0, 1); a.Worker != sent[5].Worker {
		t.Errorf("worker %d came first, want %d, whose token was back first", a.Worker, sent[5].Worker)
	}
	if a := h.arrive(0, 1); a.Worker != sent[1].Worker {
		t.Errorf("worker %d came second, want %d", a.Worker, sent[1].Worker)
	}
}

func TestNoTokenMeansPromptRefusal(t *testing.T) {
	h := newHost(t, plain(), oneZone(1))
	for range defaultTokens {
		if a := h.arrive(4, 1); a.Type != Send {
			t.Fatalf("got %v with tokens left", a)
		}
	}
	a := h.arrive(4, 1)
	if a.Type != Refuse || a.After <= 0 || a.After > h.d.cfg.Limits.MaxRetryAfter {
		t.Errorf("got %+v, want a refusal with a retry-after", a)
	}
}

func TestSlotsTakeTokensOfOneWorker(t *testing.T) {
	h := newHost(t, plain(), oneZone(2))
	first := h.arrive(0, 5)
	second := h.arrive(0, 5)
	if first.Worker == second.Worker {
		t.Fatal("10 tokens of a worker that has 8 were used")
	}
	if a := h.arrive(0, 5); a.Type != Refuse {
		t.Errorf("got %v, want a refusal: 3 tokens are left at each worker", a)
	}
	h.end(first, Served)
	if a := h.arrive(0, 5); a.Worker != first.Worker {
		t.Errorf("got %v, want the worker whose 5 tokens came back together", a)
	}
}

// TestWideRequestAfterFailures guards against locking wide requests out: a
// failure leaves a worker tokens for one job, however many slots that takes.
func TestWideRequestAfterFailures(t *testing.T) {
	h := newHost(t, plain(), oneZone(1))
	h.end(h.arrive(4, 4), Errored)
	h.pass(3 * time.Second)
	if a := h.arrive(4, 4); a.Type != Send {
		t.Errorf("got %v, want a send", a)
	}
	if a := h.arrive(4, 1); a.Type != Refuse {
		t.Errorf("got %v, want a refusal: one job at a time after a failure", a)
	}
}

func TestWeightsShareTheBucket(t *testing.T) {
	cfg := plain()
	cfg.WeightKnown = true
	list := oneZone(20)
	for i := range list {
		list[i].Weight = float64(1 + 2*(i%2))
	}
	h := newHost(t, cfg, list)
	heavy := 0
	for range 40 {
		if a := h.arrive(0, 1); list[a.Worker-100].Weight == 3 {
			heavy++
		}
	}
	if heavy < 26 || heavy > 34 {
		t.Errorf("workers of three times the weight got %d of 40 jobs, want about 30", heavy)
	}
}

// TestOddNumbersAreHarmless covers class and tenant numbers out of range.
func TestOddNumbersAreHarmless(t *testing.T) {
	h := newHost(t, plain(), oneZone(2))
	for _, class := range []int{-1, 99} {
		if a := h.arrive(class, 1); a.Type != Refuse {
			t.Errorf("class %d: got %v, want a refusal", class, a)
		}
	}
	out := h.step(Event{Type: RequestArrived, Request: 77, Tenant: 1 << 30, Deadline: h.now + time.Second})
	if len(out) != 1 || out[0].Type != Send {
		t.Errorf("an unknown tenant: got %v, want a send", out)
	}
}

// TestReturnedWorkerWaitsAndGetsItsShare guards rule 4 (nothing while the worker
// could be pushed over, no run of jobs after it) and the rolling restart of
// incident i968a36 (its share at once, not an eighth of it).
func TestReturnedWorkerWaitsAndGetsItsShare(t *testing.T) {
	h := newHost(t, plain(), oneZone(10))
	back := Member{Worker: 100, StartedAt: h.now, Weight: 1}
	h.step(Event{Type: MembersChanged, Members: []Member{back}})
	for h.now < back.StartedAt+5*time.Second {
		if a := h.arrive(0, 1); a.Worker == 100 {
			t.Fatalf("a send to a worker %v after its start", h.now-back.StartedAt)
		}
		h.pass(100 * time.Millisecond)
		h.end(Action{Request: h.next, Worker: h.d.requests[h.next].attempts[0].worker.Worker}, Served)
	}
	h.pass(3 * time.Second)
	got, inRow, most := 0, 0, 0
	for range 160 {
		a := h.arrive(0, 1)
		if inRow++; a.Worker != 100 {
			inRow = 0
		} else {
			got++
		}
		most = max(most, inRow)
		h.end(a, Served)
	}
	if got < 8 || got > 32 || most > 3 {
		t.Errorf("the returned worker got %d of 160 jobs and %d in a row, want about 16 and few", got, most)
	}
}

// TestFastErrorsDoNotAttract guards against a worker that fails at once and so
// has free tokens all the time.
func TestFastErrorsDoNotAttract(t *testing.T) {
	h := newHost(t, plain(), oneZone(5))
	bad := 0
	for range 200 {
		a := h.arrive(4, 1)
		if a.Worker == 102 {
			bad++
			h.end(a, Errored)
		} else {
			h.end(a, Served)
		}
		h.pass(10 * time.Millisecond)
	}
	if bad == 0 || bad > 6 {
		t.Errorf("a worker that fails everything got %d of 200 jobs within 2 s", bad)
	}
}

// TestAllUnwellFailsOpen guards against refusing everything when every worker
// has failed of late.
func TestAllUnwellFailsOpen(t *testing.T) {
	h := newHost(t, plain(), oneZone(3))
	for range 3 {
		h.end(h.arrive(4, 1), Errored)
	}
	if a := h.arrive(4, 1); a.Type != Send {
		t.Errorf("got %v, want a send though all workers rest", a)
	}
}

// TestRetryBudget guards against trouble that feeds itself: where everything
// fails, further attempts stay a small share.
func TestRetryBudget(t *testing.T) {
	h := newHost(t, plain(), oneZone(30))
	retries := 0
	for range 200 {
		a := h.arrive(0, 1)
		for a.Type == Send {
			out := h.end(a, Rejected)
			a = out[0]
			if a.Type == Send {
				retries++
			}
		}
	}
	if most := creditMost + 200*retryCredit; retries == 0 || float64(retries) > most {
		t.Errorf("%d further attempts for 200 requests, want at most %v", retries, most)
	}
}

// TestLateStart guards against work done twice: a worker that is late to start is
// left alone, and nobody gets a copy of what it has, as it may run what is called
// off.
func TestLateStart(t *testing.T) {
	cfg := testConfig()
	cfg.PullList = false
	h := newHost(t, cfg, members(12))
	first := h.arrive(0, 1)
	if out := h.pass(time.Second); len(out) != 0 {
		t.Fatalf("a late start led to %v", out)
	}
	for range 22 {
		if a := h.arrive(4, 1); a.Worker == first.Worker {
			t.Fatal("a send to a worker with an overdue start")
		}
	}
	h.step(Event{Type: AttemptStarted, Request: first.Request, Worker: first.Worker})
	for range 11 {
		if a := h.arrive(4, 1); a.Worker == first.Worker {
			return
		}
	}
	t.Error("the worker got nothing after it had started the job")
}

// TestLeastCostFirst covers the order among compatible workers: by what they hold,
// by their pace as far as it is known still, by zone.
func TestLeastCostFirst(t *testing.T) {
	h := newHost(t, plain(), oneZone(2))
	slow := h.d.listed[0]
	for range 40 { // both serve the same class, one takes three times as long
		a, b := h.arrive(0, 1), h.arrive(0, 1)
		for _, x := range []Action{a, b} {
			h.step(Event{Type: AttemptStarted, Request: x.Request, Worker: x.Worker})
		}
		for _, wait := range []bool{false, true} {
			h.pass(50 * time.Millisecond)
			if wait {
				h.pass(50 * time.Millisecond)
			}
			for _, x := range []Action{a, b} {
				if (x.Worker == slow.Worker) == wait {
					h.end(x, Served)
				}
			}
		}
	}
	jobs := func() (got [2]int) {
		var sent []Action
		for range 6 {
			sent = append(sent, h.arrive(0, 1))
		}
		for _, a := range sent {
			if a.Worker == slow.Worker {
				got[0]++
			} else {
				got[1]++
			}
			h.step(Event{Type: RequestGone, Request: a.Request})
			h.end(a, Canceled)
		}
		return got
	}
	if got := jobs(); got[1] != 4 {
		t.Errorf("of 6 jobs the slow worker got %d and the other, of half its time, %d", got[0], got[1])
	}
	h.pass(paceFor)
	if got := jobs(); got[1] != 3 {
		t.Errorf("of 6 jobs %d and %d, want halves: the pace is long ago", got[0], got[1])
	}

	cfg := testConfig()
	cfg.PullList = false
	h = newHost(t, cfg, members(4))
	for i, own := range []bool{true, true, false, false} {
		if a := h.arrive(0, 1); (a.Worker%2 == 0) != own {
			t.Errorf("job %d went to worker %d, want the own zone first among idle ones: %v", i, a.Worker, own)
		}
	}
}

// TestShedding guards against full queues in which all is served and nothing in
// time: arrivals are refused, the least worth a second first, and taken again
// when starts are prompt.
func TestShedding(t *testing.T) {
	cfg := testConfig()
	cfg.PullList = false
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[1].Worth = 10
	h := newHost(t, cfg, oneZone(40))
	refused := func() (lesser, worthier int) {
		for range 20 {
			for class := range 2 {
				a := h.arrive(class, 1)
				if a.Type == Send {
					h.step(Event{Type: RequestGone, Request: a.Request})
					h.end(a, Canceled)
				} else if class == 0 {
					lesser++
				} else {
					worthier++
				}
			}
		}
		return lesser, worthier
	}
	if lesser, worthier := refused(); lesser+worthier > 0 {
		t.Fatalf("%d and %d of 20 refused before any was late", lesser, worthier)
	}
	for range 6 {
		h.arrive(1, 1)
		h.pass(800 * time.Millisecond)
	}
	if lesser, worthier := refused(); lesser < 10 || worthier > 5 {
		t.Errorf("%d lesser and %d worthier of 20 refused while starts are late", lesser, worthier)
	}
	for range 60 {
		if a := h.arrive(1, 1); a.Type == Send {
			h.serve(a)
		}
		h.pass(800 * time.Millisecond)
	}
	if lesser, worthier := refused(); lesser+worthier > 0 {
		t.Errorf("%d and %d of 20 still refused after starts were prompt again", lesser, worthier)
	}
}

// nextCall returns how long a dispatcher waits with its call for the list after failures.
func nextCall(t *testing.T, cfg Config, seed uint64, failures int) time.Duration {
	t.Helper()
	d, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &host{t: t, d: d, now: time.Hour, timers: map[uint32]time.Duration{}}
	h.step()
	for range failures {
		h.pass(20 * time.Second)
		h.step(Event{Type: MembersFailed})
	}
	for _, at := range h.timers {
		return at - h.now
	}
	t.Fatal("no call is planned")
	return 0
}

// TestListCallsAreSpreadAndBackOff guards discovery, which cannot answer every
// dispatcher at once.
func TestListCallsAreSpreadAndBackOff(t *testing.T) {
	first := func(seed uint64, failures int) time.Duration { return nextCall(t, testConfig(), seed, failures) }
	mean := func(failures int) (sum time.Duration) {
		for seed := range uint64(50) {
			sum += first(seed, failures) / 50
		}
		return sum
	}
	if first(1, 0) == first(2, 0) {
		t.Error("two dispatchers call at the same moment")
	}
	calm, troubled := mean(0), mean(3)
	if troubled < 3*calm || troubled > testConfig().Rules.AskWithin {
		t.Errorf("mean wait %v at first and %v after three failures", calm, troubled)
	}
}

// TestFullQueuesShedSooner guards the seconds between the first full queues and
// the first late starts in them, in which all queues of a slow fleet fill.
func TestFullQueuesShedSooner(t *testing.T) {
	for _, instances := range []int{10, 300} {
		cfg := testConfig()
		cfg.PullList, cfg.Instances = false, instances
		h := newHost(t, cfg, oneZone(30))
		for range 8 {
			h.end(h.arrive(4, 1), Rejected)
		}
		refused := 0
		for range 20 {
			if h.arrive(4, 1).Type == Refuse {
				refused++
			}
		}
		if refused < 10 {
			t.Errorf("of %d dispatchers: %d of 20 refused after 8 full queues within one moment", instances, refused)
		}
	}
}

// TestLateStartsAmongManyDoNotShed guards the calm days at size, on which a third of
// the arrivals were refused while most workers had room: one of 300 dispatchers meets
// a queue that is full by chance.
func TestLateStartsAmongManyDoNotShed(t *testing.T) {
	cfg := testConfig()
	cfg.PullList, cfg.Instances = false, 300
	h := newHost(t, cfg, oneZone(40))
	for range 6 {
		h.arrive(1, 1)
		h.pass(800 * time.Millisecond)
	}
	refused := 0
	for range 40 {
		if a := h.arrive(0, 1); a.Type != Send {
			refused++
		} else {
			h.step(Event{Type: RequestGone, Request: a.Request})
			h.end(a, Canceled)
		}
	}
	if refused > 0 {
		t.Errorf("%d of 40 refused after 6 late starts of one of 300 dispatchers", refused)
	}
}

// TestJoinIsNoHerd guards rule 4 after incident ie2a5c7: the bucket's front holds
// unused tokens of a far zone, and a joining worker placed among them would be
// next at every dispatcher.
func TestJoinIsNoHerd(t *testing.T) {
	cfg := testConfig()
	cfg.PullList = false
	got := 0
	for seed := range uint64(30) {
		list := members(40)
		d, err := New(cfg, seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &host{t: t, d: d, now: time.Hour, timers: map[uint32]time.Duration{}}
		h.step(Event{Type: MembersReplaced, Members: list})
		d.zones.Started(0, time.Millisecond)
		d.zones.Started(1, 100*time.Millisecond) // starts in zone 1 take long
		for range 100 {
			h.end(h.arrive(4, 1), Served)
		}
		h.step(Event{Type: MembersChanged, Members: []Member{{Worker: 100, StartedAt: h.now}}})
		h.pass(8 * time.Second)
		for range 4 {
			a := h.arrive(4, 1)
			if a.Worker == 100 {
				got++
			}
			h.end(a, Served)
		}
	}
	if got > 20 {
		t.Errorf("the joining worker got %d of 120 first jobs over 30 dispatchers, want about 6", got)
	}
}

// TestSheddingEnds guards against a dispatcher that sheds everything, so sees no
// start and sheds for good (incident i96cb58): a share is always let in.
func TestSheddingEnds(t *testing.T) {
	cfg := testConfig()
	cfg.PullList = false
	cfg.Classes = cfg.Classes[4:]
	h := newHost(t, cfg, oneZone(80))
	var waiting []Action
	for range 40 {
		waiting = append(waiting, h.arrive(0, 1))
	}
	h.pass(time.Second)
	for _, a := range waiting {
		h.end(a, Rejected)
	}
	refused := func(n int) (out int) {
		for range n {
			if a := h.arrive(0, 1); a.Type == Refuse {
				out++
			} else {
				h.serve(a)
				h.pass(time.Second)
			}
		}
		return out
	}
	if early := refused(10); early == 0 {
		t.Fatal("nothing is shed after 40 late starts")
	}
	refused(50)
	if late := refused(50); late > 0 {
		t.Errorf("%d of 50 are still refused though every start was prompt", late)
	}
}

// TestListAfterFailures guards the pace of calls for the list: a whole list, like
// changes, ends the growing waits that failed calls led to.
func TestListAfterFailures(t *testing.T) {
	cfg := plain()
	cfg.PullList, cfg.Rules.AskWithin = true, 16*time.Second
	h := newHost(t, cfg, oneZone(1))
	h.pass(time.Second)
	for range 6 {
		h.step(Event{Type: MembersFailed})
		h.pass(16 * time.Second)
	}
	h.step(Event{Type: MembersReplaced, Members: oneZone(1)})
	for range 8 {
		h.step(Event{Type: MembersReplaced, Members: oneZone(1)})
		h.step(Event{Type: MembersFailed})
		if a := h.pass(2 * time.Second); len(a) != 1 || a[0].Type != Subscribe {
			t.Fatalf("got %v within 2 s of the first failure, want a call", a)
		}
	}
}

// TestResetNowAndThen guards a worker that a connection breaks on now and then: it
// rests only if another one breaks before a job has started.
func TestResetNowAndThen(t *testing.T) {
	h := newHost(t, plain(), oneZone(1))
	for range 5 {
		h.end(h.arrive(0, 1), ConnReset)
		a := h.arrive(0, 1)
		if a.Type != Send {
			t.Fatalf("got %v after one reset, want a send", a)
		}
		h.serve(a)
	}
	h.end(h.arrive(0, 1), ConnReset)
	h.end(h.arrive(0, 1), ConnReset)
	if w := h.d.listed[0]; w.RestUntil <= h.now || w.limit != 1 {
		t.Errorf("after two resets in a row the worker has %d tokens and no rest", w.limit)
	}
}

// TestEndingRefusesLongWork guards clients of a process that ends: a class whose
// work would mostly be cut off is refused at once, the others are served, and a
// client's own short deadline refuses nothing.
func TestEndingRefusesLongWork(t *testing.T) {
	h := newHost(t, plain(), oneZone(2))
	h.d.run[0], h.d.run[4] = 0.3, 2.5
	for _, tc := range []struct {
		class  int
		ending bool
		want   ActionType
	}{{0, true, Send}, {4, true, Refuse}, {4, false, Send}} {
		h.next++
		out := h.step(Event{Type: RequestArrived, Request: h.next, Class: tc.class, Ending: tc.ending, Deadline: h.now + 2*time.Second})
		if len(out) != 1 || out[0].Type != tc.want {
			t.Errorf("class %d, ending %t: got %v, want %v", tc.class, tc.ending, out, tc.want)
		}
	}
}

// TestUnusableBlamesNobody guards a worker's tokens and everybody's retries: jobs
// that no worker can use are failed at once and leave no trace.
func TestUnusableBlamesNobody(t *testing.T) {
	h := newHost(t, plain(), oneZone(2))
	widest, retries := h.d.widest, h.d.retries-1
	h.d.retries = retries
	for range 5 * defaultTokens {
		if a := h.end(h.arrive(0, 5), Unusable); len(a) != 1 || a[0].Type != Fail {
			t.Fatalf("got %v, want the job to fail", a)
		}
	}
	if h.d.widest != widest || h.d.retries > retries+retryCredit/2 {
		t.Errorf("widest %d and retries %g, want %d and %g", h.d.widest, h.d.retries, widest, retries)
	}
	for range 2 * defaultTokens {
		if a := h.arrive(4, 1); a.Type != Send {
			t.Fatalf("got %v with all tokens free", a)
		}
	}
}

// TestColdWorkerIsRationed guards rule 4: a cold worker that is used already gets no
// more work in any window than this dispatcher's part of what it bears, and one that
// is heavier than that goes elsewhere.
func TestColdWorkerIsRationed(t *testing.T) {
	cfg := plain()
	cfg.Instances = 2
	h := newHost(t, cfg, append(oneZone(1), Member{Worker: 7, StartedAt: time.Hour - 3*time.Second, Weight: 1}))
	h.d.run[0], h.d.run[4] = 0.05, 5
	h.pass(time.Second)
	const share = 0.2 + 0.8*0.58 // at the end of what follows
	budget, heavy := share*cfg.Rules.FallMultiple/2, 0
	var sent []time.Duration
	for h.now < time.Hour+2800*time.Millisecond {
		for range 4 {
			for class, work := range map[int]float64{0: 0.05, 4: 5} {
				a := h.arrive(class, 1)
				if a.Type == Send && a.Worker == 7 {
					sent = append(sent, h.now)
					if work > 1 {
						heavy++
					}
				}
				h.end(a, Canceled)
			}
		}
		h.pass(20 * time.Millisecond)
	}
	most := mostWithin(sent, cfg.Rules.FallWindow)
	if heavy > 0 || len(sent) < 10 || float64(most)*0.05 > 2*budget {
		t.Errorf("%d jobs, %d heavy, at most %.2f s of work in a window, want some light ones below %.2f s",
			len(sent), heavy, float64(most)*0.05, 2*budget)
	}
}

// TestPutBack guards a runner that operators put back: it is tried at once though it
// is cold, with one light job at a time, and gets nothing heavy.
func TestPutBack(t *testing.T) {
	h := newHost(t, plain(), oneZone(3))
	h.d.run[0], h.d.run[4] = 0.05, 5
	back := oneZone(3)[2]
	h.pass(time.Second)
	for _, m := range []struct {
		state    MemberState
		returned bool
		want     int
	}{{Draining, false, 1}, {Ready, false, 1}, {Draining, false, 1}, {Ready, true, 0}} {
		back.State, back.Returned, back.StartedAt = m.state, m.returned, h.now
		h.step(Event{Type: MembersChanged, Members: []Member{back}})
		if n := h.d.Unavailable(h.now); n != m.want {
			t.Errorf("state %d, returned %t: %d workers are unavailable, want %d", m.state, m.returned, n, m.want)
		}
	}
	for _, heavy := range []Event{{Class: 4}, {Class: 0, Slots: 2}, {Class: 0, Hint: time.Second}} {
		h.next++
		heavy.Type, heavy.Request, heavy.Deadline = RequestArrived, h.next, h.now+5*time.Second
		if out := h.step(heavy); len(out) != 1 || out[0].Worker == back.Worker {
			t.Errorf("%+v went to the cold worker: %v", heavy, out)
		}
	}
	first := h.arrive(0, 1)
	if first.Type != Send || first.Worker != back.Worker {
		t.Fatalf("the first light job led to %v, want it at the worker put back", first)
	}
	if a := h.arrive(0, 1); a.Worker == back.Worker {
		t.Errorf("a second job went to it beside the first")
	}
	h.end(first, Served)
	h.pass(time.Second)
	for range 12 { // the others hold more of their tokens by then
		if a := h.arrive(0, 1); a.Worker == back.Worker {
			return
		}
	}
	t.Errorf("it got no job after the first had ended")
}

// TestSettingsChange guards what is open and known over a change of settings: a request
// keeps the class it came with, none gets an attempt past a lowered cap, and tokens that
// are held stay held.
func TestSettingsChange(t *testing.T) {
	h := newHost(t, plain(), oneZone(3))
	safe, other := h.arrive(0, 1), h.arrive(0, 1)
	cfg := plain()
	cfg.Classes[0].Effect = Unsafe
	cfg.Classes = append(cfg.Classes, Class{Effect: Keyed, Group: ScopeZone, Window: time.Second, WorkerKind: -1})
	h.step(Event{Type: SettingsChanged, Settings: &cfg})
	again := h.end(safe, Errored)
	if len(again) != 1 || again[0].Type != Send {
		t.Errorf("a request that came as safe got %v after its attempt failed, want another", again)
	}
	strict := h.arrive(0, 1)
	if out := h.end(strict, Errored); len(out) != 1 || out[0].Type != Fail {
		t.Errorf("a request that came as unsafe got %v after its attempt failed, want a failure", out)
	}
	if a := h.arrive(5, 1); a.Type != Send {
		t.Errorf("a request of the new class got %v", a)
	}
	cfg.Limits.MaxAttempts = 1
	h.step(Event{Type: SettingsChanged, Settings: &cfg})
	if out := h.end(other, Errored); len(out) != 1 || out[0].Type != Refuse {
		t.Errorf("past the lowered cap a request got %v, want a refusal", out)
	}
	held := 0
	for _, w := range h.d.listed {
		held += w.held
	}
	if held != 2 {
		t.Errorf("%d tokens are held, want those of the two attempts that are out", held)
	}
}

// TestAdopt guards a request that an earlier process began: its attempt is out here too,
// holds its worker's token, and is counted for what it may still do.
func TestAdopt(t *testing.T) {
	h := newHost(t, plain(), oneZone(2))
	held := func() (n int) {
		for _, w := range h.d.listed {
			n += w.held
		}
		return n
	}
	adopt := func(id RequestID, class int, worker WorkerID) Action {
		h.step(Event{Type: RequestArrived, Request: id, Class: class, Deadline: h.now + time.Second,
			Past: []Past{{Worker: worker, SentAt: h.now - time.Second, Started: true}}})
		if len(h.last) > 0 {
			t.Errorf("an adopted request led to %v, want nothing", h.last)
		}
		return Action{Request: id, Worker: worker}
	}
	safe, unsafe, left := adopt(1, 0, 100), adopt(2, 4, 101), adopt(3, 0, 999)
	if n := held(); n != 2 {
		t.Errorf("%d tokens are held, want those of the two attempts at listed workers", n)
	}
	if out := h.end(safe, Errored); len(out) != 1 || out[0].Type != Send || out[0].Worker != 101 || out[0].Attempt != 1 {
		t.Errorf("its failure led to %v, want a second attempt elsewhere", out)
	}
	if out := h.end(unsafe, Errored); len(out) != 1 || out[0].Type != Fail {
		t.Errorf("an unsafe one's failure led to %v, want a final failure", out)
	}
	if past := h.d.Past(1); len(past) != 2 || !past[0].Ended || past[1].Ended {
		t.Errorf("its attempts are %+v", past)
	}
	h.end(left, Served)
	if n := held(); n != 1 {
		t.Errorf("%d tokens are held at the end, want the second attempt's", n)
	}
}

// TestColdWorkersAmongMany guards a fleet of many dispatchers whose workers have mostly
// just started: together they keep to what a cold worker bears, and they use it. Without
// turns the part of one dispatcher of eighty holds no job, and the worker stays idle.
func TestColdWorkersAmongMany(t *testing.T) {
	const many, work = 80, 0.05
	cfg := plain()
	cfg.Instances = many
	hosts := make([]*host, many)
	for i := range hosts {
		cfg.Instance = i
		hosts[i] = newHost(t, cfg, append(oneZone(2), Member{Worker: 7, StartedAt: time.Hour, Weight: 1}))
		h := hosts[i]
		h.d.run[0] = work
		h.d.listed[0].Most = 4
	}
	var sent []time.Duration
	for tick := 0; hosts[0].now < time.Hour+3*time.Second; tick++ { // 240 jobs a second, 12 s of work
		for i, h := range hosts {
			if (tick+i)%33 == 0 {
				a := h.arrive(0, 1)
				if a.Worker == 7 {
					sent = append(sent, h.now)
				}
				h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
				h.end(a, Canceled)
			}
			h.pass(10 * time.Millisecond)
		}
	}
	most := mostWithin(sent, cfg.Rules.FallWindow)
	budget := (0.2 + 0.8*0.3) * cfg.Rules.FallMultiple * 4 // at the end of these 3 s
	if float64(most)*work > budget || len(sent) < 20 {
		t.Errorf("%d jobs, at most %.2f s of work in a window; want 20 or more, and %.2f s at most",
			len(sent), float64(most)*work, budget)
	}
}

// TestHeavyJobsAndHalfWarmWorkers guards rule 4 after a day on which one job of many times
// its class's mean pushed over a worker that had just joined, and after days on which a dozen
// jobs within a second did: among many dispatchers a warming worker gets what fits in what
// it bears from all of them together, and nothing heavy.
func TestHeavyJobsAndHalfWarmWorkers(t *testing.T) {
	cfg := plain()
	cfg.Instances = 80
	const over, every = 4 * time.Second, 100 * time.Millisecond
	for _, age := range []time.Duration{over, 6 * time.Second, 14 * time.Second} { // at the end
		var sent []time.Duration
		heavy := false
		for i := range cfg.Instances {
			cfg.Instance = i
			h := newHost(t, cfg, []Member{{Worker: 7, StartedAt: time.Hour + over - age, Weight: 1}})
			h.d.listed[0].Most = 4
			for h.now < time.Hour+over {
				h.next++
				for _, a := range h.step(Event{Type: RequestArrived, Request: h.next, Slots: 1, Hint: 100 * time.Millisecond, Deadline: h.now + 5*time.Second}) {
					if a.Type == Send {
						sent = append(sent, h.now)
						h.end(a, Canceled)
					}
				}
				h.pass(every)
			}
			h.next++
			for _, a := range h.step(Event{Type: RequestArrived, Request: h.next, Slots: 1, Hint: 30 * time.Second, Deadline: h.now + 5*time.Second}) {
				heavy = heavy || a.Type == Send
			}
		}
		slices.Sort(sent)
		warm := age > cfg.Rules.WarmUp
		all := cfg.Instances * int(over/every)
		if most := mostWithin(sent, cfg.Rules.FallWindow); warm != (len(sent) == all) || heavy != warm || !warm && (most > 150 || len(sent) < 20) {
			t.Errorf("at the age of %v: %d of %d sent, at most %d in a window, heavy ones %t", age, len(sent), all, most, heavy)
		}
	}
}

// TestLostZoneOfManyDispatchers guards the workers of a zone that comes back cold before
// discovery has said so: two that can't be reached tell of all others, also of those that
// this dispatcher has not met, and work goes elsewhere until the list names a new start.
func TestLostZoneOfManyDispatchers(t *testing.T) {
	for _, instances := range []int{4, 80} {
		cfg := plain()
		cfg.Zones, cfg.Instances = 2, instances
		list := members(12) // zone 0 is the own one
		h := newHost(t, cfg, list)
		for range 20 {
			for out := []Action{h.arrive(0, 1)}; len(out) == 1 && out[0].Type == Send; {
				outcome := Served
				if list[out[0].Worker-100].Zone == 0 {
					outcome = ConnectFailed
				}
				out = slices.Clone(h.end(out[0], outcome))
			}
		}
		h.pass(time.Second)
		own := func() (n int) {
			for range 20 {
				a := h.arrive(0, 1)
				if a.Type == Send && list[a.Worker-100].Zone == 0 {
					n++
				}
				h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
				h.end(a, Canceled) // says nothing of the worker's pace
			}
			return n
		}
		if n := own(); (n == 0) != (instances == 80) {
			t.Errorf("%d dispatchers: %d of 20 jobs went to the lost zone", instances, n)
		}
		for i := range list {
			list[i].StartedAt = h.now
		}
		h.step(Event{Type: MembersReplaced, Members: list})
		h.pass(cfg.Rules.WarmUp + time.Second)
		if n := own(); n == 0 {
			t.Errorf("%d dispatchers: nothing goes to the zone long after its start was told", instances)
		}
	}
}

// TestManyCallersSpread guards discovery, which answers about ten calls a second and fails
// those that wait for two: 80 dispatchers that start at one moment, or lose it at one, ask
// over seconds, and still within the time in which each has to ask.
func TestManyCallersSpread(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = 80
	for _, failures := range []int{0, 1, 4} {
		perSecond := map[time.Duration]int{}
		for i := range cfg.Instances {
			wait := nextCall(t, cfg, uint64(i), failures)
			perSecond[wait/time.Second]++
			if wait > cfg.Rules.AskWithin {
				t.Errorf("after %d failures a call comes after %v", failures, wait)
			}
		}
		for second, n := range perSecond {
			if n > 40>>min(failures, 1) {
				t.Errorf("after %d failures %d calls come in second %d", failures, n, second)
			}
		}
	}
}

// TestAllZonesSeemLost guards a dispatcher of many to which two runners of each zone
// did not connect: every zone counts as lost, and the runner of least cost among all
// drew each request in a row although it had just failed.
func TestAllZonesSeemLost(t *testing.T) {
	cfg := testConfig()
	cfg.PullList, cfg.Instances, cfg.Instance, cfg.Zones, cfg.Zone = false, 300, 17, 3, 0
	list := members(99)
	for i := range list {
		list[i].Zone = i % 3
	}
	h := newHost(t, cfg, list)
	failed := map[WorkerID]bool{}
	for zones, n := map[int]int{}, 0; len(zones) < 3 || zones[0] < 2 || zones[1] < 2 || zones[2] < 2; n++ {
		if n == 100 { // guards the test: arrivals that are refused fail no runner
			t.Fatalf("after 100 arrivals runners of %v zones had failed", zones)
		}
		a := h.arrive(0, 1)
		for a.Type == Send {
			failed[a.Worker] = true
			zones[int(a.Worker-100)%3]++
			out := h.end(a, ConnectFailed)
			if a = (Action{}); len(out) == 1 {
				a = out[0]
			}
		}
	}
	for range 10 {
		a := h.arrive(0, 1)
		if a.Type != Send || failed[a.Worker] {
			t.Fatalf("got %v while %d of 99 runners had failed", a, len(failed))
		}
		h.end(a, Canceled)
	}
}
