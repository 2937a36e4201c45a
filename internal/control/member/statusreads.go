package member

import (
	"encoding/json"
	"net/http"
	"time"

	"frosttide/internal/protocol"
)

// Topics of the placement role's state that protocol.ReadStatus.What can name. An empty one asks for its summary.
const (
	TopicJobs    = "jobs"
	TopicJob     = "job"
	TopicHistory = "history"
)

// statusRead is an operator's read of the placement role's state.
type statusRead struct {
	from    string
	request *protocol.ClientRequest
}

// processStatusReads computes the replies to this turn's reads of the placement role's state. The replica releases
// each of them once a majority has confirmed the epoch and everything that the reply shows is committed.
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

// readStatus returns the reply to a read of the placement role's state, as JSON.
func (m *Member) readStatus(r *protocol.ClientRequest) *protocol.ClientReply {
	var result any
	switch read := r.GetReadStatus(); read.GetWhat() {
	case TopicJobs:
		result = m.scheduler.JobStatuses()
	case TopicJob:
		job, ok := m.scheduler.JobDetails(read.GetId())
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
