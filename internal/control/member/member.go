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

// Config holds the configuration of the parts of a member.
type Config struct {
	Replica   replica.Config
	Scheduler scheduler.Config
}

// Output holds the writes, messages, outcomes and events that a turn produced.
type Output struct {
	Writes   []replica.Write // to be handed to the disk before anything is sent
	Sends    []protocol.Outbound
	Outcomes []chainclient.Outcome // of requests made by Do
	Events   []event.Event         // for the log
}

// Member is one process of the control plane. It is not safe for concurrent use.
type Member struct {
	cfg    Config
	client *chainclient.Client
	gossip *gossip.Machine

	// The chain and what is derived from its state.
	replica *replica.Machine
	derived derivedState

	// The placement role.
	scheduler          *scheduler.Scheduler // nil where this member does not serve as the head, and while there is a dropped one
	droppedScheduler   *scheduler.Scheduler // to be replaced once all entries are committed; nil for none
	knownClockStep     time.Duration        // last clock jump that was reported to the scheduler
	knownConfigVersion uint64               // newest version of the configuration that gossip has

	// Time of day.
	clock  wallclock.Clock
	wallMs int64 // this machine's time of day at the last tick, in ms since 1970

	// Requests of clients.
	attempts    recentAttempts
	reads       map[uint64]pendingReply // by the token that the replica was given
	lastRead    uint64                  // newest token
	statusReads []statusRead            // of this turn

	knownEpoch uint64 // epoch of the newest view that gossip and client have
	out        Output // of this turn
}

// derivedState is computed from the replicated items and kept up to date with each change of one,
// so that reads of it cost the same however many items there are.
type derivedState struct {
	pending jobs.PendingCounts
	config  scheduler.ConfigView
}

// update applies the change of an item; a nil value means that there is no item.
func (d *derivedState) update(key string, previous, current []byte) {
	d.pending.Update(key, previous, current)
	d.config.Update(key, current)
}

// New returns a member that continues from the state read from its disk.
func New(cfg Config, now time.Duration, state journal.State) *Member {
	m := &Member{
		cfg:     cfg,
		replica: replica.New(cfg.Replica, now, state),
		client:  chainclient.New(cfg.Replica.Incarnation, cfg.Replica.Contacts),
		gossip: gossip.New(gossip.Config{
			Address:  cfg.Replica.Self.GetAddress(),
			Role:     "control",
			Contacts: cfg.Replica.Contacts,
			Seed:     cfg.Replica.Seed,
		}),
		reads: make(map[uint64]pendingReply),
	}
	m.replica.Store().Watch(m.derived.update)
	m.perform(now, m.replica.Begin(now))
	return m
}

// Replica returns the replica, which callers may only read.
func (m *Member) Replica() *replica.Machine { return m.replica }

// Scheduler returns the scheduler, which callers may only read. It is nil unless the member serves
// as the head.
func (m *Member) Scheduler() *scheduler.Scheduler { return m.scheduler }

// Gossip returns the gossip, which callers may only read.
func (m *Member) Gossip() *gossip.Machine { return m.gossip }

// SetContacts replaces the addresses that are tried while no view is known.
func (m *Member) SetContacts(contacts []string) {
	m.gossip.SetContacts(contacts)
	m.client.SetContacts(contacts)
	m.replica.SetContacts(contacts)
}

// Receive handles a message that another process has sent from an internal address.
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

// DiskDone handles the end of a write to the disk and of all writes before it. size is the length
// of the file in bytes after it; err is nil where all of them are synced.
func (m *Member) DiskDone(now time.Duration, sequence uint64, size int64, err error) {
	m.perform(now, m.replica.DiskDone(now, sequence, size, err))
}

// Tick handles the passing of time. wallMs is this machine's time of day in ms since 1970.
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

// tickClock updates the time of day that the voters agree on.
func (m *Member) tickClock(now time.Duration, wallMs int64) {
	self := m.cfg.Replica.Self.GetId()
	v := m.replica.View()
	if v == nil {
		m.clock.Observe(now, self, wallMs, 0) // the voters are not known yet
		return
	}
	voters := make([]uint64, 0, len(v.GetVoters()))
	for _, voter := range v.GetVoters() {
		voters = append(voters, voter.GetId())
	}
	m.clock.Tick(now, self, wallMs, voters, scheduler.LoadClock(m.replica.Store()))
}

// Do sends a request of this process itself to one end of the chain and returns the request's ID.
// The outcome is in the Output of a later turn, at the latest after the first Tick past the
// timeout.
func (m *Member) Do(now time.Duration, r *protocol.ClientRequest, destination chainclient.Destination, timeout time.Duration) uint64 {
	return m.client.Do(now, r, destination, now+timeout, now+timeout)
}

// Drain asks the other members to remove this one, which is about to shut down. Replica().Drained
// reports when they have.
func (m *Member) Drain(now time.Duration) { m.perform(now, m.replica.Drain(now)) }

// Turn ends a turn: it appends the scheduler's decisions and returns everything that has to be
// carried out.
func (m *Member) Turn(now time.Duration) Output {
	m.replaceScheduler(now)
	m.appendEntry(now)
	m.publishCommitted(now)
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
	m.out.Sends = append(m.out.Sends, protocol.Outbound{To: to, Message: e})
}

// event adds an event to this turn's output.
func (m *Member) event(message string, keysAndValues ...any) {
	m.out.Events = append(m.out.Events, event.New(message, keysAndValues...))
}

// appendEntry appends the scheduler's decisions of this turn as one entry.
func (m *Member) appendEntry(now time.Duration) {
	if m.scheduler == nil || !m.replica.CanAppend() || !m.replica.Accepting(now) {
		return
	}
	e, err := m.scheduler.Entry(now)
	if err != nil {
		m.dropScheduler(e, err)
		return
	}
	if e == nil {
		return
	}
	index, actions, err := m.replica.Append(now, e)
	if err != nil { // it can't be encoded, as CanAppend is true
		m.dropScheduler(e, err)
		return
	}
	m.scheduler.Appended(index)
	m.perform(now, actions)
}

// publishCommitted sends the scheduler's orders whose entries are committed, and passes a committed
// configuration on.
func (m *Member) publishCommitted(now time.Duration) {
	if m.scheduler == nil {
		return
	}
	m.out.Events = append(m.out.Events, m.scheduler.TakeEvents()...)
	m.scheduler.Committed(now, m.replica.Committed())
	m.sendScheduled()
	if table := m.scheduler.CommittedConfig(); table.Version > m.knownConfigVersion {
		m.knownConfigVersion = table.Version
		m.gossip.SetConfig(now, table)
	}
}

// sendScheduled sends the scheduler's messages.
func (m *Member) sendScheduled() {
	for _, s := range m.scheduler.TakeSends() {
		m.send(s.To, s.Message)
	}
}

// propagateView gives gossip and the client the newest view that the replica or gossip knows.
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

// perform carries out the replica's actions.
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
		m.completeRead(token)
	}
	for _, token := range a.ReadsFailed {
		m.rejectRead(token)
	}
}

// setRole starts the scheduler when this member becomes the head and drops it when it no longer is.
func (m *Member) setRole(now time.Duration, r replica.RoleChange) {
	m.droppedScheduler = nil
	if !r.Serving {
		m.scheduler = nil
		return
	}
	if m.scheduler != nil {
		m.scheduler.Continue(now, r.Epoch, m.replica.Committed())
		return
	}
	m.tickClock(now, m.wallMs) // the view that made this member the head is newer than the last tick
	s, err := scheduler.New(m.cfg.Scheduler, now, m.clock.NowMs(now), r.Epoch, m.replica.Committed(), m.replica.Store())
	if err != nil {
		m.event("State unreadable, this member can't schedule", "err", err)
		return
	}
	m.scheduler = s
}
