package member

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// What an operator may ask of the placement role beside its whole state.
const (
	WhatJobs    = "jobs"
	WhatJob     = "job"
	WhatHistory = "history"
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

// onRequest handles a client's request: writes where this member is the head, reads where it is the tail.
func (m *Member) onRequest(now time.Duration, from string, r *protocol.ClientRequest) {
	v := m.replica.View()
	switch {
	case r.GetReadStatus() != nil && m.scheduler != nil:
		m.reply(from, m.readStatus(r))
	case !isRead(r) && m.scheduler != nil:
		m.scheduler.Request(from, r, func(key string) bool {
			_, ok := m.replica.Store().Get(key)
			return ok
		})
	case isRead(r) && v != nil && view.Tail(v) == m.cfg.Replica.Self.GetId():
		m.nextRead++
		m.reads[m.nextRead] = pendingRead{to: from, reply: m.read(r)}
		m.act(now, m.replica.Read(now, m.nextRead))
	default:
		m.reply(from, &protocol.ClientReply{Id: r.GetId(), NotServing: true})
		if v != nil {
			m.send(from, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: v}}})
		}
	}
}

// readStatus answers what an operator asks of the placement role; it is not confirmed by others.
func (m *Member) readStatus(r *protocol.ClientRequest) *protocol.ClientReply {
	var answer any
	switch what := r.GetReadStatus(); what.GetWhat() {
	case WhatJobs:
		answer = m.scheduler.JobList()
	case WhatJob:
		job, ok := m.scheduler.JobDetails(what.GetId())
		if !ok {
			return &protocol.ClientReply{Id: r.GetId(), Status: http.StatusNotFound, Body: []byte("there is no such job")}
		}
		answer = job
	case WhatHistory:
		answer = scheduler.History(m.replica.Store())
	default:
		answer = m.scheduler.Status()
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return &protocol.ClientReply{Id: r.GetId(), Status: http.StatusInternalServerError, Body: []byte(err.Error())}
	}
	return &protocol.ClientReply{Id: r.GetId(), Status: http.StatusOK, Body: body}
}

func (m *Member) reply(to string, r *protocol.ClientReply) {
	m.send(to, &protocol.Envelope{Body: &protocol.Envelope_ClientReply{ClientReply: r}})
}

// finishRead answers a read whose answer is certain, or sends its client elsewhere.
func (m *Member) finishRead(token uint64, certain bool) {
	r, ok := m.reads[token]
	if !ok {
		return
	}
	delete(m.reads, token)
	if !certain {
		r.reply = &protocol.ClientReply{Id: r.reply.GetId(), NotServing: true}
	}
	m.reply(r.to, r.reply)
}

// read returns the answer to a read by the state as it is.
func (m *Member) read(r *protocol.ClientRequest) *protocol.ClientReply {
	out := &protocol.ClientReply{Id: r.GetId(), Status: http.StatusOK, ConfigVersion: m.gossip.Config().Version}
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_ReadState:
		m.readState(op.ReadState.GetId(), out)
	case *protocol.ClientRequest_ReadPending:
		out.Body = []byte(`{"Pending":` + strconv.Itoa(m.pending(op.ReadPending.GetQueue())) + `}`)
	case *protocol.ClientRequest_ReadConfig:
		m.readConfig(out)
	}
	return out
}

func (m *Member) readState(id string, out *protocol.ClientReply) {
	value, ok := m.replica.Store().Get(jobs.StatusKey(id))
	if !ok {
		out.Status = http.StatusGone
		return
	}
	state, _, err := jobs.Status(value)
	if err != nil {
		m.unreadable(out, fmt.Sprintf("the state of job %s", id), err)
		return
	}
	out.Body = []byte(`{"State":"` + state.String() + `"}`)
}

func (m *Member) readConfig(out *protocol.ClientReply) {
	table, err := scheduler.LoadConfig(m.replica.Store())
	switch {
	case err != nil:
		m.unreadable(out, "the configuration", err)
	case table.Version == 0:
		out.Status = http.StatusNotFound
	default:
		out.Body = table.Document()
	}
}

// unreadable answers a read of state that can't be decoded.
func (m *Member) unreadable(out *protocol.ClientReply, what string, err error) {
	out.Status = http.StatusInternalServerError
	m.out.Notes = append(m.out.Notes, fmt.Sprintf("%s can't be read: %v", what, err))
}

// pending returns how many jobs of a queue have not ended.
func (m *Member) pending(queue string) (count int) {
	m.replica.Store().Each(func(key string, value []byte) {
		if !jobs.IsStatusKey(key) {
			return
		}
		if state, q, err := jobs.Status(value); err == nil && q == queue && !state.Final() {
			count++
		}
	})
	return count
}
