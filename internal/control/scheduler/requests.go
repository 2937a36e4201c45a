package scheduler

import (
	"fmt"
	"net/http"

	"frosttide/internal/control/jobs"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// HandleRequest evaluates a client's request. The reply becomes part of the next entry, and the tail of the chain sends
// it once that entry is committed. This also applies to requests that change nothing, so that a head that has been
// replaced without noticing answers no requests. A request whose changes can't be encoded is rejected at once.
func (s *Scheduler) HandleRequest(from string, r *protocol.ClientRequest) {
	failedBefore := s.encodingError() != nil
	status, body := s.evaluate(r)
	if err := s.encodingError(); err != nil && !failedBefore {
		s.rejectUnencodable(from, r, err)
		return
	}
	reply := &protocol.ClientReply{Id: r.GetId(), Status: uint32(status), Body: []byte(body), ConfigVersion: s.config.Version}
	s.replies = append(s.replies, &protocol.Reply{Address: from, Incarnation: r.GetIncarnation(), Reply: reply})
}

// evaluate evaluates a client's request and returns the HTTP status and body of the reply.
func (s *Scheduler) evaluate(r *protocol.ClientRequest) (int, string) {
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_Submit:
		return s.submit(op.Submit)
	case *protocol.ClientRequest_Cancel:
		return s.cancel(op.Cancel), ""
	case *protocol.ClientRequest_Config:
		return s.updateConfig(op.Config)
	default:
		return http.StatusBadRequest, "unknown request"
	}
}

// submit accepts a job and returns the HTTP status and body of the reply.
func (s *Scheduler) submit(submission *protocol.Submit) (int, string) {
	if j := s.jobs.Get(submission.GetId()); j != nil {
		return s.resubmit(j, submission)
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

// cancel cancels a job and returns the HTTP status of the reply. The reply for a job of another queue is the same as for
// an unknown job.
func (s *Scheduler) cancel(c *protocol.Cancel) int {
	if j := s.jobs.Get(c.GetId()); j != nil && !s.accessibleFrom(j, c.GetQueue()) {
		return http.StatusGone
	}
	if !s.jobs.Cancel(c.GetId(), s.wallMs) {
		return http.StatusGone
	}
	return http.StatusOK
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
