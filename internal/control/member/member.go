// Package member is a process of the control plane as a pure state machine: the replica, the scheduler while
// the replica serves as the head, the gossip, and the client through which the operator's API asks the
// chain. Whatever runs it tells it of messages, time and finished writes, and carries out its output.
package member

import (
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/event"
	"frosttide/internal/control/jobs"
	"frosttide/internal/control/journal"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/control/wallclock"
	"frosttide/internal/gossip"
	"frosttide/internal/protocol"
)

// Config says who a member is.
type Config struct {
	Replica   replica.Config
	Scheduler scheduler.Config
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

// Output is what is to be done after a turn. Writes are handed to the disk before anything is sent.
type Output struct {
	Writes   []replica.Write
	Sends    []Send
	Outcomes []chainclient.Outcome // of requests made by Ask
	Events   []event.Event         // for the log
}

// Member is the process. It is not safe for concurrent use.
type Member struct {
	cfg                Config
	clock              wallclock.Clock
	wallMs             int64         // this machine's time of day at the last tick
	knownClockStep     time.Duration // the clock's newest jump that the scheduler knows of
	replica            *replica.Machine
	scheduler          *scheduler.Scheduler // nil where this member does not serve as the head
	gossip             *gossip.Machine
	client             *chainclient.Client
	attempts           recentAttempts
	derived            derivedState
	reads              map[uint64]pendingReply
	nextRead           uint64
	statusReads        []statusRead // of this turn
	knownEpoch         uint64       // epoch that gossip and client have been told of
	knownConfigVersion uint64       // version of the configuration that gossip has been told of
	out                Output
}

// derivedState is what is derived of the state for its readers, kept up to date by each change of an item.
type derivedState struct {
	pending jobs.PendingCounts
	config  scheduler.ConfigView
}

func (v *derivedState) update(key string, previous, current []byte) {
	v.pending.Update(key, previous, current)
	v.config.Update(key, current)
}

// pendingReply is a read at the tail whose answer is not certain yet.
type pendingReply struct {
	to    string
	reply *protocol.ClientReply
}

// statusRead is a question of an operator about the placement role.
type statusRead struct {
	from    string
	request *protocol.ClientRequest
}

// New returns a member with the state of its disk.
func New(cfg Config, now time.Duration, state journal.State) *Member {
	m := &Member{cfg: cfg, replica: replica.New(cfg.Replica, now, state), reads: make(map[uint64]pendingReply)}
	m.gossip = gossip.New(gossip.Config{Address: cfg.Replica.Self.GetAddress(), Role: "control", Contacts: cfg.Replica.Contacts, Seed: cfg.Replica.Seed})
	m.client = chainclient.New(cfg.Replica.Incarnation, cfg.Replica.Contacts)
	m.replica.Store().Watch(m.derived.update)
	m.perform(now, m.replica.Begin(now))
	return m
}

// Replica returns the replica; it is only read.
func (m *Member) Replica() *replica.Machine { return m.replica }

// Scheduler returns the scheduler, nil where the member does not serve as the head; it is only read.
func (m *Member) Scheduler() *scheduler.Scheduler { return m.scheduler }

// Gossip returns the gossip; it is only read.
func (m *Member) Gossip() *gossip.Machine { return m.gossip }

// SetContacts replaces the processes that are asked at first.
func (m *Member) SetContacts(contacts []string) {
	m.gossip.SetContacts(contacts)
	m.client.SetContacts(contacts)
	m.replica.SetContacts(contacts)
}

// Receive handles a message of another process.
func (m *Member) Receive(now time.Duration, from string, e *protocol.Envelope) {
	switch body := e.GetBody().(type) {
	case *protocol.Envelope_ClientRequest:
		m.handleRequest(now, from, body.ClientRequest)
	case *protocol.Envelope_ClientReply:
		m.client.Reply(now, body.ClientReply)
	case *protocol.Envelope_RunnerReport:
		if m.scheduler != nil && m.replica.Accepting(now) {
			m.scheduler.HandleReport(now, from, body.RunnerReport)
		}
	case *protocol.Envelope_Shuffle, *protocol.Envelope_Rumor, *protocol.Envelope_RumorPull, *protocol.Envelope_ConfigDelta:
		m.gossip.Receive(now, from, e)
	case *protocol.Envelope_Heartbeat:
		h := body.Heartbeat
		m.clock.Observe(now, h.GetMember().GetId(), h.GetWallMs(), h.GetAgreedMs())
		m.perform(now, m.replica.Receive(now, from, e))
	default:
		m.perform(now, m.replica.Receive(now, from, e))
	}
}

// DiskDone handles the end of a write; size is how long the file is after it.
func (m *Member) DiskDone(now time.Duration, sequence uint64, size int64, err error) {
	m.perform(now, m.replica.DiskDone(now, sequence, size, err))
}

// Tick lets time pass; wallMs is this machine's time of day in ms from 1970.
func (m *Member) Tick(now time.Duration, wallMs int64) {
	m.wallMs = wallMs
	m.tickClock(now, wallMs)
	m.perform(now, m.replica.Tick(now, wallMs, m.clock.AgreedMs(now)))
	if m.scheduler != nil && m.replica.Accepting(now) {
		if m.clock.SteppedAt() != m.knownClockStep {
			m.knownClockStep = m.clock.SteppedAt()
			m.scheduler.ClockStepped(now)
		}
		m.scheduler.Tick(now, m.clock.NowMs(now), m.replica.ConfirmedAt())
	}
	m.gossip.Tick(now)
	m.client.Tick(now)
}

// tickClock keeps the time of day that the voters agree on.
func (m *Member) tickClock(now time.Duration, wallMs int64) {
	self := m.cfg.Replica.Self.GetId()
	v := m.replica.View()
	if v == nil {
		m.clock.Observe(now, self, wallMs, 0) // who counts is not known yet
		return
	}
	voters := make([]uint64, 0, len(v.GetVoters()))
	for _, one := range v.GetVoters() {
		voters = append(voters, one.GetId())
	}
	m.clock.Tick(now, self, wallMs, voters, scheduler.LoadClock(m.replica.Store()))
}

// Do has the chain answer a request of this process's own and returns its id; the outcome comes within
// a time.
func (m *Member) Do(now time.Duration, r *protocol.ClientRequest, read bool, timeout time.Duration) uint64 {
	return m.client.Do(now, r, read, now+timeout, now+timeout)
}

// Drain has the other members go on without this one, which is about to end.
func (m *Member) Drain(now time.Duration) { m.perform(now, m.replica.Drain(now)) }

// Turn ends a turn: what it has led to is appended, and what is to be done is returned.
func (m *Member) Turn(now time.Duration) Output {
	m.appendEntry(now)
	m.processStatusReads(now)
	m.propagateView(now)
	for _, s := range m.gossip.TakeSends() {
		m.send(s.To, s.Message)
	}
	for _, s := range m.client.TakeSends() {
		m.send(s.To, s.Message)
	}
	m.out.Outcomes = append(m.out.Outcomes, m.client.TakeOutcomes()...)
	out := m.out
	m.out = Output{}
	return out
}

func (m *Member) send(to string, e *protocol.Envelope) {
	m.out.Sends = append(m.out.Sends, Send{To: to, Message: e})
}

// event adds an event to this turn's output.
func (m *Member) event(message string, keysAndValues ...any) {
	m.out.Events = append(m.out.Events, event.New(message, keysAndValues...))
}

// appendEntry has the scheduler's decisions written, and its orders sent once that is committed.
func (m *Member) appendEntry(now time.Duration) {
	if m.scheduler != nil && m.replica.CanAppend() && m.replica.Accepting(now) {
		if e := m.scheduler.Entry(now); e != nil {
			index, actions, _ := m.replica.Append(now, e)
			m.scheduler.Appended(index)
			m.perform(now, actions)
		}
	}
	if m.scheduler == nil {
		return
	}
	m.out.Events = append(m.out.Events, m.scheduler.TakeEvents()...)
	m.scheduler.Committed(now, m.replica.Committed())
	for _, s := range m.scheduler.TakeSends() {
		m.send(s.To, s.Message)
	}
	if t := m.scheduler.CommittedConfig(); t.Version > m.knownConfigVersion {
		m.knownConfigVersion = t.Version
		m.gossip.SetConfig(now, t)
	}
}

// propagateView tells gossip and the client of the newest view, from wherever it came.
func (m *Member) propagateView(now time.Duration) {
	v := m.replica.View()
	if other := m.gossip.View(); other.GetEpoch() > v.GetEpoch() {
		v = other
	}
	if v.GetEpoch() > m.knownEpoch {
		m.knownEpoch = v.GetEpoch()
		m.gossip.SetView(now, v)
		m.client.UpdateView(now, v)
	}
}

// perform carries out what the replica wants done.
func (m *Member) perform(now time.Duration, a replica.Actions) {
	m.out.Events = append(m.out.Events, a.Events...)
	m.out.Writes = append(m.out.Writes, a.Writes...)
	for _, s := range a.Sends {
		m.send(s.To, s.Message)
	}
	for _, r := range a.Replies {
		m.send(r.GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r.GetReply()}})
	}
	for _, r := range a.RoleChanges {
		m.setRole(now, r)
	}
	for _, token := range a.ReadsReady {
		m.completeRead(token, true)
	}
	for _, token := range a.ReadsFailed {
		m.completeRead(token, false)
	}
}

// setRole begins or ends the scheduler.
func (m *Member) setRole(now time.Duration, r replica.RoleChange) {
	if !r.Serving {
		m.scheduler = nil
		return
	}
	if m.scheduler != nil {
		m.scheduler.Continue(now, r.Epoch, m.replica.Committed())
		return
	}
	m.tickClock(now, m.wallMs) // the view that makes this member the head may be a moment old
	s, err := scheduler.New(m.cfg.Scheduler, now, m.clock.NowMs(now), r.Epoch, m.replica.Committed(), m.replica.Store())
	if err != nil {
		m.event("State unreadable, this member can't schedule", "err", err)
		return
	}
	m.scheduler = s
}
