package member

import (
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// isRead reports whether a request only reads replicated items, so that the tail answers it.
func isRead(r *protocol.ClientRequest) bool {
	switch r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState, *protocol.ClientRequest_ReadConfig, *protocol.ClientRequest_ReadPending:
		return true
	default:
		return false
	}
}

// handleRequest handles one attempt of a client's request and ignores a repeated one. The tail
// answers reads, the head everything else. Any other member rejects the attempt and sends the
// client the newest view, which names the head and the tail.
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

// evaluate handles a request at the head. Reads of the scheduler's state are deferred to the end of
// the turn, when all decisions of the turn have been appended.
func (m *Member) evaluate(from string, r *protocol.ClientRequest) {
	if r.GetReadStatus() != nil {
		m.statusReads = append(m.statusReads, statusRead{from: from, request: r})
		return
	}
	m.scheduler.HandleRequest(from, r)
}

// reject replies that this member has not executed an attempt of a request and never will.
func (m *Member) reject(to string, id uint64, attempt uint32) {
	m.sendReply(to, &protocol.ClientReply{Id: id, NotServing: true, Attempt: attempt})
}

// sendReply sends a reply to the client at an internal address.
func (m *Member) sendReply(to string, r *protocol.ClientReply) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r}})
}
