package decision

import (
	"slices"
	"testing"
	"time"
)

// TestRestartedWorkerWaitsThenGetsItsFraction checks rule 4: a restarted worker gets no requests while it
// could be overloaded, and not many in a row afterwards. It also guards against incident i968a36: in a
// rolling restart the worker got an eighth of its fraction of the traffic instead of all of it at once.
func TestRestartedWorkerWaitsThenGetsItsFraction(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(10))
	back := Member{Worker: 100, StartedAt: h.now, Weight: 1}
	h.step(Event{Type: MembersChanged, Members: []Member{back}})
	for h.now < back.StartedAt+5*time.Second {
		if a := h.arrive(0, 1); a.Worker == 100 {
			t.Fatalf("a send to a worker %v after its start, want none in the first 5 s", h.now-back.StartedAt)
		}
		h.advance(100 * time.Millisecond)
		h.end(Action{Request: h.lastRequest, Worker: h.d.requests[h.lastRequest].attempts[0].worker.Worker}, Served)
	}
	h.advance(3 * time.Second)
	got, inRow, longestRun := 0, 0, 0
	for range 160 {
		a := h.arrive(0, 1)
		if inRow++; a.Worker != 100 {
			inRow = 0
		} else {
			got++
		}
		longestRun = max(longestRun, inRow)
		h.end(a, Served)
	}
	if got < 8 || got > 32 || longestRun > 3 {
		t.Errorf("the restarted worker got %d of 160 requests and %d in a row, want 8 to 32 and at most 3", got, longestRun)
	}
}

// TestWarmingWorkerKeepsToBudget checks that a warming worker gets no more work in any window than this
// dispatcher's share of its budget, and that a request longer than that goes to another worker.
func TestWarmingWorkerKeepsToBudget(t *testing.T) {
	cfg := bucketOnlyConfig()
	cfg.Instances = 2
	h := newDriver(t, cfg, append(membersInOneZone(1), Member{Worker: 7, StartedAt: time.Hour - 3*time.Second, Weight: 1}))
	h.d.meanRun[0], h.d.meanRun[4] = 0.05, 5
	h.advance(time.Second)
	const capacity = 0.2 + 0.8*0.58 // at the end of the loop below
	budget, longCount := capacity*cfg.Rules.OverloadMultiple/2, 0
	var sent []time.Duration
	for h.now < time.Hour+2800*time.Millisecond {
		for range 4 {
			for class, work := range map[int]float64{0: 0.05, 4: 5} {
				a := h.arrive(class, 1)
				if a.Type == Send && a.Worker == 7 {
					sent = append(sent, h.now)
					if work > 1 {
						longCount++
					}
				}
				h.end(a, Canceled)
			}
		}
		h.advance(20 * time.Millisecond)
	}
	inWindow := maxWithin(sent, cfg.Rules.OverloadWindow)
	if longCount > 0 || len(sent) < 10 || float64(inWindow)*0.05 > 2*budget {
		t.Errorf("%d requests, %d long, at most %.2f s of work in a window; want 10 or more, none long, at most %.2f s",
			len(sent), longCount, float64(inWindow)*0.05, 2*budget)
	}
}

// TestAllWorkersWarming checks that warming workers are used from their start, within their budgets, if no
// worker is warm, as after a power cut; and that they are not used yet if one is.
func TestAllWorkersWarming(t *testing.T) {
	for name, tc := range map[string]struct {
		members []Member
		used    bool
	}{
		"all cold":            {[]Member{{Worker: 7, StartedAt: time.Hour, Weight: 1}, {Worker: 8, StartedAt: time.Hour, Weight: 1}}, true},
		"one is warm":         {[]Member{{Worker: 7, StartedAt: time.Hour, Weight: 1}, {Worker: 8, Weight: 1}}, false},
		"the warm one drains": {[]Member{{Worker: 7, StartedAt: time.Hour, Weight: 1}, {Worker: 8, Weight: 1, State: Draining}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := bucketOnlyConfig()
			cfg.Instances = 2
			h := newDriver(t, cfg, tc.members)
			h.d.meanRun[0], h.d.meanRun[4] = 0.05, 5
			var sent []time.Duration
			longCount, end := 0, time.Hour+cfg.Rules.OverloadWindow
			for h.now < end {
				for _, class := range []int{0, 0, 0, 0, 4} {
					a := h.arrive(class, 1)
					if a.Type == Send && a.Worker == 7 {
						sent = append(sent, h.now)
						if class == 4 {
							longCount++
						}
					}
					if a.Type == Send {
						h.end(a, Canceled)
					}
				}
				h.advance(20 * time.Millisecond)
			}
			budget := h.d.rules.Capacity(time.Hour, end) * cfg.Rules.OverloadMultiple / 2 * cfg.Rules.OverloadWindow.Seconds()
			if work := float64(len(sent)) * 0.05; longCount > 0 || (len(sent) > 0) != tc.used || work > 2*budget {
				t.Errorf("%d requests, %d long, %.2f s of work; want some %t, none long, at most %.2f s",
					len(sent), longCount, work, tc.used, 2*budget)
			}
		})
	}
}

// TestReinstatedWorker checks that a worker that an operator has put back gets requests at once though it is
// warming up: one light request at a time and no long ones.
func TestReinstatedWorker(t *testing.T) {
	h := newDriver(t, bucketOnlyConfig(), membersInOneZone(3))
	h.d.meanRun[0], h.d.meanRun[4] = 0.05, 5
	back := membersInOneZone(3)[2]
	h.advance(time.Second)
	for _, m := range []struct {
		state      MemberState
		reinstated bool
		want       int
	}{{Draining, false, 1}, {Ready, false, 1}, {Draining, false, 1}, {Ready, true, 0}} {
		back.State, back.Reinstated, back.StartedAt = m.state, m.reinstated, h.now
		h.step(Event{Type: MembersChanged, Members: []Member{back}})
		if n := h.d.Unavailable(h.now); n != m.want {
			t.Errorf("state %d, reinstated %t: %d workers are unavailable, want %d", m.state, m.reinstated, n, m.want)
		}
	}
	for _, heavy := range []Event{{Class: 4}, {Class: 0, Slots: 2}, {Class: 0, Hint: time.Second}} {
		h.lastRequest++
		heavy.Type, heavy.Request, heavy.Deadline = RequestArrived, h.lastRequest, h.now+5*time.Second
		if out := h.step(heavy); len(out) != 1 || out[0].Worker == back.Worker {
			t.Errorf("%+v led to %v, want one action, not a send to the warming worker", heavy, out)
		}
	}
	first := h.arrive(0, 1)
	if first.Type != Send || first.Worker != back.Worker {
		t.Fatalf("the first light request led to %v, want a send to the reinstated worker", first)
	}
	if a := h.arrive(0, 1); a.Worker == back.Worker {
		t.Errorf("the reinstated worker got a second request while the first was open")
	}
	h.end(first, Served)
	h.advance(time.Second)
	for range 12 { // the other workers have more tokens in use by then
		if a := h.arrive(0, 1); a.Worker == back.Worker {
			return
		}
	}
	t.Errorf("the reinstated worker got none of 12 requests after the first had ended")
}

// TestWarmingWorkersAmongManyDispatchers checks that many dispatchers together keep to the budget of a
// warming worker, and use it. Without sampling, the share of one of eighty dispatchers would be smaller
// than a request, and the worker would stay idle.
func TestWarmingWorkersAmongManyDispatchers(t *testing.T) {
	const dispatchers, work = 80, 0.05
	cfg := bucketOnlyConfig()
	cfg.Instances = dispatchers
	drivers := make([]*driver, dispatchers)
	for i := range drivers {
		cfg.Instance = i
		drivers[i] = newDriver(t, cfg, append(membersInOneZone(2), Member{Worker: 7, StartedAt: time.Hour, Weight: 1}))
		h := drivers[i]
		h.d.meanRun[0] = work
		h.d.listed[0].Most = 4
	}
	var sent []time.Duration
	for tick := 0; drivers[0].now < time.Hour+3*time.Second; tick++ { // 240 requests a second, 12 s of work
		for i, h := range drivers {
			if (tick+i)%33 == 0 {
				a := h.arrive(0, 1)
				if a.Worker == 7 {
					sent = append(sent, h.now)
				}
				h.step(Event{Type: AttemptStarted, Request: a.Request, Worker: a.Worker, Attempt: a.Attempt})
				h.end(a, Canceled)
			}
			h.advance(10 * time.Millisecond)
		}
	}
	inWindow := maxWithin(sent, cfg.Rules.OverloadWindow)
	budget := (0.2 + 0.8*0.3) * cfg.Rules.OverloadMultiple * 4 // at the end of these 3 s
	if float64(inWindow)*work > budget || len(sent) < 20 {
		t.Errorf("%d requests, at most %.2f s of work in a window; want 20 or more, and at most %.2f s",
			len(sent), float64(inWindow)*work, budget)
	}
}

// TestHeavyRequestsAndHalfWarmWorkers checks that a warming worker gets no more than it can take from many
// dispatchers together, and no long request. Workers that had just joined were overloaded by one request of
// many times its class's mean run time, and by a dozen requests within a second.
func TestHeavyRequestsAndHalfWarmWorkers(t *testing.T) {
	cfg := bucketOnlyConfig()
	cfg.Instances = 80
	const over, every = 4 * time.Second, 100 * time.Millisecond
	for _, age := range []time.Duration{over, 6 * time.Second, 14 * time.Second} { // at the end
		var sent []time.Duration
		longSent := false
		for i := range cfg.Instances {
			cfg.Instance = i
			h := newDriver(t, cfg, []Member{{Worker: 7, StartedAt: time.Hour + over - age, Weight: 1}})
			h.d.listed[0].Most = 4
			for h.now < time.Hour+over {
				h.lastRequest++
				light := Event{Type: RequestArrived, Request: h.lastRequest, Slots: 1, Hint: 100 * time.Millisecond,
					Deadline: h.now + 5*time.Second}
				for _, a := range h.step(light) {
					if a.Type == Send {
						sent = append(sent, h.now)
						h.end(a, Canceled)
					}
				}
				h.advance(every)
			}
			h.lastRequest++
			long := Event{Type: RequestArrived, Request: h.lastRequest, Slots: 1, Hint: 30 * time.Second,
				Deadline: h.now + 5*time.Second}
			for _, a := range h.step(long) {
				longSent = longSent || a.Type == Send
			}
		}
		slices.Sort(sent)
		warm := age > cfg.Rules.WarmUp
		all := cfg.Instances * int(over/every)
		inWindow := maxWithin(sent, cfg.Rules.OverloadWindow)
		if warm != (len(sent) == all) || longSent != warm || !warm && (inWindow > 150 || len(sent) < 20) {
			t.Errorf("at the age of %v: %d of %d sent, at most %d in a window, long ones %t; want all and %t if warm, otherwise 20 or more, "+
				"at most 150 in a window", age, len(sent), all, inWindow, longSent, warm)
		}
	}
}
