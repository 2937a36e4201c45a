package replica

import (
	"time"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// phase is the phase of a proposal.
type phase int

const (
	preparing phase = iota // collects promises, phase 1 of Paxos
	accepting              // has proposed a view and collects acceptances, phase 2
)

// intent describes the purpose of a proposal. If a promise shows a newer view than the proposer's, change and
// dropPrevious no longer apply.
type intent struct {
	reason        string // for the log
	preferredHead uint64 // becomes the head if its state is as new as any, 0 for no preference
	change        view.Change
	dropPrevious  bool // ends a joint configuration: the voters before the last change no longer count
}

// proposal is this member's attempt to have the voters agree on the next view, by single-decree Paxos.
type proposal struct {
	intent
	number     uint64 // unique to this proposal; the epoch of its view
	phase      phase
	startedAt  time.Duration
	quorumAt   time.Duration                // when a quorum had promised, 0 before
	base       *protocol.View               // newest view accepted by any voter that has promised; the next view follows it
	promises   map[uint64]*protocol.Promise // by member
	view       *protocol.View               // the view proposed, nil while preparing
	acceptedBy map[uint64]bool              // by member
}

const (
	// proposalBackoff and proposalJitter bound the random delay after an abandoned proposal; the jitter doubles with each
	// failure in a row, up to maxBackoffDoublings times, so that competing proposers do not collide again.
	proposalBackoff     = 40 * time.Millisecond
	proposalJitter      = 80 * time.Millisecond
	maxBackoffDoublings = 4
	// prepareBackoff and prepareJitter bound the random delay after a promise in which a member starts no proposal, so
	// that the proposer can complete its own.
	prepareBackoff = 350 * time.Millisecond
	prepareJitter  = 100 * time.Millisecond
)

// startProposal starts a proposal under a number above all that this member has observed.
func (m *Machine) startProposal(wanted intent) {
	proposer := view.Find(view.Electorate(m.accepted), m.selfID()).GetNumber()
	number := view.NextProposalNumber(max(m.highestNumber, m.promised, m.accepted.GetEpoch(), m.Epoch()), proposer)
	m.proposal = &proposal{
		intent:     wanted,
		number:     number,
		startedAt:  m.now,
		base:       m.accepted,
		promises:   make(map[uint64]*protocol.Promise),
		acceptedBy: make(map[uint64]bool),
	}
	m.event("Proposal started", "number", number, "reason", wanted.reason)
	m.grantPrepare(number, func(p *protocol.Promise) { m.onPromise(p) })
	m.broadcast(view.Electorate(m.accepted), prepareMessage(number))
}

// prepareMessage returns the request for promises to a proposal number.
func prepareMessage(number uint64) *protocol.Envelope {
	return &protocol.Envelope{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: number}}}
}

// observeNumber records a proposal number that some member has used.
func (m *Machine) observeNumber(number uint64) {
	if number > m.highestNumber {
		m.highestNumber, m.highestNumberAt = number, m.now
	}
}

// abandonProposal ends this member's proposal and delays the next one.
func (m *Machine) abandonProposal(reason string) {
	m.event("Proposal abandoned", "number", m.proposal.number, "reason", reason)
	m.proposal = nil
	m.failedProposals++
	m.backOff(proposalBackoff, proposalJitter<<min(m.failedProposals, maxBackoffDoublings))
}

// backOff delays this member's next proposal by at least a delay and less than the delay plus the jitter.
func (m *Machine) backOff(delay, jitter time.Duration) {
	m.nextProposalAt = max(m.nextProposalAt, m.now+delay+time.Duration(m.rng.Int64N(int64(jitter))))
}

// grantPrepare promises a proposal number and replies once the promise is on disk. The reply says how recent the
// member's synced state is, so that the proposer finds the newest state.
func (m *Machine) grantPrepare(proposalNumber uint64, reply func(*protocol.Promise)) {
	m.promised = proposalNumber
	m.observeNumber(proposalNumber)
	m.appendRecord(journal.KindPromise, &protocol.PromiseRecord{Ballot: proposalNumber})
	m.afterSync(func() {
		if m.promised != proposalNumber {
			return // a higher number was promised in the meantime
		}
		reply(&protocol.Promise{
			Ballot:         proposalNumber,
			Ok:             true,
			Promised:       proposalNumber,
			Accepted:       m.accepted,
			InstalledEpoch: m.disk.installedEpoch,
			Index:          m.index,
			Member:         m.selfID(),
			DiskBad:        m.diskBad(),
		})
	})
}

// onPrepare promises a proposal number, or rejects one below a number already promised.
func (m *Machine) onPrepare(from string, p *protocol.Prepare) {
	m.observeNumber(p.GetBallot())
	reply := func(p *protocol.Promise) {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Promise{Promise: p}})
	}
	if p.GetBallot() == m.promised {
		return // a duplicate; if the reply to the first was lost, the proposer times out
	}
	if p.GetBallot() < m.promised {
		reply(&protocol.Promise{Ballot: p.GetBallot(), Promised: m.promised, Member: m.selfID()})
		return
	}
	if m.proposal != nil {
		m.abandonProposal("another proposer has a higher number")
	}
	m.backOff(prepareBackoff, prepareJitter)
	m.grantPrepare(p.GetBallot(), reply)
}

// onPromise records a promise. If it shows an accepted view newer than the proposal's base, that view may have been
// agreed, so that the proposal has to follow it and needs promises from its voters too.
func (m *Machine) onPromise(p *protocol.Promise) {
	m.observeNumber(p.GetPromised())
	proposal := m.proposal
	if proposal == nil || proposal.phase != preparing || p.GetBallot() != proposal.number {
		return
	}
	if !p.GetOk() {
		m.abandonProposal("a voter has promised a higher number")
		return
	}
	proposal.promises[p.GetMember()] = p
	if a := p.GetAccepted(); a.GetEpoch() > proposal.base.GetEpoch() && view.Valid(a) {
		proposal.base = a
		proposal.change, proposal.dropPrevious = view.Change{}, false // they were meant for an older view
		m.broadcast(view.Electorate(a), prepareMessage(proposal.number))
	}
	m.checkPrepareQuorum()
}

// checkPrepareQuorum starts phase 2 once a quorum has promised and the other voters have had time to do so: their state
// may be newer, and more promises give more members to choose the chain from.
func (m *Machine) checkPrepareQuorum() {
	proposal := m.proposal
	if proposal == nil || proposal.phase != preparing || !view.Quorum(proposal.base, func(id uint64) bool { return proposal.promises[id] != nil }) {
		return
	}
	if proposal.quorumAt == 0 {
		proposal.quorumAt = m.now
	}
	if m.now-proposal.quorumAt < m.cfg.Timing.GatherDelay && !m.allLivePromised() {
		return
	}
	m.proposeView()
}

// allLivePromised reports whether every live voter has promised.
func (m *Machine) allLivePromised() bool {
	for _, v := range view.Electorate(m.proposal.base) {
		if m.proposal.promises[v.GetId()] == nil && m.alive(v.GetId()) {
			return false
		}
	}
	return true
}

// proposeView asks the voters to accept the next view. If the promises do not allow a view yet, it waits for more promises
// until GatherDelay has passed.
func (m *Machine) proposeView() {
	proposal := m.proposal
	next, ok := m.nextView()
	if !ok {
		if m.now-proposal.quorumAt >= m.cfg.Timing.GatherDelay {
			m.abandonProposal("too few voters can hold the state")
		}
		return
	}
	proposal.phase, proposal.view = accepting, next
	m.broadcast(proposal.recipients(), &protocol.Envelope{Body: &protocol.Envelope_Accept{Accept: &protocol.Accept{View: next}}})
	m.acceptView(next, func(a *protocol.Accepted) { m.onAccepted(a) })
}

// nextView returns the view that follows from the proposal's promises, and false if they allow none.
func (m *Machine) nextView() (*protocol.View, bool) {
	proposal := m.proposal
	states := make([]view.MemberState, 0, len(proposal.promises))
	for id, p := range proposal.promises {
		states = append(states, view.MemberState{
			Member:         id,
			InstalledEpoch: p.GetInstalledEpoch(),
			Index:          p.GetIndex(),
			DiskBad:        p.GetDiskBad(),
			Zone:           m.zoneOf(id),
		})
	}
	base := proposal.base
	if proposal.dropPrevious {
		base = cloneView(base)
		base.Previous = nil
	}
	return view.Next(base, proposal.number, states, m.cfg.ToleratedFaults, proposal.preferredHead, proposal.change)
}

// recipients returns the members that receive the proposed view: the voters of the base, the voters before the base's
// change, and the voters of the view.
func (p *proposal) recipients() []*protocol.Member {
	return view.Electorate(&protocol.View{Voters: view.Electorate(p.base), Previous: p.view.GetVoters()})
}

// acceptView accepts a view and replies once the acceptance is on disk.
func (m *Machine) acceptView(v *protocol.View, reply func(*protocol.Accepted)) {
	m.promised = max(m.promised, v.GetEpoch())
	m.accepted = v
	m.appendRecord(journal.KindAccept, &protocol.AcceptRecord{View: v})
	m.afterSync(func() {
		reply(&protocol.Accepted{Ballot: v.GetEpoch(), Ok: true, Promised: m.promised, Member: m.selfID()})
	})
}

// onAccept accepts a proposed view, or rejects one whose number is below a number already promised.
func (m *Machine) onAccept(from string, a *protocol.Accept) {
	if !view.Valid(a.GetView()) {
		m.dropMessage("invalid view in an Accept message")
		return
	}
	proposalNumber := a.GetView().GetEpoch()
	m.observeNumber(proposalNumber)
	reply := func(a *protocol.Accepted) {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Accepted{Accepted: a}})
	}
	if proposalNumber < m.promised {
		reply(&protocol.Accepted{Ballot: proposalNumber, Promised: m.promised, Member: m.selfID()})
		return
	}
	if m.proposal != nil && proposalNumber > m.proposal.number {
		m.abandonProposal("another proposer's view is accepted")
	}
	m.acceptView(a.GetView(), reply)
}

// onAccepted records an acceptance. The view is agreed once it has been accepted by a quorum of the base, which every
// other proposal on that base needs too, and by a quorum of the view itself.
func (m *Machine) onAccepted(a *protocol.Accepted) {
	m.observeNumber(a.GetPromised())
	proposal := m.proposal
	if proposal == nil || proposal.phase != accepting || a.GetBallot() != proposal.number {
		return
	}
	if !a.GetOk() {
		m.abandonProposal("a voter has promised a higher number since")
		return
	}
	proposal.acceptedBy[a.GetMember()] = true
	has := func(id uint64) bool { return proposal.acceptedBy[id] }
	if !view.Quorum(proposal.base, has) || !view.Quorum(proposal.view, has) {
		return
	}
	decided := proposal.view
	m.event("View agreed", "epoch", decided.GetEpoch(), "chain", chainNumbers(decided), "voters", len(decided.GetVoters()),
		"after", m.now-proposal.startedAt, "reason", proposal.reason)
	m.proposal = nil
	m.broadcast(proposal.recipients(), decidedMessage(decided))
	m.adoptView(decided)
}

// decidedMessage returns the announcement of an agreed view.
func decidedMessage(v *protocol.View) *protocol.Envelope {
	return &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: v}}}
}

// chainNumbers returns the numbers of the members of a view's chain, for the log.
func chainNumbers(v *protocol.View) (out []uint32) {
	for _, id := range v.GetChain() {
		out = append(out, view.Find(v.GetVoters(), id).GetNumber())
	}
	return out
}

// tickProposal abandons a proposal that takes too long.
func (m *Machine) tickProposal() {
	if m.proposal == nil {
		return
	}
	m.checkPrepareQuorum()
	if m.proposal != nil && m.now-m.proposal.startedAt > m.cfg.Timing.ProposalTimeout {
		m.abandonProposal("too few replies in time")
	}
}

// onViewQuery sends the newest agreed view to a process that knows an older one.
func (m *Machine) onViewQuery(from string, q *protocol.ViewQuery) {
	if m.Epoch() > q.GetEpoch() {
		m.send(from, decidedMessage(m.view))
	}
}

// zoneOf returns the zone in a member's last heartbeat, empty before the first one.
func (m *Machine) zoneOf(id uint64) string {
	if id == m.selfID() {
		return m.cfg.Self.GetZone()
	}
	if p := m.peers[id]; p != nil {
		return p.lastHeartbeat.GetMember().GetZone()
	}
	return ""
}
