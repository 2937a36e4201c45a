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

// catalog is what all discoveries know; each tells it to its own dispatcher unless it is held.
type catalog struct {
	mu      sync.Mutex
	rev     int
	targets []target
	changed chan struct{}   // closed at each change
	held    map[int]version // by member: the last that its discovery tells; absent for all
	mute    map[int]bool    // members whose discovery answers nobody
}

// version is the list at a time.
type version struct {
	rev     int
	targets []target
}

// target is an entry of the list, in discovery's form.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	Kind     string `json:"model"`
	State    string `json:"state"`
	Weight   int    `json:"capacity_hint"`
	Boot     int64  `json:"boot_ms"`
	rev      int    // the version in which it changed last
}

func newCatalog() *catalog {
	return &catalog{changed: make(chan struct{}), held: map[int]version{}, mute: map[int]bool{}}
}

// change makes a new version by an edit of one entry, or of a new one at the end.
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

func (c *catalog) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// hold has a member's discovery tell nothing newer from now on, or everything again.
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

// silence has a member's discovery answer no new call, or answer again.
func (c *catalog) silence(member int, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mute[member] = on
}

// deaf tells whether a member's discovery tells it nothing newer.
func (c *catalog) deaf(member int) bool {
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

// list returns what a member's discovery tells of the versions after one; from -1 on the
// whole list. Text is empty where there is nothing new.
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
	text, _ = json.Marshal(map[string]any{"rev": v.rev, "all": after < 0, "targets": some}) // plain values
	return v.rev, append(text, '\n'), c.changed
}

// handler is one member's discovery.
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
			case <-time.After(2 * time.Second): // discovery's own pace
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			}
		}
	})
}

// sending is a job that came to a runner.
type sending struct {
	runner, member string
	at             time.Time
}

// runners are the stand-ins for all runners. A job's id begins with its dispatcher's name.
type runners struct {
	work    time.Duration
	slots   int // that a runner has; 0 for any number
	queue   int // jobs that may wait for one
	at      map[string]*busy
	full    int                        // jobs that were turned away
	clients func(member string) string // where call-backs go

	hold    bool                     // keyed jobs are not said to be done the first time
	broken  map[string]bool          // runners that hang up on every job
	lags    map[string]float64       // how many times slower runners do parts of gangs
	hung    map[string]bool          // runners that stand still
	parts   map[string]chan struct{} // parts under way; closed when they are recalled
	tries   map[string]int           // sendings of each part
	cold    coldness
	warming map[string]*warming // runners that have started again
	fallen  []string            // those that got too much meanwhile

	turns  map[string]bool // runners that turn every job away unseen
	spoilt map[string]bool // keys of jobs that fail without an effect
	unsaid map[string]bool // keys of jobs that have their effect and are not said to be done
	order  []effect        // in the order in which they were had

	mu      sync.Mutex
	sent    []sending
	effects map[string]map[string]int // by key: how often in which zone, repeats dropped
	http    http.Client
}

func (s *runners) handler(uid, zone string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			s.recalled(uid, strings.TrimPrefix(r.URL.Path, "/jobs/"))
			return
		}
		if r.Method != http.MethodPost {
			return // a probe, or a recall of what is done in a moment
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
			panic(http.ErrAbortHandler) // net/http hangs up
		}
		s.came(uid)
		if s.turns[uid] || !s.room(uid) {
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
			if s.spoilt[key] {
				s.mu.Unlock()
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			held = s.hold && len(s.effects[key]) == 0 && (!ofFlow || strings.HasSuffix(r.URL.Path, "/hang")) || s.unsaid[key] // the first says nothing more; a repeat is answered at once
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
			us, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/reel/")) // the clients' own
			go s.works(uid, member, id, time.Duration(us)*time.Microsecond)
			return
		}
		s.begin(uid, func() {
			s.mu.Lock()
			takes := time.Duration(float64(s.work) / s.share(uid))
			s.mu.Unlock()
			time.AfterFunc(takes, func() {
				s.over(uid)
				s.report(member, map[string]any{"id": id, "from": uid, "state": "started"})
				s.report(member, map[string]any{"id": id, "from": uid, "state": "done", "result": "done by " + uid})
			})
		})
	})
}

// report makes a call-back, again where it is not answered, as runners do.
func (s *runners) report(member string, event map[string]any) {
	text, _ := json.Marshal(event) // plain values
	for range 5 {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.clients(member)+"/v1/job-events", bytes.NewReader(text))
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

// patience is how long a client waits; slack what an answer may take beyond.
const (
	jobPatience = 2 * time.Second
	jobSlack    = 300 * time.Millisecond
)

// serve opens a stand-in.
func serve(addr string, h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, "", fmt.Errorf("stand-in: %w", err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // until it is closed
	return s, l.Addr().String(), nil
}
