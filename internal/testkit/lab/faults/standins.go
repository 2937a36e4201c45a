package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// catalog is the list of runners that discovery serves. Each member has a discovery of its own,
// which can be held at a version or muted.
type catalog struct {
	mu      sync.Mutex
	rev     int
	targets []target
	changed chan struct{}   // closed and replaced at each change
	held    map[int]version // by member: the version at which its discovery is held
	mute    map[int]bool    // members whose discovery answers no call
}

// version is the list of runners at a revision.
type version struct {
	rev     int
	targets []target
}

// target is a runner in discovery's format.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Kind     string `json:"model"`
	State    string `json:"state"`
	Weight   int    `json:"capacity_hint"`
	Boot     int64  `json:"boot_ms"`
	rev      int    // the revision in which it last changed
}

func newCatalog() *catalog {
	return &catalog{changed: make(chan struct{}), held: map[int]version{}, mute: map[int]bool{}}
}

// change edits entry i, or appends an entry if i is the length of the list, and makes that a new
// revision.
func (c *catalog) change(i int, edit func(*target)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rev++
	if i == len(c.targets) {
		c.targets = append(c.targets, target{})
	}
	edit(&c.targets[i])
	c.targets[i].rev = c.rev
	c.wake()
}

// wake notifies the watch requests. The caller holds c.mu.
func (c *catalog) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// hold keeps a member's discovery at the present version, or lifts that.
func (c *catalog) hold(member int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on {
		c.held[member] = version{c.rev, append([]target(nil), c.targets...)}
	} else {
		delete(c.held, member)
	}
	c.wake()
}

// silence has a member's discovery refuse new calls, or answer them again.
func (c *catalog) silence(member int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mute[member] = on
}

// isStale reports whether a member's discovery is held or muted.
func (c *catalog) isStale(member int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, held := c.held[member]
	return held || c.mute[member]
}

func (c *catalog) muted(member int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mute[member]
}

// list returns the revision that a member's discovery serves and the entries that changed after a
// revision, as JSON; the whole list if after is -1. text is empty if nothing is newer.
func (c *catalog) list(member, after int) (rev int, text []byte, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := version{c.rev, c.targets}
	if last, ok := c.held[member]; ok {
		v = last
	}
	if v.rev == after {
		return after, nil, c.changed
	}
	some := []target{}
	for _, t := range v.targets {
		if t.rev > after {
			some = append(some, t)
		}
	}
	// Plain values: Marshal does not fail.
	text, _ = json.Marshal(map[string]any{"rev": v.rev, "all": after < 0, "targets": some})
	return v.rev, append(text, '\n'), c.changed
}

// handler returns the HTTP handler of a member's discovery.
func (c *catalog) handler(member int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.muted(member) {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		told, text, changed := c.list(member, -1)
		w.Write(text)
		for r.URL.Query().Get("watch") == "1" {
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			select {
			case <-changed:
				told, text, changed = c.list(member, told)
				w.Write(text)
			case <-time.After(2 * time.Second): // keep-alive, as the real discovery
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
		}
	})
}

// sending is a job that reached a runner.
type sending struct {
	runner, member string
	at             time.Time
}

// runners are the stand-ins for all runners. A job's ID begins with the name of its dispatcher.
type runners struct {
	work         time.Duration
	slots        int // of each runner; 0 means no limit
	queue        int // jobs that may wait for a slot, at each runner
	loads        map[string]*runnerLoad
	queueFull    int                        // jobs that were rejected by a full queue
	callbackAddr func(member string) string // the address of a member for call-backs

	withholdFirst bool            // the first job of a key is not reported as done
	broken        map[string]bool // runners that close the connection on every job
	// Factor by which runners are slower at parts of gangs.
	slowdown map[string]float64
	// Runners that make no progress on parts and do not report.
	hung      map[string]bool
	parts     map[string]chan struct{} // parts in progress; closed on cancellation
	attempts  map[string]int           // how often each part was sent
	cold      coldStart
	warming   map[string]*warmup // runners that have restarted
	overloads []string           // a message for each runner that was overloaded

	rejecting map[string]bool // runners that reject every job before running it
	failing   map[string]bool // keys of jobs that fail without an effect
	// Keys of jobs that have their effect and are not reported as done.
	unreported map[string]bool
	order      []effect // in the order of their time

	mu      sync.Mutex
	sent    []sending
	effects map[string]map[string]int // by key and zone; 1, as repeats in a zone are dropped
	http    http.Client
}

// handler returns the HTTP handler of one runner.
func (s *runners) handler(uid, zone string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			s.cancelPart(uid, strings.TrimPrefix(r.URL.Path, "/jobs/"))
			return
		}
		if r.Method != http.MethodPost {
			return // a probe; cancellations are handled above
		}
		id := r.Header.Get("X-Trace-Id")
		member, _, _ := strings.Cut(id, ".")
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.sent = append(s.sent, sending{uid, member, time.Now()})
		if s.broken[uid] {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // has net/http close the connection
		}
		s.recordArrival(uid)
		if s.rejecting[uid] || !s.admit(uid) {
			s.mu.Unlock()
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		key, held := r.Header.Get("Idempotency-Key"), false
		if key != "" {
			if s.effects[key] == nil {
				s.effects[key] = map[string]int{}
			}
			ofFlow := strings.HasPrefix(key, "flow")
			if s.failing[key] {
				s.mu.Unlock()
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			// With withholdFirst, the first job of a key is not reported as done; a repeat is.
			held = s.withholdFirst && len(s.effects[key]) == 0 && (!ofFlow || strings.HasSuffix(r.URL.Path, "/hang")) || s.unreported[key]
			if s.effects[key][zone] == 0 {
				s.effects[key][zone] = 1
				s.order = append(s.order, effect{key, zone, time.Now()})
			}
		}
		s.mu.Unlock()
		w.WriteHeader(http.StatusAccepted)
		if held {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/reel/") {
			// Clients of scripts send valid numbers.
			us, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/reel/"))
			go s.runPart(uid, member, id, time.Duration(us)*time.Microsecond)
			return
		}
		s.startWhenFree(uid, func() {
			s.mu.Lock()
			takes := time.Duration(float64(s.work) / s.share(uid))
			s.mu.Unlock()
			time.AfterFunc(takes, func() {
				s.release(uid)
				s.report(member, map[string]any{"id": id, "from": uid, "state": "started"})
				s.report(member, map[string]any{"id": id, "from": uid, "state": "done", "result": "done by " + uid})
			})
		})
	})
}

// report sends a call-back to a member, with up to 5 attempts, as the real runners do.
func (s *runners) report(member string, event map[string]any) {
	text, _ := json.Marshal(event) // plain values: Marshal does not fail
	for range 5 {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callbackAddr(member)+"/v1/job-events", bytes.NewReader(text))
		if err != nil {
			cancel()
			return
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := s.http.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		cancel()
		if err == nil {
			return
		}
	}
}

// jobPatience is how long a client waits for a job; an answer may take jobSlack longer.
const (
	jobPatience = 2 * time.Second
	jobSlack    = 300 * time.Millisecond
)

// serve starts an HTTP server for a stand-in and returns its address.
func serve(addr string, h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", fmt.Errorf("stand-in: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // until it is closed
	return s, l.Addr().String(), nil
}
