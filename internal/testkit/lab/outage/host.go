package outage

import (
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/rosterpolicy"
)

// dispatcher is a simulated dispatcher: the real decision module and, in mode Trusted, the real
// roster policy.
type dispatcher struct {
	sim       *sim
	number    int
	module    *decision.Dispatcher
	policy    *rosterpolicy.StateTable // nil in other modes, and once the roster has answered
	running   bool
	startedAt time.Duration
	lastID    decision.RequestID
	jobs      map[decision.RequestID]*clientJob
	probing   int           // probes in flight
	wakeAt    time.Duration // next scheduled call of probeRunners
}

// clientJob is a job that a client has submitted and that is not closed.
type clientJob struct {
	work      float64 // seconds of one core
	arrivedAt time.Duration
}

// Settings that differ little between installations.
const (
	clientTimeout = 5 * time.Second
	objective     = time.Second
	freshAge      = 2 * time.Minute
	maxProbes     = 12
	probeRate     = 100
)

func newDispatcher(s *sim, number int) *dispatcher {
	cfg := decision.Config{Instance: number, Instances: s.set.Dispatchers, Zone: number % 3, Zones: 3, PullMembers: true, StartEvents: true,
		Classes: []decision.Class{{Objective: objective, ClientTimeout: clientTimeout, Value: 1, WorkerKind: -1, MeanRunTime: s.set.Run}},
		Limits:  decision.Limits{MaxAttempts: 4, CancelAllowed: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, ConnectTimeout: 250 * time.Millisecond},
		Rules: decision.Rules{DrainGrace: 500 * time.Millisecond, InitialCapacity: initialShare, WarmUp: warmUp, OverloadMultiple: multiple,
			OverloadWindow: window, MaxRefreshInterval: 10 * time.Second}}
	module, err := decision.New(cfg, s.rng.Uint64())
	if err != nil {
		panic(err) // the settings above are constant
	}
	return &dispatcher{sim: s, number: number, module: module, jobs: map[decision.RequestID]*clientJob{}}
}

// start starts the dispatcher with the runners that its mode takes from the stored list.
func (h *dispatcher) start() {
	s := h.sim
	h.running, h.startedAt = true, s.now
	switch s.set.Mode {
	case Nothing:
		h.step(decision.Event{Type: decision.MembersReplaced})
	case Blind:
		h.step(decision.Event{Type: decision.MembersReplaced, Members: h.members(func(r *runner) bool { return true }, 0)})
	case Trusted:
		var stored []rosterpolicy.Stored
		for _, r := range s.runners {
			stored = append(stored, rosterpolicy.Stored{UID: r.uid, Addr: r.uid, Zone: zones[r.zone], Confirmed: s.now - 10*time.Minute, Barred: r.draining})
		}
		h.policy = rosterpolicy.New(rosterpolicy.Config{Fresh: freshAge, Old: time.Hour, Max: 24 * time.Hour, Zone: zones[h.number%3], ProbeRate: probeRate, Number: h.number,
			Dispatchers: s.set.Dispatchers, Outage: 5 * time.Second, MaxMissing: 0.5, DoubtTimeout: 30 * time.Second, WarmUp: warmUp}, s.now, stored, s.rng.Uint64())
		h.step(decision.Event{Type: decision.MembersReplaced})
		h.probeRunners()
	}
}

var zones = []string{"a", "b", "c"}

// workerID returns the decision module's ID of runner i; IDs start at 1.
func workerID(i int) decision.WorkerID { return decision.WorkerID(i + 1) }

// members returns the member list of the selected runners. It includes their start times if
// startTimes is not 0.
func (h *dispatcher) members(which func(*runner) bool, startTimes time.Duration) []decision.Member {
	var out []decision.Member
	for i, r := range h.sim.runners {
		if !which(r) {
			continue
		}
		m := decision.Member{Worker: workerID(i), Zone: r.zone}
		if r.draining {
			m.State = decision.Draining
		}
		if startTimes != 0 {
			m.StartedAt = r.startsAt
		}
		out = append(out, m)
	}
	return out
}

// probeRunners starts the probes that the roster policy asks for, updates the runners that have
// become warm, and schedules its next call.
func (h *dispatcher) probeRunners() {
	s := h.sim
	if h.policy == nil {
		return
	}
	uids, next := h.policy.NextProbes(s.now, maxProbes-h.probing)
	for _, uid := range uids {
		h.probing++
		s.probe(s.byUID(uid), func(e rosterpolicy.Evidence) {
			h.probing--
			h.observe(uid, e)
			h.probeRunners()
		})
	}
	warm, tick := h.policy.Tick(s.now)
	for _, uid := range warm {
		h.updateMember(uid)
	}
	if at := max(min(next, tick), s.now+time.Millisecond); h.wakeAt <= s.now || at < h.wakeAt {
		h.wakeAt = at
		s.at(at, func() {
			if h.wakeAt == at {
				h.probeRunners()
			}
		})
	}
}

// byUID returns the runner with a UID of the form s-N.
func (s *sim) byUID(uid string) *runner {
	n := 0
	for _, c := range uid[2:] {
		n = 10*n + int(c-'0')
	}
	return s.runners[n]
}

// observe gives evidence about a runner to the roster policy, and updates the module if the
// runner's standing has changed.
func (h *dispatcher) observe(uid string, e rosterpolicy.Evidence) {
	if h.policy == nil || !h.policy.Observe(h.sim.now, uid, e) {
		return
	}
	h.updateMember(uid)
}

// updateMember tells the module the runner's current standing.
func (h *dispatcher) updateMember(uid string) {
	r := h.sim.byUID(uid)
	standing, from, _ := h.policy.Standing(uid)
	m := decision.Member{Worker: h.worker(r), Zone: r.zone, State: decision.Draining}
	if standing == rosterpolicy.Used {
		m.State, m.StartedAt = decision.Ready, from
		if h.policy.Owned(uid) {
			m.Reinstated, m.WarmUpPeers = true, h.policy.WarmUpBudgetDivisor()
		}
	}
	// The stored list comes with the stored health: how many slots the runner was seen to use.
	h.step(decision.Event{Type: decision.MembersChanged, Members: []decision.Member{m}},
		decision.Event{Type: decision.HealthRestored, Worker: m.Worker, Health: decision.Health{Pace: 1, Most: cores}})
}

// worker returns the decision module's ID of a runner.
func (h *dispatcher) worker(r *runner) decision.WorkerID {
	n := 0
	for _, c := range r.uid[2:] {
		n = 10*n + int(c-'0')
	}
	return workerID(n)
}

// submit submits a client's job to the module. work is in seconds of one core.
func (h *dispatcher) submit(work float64, arrivedAt time.Duration) {
	h.lastID++
	h.jobs[h.lastID] = &clientJob{work: work, arrivedAt: arrivedAt}
	hint := time.Duration(work * float64(time.Second))
	h.step(decision.Event{Type: decision.RequestArrived, Request: h.lastID, Deadline: h.sim.now + clientTimeout, Slots: 1, Hint: hint})
}

// started reports to the module and the roster policy that a runner has started an attempt.
func (h *dispatcher) started(j *attempt) {
	h.observeAttempt(j.worker, rosterpolicy.Started)
	h.step(decision.Event{Type: decision.AttemptStarted, Request: j.request, Attempt: j.attempt, Worker: j.worker})
}

// ended reports the end of an attempt to the module and the roster policy, and counts the job as
// served if its client has not timed out.
func (h *dispatcher) ended(j *attempt, o decision.Outcome) {
	s := h.sim
	if a := h.jobs[j.request]; o == decision.Served && a != nil {
		delete(h.jobs, j.request)
		if s.now <= a.arrivedAt+clientTimeout {
			s.served[s.bin(a.arrivedAt)]++
			if first := &s.result.FirstServed[h.number]; *first == never {
				*first = s.now - h.startedAt
			}
		}
	}
	switch o {
	case decision.Served:
		h.observeAttempt(j.worker, rosterpolicy.Started)
	case decision.ConnectFailed:
		h.observeAttempt(j.worker, rosterpolicy.Refused)
	default:
		h.observeAttempt(j.worker, rosterpolicy.Broken)
	}
	h.step(decision.Event{Type: decision.AttemptEnded, Request: j.request, Attempt: j.attempt, Worker: j.worker, Outcome: o,
		RequestClosed: o == decision.Served})
}

// observeAttempt gives evidence from an attempt to the roster policy.
func (h *dispatcher) observeAttempt(w decision.WorkerID, e rosterpolicy.Evidence) {
	h.observe(h.sim.runners[w-1].uid, e)
}

// step passes events to the module and executes the actions that it returns.
func (h *dispatcher) step(events ...decision.Event) {
	s := h.sim
	for _, a := range h.module.Step(s.now, events, nil) {
		switch a.Type {
		case decision.Send:
			job := h.jobs[a.Request]
			if job == nil {
				continue
			}
			j := &attempt{remaining: job.work, by: h, request: a.Request, attempt: a.Attempt, worker: a.Worker}
			r := s.runners[a.Worker-1]
			s.at(s.now+networkDelay, func() { s.deliver(r, j) })
		case decision.Reject, decision.Fail:
			delete(h.jobs, a.Request)
		case decision.SetTimer:
			s.at(a.At, func() { h.step(decision.Event{Type: decision.TimerFired, Token: a.Token}) })
		case decision.Subscribe, decision.Fetch:
			s.callRoster(h.rosterAnswered)
		}
	}
}

// rosterAnswered handles the roster's answer to a call. Its list has the start times and omits
// retired runners; after it, the roster policy is no longer used.
func (h *dispatcher) rosterAnswered(ok bool) {
	s := h.sim
	if !ok {
		h.step(decision.Event{Type: decision.MembersFailed})
		return
	}
	s.result.Listed = max(s.result.Listed, s.now-powerOn)
	current := h.members(func(r *runner) bool { return r.up(s.now) }, 1)
	if h.policy != nil {
		h.policy = nil
		// A runner that has run for longer than the policy could know counts as warm as the list's
		// start time says.
		var out []decision.Member
		for _, m := range current {
			m.State = decision.Draining
			out = append(out, m)
		}
		h.step(decision.Event{Type: decision.MembersChanged, Members: out}, decision.Event{Type: decision.MembersReplaced, Members: current})
		return
	}
	h.step(decision.Event{Type: decision.MembersReplaced, Members: current})
}
