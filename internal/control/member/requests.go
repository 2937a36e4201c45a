package member

import (
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// isRead reports whether a request changes nothing and is answered by the tail.
func isRead(r *protocol.ClientRequest) bool {
	switch r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState, *protocol.ClientRequest_ReadConfig, *protocol.ClientRequest_ReadPending:
		return true
	default:
		return false
	}
}

// handleRequest handles an attempt of a client's request: reads at the tail, everything else at the head. Any other
// member rejects the attempt and sends the client the view, by which it finds the right one.
func (m *Member) handleRequest(now time.Duration, from string, r *protocol.ClientRequest) {
	if r.GetAttempt() > 0 && m.attempts.record(attempt{id: r.GetId(), number: r.GetAttempt()}) {
		return
	}
	v := m.replica.View()
	switch {
	case !isRead(r) && m.scheduler != nil && m.replica.Accepting(now):
		m.evaluate(from, r)
	case isRead(r) && v != nil && view.Tail(v) == m.cfg.Replica.Self.GetId():
		m.perform(now, m.replica.Read(now, m.deferReply(from, m.readReply(r))))
	default:
		m.reject(from, r.GetId(), r.GetAttempt())
		if v != nil {
			m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: v}}})
		}
	}
}

// evaluate handles a request at the head. Reads of the scheduler's state wait for the end of the turn, when all
// of its decisions are appended.
func (m *Member) evaluate(from string, r *protocol.ClientRequest) {
	if r.GetReadStatus() != nil {
		m.statusReads = append(m.statusReads, statusRead{from: from, request: r})
		return
	}
	m.scheduler.HandleRequest(from, r)
}

// reject answers that this member has not executed an attempt of a request and never will.
func (m *Member) reject(to string, id uint64, attempt uint32) {
	m.sendReply(to, &protocol.ClientReply{Id: id, NotServing: true, Attempt: attempt})
}

func (m *Member) sendReply(to string, r *protocol.ClientReply) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r}})
}
