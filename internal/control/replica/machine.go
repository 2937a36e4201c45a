// Package replica is a member of the control plane as a pure state machine: it agrees on views with
// the other voters, replicates the store along the chain of the view, repairs members that come
// back, and confirms its epoch for reads and leases. It holds no socket, clock or file: it is told of
// messages, of the time and of finished disk writes, and returns what is to be done.
package replica

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/event"
	"frosttide/internal/control/journal"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// Timing holds the machine's periods. All count on the steady clock.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats
	SuspectTimeout    time.Duration // of silence until a member is taken for dead
	BootstrapDelay    time.Duration // after the start in which a view may still be heard of
	ProposalTimeout   time.Duration // after which an election round is given up
	GatherDelay       time.Duration // after a quorum for further promises
	InstallTimeout    time.Duration // in which members of a new chain that take its state have to get on
	ConfirmInterval   time.Duration // between the head's confirmations
	DiskStallTimeout  time.Duration // age of a write from which a disk counts as stalled
	DiskSlowThreshold time.Duration // mean sync from which a disk counts as slow
	DiskRetryInterval time.Duration // between tries to write anew after a failed write
	ReplaceAfter      time.Duration // of a voter's silence until a newcomer takes its place
	LostAfter         time.Duration // of a voter's silence until it leaves where the others need a smaller majority
	ForgetAfter       time.Duration // of a voter's silence until the others go on without it
	MinRewriteBytes   int           // bytes of the file under which it is never rewritten
}

// DefaultTiming returns the periods in use: a lost member is noticed in half a second, so that writes go
// on within 1.5 s of it, and stalls of a processor shared with others are not taken for deaths.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 100 * time.Millisecond,
		SuspectTimeout:    500 * time.Millisecond,
		BootstrapDelay:    250 * time.Millisecond,
		ProposalTimeout:   700 * time.Millisecond,
		GatherDelay:       30 * time.Millisecond,
		InstallTimeout:    700 * time.Millisecond,
		ConfirmInterval:   200 * time.Millisecond,
		DiskStallTimeout:  700 * time.Millisecond,
		DiskSlowThreshold: 80 * time.Millisecond,
		DiskRetryInterval: 500 * time.Millisecond,
		ReplaceAfter:      3 * time.Second,
		LostAfter:         time.Second,
		ForgetAfter:       20 * time.Second,
		MinRewriteBytes:   4 << 20,
	}
}

// Config says who a member is. Self's ID is the identity kept on its disk.
type Config struct {
	Self            *protocol.Member
	Incarnation     uint64 // drawn when the process starts
	ToleratedFaults int    // machines that may be lost at once
	Contacts        []string
	Seed            uint64
	Timing          Timing
}

// Send is a message to the process at an internal address.
type Send struct {
	To      string
	Message *protocol.Envelope
}

// Write is a task of the disk: bytes to append and sync, or a whole new file. Writes finish in order.
type Write struct {
	Sequence uint64
	Data     []byte
	Image    *journal.Image // of a whole new file, nil where bytes are appended
}

// RoleChange tells the application that it serves as the head, or no longer does.
type RoleChange struct {
	Serving bool
	Epoch   uint64
}

// Actions is what is to be done after an event, in this order.
type Actions struct {
	Writes      []Write
	Sends       []Send
	Replies     []*protocol.Reply // of committed entries, at the tail
	RoleChanges []RoleChange
	ReadsReady  []uint64 // reads whose value may be told
	ReadsFailed []uint64
	Events      []event.Event // for the log
}

// peer is what is known of another member.
type peer struct {
	lastHeartbeat *protocol.Heartbeat
	lastContact   time.Duration
	restarted     bool // since the current view was adopted
}

// Machine is the member. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	now     time.Duration
	rng     *rand.Rand
	actions Actions
	store   *store.Store
	disk    disk

	promised        uint64
	accepted        *protocol.View
	highestNumber   uint64 // ballot heard of
	highestNumberAt time.Duration
	failedProposals int // rounds in a row
	proposal        *proposal
	nextProposalAt  time.Duration // earliest next round

	view              *protocol.View // newest agreed view, nil before any is known
	adoptedAt         time.Duration
	installProgressAt time.Duration // when a member of the newest view's chain was last seen to get on with its state
	bootEpoch         uint64        // accepted before the process began
	installedEpoch    uint64
	index             uint64
	durable           uint64 // last entry that is synced here

	chain             chain
	transfer          transfer
	confirmations     confirmations
	peers             map[uint64]*peer
	joiners           map[uint64]*joiner
	earlySyncRequests map[string]*protocol.SyncRequest // for views that have not reached this member yet, by sender
	startedAt         time.Duration
	nextHeartbeat     time.Duration // next heartbeat
	suspectedAt       time.Duration // since when the head has been suspected, 0 while it is not
	draining          bool
	droppedMessages   uint64        // messages that could not be
	nextDropEvent     time.Duration // when the next of them is noted in the log
	announcedHead     bool          // the application has been told that the member serves as the head
	wallMs            int64         // own time of day, ms from 1970
	agreedMs          int64         // the time of day that the members agree on, 0 before there is one
}

// New returns a member with the state of its disk.
func New(cfg Config, now time.Duration, state journal.State) *Machine {
	return &Machine{
		cfg: cfg, now: now, startedAt: now, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.GetId())), store: state.Store,
		promised: state.Promised, accepted: state.Accepted, highestNumber: max(state.Promised, state.Accepted.GetEpoch()),
		bootEpoch: state.Accepted.GetEpoch(), installedEpoch: state.InstalledEpoch, index: state.Index, durable: state.Index,
		disk:  disk{installedEpoch: state.InstalledEpoch},
		peers: make(map[uint64]*peer), joiners: make(map[uint64]*joiner), earlySyncRequests: make(map[string]*protocol.SyncRequest),
	}
}

// FoundingState returns the state of a founder that starts with an empty disk: view 0 with all founders as
// its voters. Every founder makes the same one.
func FoundingState(self *protocol.Member, founders []*protocol.Member) journal.State {
	return journal.State{
		ID: self.GetId(), Founder: true, Store: store.New(),
		Accepted: &protocol.View{Voters: founders, NextNumber: uint32(len(founders) + 1)},
	}
}

// Begin writes the state a member begins with, so that its identity is on disk before it says anything.
func (m *Machine) Begin(now time.Duration) Actions {
	m.now = now
	m.rewrite()
	return m.takeActions()
}

// takeActions returns the actions gathered since the last call.
func (m *Machine) takeActions() Actions {
	m.flush()
	out := m.actions
	m.actions = Actions{}
	return out
}

// Epoch returns the epoch of the newest agreed view that the member knows, 0 before any.
func (m *Machine) Epoch() uint64 { return m.view.GetEpoch() }

// View returns the newest agreed view, nil before any is known. It is not changed by the caller.
func (m *Machine) View() *protocol.View { return m.view }

// Index returns the number of the last entry that the member holds.
func (m *Machine) Index() uint64 { return m.index }

// Committed returns the number of the last entry that every chain member is known to have synced.
func (m *Machine) Committed() uint64 { return m.chain.committed }

// Store returns the member's state. Only entries change it.
func (m *Machine) Store() *store.Store { return m.store }

// Serving tells whether the member is the head of an active chain.
func (m *Machine) Serving() bool { return m.chain.active && m.isHead() }

// SetContacts replaces the processes that are asked while no view is known.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// Drain has the others do without the member, whose process is about to end.
func (m *Machine) Drain(now time.Duration) Actions {
	m.now = now
	m.draining = true
	m.sendHeartbeats()
	return m.takeActions()
}

// Drained tells whether the others have all that this member has: a view without it in the chain is in force, whose
// members have all installed its state.
func (m *Machine) Drained() bool {
	if m.view == nil {
		return true
	}
	head := m.peers[view.Head(m.view)]
	return m.chainPosition() < 0 && head != nil && head.lastHeartbeat.GetServing() && head.lastHeartbeat.GetEpoch() >= m.Epoch()
}

// Status is what an operator may want to know of a member.
type Status struct {
	View            *protocol.View   `json:"view"`
	Self            uint64           `json:"self"`
	Promised        uint64           `json:"promised"`
	InstalledEpoch  uint64           `json:"installed_epoch"`
	Index           uint64           `json:"index"`
	Durable         uint64           `json:"durable"`
	Committed       uint64           `json:"committed"`
	Serving         bool             `json:"serving"`
	Following       bool             `json:"following"` // outside the chain: its state follows the tail's
	DiskFailed      bool             `json:"disk_failed"`
	DiskLagMs       int64            `json:"disk_lag_ms"`
	DroppedMessages uint64           `json:"dropped"`   // messages that could not be, since the start
	SinceContactMs  map[uint64]int64 `json:"silent_ms"` // for how long the other members have been silent
}

// Status returns the member's state.
func (m *Machine) Status() Status {
	s := Status{View: m.view, Self: m.cfg.Self.GetId(), Promised: m.promised, InstalledEpoch: m.installedEpoch, Index: m.index, Durable: m.durable,
		Committed: m.chain.committed, Serving: m.Serving(), DiskFailed: m.disk.failed, Following: m.chain.following, DroppedMessages: m.droppedMessages,
		DiskLagMs: m.disk.lag(m.now).Milliseconds(), SinceContactMs: make(map[uint64]int64)}
	for id, p := range m.peers {
		s.SinceContactMs[id] = (m.now - p.lastContact).Milliseconds()
	}
	return s
}

// Receive handles a message from the process at an address.
func (m *Machine) Receive(now time.Duration, from string, envelope *protocol.Envelope) Actions {
	m.now = now
	switch body := envelope.GetBody().(type) {
	case *protocol.Envelope_Heartbeat:
		m.onHeartbeat(from, body.Heartbeat)
	case *protocol.Envelope_Prepare:
		m.onPrepare(from, body.Prepare)
	case *protocol.Envelope_Promise:
		m.onPromise(body.Promise)
	case *protocol.Envelope_Accept:
		m.onAccept(from, body.Accept)
	case *protocol.Envelope_Accepted:
		m.onAccepted(body.Accepted)
	case *protocol.Envelope_Decided:
		m.adoptView(body.Decided.GetView())
	case *protocol.Envelope_ViewQuery:
		m.onViewQuery(from, body.ViewQuery)
	case *protocol.Envelope_Append:
		m.onAppend(from, body.Append)
	case *protocol.Envelope_AppendAck:
		m.onAppendAck(from, body.AppendAck)
	case *protocol.Envelope_SyncRequest:
		m.onSyncRequest(from, body.SyncRequest)
	case *protocol.Envelope_SyncReply:
		m.onSyncReply(from, body.SyncReply)
	case *protocol.Envelope_Confirm:
		m.onConfirm(from, body.Confirm)
	case *protocol.Envelope_Confirmed:
		m.onConfirmed(body.Confirmed)
	}
	return m.takeActions()
}

// Tick lets time pass; wall is this member's time of day and agreed the one that the members agree on, 0 before
// there is one, in ms from 1970. The machine passes both on and goes by neither.
func (m *Machine) Tick(now time.Duration, wall, agreed int64) Actions {
	m.now, m.wallMs, m.agreedMs = now, wall, agreed
	m.tickDisk()
	if now >= m.nextHeartbeat {
		m.sendHeartbeats()
	}
	m.tickChain()
	m.tickConfirms()
	m.expireProposal()
	m.considerProposal()
	m.forgetPeers()
	return m.takeActions()
}

// send queues a message.
func (m *Machine) send(to string, e *protocol.Envelope) {
	m.actions.Sends = append(m.actions.Sends, Send{To: to, Message: e})
}

// dropEventInterval is how often messages that could not be are told of in the log.
const dropEventInterval = 10 * time.Second

// dropMessage counts a message that could not be.
func (m *Machine) dropMessage(reason string) {
	m.droppedMessages++
	if m.now >= m.nextDropEvent {
		m.nextDropEvent = m.now + dropEventInterval
		m.event("Message dropped", "reason", reason, "dropped", m.droppedMessages)
	}
}

// event queues a line for the log.
func (m *Machine) event(message string, keysAndValues ...any) {
	m.actions.Events = append(m.actions.Events, event.New(message, keysAndValues...))
}

// isVoter tells whether the member votes, by the newest view that it accepted.
func (m *Machine) isVoter() bool {
	return m.accepted != nil && view.Find(view.Electorate(m.accepted), m.cfg.Self.GetId()) != nil
}

// isHead tells whether the member is the head of the newest agreed view.
func (m *Machine) isHead() bool { return m.view != nil && view.Head(m.view) == m.cfg.Self.GetId() }

// chainPosition returns the member's place in the chain, -1 outside of it.
func (m *Machine) chainPosition() int {
	if m.view == nil {
		return -1
	}
	return view.ChainPosition(m.view, m.cfg.Self.GetId())
}

// cloneView copies a message, as those that were sent belong to their receivers.
func cloneView(v *protocol.View) *protocol.View { return proto.Clone(v).(*protocol.View) }
