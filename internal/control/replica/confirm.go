package replica

import (
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

const (
	// confirmTimeout is the time after which a confirmation request without a majority is repeated.
	confirmTimeout = 150 * time.Millisecond
	// readTimeout is how long a read may be pending; by then its client has turned to another member.
	readTimeout = 1500 * time.Millisecond
	// maxPendingReads is the maximum number of pending reads.
	maxPendingReads = 4096
)

// confirmations tracks the requests by which a member checks that its view is still the newest: a majority of the voters
// has to confirm that it has promised no higher number. One confirmation serves all reads that arrived before it was
// requested.
type confirmations struct {
	sequence     uint64          // of the newest request
	requestedAt  time.Duration   // when it was sent
	inFlight     bool            // the newest request has no majority yet
	confirmedBy  map[uint64]bool // members that have confirmed the newest request
	confirmedAt  time.Duration   // send time of the newest request that a majority has confirmed
	pendingReads []pendingRead   // in the order of their arrival
}

// pendingRead is a read whose value may not be returned yet.
type pendingRead struct {
	arrivedAt time.Duration
	token     uint64
	index     uint64 // last entry that the value may show; it has to be committed
	sequence  uint64 // first request for confirmation that is sent after the read arrived
	confirmed bool
}

// Read starts to confirm a read of the store as it is now. The token is returned in ReadsReady once the value may be
// returned to the client, or in ReadsFailed if this member cannot confirm it. Only the tail confirms such reads.
func (m *Machine) Read(now time.Duration, token uint64) Actions {
	m.now = now
	if m.isTail() && m.installedEpoch == m.Epoch() {
		m.addRead(token)
	} else {
		m.failRead(token)
	}
	return m.takeActions()
}

// ReadAtHead starts to confirm a read of the head's state with all appended entries, committed or not: the read is ready
// only once all of these entries are committed. Only the serving head confirms such reads.
func (m *Machine) ReadAtHead(now time.Duration, token uint64) Actions {
	m.now = now
	if m.Serving() {
		m.addRead(token)
	} else {
		m.failRead(token)
	}
	return m.takeActions()
}

// ConfirmedAt returns the send time of the newest request that a majority has confirmed. No later view can have been
// agreed before that time, so that leases granted by this member may count from it.
func (m *Machine) ConfirmedAt() time.Duration { return m.confirmations.confirmedAt }

// addRead adds a pending read, or fails it if too many are pending.
func (m *Machine) addRead(token uint64) {
	c := &m.confirmations
	if len(c.pendingReads) >= maxPendingReads {
		m.failRead(token)
		return
	}
	c.pendingReads = append(c.pendingReads, pendingRead{arrivedAt: m.now, token: token, index: m.index, sequence: c.sequence + 1})
	if !c.inFlight {
		m.requestConfirmation()
	}
}

// failRead returns the token of a read in ReadsFailed.
func (m *Machine) failRead(token uint64) {
	m.actions.ReadsFailed = append(m.actions.ReadsFailed, token)
}

// requestConfirmation asks the voters to confirm the epoch.
func (m *Machine) requestConfirmation() {
	c := &m.confirmations
	c.sequence++
	c.requestedAt, c.inFlight, c.confirmedBy = m.now, true, make(map[uint64]bool)
	m.broadcast(view.Electorate(m.view), &protocol.Envelope{Body: &protocol.Envelope_Confirm{Confirm: &protocol.Confirm{Epoch: m.Epoch(), Round: c.sequence}}})
	m.onConfirmed(&protocol.Confirmed{Epoch: m.Epoch(), Round: c.sequence, Member: m.selfID(), Ok: m.promised <= m.Epoch()})
}

// onConfirm confirms another member's epoch unless this member has promised a higher number.
func (m *Machine) onConfirm(from string, c *protocol.Confirm) {
	m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Confirmed{Confirmed: &protocol.Confirmed{
		Epoch: c.GetEpoch(), Round: c.GetRound(), Member: m.selfID(), Ok: m.promised <= c.GetEpoch() && !m.disk.failed}}})
}

// onConfirmed counts a confirmation of the newest request; those of earlier ones are ignored.
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

// finishReads completes the reads that are confirmed and show only committed entries, in the order of their arrival.
func (m *Machine) finishReads() {
	c := &m.confirmations
	for len(c.pendingReads) > 0 && c.pendingReads[0].confirmed && c.pendingReads[0].index <= m.chain.committed {
		m.actions.ReadsReady = append(m.actions.ReadsReady, c.pendingReads[0].token)
		c.pendingReads = c.pendingReads[1:]
	}
}

// failReads fails all pending reads, because only the members of the newer view can serve them.
func (m *Machine) failReads() {
	for _, r := range m.confirmations.pendingReads {
		m.failRead(r.token)
	}
	m.confirmations.pendingReads = nil
}

// expireReads fails the reads that have been pending for longer than readTimeout.
func (m *Machine) expireReads() {
	c := &m.confirmations
	for len(c.pendingReads) > 0 && m.now-c.pendingReads[0].arrivedAt > readTimeout {
		m.failRead(c.pendingReads[0].token)
		c.pendingReads = c.pendingReads[1:]
	}
}

// tickConfirmations repeats a confirmation request that has got too few replies in time, and sends one per
// ConfirmInterval at the serving head.
func (m *Machine) tickConfirmations() {
	c := &m.confirmations
	if m.view == nil {
		return
	}
	m.expireReads()
	switch {
	case c.inFlight && m.now-c.requestedAt > confirmTimeout:
		c.postponeReads()
		if len(c.pendingReads) > 0 || m.Serving() {
			m.requestConfirmation()
		} else {
			c.inFlight = false
		}
	case !c.inFlight && m.Serving() && m.now-c.requestedAt > m.cfg.Timing.ConfirmInterval:
		m.requestConfirmation()
	}
}

// postponeReads makes the reads that wait for the newest request wait for the next one instead.
func (c *confirmations) postponeReads() {
	for i := range c.pendingReads {
		if c.pendingReads[i].sequence <= c.sequence && !c.pendingReads[i].confirmed {
			c.pendingReads[i].sequence = c.sequence + 1
		}
	}
}
