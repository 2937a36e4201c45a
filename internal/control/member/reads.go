package member

import (
	"fmt"
	"net/http"
	"strconv"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
)

// pendingReply is a computed reply that the replica has not released yet.
type pendingReply struct {
	to    string
	reply *protocol.ClientReply
}

// deferReply keeps a reply until the replica names the returned token.
func (m *Member) deferReply(to string, reply *protocol.ClientReply) uint64 {
	m.lastRead++
	m.reads[m.lastRead] = pendingReply{to: to, reply: reply}
	return m.lastRead
}

// completeRead sends a reply that the replica has released.
func (m *Member) completeRead(token uint64) {
	if r, ok := m.takePending(token); ok {
		m.sendReply(r.to, r.reply)
	}
}

// rejectRead rejects a read whose reply can't be confirmed, so that its client asks another
// member.
func (m *Member) rejectRead(token uint64) {
	if r, ok := m.takePending(token); ok {
		m.sendReply(r.to, &protocol.ClientReply{Id: r.reply.GetId(), NotServing: true})
	}
}

func (m *Member) takePending(token uint64) (pendingReply, bool) {
	r, ok := m.reads[token]
	delete(m.reads, token)
	return r, ok
}

// readReply returns the reply to a read of this member's state.
func (m *Member) readReply(r *protocol.ClientRequest) *protocol.ClientReply {
	reply := &protocol.ClientReply{Id: r.GetId(), Status: http.StatusOK, ConfigVersion: m.gossip.Config().Version}
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState:
		m.readJobState(op.ReadState, reply)
	case *protocol.ClientRequest_ReadPending:
		reply.Body = []byte(`{"Pending":` + strconv.Itoa(m.derived.pending.Count(op.ReadPending.GetQueue())) + `}`)
	case *protocol.ClientRequest_ReadConfig:
		m.readConfig(reply)
	}
	return reply
}

// readJobState fills in a job's state, or 410 where there is no such job. A job of another queue
// than the one asked for is shown only while its own queue is not configured.
func (m *Member) readJobState(r *protocol.ReadState, reply *protocol.ClientReply) {
	value, ok := m.replica.Store().Get(jobs.StatusKey(r.GetId()))
	if !ok {
		reply.Status = http.StatusGone
		return
	}
	item, err := jobs.ParseStatus(value)
	if err != nil {
		m.failRead(reply, fmt.Sprintf("the state of job %s", r.GetId()), err)
		return
	}
	if item.Tombstone || r.GetQueue() != item.Queue && m.isConfigured(item.Queue) {
		reply.Status = http.StatusGone
		return
	}
	reply.Body = []byte(`{"State":"` + item.State.String() + `"}`)
}

// isConfigured reports whether a queue is in the configuration.
func (m *Member) isConfigured(queue string) bool {
	table, err := m.derived.config.Table()
	return err == nil && table.Route(queue) != nil
}

// readConfig fills in the configuration's document, or 404 before the first configuration.
func (m *Member) readConfig(reply *protocol.ClientReply) {
	table, err := m.derived.config.Table()
	switch {
	case err != nil:
		m.failRead(reply, "the configuration", err)
	case table.Version == 0:
		reply.Status = http.StatusNotFound
	default:
		reply.Body = table.Document()
	}
}

// failRead fills in the reply to a read of an item that can't be decoded.
func (m *Member) failRead(reply *protocol.ClientReply, subject string, err error) {
	reply.Status = http.StatusInternalServerError
	m.event("State unreadable, a read fails", "what", subject, "err", err)
}
