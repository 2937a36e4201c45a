package replica

import (
	"fmt"
	"time"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// phase is a round's state.
type phase int

const (
	preparing phase = iota // promises are gathered
	accepting              // a view has been proposed
)

// round is an election round that this member has begun.
type round struct {
	ballot   uint64
	phase    phase
	began    time.Duration
	quorum   time.Duration // when promises were enough, 0 before
	base     *protocol.View
	promises map[uint64]*protocol.Promise
	accepted map[uint64]bool
	proposal *protocol.View
	change   view.Change
	settle   bool // the voters before the last change count no more
	keep     uint64
	reason   string
}

// begin begins a round. keep is preferred as the head.
func (m *Machine) begin(reason string, keep uint64, change view.Change, settle bool) {
	number := view.Find(view.Electorate(m.accepted), m.cfg.Self.GetId()).GetNumber()
	ballot := view.NextBallot(max(m.highest, m.promised, m.accepted.GetEpoch(), m.Epoch()), number)
	m.round = &round{ballot: ballot, began: m.now, base: m.accepted, promises: make(map[uint64]*protocol.Promise),
		accepted: make(map[uint64]bool), change: change, settle: settle, keep: keep, reason: reason}
	m.note(fmt.Sprintf("election round: ballot=%d reason=%q", ballot, reason))
	m.promise(ballot, func(p *protocol.Promise) { m.onPromise(p) })
	m.toOthers(view.Electorate(m.accepted), &protocol.Envelope{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: ballot}}})
}

// sawBallot notes a ballot that was heard of.
func (m *Machine) sawBallot(ballot uint64) {
	if ballot > m.highest {
		m.highest, m.highestAt = ballot, m.now
	}
}

// abandon gives up the round; the next one waits a random while, so that candidates don't meet again.
func (m *Machine) abandon(why string) {
	m.note(fmt.Sprintf("election round given up: ballot=%d: %s", m.round.ballot, why))
	m.round = nil
	m.givenUp++
	m.pause(roundPause, roundSpread<<min(m.givenUp, mostDoublings))
}

// pause has the member begin no round for a time between the least and that plus the spread.
func (m *Machine) pause(least, spread time.Duration) {
	m.next = max(m.next, m.now+least+time.Duration(m.rng.Int64N(int64(spread))))
}

const (
	roundPause    = 40 * time.Millisecond
	roundSpread   = 80 * time.Millisecond
	mostDoublings = 4
	// promisePause is what a candidate is left, by those that promised to it, to end its round.
	promisePause  = 350 * time.Millisecond
	promiseSpread = 100 * time.Millisecond
)

// toOthers sends a message to some members but this one. A machine that has lost its disk may stand
// among them twice, with its old identity and its new one.
func (m *Machine) toOthers(members []*protocol.Member, e *protocol.Envelope) {
	told := map[string]bool{m.cfg.Self.GetAddress(): true}
	for _, other := range members {
		if !told[other.GetAddress()] {
			told[other.GetAddress()] = true
			m.send(other.GetAddress(), e)
		}
	}
}

// promise promises a ballot and tells how far the member's state goes, once that is on disk.
func (m *Machine) promise(ballot uint64, tell func(*protocol.Promise)) {
	m.promised = ballot
	m.sawBallot(ballot)
	m.record(journal.Promise, &protocol.PromiseRecord{Ballot: ballot})
	m.afterWrite(func() {
		if m.promised != ballot {
			return // a higher one was promised meanwhile
		}
		tell(&protocol.Promise{Ballot: ballot, Ok: true, Promised: ballot, Accepted: m.accepted, InstalledEpoch: m.disk.installedEpoch,
			Index: m.index, Member: m.cfg.Self.GetId(), DiskBad: m.diskBad()})
	})
}

func (m *Machine) onPrepare(from string, p *protocol.Prepare) {
	m.sawBallot(p.GetBallot())
	answer := func(p *protocol.Promise) {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Promise{Promise: p}})
	}
	if p.GetBallot() == m.promised {
		return // it came twice
	}
	if p.GetBallot() < m.promised {
		answer(&protocol.Promise{Ballot: p.GetBallot(), Promised: m.promised, Member: m.cfg.Self.GetId()})
		return
	}
	if m.round != nil {
		m.abandon("another candidate has a higher ballot")
	}
	m.pause(promisePause, promiseSpread)
	m.promise(p.GetBallot(), answer)
}

func (m *Machine) onPromise(p *protocol.Promise) {
	m.sawBallot(p.GetPromised())
	r := m.round
	if r == nil || r.phase != preparing || p.GetBallot() != r.ballot {
		return
	}
	if !p.GetOk() {
		m.abandon("a voter has promised a higher ballot")
		return
	}
	r.promises[p.GetMember()] = p
	if a := p.GetAccepted(); a.GetEpoch() > r.base.GetEpoch() && view.Valid(a) {
		r.base = a
		r.change, r.settle = view.Change{}, false // they were meant for an older view
		m.toOthers(view.Electorate(a), &protocol.Envelope{Body: &protocol.Envelope_Prepare{Prepare: &protocol.Prepare{Ballot: r.ballot}}})
	}
	m.weighPromises()
}

// weighPromises goes on to the proposal once a quorum has promised and the others had a moment.
func (m *Machine) weighPromises() {
	r := m.round
	if r == nil || r.phase != preparing || !view.Quorum(r.base, func(id uint64) bool { return r.promises[id] != nil }) {
		return
	}
	if r.quorum == 0 {
		r.quorum = m.now
	}
	if m.now-r.quorum < m.cfg.Timing.Gather && !m.allAlivePromised() {
		return
	}
	m.propose()
}

// allAlivePromised tells whether every voter that is heard of has promised.
func (m *Machine) allAlivePromised() bool {
	for _, v := range view.Electorate(m.round.base) {
		if m.round.promises[v.GetId()] == nil && m.alive(v.GetId()) {
			return false
		}
	}
	return true
}

// propose asks the voters to accept the view that follows.
func (m *Machine) propose() {
	r := m.round
	var standings []view.Standing
	for id, p := range r.promises {
		standings = append(standings, view.Standing{Member: id, InstalledEpoch: p.GetInstalledEpoch(), Index: p.GetIndex(), DiskBad: p.GetDiskBad(), Zone: m.zoneOf(id)})
	}
	base := r.base
	if r.settle {
		base = clone(base)
		base.Previous = nil
	}
	next, ok := view.Next(base, r.ballot, standings, m.cfg.Faults, r.keep, r.change)
	if !ok {
		if m.now-r.quorum >= m.cfg.Timing.Gather {
			m.abandon("too few voters could keep the state")
		}
		return
	}
	r.phase, r.proposal = accepting, next
	e := &protocol.Envelope{Body: &protocol.Envelope_Accept{Accept: &protocol.Accept{View: next}}}
	asked := &protocol.View{Voters: view.Electorate(r.base), Previous: next.GetVoters()}
	m.toOthers(view.Electorate(asked), e)
	m.accept(next, func(a *protocol.Accepted) { m.onAccepted(a) })
}

// accept accepts a view and says so once that is on disk.
func (m *Machine) accept(v *protocol.View, tell func(*protocol.Accepted)) {
	m.promised = max(m.promised, v.GetEpoch())
	m.accepted = v
	m.record(journal.Accept, &protocol.AcceptRecord{View: v})
	m.afterWrite(func() {
		tell(&protocol.Accepted{Ballot: v.GetEpoch(), Ok: true, Promised: m.promised, Member: m.cfg.Self.GetId()})
	})
}

func (m *Machine) onAccept(from string, a *protocol.Accept) {
	if !view.Valid(a.GetView()) {
		m.drop("a view to accept that can't be")
		return
	}
	ballot := a.GetView().GetEpoch()
	m.sawBallot(ballot)
	answer := func(a *protocol.Accepted) {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Accepted{Accepted: a}})
	}
	if ballot < m.promised {
		answer(&protocol.Accepted{Ballot: ballot, Promised: m.promised, Member: m.cfg.Self.GetId()})
		return
	}
	if m.round != nil && ballot > m.round.ballot {
		m.abandon("another candidate's view is accepted")
	}
	m.accept(a.GetView(), answer)
}

func (m *Machine) onAccepted(a *protocol.Accepted) {
	m.sawBallot(a.GetPromised())
	r := m.round
	if r == nil || r.phase != accepting || a.GetBallot() != r.ballot {
		return
	}
	if !a.GetOk() {
		m.abandon("a voter has promised a higher ballot since")
		return
	}
	r.accepted[a.GetMember()] = true
	has := func(id uint64) bool { return r.accepted[id] }
	if !view.Quorum(r.base, has) || !view.Quorum(r.proposal, has) {
		return
	}
	decided := r.proposal
	m.note(fmt.Sprintf("view agreed: epoch=%d chain=%v voters=%d after=%v reason=%q", decided.GetEpoch(), m.numbers(decided), len(decided.GetVoters()), m.now-r.began, r.reason))
	m.round = nil
	e := &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: decided}}}
	m.toOthers(view.Electorate(&protocol.View{Voters: view.Electorate(r.base), Previous: decided.GetVoters()}), e)
	m.adopt(decided)
}

// numbers returns the members of a view's chain by their numbers.
func (m *Machine) numbers(v *protocol.View) (out []uint32) {
	for _, id := range v.GetChain() {
		out = append(out, view.Find(v.GetVoters(), id).GetNumber())
	}
	return out
}

// tickRound gives up a round that takes too long.
func (m *Machine) tickRound() {
	if m.round == nil {
		return
	}
	m.weighPromises()
	if m.round != nil && m.now-m.round.began > m.cfg.Timing.Round {
		m.abandon("too few answers in time")
	}
}

func (m *Machine) onViewQuery(from string, q *protocol.ViewQuery) {
	if m.Epoch() > q.GetEpoch() {
		m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: m.view}}})
	}
}

// zoneOf returns a member's zone by its heartbeats.
func (m *Machine) zoneOf(id uint64) string {
	if id == m.cfg.Self.GetId() {
		return m.cfg.Self.GetZone()
	}
	if p := m.peers[id]; p != nil {
		return p.last.GetMember().GetZone()
	}
	return ""
}
