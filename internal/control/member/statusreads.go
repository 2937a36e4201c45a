package member

import (
	"encoding/json"
	"net/http"
	"time"

	"frosttide/internal/protocol"
)

// Values of protocol.ReadStatus.What, which selects the part of the scheduler's state to read. Any
// other value, such as the empty string, selects the summary.
const (
	TopicJobs    = "jobs"    // list of jobs
	TopicJob     = "job"     // the job that protocol.ReadStatus.Id names
	TopicHistory = "history" // recent updates of the configuration
)

// statusRead is an operator's read of the scheduler's state that waits for the end of the turn.
type statusRead struct {
	from    string
	request *protocol.ClientRequest
}

// processStatusReads computes the replies to this turn's reads of the scheduler's state. The
// replica releases each reply once a majority has confirmed the epoch and all entries that the
// reply reflects are committed. If this member has stopped being able to append, the reads are
// rejected.
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

// readStatus returns the reply to a read of the scheduler's state: 200 with JSON, 404 if there is
// no such job, or 500 if the result cannot be encoded.
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
