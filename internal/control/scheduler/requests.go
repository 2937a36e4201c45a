package scheduler

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// HandleRequest evaluates a client's request. The reply becomes part of the next entry, and the tail of the chain sends
// it once that entry is committed. This also applies to requests that change nothing, so that a head that has been
// replaced without noticing answers no requests. A request whose changes can't be encoded is rejected at once.
func (s *Scheduler) HandleRequest(from string, r *protocol.ClientRequest) {
	failedBefore := s.encodingError() != nil
	answer := s.evaluate(r)
	if err := s.encodingError(); err != nil && !failedBefore {
		s.rejectUnencodable(from, r, err)
		return
	}
	reply := &protocol.ClientReply{
		Id: r.GetId(), Status: uint32(answer.status), Body: []byte(answer.body), RetryAfterMs: answer.retryAfterMs, ConfigVersion: s.config.Version,
	}
	s.replies = append(s.replies, &protocol.Reply{Address: from, Incarnation: r.GetIncarnation(), Reply: reply})
}

// answer is the answer to a client's request.
type answer struct {
	status       int // HTTP status
	body         string
	retryAfterMs uint32 // when the client should try again; 0 if not stated
}

// evaluate evaluates a client's request.
func (s *Scheduler) evaluate(r *protocol.ClientRequest) answer {
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_Submit:
		status, body := s.submit(op.Submit)
		return answer{status: status, body: body}
	case *protocol.ClientRequest_Cancel:
		return s.cancel(op.Cancel)
	case *protocol.ClientRequest_Config:
		status, body := s.updateConfig(op.Config)
		return answer{status: status, body: body}
	default:
		return answer{status: http.StatusBadRequest, body: "unknown request"}
	}
}

// submit accepts a job and returns the HTTP status and body of the reply.
func (s *Scheduler) submit(submission *protocol.Submit) (int, string) {
	if j := s.jobs.Get(submission.GetId()); j != nil {
		return s.resubmit(j, submission)
	}
	if s.jobs.HasTombstone(submission.GetId()) {
		return http.StatusGone, "the job was canceled before it was accepted"
	}
	route := s.config.Route(submission.GetQueue())
	if route == nil {
		return http.StatusNotFound, ""
	}
	if err := jobs.Validate(submission); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	s.jobs.Accept(submission, route.Service, s.wallMs)
	return http.StatusOK, ""
}

// resubmit answers a submission whose job ID is known. A repeated submission is acknowledged again. A different job with
// the same ID would never run and is rejected.
func (s *Scheduler) resubmit(j *jobs.Job, submission *protocol.Submit) (int, string) {
	switch {
	case !s.accessibleFrom(j, submission.GetQueue()):
		return http.StatusConflict, "a job of another queue has this ID"
	case !j.SameContent(submission):
		return http.StatusConflict, "a job with this ID and other content was accepted before"
	default:
		return http.StatusOK, ""
	}
}

// accessibleFrom reports whether clients of a queue may refer to a job. Clients of the job's own queue may; if that queue
// is no longer configured, clients of any queue may. Requests of operators have no queue and may refer to any job.
func (s *Scheduler) accessibleFrom(j *jobs.Job, queue string) bool {
	return queue == "" || queue == j.Queue || s.config.Route(j.Queue) == nil
}

// cancelRetryAfterMs is when a client should repeat a cancellation that could not be recorded.
const cancelRetryAfterMs = 1000

// cancel cancels a job. The answer for a job of another queue is the same as for an unknown job. After each answer but
// 503, no submission that the client has given up is accepted for as long as the state of an ended job is retained,
// however late it arrives.
func (s *Scheduler) cancel(c *protocol.Cancel) answer {
	j := s.jobs.Get(c.GetId())
	switch {
	case j == nil:
		return s.cancelUnknown(c)
	case !s.accessibleFrom(j, c.GetQueue()):
		s.jobs.Retain(j, s.wallMs)
		return answer{status: http.StatusGone}
	default:
		s.jobs.Cancel(c.GetId(), s.wallMs)
		return answer{status: http.StatusOK}
	}
}

// cancelUnknown cancels a job that is not known, but may be submitted by a request that is on its way.
func (s *Scheduler) cancelUnknown(c *protocol.Cancel) answer {
	err := s.jobs.AddTombstone(c.GetId(), c.GetQueue(), s.wallMs)
	if errors.Is(err, jobs.ErrTooManyTombstones) {
		return answer{status: http.StatusServiceUnavailable, body: "too many jobs were canceled before they were accepted", retryAfterMs: cancelRetryAfterMs}
	}
	return answer{status: http.StatusGone}
}

// updateConfig evaluates an operator's update of the configuration and returns the HTTP status and body of the reply.
// An update that was accepted earlier is acknowledged again. An update of a version so old that the update may have been
// accepted and its digest removed gets no definite answer, so that no accepted update is ever rejected.
func (s *Scheduler) updateConfig(c *protocol.ConfigOrder) (int, string) {
	digest := updateDigest(c)
	if s.updates.contains(digest) {
		return http.StatusOK, ""
	}
	if s.updates.mayHaveForgotten(c.GetIfMatch()) {
		return http.StatusServiceUnavailable, fmt.Sprintf("If-Match: an order on version %d may have been taken long ago; the current version is %d",
			c.GetIfMatch(), s.config.Version)
	}
	if c.GetIfMatch() != s.config.Version {
		return http.StatusPreconditionFailed, fmt.Sprintf("the current version is %d", s.config.Version)
	}
	change, err := s.config.Apply(c.GetBody(), c.GetPatch())
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	s.writeConfig(change)
	s.updates.record(digest, change.Table.Record(), s.writes)
	s.config = change.Table
	return http.StatusOK, ""
}

// writeConfig adds the items that a change of the configuration affects to the next entry.
func (s *Scheduler) writeConfig(change *routeconfig.Change) {
	for name, item := range change.Items {
		if item == nil {
			s.writes.Delete(configPrefix + name)
			continue
		}
		s.put(configPrefix+name, item)
	}
	s.put(configKey, change.Table.Record())
}
