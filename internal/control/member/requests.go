package member

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// What an operator may ask of the placement role beside its whole state.
const (
	TopicJobs    = "jobs"
	TopicJob     = "job"
	TopicHistory = "history"
)

// isRead tells whether a request changes nothing and is the tail's.
func isRead(r *protocol.ClientRequest) bool {
	switch r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState, *protocol.ClientRequest_ReadConfig, *protocol.ClientRequest_ReadPending:
		return true
	default:
		return false
	}
}

// handleRequest handles a client's request: writes where this member is the head, reads where it is the tail.
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

// evaluate handles a request that is the head's. What an operator asks is answered at the end of the turn, when all
// that has been decided is appended.
func (m *Member) evaluate(from string, r *protocol.ClientRequest) {
	if r.GetReadStatus() != nil {
		m.statusReads = append(m.statusReads, statusRead{from: from, request: r})
		return
	}
	m.scheduler.HandleRequest(from, r)
}

// processStatusReads answers what operators have asked in this turn, once a majority has stood by the epoch and what
// the answers show is committed.
func (m *Member) processStatusReads(now time.Duration) {
	reads := m.statusReads
	m.statusReads = nil
	for _, r := range reads {
		if m.scheduler == nil || !m.replica.CanAppend() {
			m.reject(r.from, r.request.GetId(), r.request.GetAttempt())
			continue
		}
		m.perform(now, m.replica.ReadAtHead(now, m.deferReply(r.from, m.readStatus(r.request))))
	}
}

// deferReply keeps an answer until it is certain and returns the token that says so.
func (m *Member) deferReply(to string, reply *protocol.ClientReply) uint64 {
	m.nextRead++
	m.reads[m.nextRead] = pendingReply{to: to, reply: reply}
	return m.nextRead
}

// readStatus answers what an operator asks of the placement role.
func (m *Member) readStatus(r *protocol.ClientRequest) *protocol.ClientReply {
	var result any
	switch what := r.GetReadStatus(); what.GetWhat() {
	case TopicJobs:
		result = m.scheduler.JobStatuses()
	case TopicJob:
		job, ok := m.scheduler.JobDetails(what.GetId())
		if !ok {
			return &protocol.ClientReply{Id: r.GetId(), Status: http.StatusNotFound, Body: []byte("there is no such job")}
		}
		result = job
	case TopicHistory:
		result = m.scheduler.History()
	default:
		result = m.scheduler.Status()
	}
	body, err := json.Marshal(result)
	if err != nil {
		return &protocol.ClientReply{Id: r.GetId(), Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return &protocol.ClientReply{Id: r.GetId(), Status: http.StatusOK, Body: body}
}

// reject tells a client that this member has not taken an attempt of its request.
func (m *Member) reject(to string, id uint64, attempt uint32) {
	m.sendReply(to, &protocol.ClientReply{Id: id, NotServing: true, Attempt: attempt})
}

func (m *Member) sendReply(to string, r *protocol.ClientReply) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r}})
}

// completeRead answers a read whose answer is certain, or sends its client elsewhere.
func (m *Member) completeRead(token uint64, certain bool) {
	r, ok := m.reads[token]
	if !ok {
		return
	}
	delete(m.reads, token)
	if !certain {
		r.reply = &protocol.ClientReply{Id: r.reply.GetId(), NotServing: true}
	}
	m.sendReply(r.to, r.reply)
}

// readReply returns the answer to a read by the state as it is.
func (m *Member) readReply(r *protocol.ClientRequest) *protocol.ClientReply {
	out := &protocol.ClientReply{Id: r.GetId(), Status: http.StatusOK, ConfigVersion: m.gossip.Config().Version}
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState:
		m.readJobState(op.ReadState, out)
	case *protocol.ClientRequest_ReadPending:
		out.Body = []byte(`{"Pending":` + strconv.Itoa(m.derived.pending.Count(op.ReadPending.GetQueue())) + `}`)
	case *protocol.ClientRequest_ReadConfig:
		m.readConfig(out)
	}
	return out
}

func (m *Member) readJobState(r *protocol.ReadState, out *protocol.ClientReply) {
	value, ok := m.replica.Store().Get(jobs.StatusKey(r.GetId()))
	if !ok {
		out.Status = http.StatusGone
		return
	}
	item, err := jobs.ParseStatus(value)
	if err != nil {
		m.failRead(out, fmt.Sprintf("the state of job %s", r.GetId()), err)
		return
	}
	if r.GetQueue() != item.Queue && m.isConfigured(item.Queue) {
		out.Status = http.StatusGone // it is a job of others
		return
	}
	out.Body = []byte(`{"State":"` + item.State.String() + `"}`)
}

// isConfigured tells whether a queue is in the configuration.
func (m *Member) isConfigured(queue string) bool {
	table, err := m.derived.config.Table()
	return err == nil && table.Route(queue) != nil
}

func (m *Member) readConfig(out *protocol.ClientReply) {
	table, err := m.derived.config.Table()
	switch {
	case err != nil:
		m.failRead(out, "the configuration", err)
	case table.Version == 0:
		out.Status = http.StatusNotFound
	default:
		out.Body = table.Document()
	}
}

// failRead answers a read of state that can't be decoded.
func (m *Member) failRead(out *protocol.ClientReply, what string, err error) {
	out.Status = http.StatusInternalServerError
	m.event("State unreadable, a read fails", "what", what, "err", err)
}
