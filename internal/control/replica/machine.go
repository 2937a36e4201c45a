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

// Machine is the state machine of one member, created by New. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	now       time.Duration // time of the current call, on the steady clock
	startedAt time.Duration
	wallMs    int64 // own time of day, in ms since 1970
	agreedMs  int64 // time of day that the members agree on, in ms since 1970; 0 before they do
	rng       *rand.Rand
	actions   Actions // collected during the current call

	// Replicated state and its copy on disk.
	store          *store.Store
	index          uint64 // of the last entry applied
	durable        uint64 // index of the last entry synced to this member's disk
	installedEpoch uint64 // newest epoch whose initial state this member holds, perhaps not yet synced
	disk           disk

	// Agreement on views (consensus.go). promised and accepted are on disk before they are announced.
	promised        uint64         // highest proposal number promised
	accepted        *protocol.View // newest view accepted; its epoch is never above promised
	highestNumber   uint64         // highest proposal number observed
	highestNumberAt time.Duration
	proposal        *proposal     // this member's own proposal, nil if there is none
	failedProposals int           // proposals abandoned since the last agreed view
	nextProposalAt  time.Duration // earliest start of the next proposal
	suspectedAt     time.Duration // since when a quorum has agreed that the head is lost, 0 while none does

	// The newest agreed view and this member's part in it.
	view              *protocol.View // nil before any is known
	adoptedAt         time.Duration
	bootEpoch         uint64        // epoch of the view accepted before the process started
	installProgressAt time.Duration // when a chain member last made progress in installing the state of the view
	announcedHead     bool          // the application has been told that this member serves as the head
	chain             chain
	transfer          transfer
	confirmations     confirmations
	earlySyncRequests map[string]*protocol.SyncRequest // for epochs that this member has not adopted yet, by sender

	// Other members, and this member's own announcements to them.
	peers         map[uint64]*peer
	joiners       map[uint64]*joiner
	nextHeartbeat time.Duration
	draining      bool // the process is about to exit

	droppedMessages uint64        // invalid messages since the start
	nextDropEvent   time.Duration // earliest time of the next event about invalid messages
}

// New returns a member with the state read from its disk. Begin has to be called before any other method.
func New(cfg Config, now time.Duration, state journal.State) *Machine {
	return &Machine{
		cfg:               cfg,
		now:               now,
		startedAt:         now,
		rng:               rand.New(rand.NewPCG(cfg.Seed, cfg.Self.GetId())),
		store:             state.Store,
		index:             state.Index,
		durable:           state.Index,
		installedEpoch:    state.InstalledEpoch,
		disk:              disk{installedEpoch: state.InstalledEpoch},
		promised:          state.Promised,
		accepted:          state.Accepted,
		highestNumber:     max(state.Promised, state.Accepted.GetEpoch()),
		bootEpoch:         state.Accepted.GetEpoch(),
		earlySyncRequests: make(map[string]*protocol.SyncRequest),
		peers:             make(map[uint64]*peer),
		joiners:           make(map[uint64]*joiner),
	}
}

// FoundingState returns the state of a founder that starts with an empty disk: epoch 0 with all founders as voters and
// no chain. All founders have to be given the same list.
func FoundingState(self *protocol.Member, founders []*protocol.Member) journal.State {
	return journal.State{
		ID: self.GetId(), Founder: true, Store: store.New(),
		Accepted: &protocol.View{Voters: founders, NextNumber: uint32(len(founders) + 1)},
	}
}

// Begin writes the initial state to a new file, so that the member's identity is on disk before it sends anything.
func (m *Machine) Begin(now time.Duration) Actions {
	m.now = now
	m.rewrite()
	return m.takeActions()
}

// Receive handles a message from the process at an internal address. Messages may be lost, delayed, duplicated and
// reordered; outdated and invalid messages have no effect.
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

// Tick advances the time. wallMs is this member's time of day and agreedMs the one that the members agree on, 0 before
// there is one, both in ms since 1970. The machine sends both in its heartbeats and uses them for nothing else.
func (m *Machine) Tick(now time.Duration, wallMs, agreedMs int64) Actions {
	m.now, m.wallMs, m.agreedMs = now, wallMs, agreedMs
	m.tickDisk()
	if now >= m.nextHeartbeat {
		m.sendHeartbeats()
	}
	m.tickChain()
	m.tickConfirmations()
	m.tickProposal()
	m.considerProposal()
	m.forgetPeers()
	return m.takeActions()
}

// Drain announces that the process is about to exit, so that the other members take over its roles. The owner keeps the
// member running until Drained reports true or its own timeout expires.
func (m *Machine) Drain(now time.Duration) Actions {
	m.now = now
	m.draining = true
	m.sendHeartbeats()
	return m.takeActions()
}

// Drained reports whether the others hold everything that this member holds: a head serves a view without this member in
// the chain, which it does only once all members of that chain have installed the state.
func (m *Machine) Drained() bool {
	if m.view == nil {
		return true
	}
	head := m.peers[view.Head(m.view)]
	return m.chainPosition() < 0 && head != nil && head.lastHeartbeat.GetServing() && head.lastHeartbeat.GetEpoch() >= m.Epoch()
}

// SetContacts replaces the addresses that get heartbeats while no view is known. An empty list is ignored.
func (m *Machine) SetContacts(contacts []string) {
	if len(contacts) > 0 {
		m.cfg.Contacts = contacts
	}
}

// Epoch returns the epoch of the newest agreed view that the member knows, 0 before any.
func (m *Machine) Epoch() uint64 { return m.view.GetEpoch() }

// View returns the newest agreed view, nil before any is known. The caller must not modify it.
func (m *Machine) View() *protocol.View { return m.view }

// Index returns the index of the last entry that the member holds.
func (m *Machine) Index() uint64 { return m.index }

// Committed returns the index of the last entry that every chain member is known to have synced.
func (m *Machine) Committed() uint64 { return m.chain.committed }

// Store returns the member's replicated state. The caller must not modify it: only applied entries do.
func (m *Machine) Store() *store.Store { return m.store }

// Serving reports whether the member is the head of an active chain.
func (m *Machine) Serving() bool { return m.chain.active && m.isHead() }

// takeActions returns the actions collected during the current call. The buffered records become one write, so that a
// call causes at most one sync besides a rewrite.
func (m *Machine) takeActions() Actions {
	m.flush()
	out := m.actions
	m.actions = Actions{}
	return out
}

// send queues a message.
func (m *Machine) send(to string, e *protocol.Envelope) {
	m.actions.Sends = append(m.actions.Sends, protocol.Outbound{To: to, Message: e})
}

// broadcast sends a message to members other than this one, once to each address: a machine that has lost its disk may
// be listed twice, with its old identity and its new one.
func (m *Machine) broadcast(members []*protocol.Member, e *protocol.Envelope) {
	sent := map[string]bool{m.cfg.Self.GetAddress(): true}
	for _, other := range members {
		if !sent[other.GetAddress()] {
			sent[other.GetAddress()] = true
			m.send(other.GetAddress(), e)
		}
	}
}

// event queues an event for the log.
func (m *Machine) event(message string, keysAndValues ...any) {
	m.actions.Events = append(m.actions.Events, event.New(message, keysAndValues...))
}

// dropEventInterval is the minimum time between log events about invalid messages.
const dropEventInterval = 10 * time.Second

// dropMessage counts an invalid message and logs an event at most once per dropEventInterval.
func (m *Machine) dropMessage(reason string) {
	m.droppedMessages++
	if m.now >= m.nextDropEvent {
		m.nextDropEvent = m.now + dropEventInterval
		m.event("Message dropped", "reason", reason, "dropped", m.droppedMessages)
	}
}

// selfID returns the member's identity.
func (m *Machine) selfID() uint64 { return m.cfg.Self.GetId() }

// isVoter reports whether the member votes according to the newest view that it has accepted.
func (m *Machine) isVoter() bool {
	return m.accepted != nil && view.Find(view.Electorate(m.accepted), m.selfID()) != nil
}

// votesIn reports whether the member is a voter of a view, not counting the voters before a change.
func (m *Machine) votesIn(v *protocol.View) bool {
	return view.Find(v.GetVoters(), m.selfID()) != nil
}

// isHead reports whether the member is the head of the newest agreed view, serving or not.
func (m *Machine) isHead() bool { return m.view != nil && view.Head(m.view) == m.selfID() }

// isTail reports whether the member is the tail of the newest agreed view.
func (m *Machine) isTail() bool { return m.view != nil && view.Tail(m.view) == m.selfID() }

// chainPosition returns the member's position in the chain, from 0 at the head, and -1 outside the chain.
func (m *Machine) chainPosition() int {
	if m.view == nil {
		return -1
	}
	return view.ChainPosition(m.view, m.selfID())
}

// cloneView copies a view before it is changed: messages already sent refer to the original.
func cloneView(v *protocol.View) *protocol.View { return proto.Clone(v).(*protocol.View) }
