// Package member is a process of the control plane as a pure state machine: the replica, the scheduler while
// the replica serves as the head, the gossip, and the client through which the operator's API asks the
// chain. Whatever runs it tells it of messages, time and finished writes, and carries out its output.
package member

import (
	"time"

	"frosttide/internal/chainclient"
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
	Notes    []string              // for the log
}

// Member is the process. It is not safe for concurrent use.
type Member struct {
	cfg         Config
	clock       wallclock.Clock
	wallMs      int64         // this machine's time of day at the last tick
	stepped     time.Duration // the clock's newest jump that the scheduler knows of
	replica     *replica.Machine
	scheduler   *scheduler.Scheduler // nil where this member does not serve as the head
	gossip      *gossip.Machine
	client      *chainclient.Client
	recent      recent
	views       views
	reads       map[uint64]pendingRead
	nextRead    uint64
	statusReads []statusRead // of this turn
	known       uint64       // epoch that gossip and client have been told of
	saved       uint64       // version of the configuration that gossip has been told of
	out         Output
}

// views is what is derived of the state for its readers, kept up to date by each change of an item.
type views struct {
	pending jobs.PendingCounts
	config  scheduler.ConfigView
}

func (v *views) change(key string, before, after []byte) {
	v.pending.Change(key, before, after)
	v.config.Change(key, after)
}

// pendingRead is a read at the tail whose answer is not certain yet.
type pendingRead struct {
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
	m := &Member{cfg: cfg, replica: replica.New(cfg.Replica, now, state), reads: make(map[uint64]pendingRead)}
	m.gossip = gossip.New(gossip.Config{Address: cfg.Replica.Self.GetAddress(), Role: "control", Contacts: cfg.Replica.Contacts, Seed: cfg.Replica.Seed})
	m.client = chainclient.New(cfg.Replica.Incarnation, cfg.Replica.Contacts)
	m.replica.Store().Watch(m.views.change)
	m.act(now, m.replica.Begin(now))
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
		m.onRequest(now, from, body.ClientRequest)
	case *protocol.Envelope_ClientReply:
		m.client.Reply(now, body.ClientReply)
	case *protocol.Envelope_RunnerReport:
		if m.scheduler != nil && m.replica.Accepting(now) {
			m.scheduler.Report(now, from, body.RunnerReport)
		}
	case *protocol.Envelope_Shuffle, *protocol.Envelope_Rumor, *protocol.Envelope_RumorPull, *protocol.Envelope_ConfigDelta:
		m.gossip.Receive(now, from, e)
	case *protocol.Envelope_Heartbeat:
		h := body.Heartbeat
		m.clock.Hear(now, h.GetMember().GetId(), h.GetWallMs(), h.GetAgreedMs())
		m.act(now, m.replica.Receive(now, from, e))
	default:
		m.act(now, m.replica.Receive(now, from, e))
	}
}

// DiskDone handles the end of a write; size is how long the file is after it.
func (m *Member) DiskDone(now time.Duration, sequence uint64, size int64, err error) {
	m.act(now, m.replica.DiskDone(now, sequence, size, err))
}

// Tick lets time pass; wallMs is this machine's time of day in ms from 1970.
func (m *Member) Tick(now time.Duration, wallMs int64) {
	m.wallMs = wallMs
	m.tickClock(now, wallMs)
	m.act(now, m.replica.Tick(now, wallMs, m.clock.AgreedMs(now)))
	if m.scheduler != nil && m.replica.Accepting(now) {
		if m.clock.Stepped() != m.stepped {
			m.stepped = m.clock.Stepped()
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
		m.clock.Hear(now, self, wallMs, 0) // who counts is not known yet
		return
	}
	voters := make([]uint64, 0, len(v.GetVoters()))
	for _, one := range v.GetVoters() {
		voters = append(voters, one.GetId())
	}
	m.clock.Tick(now, self, wallMs, voters, scheduler.LoadClock(m.replica.Store()))
}

// Ask has the chain answer a request of this process's own and returns its id; the outcome comes within
// a time.
func (m *Member) Ask(now time.Duration, r *protocol.ClientRequest, read bool, within time.Duration) uint64 {
	return m.client.Do(now, r, read, now+within, now+within)
}

// Leave has the other members go on without this one, which is about to end.
func (m *Member) Leave(now time.Duration) { m.act(now, m.replica.Leave(now)) }

// Turn ends a turn: what it has led to is appended, and what is to be done is returned.
func (m *Member) Turn(now time.Duration) Output {
	m.append(now)
	m.answerStatusReads(now)
	m.learn(now)
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

// append has the scheduler's decisions written, and its orders sent once that is committed.
func (m *Member) append(now time.Duration) {
	if m.scheduler != nil && m.replica.CanAppend() && m.replica.Accepting(now) {
		if e := m.scheduler.Entry(now); e != nil {
			index, actions, _ := m.replica.Append(now, e)
			m.scheduler.Appended(index)
			m.act(now, actions)
		}
	}
	if m.scheduler == nil {
		return
	}
	m.out.Notes = append(m.out.Notes, m.scheduler.TakeNotes()...)
	m.scheduler.Committed(now, m.replica.Committed())
	for _, s := range m.scheduler.TakeSends() {
		m.send(s.To, s.Message)
	}
	if t := m.scheduler.CommittedConfig(); t.Version > m.saved {
		m.saved = t.Version
		m.gossip.SetConfig(now, t)
	}
}

// learn tells gossip and the client of the newest view, from wherever it came.
func (m *Member) learn(now time.Duration) {
	v := m.replica.View()
	if other := m.gossip.View(); other.GetEpoch() > v.GetEpoch() {
		v = other
	}
	if v.GetEpoch() > m.known {
		m.known = v.GetEpoch()
		m.gossip.SetView(now, v)
		m.client.Learn(now, v)
	}
}

// act carries out what the replica wants done.
func (m *Member) act(now time.Duration, a replica.Actions) {
	m.out.Notes = append(m.out.Notes, a.Notes...)
	m.out.Writes = append(m.out.Writes, a.Writes...)
	for _, s := range a.Sends {
		m.send(s.To, s.Message)
	}
	for _, r := range a.Replies {
		m.send(r.GetAddress(), &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r.GetReply()}})
	}
	for _, r := range a.Roles {
		m.onRole(now, r)
	}
	for _, token := range a.ReadsReady {
		m.finishRead(token, true)
	}
	for _, token := range a.ReadsFailed {
		m.finishRead(token, false)
	}
}

// onRole begins or ends the scheduler.
func (m *Member) onRole(now time.Duration, r replica.Role) {
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
		m.out.Notes = append(m.out.Notes, "the state can't be read; this member can't schedule: "+err.Error())
		return
	}
	m.scheduler = s
}
