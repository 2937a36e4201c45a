package scheduler

import (
	"time"

	"frosttide/internal/protocol"
)

// maxUnappliedBytes bounds the orders, in encoded bytes, that an agent has not acknowledged. More are sent only after its
// next report, so that orders of any size reach an agent over any link without filling the queue of that link.
const maxUnappliedBytes = 2 * protocol.MaxListBytes

// outbox holds the orders of a session that change the set of runs, in messages of a bounded size.
type outbox struct {
	queued         []orderMessage // not sent yet
	unapplied      []orderMessage // sent and not acknowledged, in the order of their sequence numbers
	unappliedBytes int
}

// orderMessage is a message with changes of the set of runs.
type orderMessage struct {
	orders *protocol.RunnerOrders
	bytes  int // upper bound of the encoded size of its runs and drops
}

// acknowledge forgets the messages up to a sequence number.
func (o *outbox) acknowledge(sequence uint64) {
	for len(o.unapplied) > 0 && o.unapplied[0].orders.GetSequence() <= sequence {
		o.unappliedBytes -= o.unapplied[0].bytes
		o.unapplied = o.unapplied[1:]
	}
}

// maySend reports whether the next queued message may be sent now. A single message is always sent.
func (o *outbox) maySend() bool {
	return len(o.queued) > 0 && (len(o.unapplied) == 0 || o.unappliedBytes+o.queued[0].bytes <= maxUnappliedBytes)
}

// take removes the next queued message, which is sent.
func (o *outbox) take() *protocol.RunnerOrders {
	next := o.queued[0]
	o.queued = o.queued[1:]
	o.unapplied = append(o.unapplied, next)
	o.unappliedBytes += next.bytes
	return next.orders
}

// elementOverhead is the most that a run or drop takes in a message beside its texts, in bytes.
const elementOverhead = 32

// splitOrders returns the given changes of the set of runs in messages of a bounded size, drops first. There are none for
// no changes.
func splitOrders(orders *protocol.RunnerOrders) (messages []orderMessage) {
	add := func(bytes int) *protocol.RunnerOrders {
		if len(messages) == 0 || messages[len(messages)-1].bytes >= protocol.MaxListBytes {
			messages = append(messages, orderMessage{orders: &protocol.RunnerOrders{}})
		}
		last := &messages[len(messages)-1]
		last.bytes += bytes + elementOverhead
		return last.orders
	}
	for _, ref := range orders.GetDrop() {
		message := add(len(ref.GetTask()))
		message.Drop = append(message.Drop, ref)
	}
	for _, run := range orders.GetRuns() {
		message := add(len(run.GetTask()) + len(run.GetSpec()) + len(run.GetSaved()))
		message.Runs = append(message.Runs, run)
	}
	return messages
}

// splitFullSync returns a full sync in parts of a bounded size, of which there is at least one. An agent of an earlier
// version takes it only as a whole.
func splitFullSync(orders *protocol.RunnerOrders, takesParts bool) []orderMessage {
	parts := splitOrders(orders)
	if len(parts) <= 1 || !takesParts {
		return []orderMessage{{orders: orders}}
	}
	for i := range parts {
		part := parts[i].orders
		part.Full, part.Part, part.Parts = true, uint32(i), uint32(len(parts))
	}
	return parts
}

// sendOrders sends changes of the set of runs to a session's agent, and a lease if the orders grant one. While a full sync
// waits for its commit, it leaves the changes out; once that is ready, the complete set takes their place. What the agent
// can't take at once follows after its next report.
func (s *Scheduler) sendOrders(sess *session, orders *protocol.RunnerOrders) {
	switch sess.fullSync {
	case fullSyncReady:
		full := &protocol.RunnerOrders{}
		s.fillFullSync(s.runners[sess.runner], full)
		sess.outbox.queued = splitFullSync(full, sess.takesParts)
		sess.fullSync = fullSyncSent
	case fullSyncSent:
		sess.outbox.queued = append(sess.outbox.queued, splitOrders(orders)...)
	default:
	}
	if !sess.outbox.maySend() {
		s.send(sess, &protocol.RunnerOrders{LeaseRound: orders.GetLeaseRound(), LeaseMs: orders.GetLeaseMs()})
		return
	}
	for sess.outbox.maySend() {
		if sess.appliedSequence >= sess.lastSequence {
			sess.unappliedSince = s.now
		}
		sess.lastSequence++
		changes := sess.outbox.take()
		changes.LeaseRound, changes.LeaseMs = orders.GetLeaseRound(), orders.GetLeaseMs()
		s.send(sess, changes)
	}
}

// send sends one message to a session's agent under the newest sequence number.
func (s *Scheduler) send(sess *session, orders *protocol.RunnerOrders) {
	orders.Epoch, orders.Runner, orders.Companion, orders.Session = s.epoch, sess.runner, sess.incarnation, sess.number
	orders.RetryMs, orders.ReportMs = heartbeatIntervalMs, uint32(s.reportInterval()/time.Millisecond)
	if r := s.runners[sess.runner]; r != nil {
		orders.LastSeen = r.acknowledgedEnd
	}
	orders.Sequence = sess.lastSequence
	s.sends = append(s.sends, protocol.Outbound{To: sess.address, Message: &protocol.Envelope{Body: &protocol.Envelope_RunnerOrders{RunnerOrders: orders}}})
}
