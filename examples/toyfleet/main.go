// Command toyfleet plays discovery and two small runners on loopback, so that a
// newcomer can see a dispatcher at work. The runners take any job, work on it
// for a second and report it done; SIGUSR1 drains the second runner or brings it
// back, which discovery tells at once.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "address to serve the list at")
	dispatcher := flag.String("dispatcher", "127.0.0.1:8081", "where the dispatcher takes call-backs")
	work := flag.Duration("work", time.Second, "how long a job runs")
	flag.Parse()
	c := &catalog{changed: make(chan struct{})}
	for i, addr := range []string{"127.0.0.1:9101", "127.0.0.1:9102"} {
		r := &runner{uid: fmt.Sprintf("s-toy%d", i+1), dispatcher: *dispatcher, work: *work, recalled: map[string]bool{}}
		c.targets = append(c.targets, target{UID: r.uid, Endpoint: addr, Zone: "studio", Kind: "toy", State: "SERVING",
			Weight: 1})
		go serve(addr, r)
	}
	usr := make(chan os.Signal, 1)
	signal.Notify(usr, syscall.SIGUSR1)
	go func() {
		for range usr {
			c.toggle(1)
		}
	}()
	logrus.WithField("discovery", *discovery).Info("toy fleet serves")
	serve(*discovery, c)
}

func serve(addr string, h http.Handler) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		logrus.WithError(err).Fatal("toy fleet can't listen")
	}
	logrus.WithError(http.Serve(l, h)).Fatal("toy fleet ends")
}

// target is one entry of the list.
type target struct {
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
	mu      sync.Mutex
	rev     int
	targets []target
	changed chan struct{} // closed at the next change
}

func (c *catalog) toggle(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.targets[i]
	if t.State == "SERVING" {
		t.State = "DRAINING"
	} else {
		t.State = "SERVING"
	}
	logrus.WithFields(logrus.Fields{"target": t.UID, "state": t.State}).Info("list changed")
	c.rev++
	close(c.changed)
	c.changed = make(chan struct{})
}

// list returns the whole list and what tells of the next change.
func (c *catalog) list() ([]byte, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(map[string]any{"rev": c.rev, "all": true, "targets": c.targets})
	if err != nil {
		logrus.WithError(err).Fatal("the list can't be written")
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
	text, changed := c.list()
	w.Write(text)
	for r.URL.Query().Get("watch") == "1" {
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-changed:
			text, changed = c.list()
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
	mu              sync.Mutex
	recalled        map[string]bool // jobs that are held, and whether they were recalled
}

func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	log := logrus.WithField("runner", s.uid)
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
		logrus.WithError(err).Error("call-back can't be written")
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
	logrus.WithField("runner", s.uid).Warn("call-back not answered")
}
