// Package core is the actor of the decision module. It drains its mailbox into
// one Step of the module, carries out the actions that come back, and owns the
// state of requests and hops, the timers and the one final answer of each
// request. It knows no protocol: fronts and egress targets stand behind the
// small interfaces declared here.
package core

import (
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"magpierelay"
	"magpierelay/internal/mailbox"
)

// Job is what a client asks for, in no protocol's terms. What a runner is to
// get passes through unchanged.
type Job struct {
	ID       string // the client's name for the request, unique among those that are open
	Method   string
	Resource string // path and query
	Key      string // idempotency key, empty for none
	Body     []byte

	Class    int
	Slots    float64
	Memory   float64
	Subject  uint64        // what the request concerns; 0 for none
	Hint     time.Duration // a rough estimate of the work; 0 for none
	Retry    bool          // a client's repeat
	Ending   bool          // the deadline is the end of this process
	Deadline time.Time
}

// Verdict is the kind of a final answer.
type Verdict uint8

// The final answers.
const (
	Served    Verdict = iota // Result is what a runner gave
	Shed                     // refused: trying again is harmless
	Failed                   // no promise about the effect
	Duplicate                // a request of this id is open already; nothing was done
	Unusable                 // a runner can't use the job, and none will; it never ran
)

// Answer is the one final answer of a request.
type Answer struct {
	Verdict    Verdict
	Result     []byte
	RetryAfter time.Duration // for Shed; 0 for no advice
}

// Ingress is the client's side of a request. Answer is called exactly once,
// unless the client has left before, and must not block.
type Ingress interface{ Answer(Answer) }

// HopRef names a hop: a request of this process and its attempt's number.
type HopRef struct {
	Request magpierelay.RequestID
	Attempt int
}

// Hop is one attempt of a job at one egress target.
type Hop struct {
	Ref      HopRef
	Job      *Job
	Deadline time.Time // when the core stops waiting
}

// Target is an egress target. None of its methods may block. What becomes of a
// hop is reported to the core by HopEnded, or by Report.
type Target interface {
	Send(Hop)
	GiveUp(Hop)       // the core waits no longer: closes before the job is taken, recalls it after
	Probe(time.Time)  // asks for a load report until the deadline; ProbeEnded tells
	Move(addr string) // the address has changed
	Close()           // the target has left the route table
}

// Targets makes the egress targets as the route table names them.
type Targets interface {
	Open(worker magpierelay.WorkerID, uid, addr string) Target
}

// RouteTable is discovery's list. None of its methods may block; what it finds
// comes by ListReplaced, ListChanged and ListFailed.
type RouteTable interface {
	Watch()
	Fetch()
}

// Route is one entry of the route table.
type Route struct {
	UID, Addr string
	magpierelay.Member
}

// JobState is what a runner reports of a job.
type JobState uint8

// The states of a job at a runner.
const (
	JobStarted JobState = iota
	JobRunning
	JobDone
	JobFailed
	JobReturned // handed back unstarted
	JobLost
)

// JobEvent is a runner's report on a job that it has been sent.
type JobEvent struct {
	ID, From string
	State    JobState
	Share    float64
	Result   []byte
	Load     []float32
}

// Members is told how many runners are listed, and how many of them get no new work.
type Members func(listed, unavailable int)

// Core is the actor. Make it with New, start it with Run.
type Core struct {
	log     *logrus.Entry
	cfg     magpierelay.Config
	module  *magpierelay.Dispatcher
	targets Targets
	list    RouteTable
	box     *mailbox.Box[func(*Core)]
	start   time.Time

	now       time.Duration
	events    []magpierelay.Event // for the next Step
	due       deadlines
	requests  map[magpierelay.RequestID]*request
	byID      map[string]*request
	lastID    magpierelay.RequestID
	lastTo    magpierelay.WorkerID
	tally     tally
	workers   map[string]*worker // by uid
	byNumber  map[magpierelay.WorkerID]*worker
	excluded  map[string]bool               // uids that operators have left out, whatever discovery lists
	putBack   map[string]time.Duration      // uids that they have put back, and when
	health    map[string]magpierelay.Health // of an earlier process, for runners not listed yet
	processes int                           // of this dispatcher
	releasing map[*request]func(*Moved)     // requests that are to go to another process
	inform    func(Exclusion)               // told of what operators say here
	members   Members
}

// request is a request from its arrival until it is answered and none of its
// hops is out.
type request struct {
	ref      magpierelay.RequestID
	job      *Job
	ingress  Ingress
	deadline time.Duration
	answered bool
	unusable bool // a runner has said so
	hops     []hop
	due      []*due // what is to be done about it at a time
}

// hop is one attempt. The core ends it exactly once, whatever the target and
// the runner report, and in whatever order.
type hop struct {
	number   magpierelay.WorkerID // whom the module named
	to       *worker              // nil if it has left the list
	deadline time.Duration
	reported bool // the runner has said that the job started or runs
	taken    bool // it has said that it has the job
	ended    bool
}

// worker is an egress target as the core knows it.
type worker struct {
	number magpierelay.WorkerID
	uid    string
	addr   string
	member magpierelay.Member // as discovery lists it
	target Target
}

// New makes the core. Seed is for the module's random numbers.
func New(cfg magpierelay.Config, seed uint64, targets Targets, list RouteTable, members Members,
	log *logrus.Entry) (*Core, error) {
	module, err := magpierelay.New(cfg, seed)
	if err != nil {
		return nil, fmt.Errorf("making the module: %w", err)
	}
	return &Core{log: log, cfg: cfg, module: module, targets: targets, list: list, box: mailbox.New[func(*Core)](),
		start: time.Now(), requests: map[magpierelay.RequestID]*request{}, byID: map[string]*request{},
		workers: map[string]*worker{}, byNumber: map[magpierelay.WorkerID]*worker{},
		excluded: map[string]bool{}, putBack: map[string]time.Duration{}, releasing: map[*request]func(*Moved){},
		inform: func(Exclusion) {}, members: members, processes: 1}, nil
}

// Run works until the context ends.
func (c *Core) Run(ctx context.Context) {
	var mail []func(*Core)
	timer := time.NewTimer(0)
	defer timer.Stop()
	summary := time.NewTicker(tallyEvery)
	defer summary.Stop()
	fresh := time.NewTicker(freshEvery) // rests end with the time alone
	defer fresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.box.Ready():
		case <-timer.C:
		case <-summary.C:
			c.report()
		case <-fresh.C:
		}
		c.now = c.clock(time.Now())
		mail = c.box.Drain(mail[:0])
		for i, message := range mail {
			message(c)
			mail[i] = nil
		}
		c.ring()
		c.step()
		c.release()
		c.members(len(c.workers), c.module.Unavailable(c.now))
		if len(c.due) > 0 {
			timer.Reset(max(c.due[0].at-c.clock(time.Now()), 0))
		}
	}
}

// clock turns a time into the module's: the time since 1970, which never goes
// back in a process as it follows the monotonic clock.
func (c *Core) clock(t time.Time) time.Duration {
	return time.Duration(c.start.UnixNano()) + t.Sub(c.start)
}

// moment turns the module's time back.
func (c *Core) moment(at time.Duration) time.Time {
	return c.start.Add(at - time.Duration(c.start.UnixNano()))
}

// ---- What fronts, targets and the route table tell: all of it may be called
// from any goroutine, and none of it blocks ----

// Submit hands over a request; its answer goes to the ingress. The ingress names
// the request in Leave.
func (c *Core) Submit(job *Job, ingress Ingress) {
	c.box.Put(func(c *Core) { c.arrived(job, ingress) })
}

// Leave tells that the client of a request has gone away.
func (c *Core) Leave(job *Job) {
	c.box.Put(func(c *Core) {
		if r := c.byID[job.ID]; r != nil && r.job == job && !r.answered {
			c.settle(r)
			c.event(magpierelay.Event{Type: magpierelay.RequestGone, Request: r.ref})
			c.forget(r)
		}
	})
}

// EndBy tells when the process may be ended: what is open then gets its answer.
// Guards rule 1, and clients from a reset where they could have been told to try
// again.
func (c *Core) EndBy(by time.Time) {
	c.box.Put(func(c *Core) {
		for _, r := range c.requests {
			if at := c.clock(by); at < r.deadline {
				r.deadline = at
				c.remind(r, due{at: at, attempt: -1})
			}
		}
	})
}

// Report takes a runner's report on a job and tells whether the job is held here. One
// that names no hop that is out, as a repeat or one on a hop given up, changes nothing.
func (c *Core) Report(ev JobEvent, took func(bool)) {
	c.box.Put(func(c *Core) {
		took(c.byID[ev.ID] != nil)
		c.reported(ev)
	})
}

// Settings takes new settings: classes keep their numbers, and new ones come after
// them. Jobs submitted from now on may be of those.
func (c *Core) Settings(cfg magpierelay.Config) {
	c.box.Put(func(c *Core) {
		c.step() // what came in before counts by the old ones
		c.cfg = cfg
		c.configure()
	})
}

// Exclude leaves a runner out until it is put back with out false. Done is told whether
// anybody has the runner. Guards a caller who was told no, as the core had no time:
// from the deadline on nothing is done and done is not called.
func (c *Core) Exclude(uid string, out bool, by time.Time, done func(known bool)) {
	c.box.Put(func(c *Core) {
		if time.Now().Before(by) {
			done(c.exclude(uid, out))
		}
	})
}

// Exclusion is what operators say of a runner, as one process of a dispatcher tells it
// to the other.
type Exclusion struct {
	UID string        `json:"uid"`
	Out bool          `json:"out"`
	At  time.Duration `json:"at"` // since 1970
}

// Inform names who is told of what operators say to this process; it is called before
// Run. It must not block.
func (c *Core) Inform(inform func(Exclusion)) { c.inform = inform }

// Heed takes over what operators have said to the other process.
func (c *Core) Heed(e Exclusion) { c.box.Put(func(c *Core) { c.move(e) }) }

// Snapshot is what the core tells a newer process of its dispatcher. Times are since
// 1970, health is by uid.
type Snapshot struct {
	Excluded []string                      `json:"excluded"`
	PutBack  map[string]time.Duration      `json:"put_back"`
	Health   map[string]magpierelay.Health `json:"health"`
}

// Snapshot tells what the core knows beside the list.
func (c *Core) Snapshot(to func(Snapshot)) {
	c.box.Put(func(c *Core) {
		s := Snapshot{PutBack: maps.Clone(c.putBack), Health: map[string]magpierelay.Health{}}
		for uid := range c.excluded {
			s.Excluded = append(s.Excluded, uid)
		}
		for uid, w := range c.workers {
			s.Health[uid] = c.module.Health(w.number)
		}
		to(s)
	})
}

// Restore takes over a snapshot. It comes before the first list.
func (c *Core) Restore(s Snapshot) {
	c.box.Put(func(c *Core) {
		for _, uid := range s.Excluded {
			c.move(Exclusion{UID: uid, Out: true})
		}
		for uid, at := range s.PutBack {
			c.excluded[uid] = true
			c.move(Exclusion{UID: uid, At: at})
		}
		c.health = s.Health
	})
}

// Processes tells how many processes of this dispatcher share what it may send to cold
// runners: to the module they are that many instances.
func (c *Core) Processes(n int) {
	c.box.Put(func(c *Core) {
		c.processes = n
		c.configure()
	})
}

// configure tells the module the settings in force.
func (c *Core) configure() {
	cfg := c.cfg
	cfg.Instances = max(cfg.Instances, 1) * c.processes
	c.event(magpierelay.Event{Type: magpierelay.SettingsChanged, Settings: &cfg})
}

// HopEnded tells how a hop ended without a report on its job.
func (c *Core) HopEnded(ref HopRef, outcome magpierelay.Outcome, load []float32) {
	c.box.Put(func(c *Core) {
		r := c.requests[ref.Request]
		if r == nil || outcome == magpierelay.TimedOut && r.hops[ref.Attempt].reported {
			return // that the runner has the job is known by its call-back
		}
		if c.end(r, ref.Attempt, outcome, load) {
			r.unusable = r.unusable || outcome == magpierelay.Unusable
		}
	})
}

// HopTaken tells that the runner has the job: what becomes of it comes by Report.
func (c *Core) HopTaken(ref HopRef) {
	c.box.Put(func(c *Core) {
		if r := c.requests[ref.Request]; r != nil {
			r.hops[ref.Attempt].taken = true
		}
	})
}

// ProbeEnded tells what a probe found.
func (c *Core) ProbeEnded(number magpierelay.WorkerID, outcome magpierelay.Outcome, load []float32) {
	c.box.Put(func(c *Core) {
		ev := magpierelay.Event{Type: magpierelay.ProbeEnded, Worker: number, Outcome: outcome}
		ev.Loads = uint8(copy(ev.Load[:], load))
		c.event(ev)
	})
}

// ListReplaced tells the whole route table.
func (c *Core) ListReplaced(routes []Route) {
	c.box.Put(func(c *Core) { c.listed(magpierelay.MembersReplaced, routes) })
}

// ListChanged tells the entries of the route table that have changed.
func (c *Core) ListChanged(routes []Route) {
	c.box.Put(func(c *Core) { c.listed(magpierelay.MembersChanged, routes) })
}

// ListFailed tells that a call to discovery has failed or a watch has ended.
func (c *Core) ListFailed() {
	c.box.Put(func(c *Core) { c.event(magpierelay.Event{Type: magpierelay.MembersFailed}) })
}

// ---- The module's events and actions ----

func (c *Core) event(ev magpierelay.Event) { c.events = append(c.events, ev) }

// step lets the module act on the events gathered, and on those that carrying
// out its actions makes, until nothing is left to tell.
func (c *Core) step() {
	var actions []magpierelay.Action
	for len(c.events) > 0 {
		events := c.events
		c.events = nil
		actions = c.module.Step(c.now, events, actions[:0])
		for i := range actions {
			c.carryOut(&actions[i])
		}
		for i := range events {
			if r := c.requests[events[i].Request]; r != nil {
				c.forget(r)
			}
		}
	}
}

func (c *Core) carryOut(a *magpierelay.Action) {
	switch a.Type {
	case magpierelay.Send:
		c.send(a)
	case magpierelay.Cancel:
		if r := c.requests[a.Request]; r != nil {
			c.giveUp(r, a.Attempt, magpierelay.Canceled)
		}
	case magpierelay.Refuse:
		c.answer(a.Request, Answer{Verdict: Shed, RetryAfter: a.After})
	case magpierelay.Fail:
		verdict := Failed
		if r := c.requests[a.Request]; r != nil && r.unusable {
			verdict = Unusable
		}
		c.answer(a.Request, Answer{Verdict: verdict})
	case magpierelay.SetTimer:
		c.wake(&due{at: a.At, token: a.Token})
	case magpierelay.Probe:
		if w := c.byNumber[a.Worker]; w != nil && c.cfg.Limits.ProbeAllowed {
			w.target.Probe(c.moment(c.now + c.cfg.Limits.ConnectTimeout))
		}
	case magpierelay.Subscribe:
		c.list.Watch()
	case magpierelay.Fetch:
		c.list.Fetch()
	default:
		c.log.WithField("action", a.Type).Error("the module asked for an action that the core does not know")
	}
}

// ---- Requests ----

func (c *Core) arrived(job *Job, ingress Ingress) {
	if c.byID[job.ID] != nil {
		// Guards the match of call-backs by id: two open requests of one id could
		// not be told apart.
		ingress.Answer(Answer{Verdict: Duplicate})
		return
	}
	c.event(c.arrival(c.take(job, ingress)))
}

// take makes the request of a job.
func (c *Core) take(job *Job, ingress Ingress) *request {
	c.lastID++
	for c.lastID == 0 || c.requests[c.lastID] != nil { // numbers may come round
		c.lastID++
	}
	r := &request{ref: c.lastID, job: job, ingress: ingress, deadline: c.clock(job.Deadline)}
	if most := c.cfg.Classes[job.Class].GiveUp; most > 0 {
		// Guards tokens and memory against a client that claims to wait for days.
		r.deadline = min(r.deadline, c.now+most)
	}
	c.requests[r.ref], c.byID[job.ID] = r, r
	c.remind(r, due{at: r.deadline, attempt: -1})
	return r
}

// arrival is the event of a new request.
func (c *Core) arrival(r *request) magpierelay.Event {
	job := r.job
	return magpierelay.Event{Type: magpierelay.RequestArrived, Request: r.ref, Class: job.Class,
		Deadline: r.deadline, Slots: job.Slots, Memory: job.Memory, Hint: job.Hint, Key: job.Subject, Retry: job.Retry,
		Ending: job.Ending}
}

// answer is the one place where a request gets its final answer.
func (c *Core) answer(id magpierelay.RequestID, a Answer) {
	r := c.requests[id]
	if r == nil || r.answered {
		return
	}
	c.tally.answers[a.Verdict]++
	r.ingress.Answer(a)
	c.settle(r)
}

// settle marks a request as one that nothing more is owed.
func (c *Core) settle(r *request) {
	r.answered, r.ingress = true, nil
}

// forget gives back the id, the body and the reminders of a request that is
// answered and has no hop out. Guards against a flood of requests that are
// refused at once: their deadlines would pile up until they come.
func (c *Core) forget(r *request) {
	if !r.answered || c.requests[r.ref] != r {
		return
	}
	for i := range r.hops {
		if !r.hops[i].ended {
			return
		}
	}
	delete(c.requests, r.ref)
	delete(c.byID, r.job.ID)
	for _, d := range r.due {
		if d.place >= 0 {
			heap.Remove(&c.due, d.place)
		}
	}
}

// expire acts on a request whose deadline has come: each hop that is out times
// out, an answered request's too, and what the module then leaves without an
// answer fails.
func (c *Core) expire(r *request) {
	for i := range r.hops {
		c.giveUp(r, i, magpierelay.TimedOut)
	}
	c.step()
	if !r.answered {
		// Guards rule 1 against a module that holds a request without a hop.
		c.log.WithField("id", r.job.ID).Warn("request was still held at its deadline and fails")
		c.answer(r.ref, Answer{Verdict: Failed})
		c.event(magpierelay.Event{Type: magpierelay.RequestGone, Request: r.ref})
	}
}

// ---- Requests that move to another process ----

// Moved is what another process of the dispatcher needs to go on with a request.
type Moved struct {
	Deadline time.Duration `json:"deadline"` // since 1970
	Hops     []MovedHop    `json:"hops"`
}

// MovedHop is an attempt of such a request.
type MovedHop struct {
	UID  string           `json:"uid"`
	Past magpierelay.Past `json:"past"`
}

// Release gives up a request to another process, once all its hops that are out have
// been taken by their runners: until then what becomes of them comes here. Done is told
// what goes along, or nil if the request has its answer; then it was not released.
func (c *Core) Release(job *Job, done func(*Moved)) {
	c.box.Put(func(c *Core) {
		if r := c.byID[job.ID]; r != nil && r.job == job && !r.answered {
			c.releasing[r] = done
		} else {
			done(nil)
		}
	})
}

// release lets go of the requests that are ready for it. It recalls nothing: their
// hops go on.
func (c *Core) release() {
	for r, done := range c.releasing {
		if r.answered {
			delete(c.releasing, r)
			done(nil)
			continue
		}
		m := &Moved{Deadline: r.deadline}
		past := c.module.Past(r.ref)
		ready := len(past) == len(r.hops)
		for i := range r.hops {
			h := &r.hops[i]
			ready = ready && (h.ended || h.taken || h.reported)
			if ready {
				m.Hops = append(m.Hops, MovedHop{UID: h.uid(), Past: past[i]})
			}
		}
		if !ready {
			continue
		}
		delete(c.releasing, r)
		c.settle(r)
		c.event(magpierelay.Event{Type: magpierelay.RequestGone, Request: r.ref})
		for i := range r.hops {
			c.end(r, i, magpierelay.Canceled, nil)
		}
		c.forget(r)
		c.step()
		done(m)
	}
}

// Adopt goes on with a request that another process has released.
func (c *Core) Adopt(job *Job, m *Moved, ingress Ingress) {
	c.box.Put(func(c *Core) {
		if c.byID[job.ID] != nil {
			ingress.Answer(Answer{Verdict: Duplicate})
			return
		}
		r := c.take(job, ingress)
		ev := c.arrival(r)
		for _, h := range m.Hops {
			w := c.workers[h.UID]
			if w == nil { // it has left the list
				c.lastTo++
				w = &worker{number: c.lastTo, uid: h.UID, target: gone{}}
			}
			h.Past.Worker = w.number
			ev.Past = append(ev.Past, h.Past)
			r.hops = append(r.hops, hop{number: w.number, to: w, deadline: r.deadline, taken: true, ended: h.Past.Ended})
		}
		c.event(ev)
	})
}

// gone is the target of a hop whose runner has left the list.
type gone struct{}

func (gone) Send(Hop)        {}
func (gone) GiveUp(Hop)      {}
func (gone) Probe(time.Time) {}
func (gone) Move(string)     {}
func (gone) Close()          {}

// ---- Hops ----

// uid names the runner of a hop; empty if it has left the list before.
func (h *hop) uid() string {
	if h.to == nil {
		return ""
	}
	return h.to.uid
}

func (c *Core) send(a *magpierelay.Action) {
	r := c.requests[a.Request]
	if r == nil {
		return
	}
	w, attempt := c.byNumber[a.Worker], len(r.hops)
	end := r.deadline
	if a.After > 0 {
		end = min(end, c.now+a.After)
	}
	r.hops = append(r.hops, hop{number: a.Worker, to: w, deadline: end})
	if most := c.cfg.Limits.MaxAttempts; w == nil || r.answered || c.now >= end || most > 0 && attempt >= most {
		c.end(r, attempt, magpierelay.NotSent, nil)
		return
	}
	if end < r.deadline {
		c.remind(r, due{at: end, attempt: attempt})
	}
	w.target.Send(c.hop(r, attempt))
}

func (c *Core) hop(r *request, attempt int) Hop {
	return Hop{Ref: HopRef{r.ref, attempt}, Job: r.job, Deadline: c.moment(r.hops[attempt].deadline)}
}

// giveUp stops waiting for a hop that is out.
func (c *Core) giveUp(r *request, attempt int, outcome magpierelay.Outcome) {
	if attempt < 0 || attempt >= len(r.hops) || r.hops[attempt].ended {
		return
	}
	r.hops[attempt].to.target.GiveUp(c.hop(r, attempt))
	c.end(r, attempt, outcome, nil)
}

// end is the one place where a hop ends: what is told of it later is passed
// over. Guards against a call-back that comes twice, or after the hop was given
// up, and against a broken connection told after its call-back.
func (c *Core) end(r *request, attempt int, outcome magpierelay.Outcome, load []float32) bool {
	if attempt < 0 || attempt >= len(r.hops) || r.hops[attempt].ended {
		return false
	}
	h := &r.hops[attempt]
	h.ended = true
	c.tally.hops[outcome]++
	// The module's own number, also for a worker that left in the same batch as
	// the Send: with another the module would not find the attempt, and hold the
	// request until its deadline.
	ev := magpierelay.Event{Type: magpierelay.AttemptEnded, Request: r.ref, Attempt: attempt, Worker: h.number,
		Outcome: outcome, Closed: r.answered || outcome == magpierelay.Served}
	ev.Loads = uint8(copy(ev.Load[:], load))
	c.event(ev)
	return true
}

func (c *Core) reported(ev JobEvent) {
	r := c.byID[ev.ID]
	if r == nil {
		return
	}
	for i := range r.hops {
		h := &r.hops[i]
		if h.ended || h.to.uid != ev.From {
			continue
		}
		note := magpierelay.Event{Request: r.ref, Attempt: i, Worker: h.number, Progress: ev.Share}
		switch ev.State {
		case JobStarted:
			h.reported = true
			note.Type = magpierelay.AttemptStarted
			c.event(note)
		case JobRunning:
			h.reported = true
			note.Type = magpierelay.AttemptProgressed
			c.event(note)
		case JobDone:
			c.end(r, i, magpierelay.Served, ev.Load)
			c.answer(r.ref, Answer{Verdict: Served, Result: ev.Result})
		case JobFailed:
			c.end(r, i, magpierelay.Errored, ev.Load)
		case JobReturned:
			c.end(r, i, magpierelay.Rejected, ev.Load)
		case JobLost:
			c.end(r, i, magpierelay.ConnReset, ev.Load)
		}
		return
	}
}

// ---- The route table ----

// listed takes in entries of the route table. A target that leaves is closed at
// once for new hops; the module learns of it in the same moment.
func (c *Core) listed(kind magpierelay.EventType, routes []Route) {
	ev := magpierelay.Event{Type: kind}
	var known []magpierelay.Event
	named := map[string]bool{}
	for i := range routes {
		t := &routes[i]
		named[t.UID] = true
		w := c.workers[t.UID]
		if w == nil {
			if t.State == magpierelay.Removed {
				continue
			}
			c.lastTo++
			w = &worker{number: c.lastTo, uid: t.UID, addr: t.Addr}
			w.target = c.targets.Open(w.number, w.uid, w.addr)
			c.workers[w.uid], c.byNumber[w.number] = w, w
			c.log.WithFields(logrus.Fields{"target": w.uid, "addr": w.addr}).Info("egress target listed")
			if h, ok := c.health[w.uid]; ok {
				known = append(known, magpierelay.Event{Type: magpierelay.HealthKnown, Worker: w.number, Health: h})
				delete(c.health, w.uid)
			}
		}
		if t.Addr != "" && t.Addr != w.addr {
			c.log.WithFields(logrus.Fields{"target": w.uid, "addr": t.Addr}).Info("egress target moved")
			w.addr = t.Addr
			w.target.Move(t.Addr)
		}
		if t.State == magpierelay.Draining && w.member.State != t.State {
			c.log.WithField("target", w.uid).Info("egress target drains")
		}
		w.member = t.Member
		w.member.Worker = w.number
		ev.Members = append(ev.Members, c.shown(w))
		if t.State == magpierelay.Removed {
			c.drop(w)
		}
	}
	if kind == magpierelay.MembersReplaced {
		for uid, w := range c.workers {
			if !named[uid] {
				c.drop(w)
			}
		}
	}
	c.event(ev)
	c.events = append(c.events, known...)
}

// shown returns a worker as the module is to see it: as discovery lists it, but for
// what operators have said. Guards what they said against every later list.
func (c *Core) shown(w *worker) magpierelay.Member {
	m := w.member
	if c.excluded[w.uid] && m.State == magpierelay.Ready {
		m.State = magpierelay.Draining
	}
	if at, ok := c.putBack[w.uid]; ok {
		m.StartedAt, m.Returned = max(m.StartedAt, at), true
	}
	return m
}

// exclude leaves a runner out, or puts it back, and reports whether anybody has it.
// Put back it counts as cold: operators restart runners in that time, and discovery
// may not tell when.
func (c *Core) exclude(uid string, out bool) bool {
	w := c.workers[uid]
	if w == nil && !c.excluded[uid] {
		return false
	}
	if c.excluded[uid] == out {
		return true
	}
	e := Exclusion{UID: uid, Out: out, At: c.now}
	c.move(e)
	c.inform(e)
	return true
}

// move carries out what operators have said of a runner.
func (c *Core) move(e Exclusion) {
	if c.excluded[e.UID] == e.Out {
		return
	}
	c.log.WithFields(logrus.Fields{"target": e.UID, "out": e.Out}).Info("operators have moved a runner")
	if e.Out {
		c.excluded[e.UID] = true
		delete(c.putBack, e.UID)
	} else {
		delete(c.excluded, e.UID)
		c.putBack[e.UID] = min(e.At, c.now)
		c.wake(&due{at: c.putBack[e.UID] + c.cfg.Rules.WarmUp, putBack: e.UID})
	}
	if w := c.workers[e.UID]; w != nil {
		c.event(magpierelay.Event{Type: magpierelay.MembersChanged, Members: []magpierelay.Member{c.shown(w)}})
	}
}

// drop lets a target go that has left the route table. Hops that it still has
// are matched by its uid until they end.
func (c *Core) drop(w *worker) {
	c.log.WithField("target", w.uid).Info("egress target gone from the list")
	w.target.Close()
	delete(c.workers, w.uid)
	delete(c.byNumber, w.number)
}

// ---- The summary for on-call staff ----

// tallyEvery is how often a summary is logged, if there is anything to tell.
const tallyEvery = 10 * time.Second

// freshEvery is how often the figures on runners are renewed at least.
const freshEvery = 200 * time.Millisecond

// tally counts what has come to an end since the last summary.
type tally struct {
	answers [Unusable + 1]int
	hops    [magpierelay.Unusable + 1]int
}

// report logs the tally and begins a new one.
func (c *Core) report() {
	t := c.tally
	c.tally = tally{}
	if t == (tally{}) && len(c.requests) == 0 {
		return
	}
	c.log.WithFields(logrus.Fields{
		"served": t.answers[Served], "shed": t.answers[Shed], "failed": t.answers[Failed], "open": len(c.requests),
		"hops_served": t.hops[magpierelay.Served], "hops_errored": t.hops[magpierelay.Errored],
		"hops_rejected": t.hops[magpierelay.Rejected], "hops_timed_out": t.hops[magpierelay.TimedOut],
		"hops_unconnected": t.hops[magpierelay.ConnectFailed], "hops_reset": t.hops[magpierelay.ConnReset],
		"unusable": t.answers[Unusable], "hops_given_up": t.hops[magpierelay.Canceled], "hops_not_sent": t.hops[magpierelay.NotSent],
	}).Info("traffic of the last 10 s")
}

// ---- Timers ----

// due is one thing to do at a time: ring a timer of the module, or end a
// request (attempt -1) or one of its hops.
type due struct {
	at      time.Duration
	token   uint32
	putBack string   // a runner that has had its time to warm up since it was put back
	request *request // nil for a timer of the module
	attempt int
	place   int // in the heap; -1 when it has left it
}

// deadlines is a heap with the earliest first.
type deadlines []*due

func (h deadlines) Len() int           { return len(h) }
func (h deadlines) Less(i, j int) bool { return h[i].at < h[j].at }
func (h deadlines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *deadlines) Push(x any) {
	d := x.(*due)
	d.place = len(*h)
	*h = append(*h, d)
}

func (h *deadlines) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.place = -1
	return last
}

func (c *Core) wake(d *due) {
	d.at = min(d.at, math.MaxInt64/2)
	heap.Push(&c.due, d)
}

// remind notes what is to be done about a request at a time, unless it has been
// forgotten by then.
func (c *Core) remind(r *request, d due) {
	d.request = r
	r.due = append(r.due, &d)
	c.wake(&d)
}

// ring does all that has come due.
func (c *Core) ring() {
	for len(c.due) > 0 && c.due[0].at <= c.now {
		d := heap.Pop(&c.due).(*due)
		if d.putBack != "" {
			if c.now >= c.putBack[d.putBack]+c.cfg.Rules.WarmUp {
				delete(c.putBack, d.putBack)
			}
			continue
		}
		if d.request == nil {
			c.event(magpierelay.Event{Type: magpierelay.TimerFired, Token: d.token})
			continue
		}
		c.step() // what came in before the deadline counts
		if r := d.request; c.requests[r.ref] != r {
			continue // forgotten in that step
		} else if d.attempt < 0 {
			c.expire(r)
		} else {
			c.giveUp(r, d.attempt, magpierelay.TimedOut)
		}
	}
}
