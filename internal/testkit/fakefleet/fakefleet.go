// Package fakefleet plays discovery and two small runners on loopback, so that a
// newcomer can see a dispatcher at work. The runners take any job, work on it for a
// while and report it done.
package fakefleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// Fleet is discovery and its runners. Make it with Start.
type Fleet struct {
	catalog *catalog
	servers []*http.Server
}

// Start opens the addresses: discovery's, and one for each runner. Dispatcher is where
// call-backs go; work is how long a job runs.
func Start(discovery, dispatcher string, runners []string, work time.Duration, log logrus.FieldLogger) (*Fleet, error) {
	f := &Fleet{catalog: &catalog{log: log, changed: make(chan struct{})}}
	for i, addr := range runners {
		r := &runner{uid: fmt.Sprintf("s-toy%d", i+1), dispatcher: dispatcher, work: work, log: log, recalled: map[string]bool{}}
		f.catalog.targets = append(f.catalog.targets, listedRunner{UID: r.uid, Endpoint: addr, Zone: "studio", Kind: "toy",
			State: "SERVING", Weight: 1})
		if err := f.serve(addr, r); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.serve(discovery, f.catalog); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("toy fleet: %w", err)
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.catalog.log.WithError(err).Error("toy fleet: a server has ended")
		}
	}()
	return nil
}

// ToggleDraining drains a runner, by its number from 0, or brings it back.
func (f *Fleet) ToggleDraining(i int) { f.catalog.toggleDraining(i) }

// Close ends all servers at once.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		s.Close()
	}
}

// listedRunner is one entry of the list.
type listedRunner struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Weight   float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// catalog is discovery.
type catalog struct {
	log     logrus.FieldLogger
	mu      sync.Mutex
	rev     int
	targets []listedRunner
	changed chan struct{} // closed at the next change
}

func (c *catalog) toggleDraining(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.targets[i]
	if t.State == "SERVING" {
		t.State = "DRAINING"
	} else {
		t.State = "SERVING"
	}
	c.log.WithFields(logrus.Fields{"target": t.UID, "state": t.State}).Info("list changed")
	c.rev++
	close(c.changed)
	c.changed = make(chan struct{})
}

// snapshot returns the whole list and what tells of the next change.
func (c *catalog) snapshot() ([]byte, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(map[string]any{"rev": c.rev, "all": true, "targets": c.targets})
	if err != nil {
		c.log.WithError(err).Error("the list can't be written")
	}
	return append(text, '\n'), c.changed
}

// ServeHTTP answers with the list, and to a watch with the list at every change
// and an empty line when there was none for two seconds.
func (c *catalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	text, changed := c.snapshot()
	w.Write(text)
	for r.URL.Query().Get("watch") == "1" {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-changed:
			text, changed = c.snapshot()
			w.Write(text)
		case <-time.After(2 * time.Second):
			io.WriteString(w, "\n")
		case <-r.Context().Done():
			return
		}
	}
}

// runner takes jobs.
type runner struct {
	uid, dispatcher string
	work            time.Duration
	log             logrus.FieldLogger
	mu              sync.Mutex
	recalled        map[string]bool // jobs that are held, and whether they were recalled
}

func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	log := s.log.WithField("runner", s.uid)
	switch r.Method {
	case http.MethodGet: // GET /ping
		w.WriteHeader(http.StatusOK)
	case http.MethodDelete: // DELETE /jobs/ID
		id := r.URL.Path[len("/jobs/"):]
		log.WithField("id", id).Info("job recalled")
		s.mu.Lock()
		if _, held := s.recalled[id]; held {
			s.recalled[id] = true
		}
		s.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		id := r.Header.Get("X-Trace-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		log.WithField("id", id).Info("job taken")
		s.mu.Lock()
		s.recalled[id] = false
		s.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		go s.run(id, fmt.Sprintf("%s cut %d bytes for %s\n", s.uid, len(body), r.URL.Path))
	}
}

// run works on a job and reports on it.
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

// report makes a call-back, at most ten times until it is answered.
func (s *runner) report(event map[string]any) {
	text, err := json.Marshal(event)
	if err != nil {
		s.log.WithError(err).Error("call-back can't be written")
		return
	}
	for range 10 {
		resp, err := http.Post("http://"+s.dispatcher+"/v1/job-events", "application/json", bytes.NewReader(text))
		if err == nil {
			resp.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.log.WithField("runner", s.uid).Warn("call-back not answered")
}
