package fakefleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// reportAttempts is the maximum number of times that a job event is sent, and reportInterval
	// the time between these attempts.
	reportAttempts = 10
	reportInterval = 100 * time.Millisecond
)

// runner is the HTTP handler of a fake runner.
type runner struct {
	uid, dispatcher string
	work            time.Duration // duration of a job
	log             logrus.FieldLogger
	mu              sync.Mutex
	recalled        map[string]bool // whether each open job was recalled, by job ID; guarded by mu
}

// ServeHTTP handles health checks (GET), recalls (DELETE /jobs/ID) and jobs (any other method).
func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.WriteHeader(http.StatusOK)
	case http.MethodDelete:
		s.recall(strings.TrimPrefix(r.URL.Path, "/jobs/"))
		w.WriteHeader(http.StatusNoContent)
	default:
		s.accept(w, r)
	}
}

// recall marks an open job as recalled by the dispatcher. Jobs that are not open are ignored.
func (s *runner) recall(id string) {
	s.log.WithField("runner", s.uid).WithField("id", id).Info("Job recalled")
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.recalled[id]; open {
		s.recalled[id] = true
	}
}

// accept answers a job with 202 (Accepted) and starts it.
func (s *runner) accept(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.log.WithField("runner", s.uid).WithField("id", id).Info("Job accepted")
	s.mu.Lock()
	s.recalled[id] = false
	s.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	go s.run(id, fmt.Sprintf("%s cut %d bytes for %s\n", s.uid, len(body), r.URL.Path))
}

// run reports a job as started, waits for its duration and reports it as done, unless it was
// recalled in the meantime. Its goroutine is not stopped by Close; it ends after the last attempt
// to report.
func (s *runner) run(id, result string) {
	s.report(map[string]any{"id": id, "from": s.uid, "state": "started"})
	time.Sleep(s.work)
	s.mu.Lock()
	recalled := s.recalled[id]
	delete(s.recalled, id)
	s.mu.Unlock()
	if !recalled {
		s.report(map[string]any{"id": id, "from": s.uid, "state": "done", "result": result})
	}
}

// report sends a job event to the dispatcher. It retries until there is a response, whatever its
// status, or the attempts are used up.
func (s *runner) report(event map[string]any) {
	text, err := json.Marshal(event)
	if err != nil {
		s.log.WithError(err).Error("Encoding a job event failed")
		return
	}
	for range reportAttempts {
		resp, err := http.Post("http://"+s.dispatcher+"/v1/job-events", "application/json", bytes.NewReader(text))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(reportInterval)
	}
	s.log.WithField("runner", s.uid).Warn("Job event dropped: no response from the dispatcher")
}
