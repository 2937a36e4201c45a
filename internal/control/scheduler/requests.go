package scheduler

import (
	"fmt"
	"net/http"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// The keys of the configuration's items.
const (
	configKey    = "c"  // protocol.ConfigRecord
	configPrefix = "c/" // protocol.ConfigItem
)

// loadConfig returns the configuration of a store.
func loadConfig(submission *store.Store) (*routeconfig.Table, error) {
	var v ConfigView
	submission.Each(func(key string, value []byte) { v.Update(key, value) })
	return v.Table()
}

// LoadConfig returns the configuration of a store, for its readers.
func LoadConfig(submission *store.Store) (*routeconfig.Table, error) { return loadConfig(submission) }

// HandleRequest evaluates a client's request. Its answer comes from the tail once the entry that holds it is
// committed, even where nothing is written: so a head that is no longer one answers nothing.
func (s *Scheduler) HandleRequest(from string, r *protocol.ClientRequest) {
	var status int
	var body string
	switch op := r.GetOp().(type) {
	case *protocol.ClientRequest_Submit:
		status, body = s.submit(op.Submit)
	case *protocol.ClientRequest_Cancel:
		status = s.cancel(op.Cancel)
	case *protocol.ClientRequest_Config:
		status, body = s.updateConfig(op.Config)
	default:
		status, body = http.StatusBadRequest, "unknown request"
	}
	s.replies = append(s.replies, &protocol.Reply{Address: from, Incarnation: r.GetIncarnation(), Reply: &protocol.ClientReply{
		Id: r.GetId(), Status: uint32(status), Body: []byte(body), ConfigVersion: s.config.Version}})
}

func (s *Scheduler) submit(submission *protocol.Submit) (int, string) {
	if j := s.jobs.Get(submission.GetId()); j != nil {
		return s.resubmit(j, submission)
	}
	route := s.config.Route(submission.GetQueue())
	if route == nil {
		return http.StatusNotFound, ""
	}
	if reason := jobs.Validate(submission); reason != "" {
		return http.StatusBadRequest, reason
	}
	s.jobs.Accept(submission, route.Service, s.wallMs)
	return http.StatusOK, ""
}

// resubmit answers a job whose ID is known: it is the same job come again, or another one, which would never run.
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

// accessibleFrom tells whether a job may be asked for by way of a queue: its own one or, where that is no longer
// configured, the one that has its place now. An operator names none.
func (s *Scheduler) accessibleFrom(j *jobs.Job, queue string) bool {
	return queue == "" || queue == j.Queue || s.config.Route(j.Queue) == nil
}

func (s *Scheduler) cancel(c *protocol.Cancel) int {
	if j := s.jobs.Get(c.GetId()); j != nil && !s.accessibleFrom(j, c.GetQueue()) {
		return http.StatusGone
	}
	if !s.jobs.Cancel(c.GetId(), s.wallMs) {
		return http.StatusGone
	}
	return http.StatusOK
}

// updateConfig evaluates an operator's order. One that was taken before is acknowledged again; one so old that this
// is not known any more gets no clear answer.
func (s *Scheduler) updateConfig(c *protocol.ConfigOrder) (int, string) {
	name := updateDigest(c)
	if s.updates.contains(name) {
		return http.StatusOK, ""
	}
	if s.updates.mayHaveForgotten(c.GetIfMatch()) {
		return http.StatusServiceUnavailable, fmt.Sprintf("If-Match: an order on version %d may have been taken long ago; the current version is %d", c.GetIfMatch(), s.config.Version)
	}
	if c.GetIfMatch() != s.config.Version {
		return http.StatusPreconditionFailed, fmt.Sprintf("the current version is %d", s.config.Version)
	}
	change, err := s.config.Apply(c.GetBody(), c.GetPatch())
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	for name, item := range change.Items {
		if item == nil {
			s.writes.Delete(configPrefix + name)
			continue
		}
		s.put(configPrefix+name, item)
	}
	s.put(configKey, change.Table.Record())
	s.updates.record(name, change.Table.Record(), s.writes)
	s.config = change.Table
	return http.StatusOK, ""
}
