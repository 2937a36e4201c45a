package replica

import (
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// confirmations is how the member makes sure that its view is still the newest: a majority of the voters
// says after a moment that it has promised nothing above.
type confirmations struct {
	sequence     uint64        // of the newest question
	requestedAt  time.Duration // when it was asked
	inFlight     bool
	confirmedBy  map[uint64]bool
	confirmedAt  time.Duration // when the newest question that a majority answered well had been asked
	pendingReads []pendingRead
}

// pendingRead is a question of a client that waits for its answer to be certain.
type pendingRead struct {
	arrivedAt time.Duration
	token     uint64
	index     uint64 // entries up to it have to be committed
	sequence  uint64 // the first round of confirmation that was asked after the read came
	confirmed bool
}

// confirmTimeout is how long a round of confirmation may take until it is asked again.
const confirmTimeout = 150 * time.Millisecond

const (
	// readTimeout is how long a read waits to be certain; its client has gone elsewhere by then.
	readTimeout = 1500 * time.Millisecond
	// maxPendingReads bounds the reads that wait.
	maxPendingReads = 4096
)

// Read has a client's question answered by the store as it is now: the token comes back in ReadsReady
// once the answer is certain, in ReadsFailed where it can't be. The member has to be the tail.
func (m *Machine) Read(now time.Duration, token uint64) Actions {
	m.now = now
	m.confirmRead(token, m.isTail() && m.installedEpoch == m.Epoch(), m.index)
	return m.takeActions()
}

// ReadAtHead has a question answered by the state that the head has evaluated and appended. The member has to serve
// as the head.
func (m *Machine) ReadAtHead(now time.Duration, token uint64) Actions {
	m.now = now
	m.confirmRead(token, m.Serving(), m.index)
	return m.takeActions()
}

// confirmRead has a read wait until a majority has stood by the epoch after it came, and entries up to an index are
// committed.
func (m *Machine) confirmRead(token uint64, serves bool, index uint64) {
	if !serves || len(m.confirmations.pendingReads) >= maxPendingReads {
		m.actions.ReadsFailed = append(m.actions.ReadsFailed, token)
		return
	}
	m.confirmations.pendingReads = append(m.confirmations.pendingReads, pendingRead{arrivedAt: m.now, token: token, index: index, sequence: m.confirmations.sequence + 1})
	if !m.confirmations.inFlight {
		m.requestConfirmation()
	}
}

// ConfirmedAt returns when the newest question that a majority answered well had been asked: until
// then no other view can have been agreed.
func (m *Machine) ConfirmedAt() time.Duration { return m.confirmations.confirmedAt }

func (m *Machine) requestConfirmation() {
	c := &m.confirmations
	c.sequence++
	c.requestedAt, c.inFlight, c.confirmedBy = m.now, true, make(map[uint64]bool)
	m.broadcast(view.Electorate(m.view), &protocol.Envelope{Body: &protocol.Envelope_Confirm{Confirm: &protocol.Confirm{Epoch: m.Epoch(), Round: c.sequence}}})
	m.onConfirmed(&protocol.Confirmed{Epoch: m.Epoch(), Round: c.sequence, Member: m.cfg.Self.GetId(), Ok: m.promised <= m.Epoch()})
}

func (m *Machine) onConfirm(from string, c *protocol.Confirm) {
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Confirmed{Confirmed: &protocol.Confirmed{
		Epoch: c.GetEpoch(), Round: c.GetRound(), Member: m.cfg.Self.GetId(), Ok: m.promised <= c.GetEpoch() && !m.disk.failed}}})
}

func (m *Machine) onConfirmed(r *protocol.Confirmed) {
	c := &m.confirmations
	if !c.inFlight || r.GetEpoch() != m.Epoch() || r.GetRound() != c.sequence || !r.GetOk() {
		return
	}
	c.confirmedBy[r.GetMember()] = true
	if !view.Quorum(m.view, func(id uint64) bool { return c.confirmedBy[id] }) {
		return
	}
	c.inFlight = false
	c.confirmedAt = c.requestedAt
	for i := range c.pendingReads {
		if c.pendingReads[i].sequence <= c.sequence {
			c.pendingReads[i].confirmed = true
		}
	}
	m.finishReads()
	if len(c.pendingReads) > 0 && !c.pendingReads[len(c.pendingReads)-1].confirmed {
		m.requestConfirmation()
	}
}

// finishReads tells the reads that are certain.
func (m *Machine) finishReads() {
	c := &m.confirmations
	for len(c.pendingReads) > 0 && c.pendingReads[0].confirmed && c.pendingReads[0].index <= m.chain.committed {
		m.actions.ReadsReady = append(m.actions.ReadsReady, c.pendingReads[0].token)
		c.pendingReads = c.pendingReads[1:]
	}
}

// failReads fails the reads that wait; a newer view answers them.
func (m *Machine) failReads() {
	for _, r := range m.confirmations.pendingReads {
		m.actions.ReadsFailed = append(m.actions.ReadsFailed, r.token)
	}
	m.confirmations.pendingReads = nil
}

// expireReads fails the reads that have waited for too long.
func (m *Machine) expireReads() {
	c := &m.confirmations
	for len(c.pendingReads) > 0 && m.now-c.pendingReads[0].arrivedAt > readTimeout {
		m.actions.ReadsFailed = append(m.actions.ReadsFailed, c.pendingReads[0].token)
		c.pendingReads = c.pendingReads[1:]
	}
}

// tickConfirms asks again where answers were lost, and for the head from time to time.
func (m *Machine) tickConfirms() {
	c := &m.confirmations
	if m.view == nil {
		return
	}
	m.expireReads()
	switch {
	case c.inFlight && m.now-c.requestedAt > confirmTimeout:
		for i := range c.pendingReads { // the reads wait for the next round
			if c.pendingReads[i].sequence <= c.sequence && !c.pendingReads[i].confirmed {
				c.pendingReads[i].sequence = c.sequence + 1
			}
		}
		if len(c.pendingReads) > 0 || m.Serving() {
			m.requestConfirmation()
		} else {
			c.inFlight = false
		}
	case !c.inFlight && m.Serving() && m.now-c.requestedAt > m.cfg.Timing.ConfirmInterval:
		m.requestConfirmation()
	}
}
