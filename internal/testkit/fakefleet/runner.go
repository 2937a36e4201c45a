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
	// reportAttempts bounds how often a report is sent until it is answered, and reportInterval is the time between.
	reportAttempts = 10
	reportInterval = 100 * time.Millisecond
)

// runner is an HTTP handler that accepts jobs.
type runner struct {
	uid, dispatcher string
	work            time.Duration // how long a job runs
	log             logrus.FieldLogger
	mu              sync.Mutex
	recalled        map[string]bool // by the id of an open job, whether it was recalled; guarded by mu
}

// ServeHTTP answers health checks (GET), recalls (DELETE /jobs/ID) and jobs (any other method).
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

// recall notes that the dispatcher does not want a job any more.
func (s *runner) recall(id string) {
	s.log.WithField("runner", s.uid).WithField("id", id).Info("Job recalled")
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, open := s.recalled[id]; open {
		s.recalled[id] = true
	}
}

// accept takes a job and starts it.
func (s *runner) accept(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.log.WithField("runner", s.uid).WithField("id", id).Info("Job taken")
	s.mu.Lock()
	s.recalled[id] = false
	s.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
	go s.run(id, fmt.Sprintf("%s cut %d bytes for %s\n", s.uid, len(body), r.URL.Path))
}

// run works on a job and reports it done, unless it was recalled meanwhile. The goroutine ends by itself: after the
// work and the attempts to report.
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

// report sends a job event to the dispatcher, again until it is answered or the attempts are used up.
func (s *runner) report(event map[string]any) {
	text, err := json.Marshal(event)
	if err != nil {
		s.log.WithError(err).Error("A job event can't be encoded")
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
	s.log.WithField("runner", s.uid).Warn("A job event is not answered")
}
