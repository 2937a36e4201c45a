package size

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// fleet is many hollow workers in one process, and their discovery. The workers share one listener and
// are told apart by the address at which they are called; each takes any job and reports it done.
type fleet struct {
	dispatcher string
	work       time.Duration // that a worker is at a job
	listener   net.Listener
	server     *http.Server
	call       *http.Client
	catalog    *catalog
	discovery  *http.Server
	at         string // discovery's address
	connected  atomic.Int64
	reports    sync.WaitGroup
	takes      func(worker, job string) (bool, time.Duration) // whether a worker has room, and the job's work; nil for any job
	ended      func(worker string)                            // a job that was taken has ended; nil for nobody
}

// uid names a worker by its address.
func uid(ip string) string { return "s-" + ip }

// endpoint is the address of a worker by its number from 0.
func endpoint(i int) string { return fmt.Sprintf("127.21.%d.%d", i/250, i%250+1) }

// openFleet opens a plan's fleet of workers for a dispatcher.
func openFleet(p Plan, dispatcher string) (*fleet, error) {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("hollow workers: %w", err)
	}
	d, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("discovery: %w", err)
	}
	_, port, _ := net.SplitHostPort(l.Addr().String())
	f := &fleet{dispatcher: dispatcher, work: p.Work, listener: l, at: d.Addr().String(), catalog: newCatalog(p, port),
		call: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 5 * time.Second}}
	f.server = &http.Server{Handler: http.HandlerFunc(f.worker), ConnState: func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			f.connected.Add(1)
		}
	}}
	f.discovery = &http.Server{Handler: f.catalog}
	go func() { _ = f.server.Serve(l) }()
	go func() { _ = f.discovery.Serve(d) }()
	return f, nil
}

// close ends the fleet.
func (f *fleet) close() {
	f.server.Close()
	f.discovery.Close()
	f.reports.Wait()
	f.call.CloseIdleConnections()
}

// worker takes a job.
func (f *fleet) worker(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusOK)
		return
	}
	local := r.Context().Value(http.LocalAddrContextKey).(net.Addr).(*net.TCPAddr)
	id, from, work := r.Header.Get("X-Trace-Id"), uid(local.IP.String()), f.work
	if f.takes != nil {
		room := false
		if room, work = f.takes(from, id); !room {
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusAccepted)
	f.reports.Go(func() { f.run(id, from, work) })
}

// run reports a job as a worker does that works on it.
func (f *fleet) run(id, from string, work time.Duration) {
	if work < 0 { // it stands still
		return
	}
	f.report(id, from, "started")
	time.Sleep(work)
	if f.ended != nil {
		f.ended(from)
	}
	f.report(id, from, "done")
}

func (f *fleet) report(id, from, state string) {
	text, err := json.Marshal(map[string]string{"id": id, "from": from, "state": state, "result": "x"})
	if err != nil {
		return // can't be: strings
	}
	resp, err := f.call.Post("http://"+f.dispatcher+"/v1/job-events", "application/json", bytes.NewReader(text))
	if err == nil {
		resp.Body.Close()
	}
}

// catalog is discovery: a list that changes all the time, one worker at a time.
type catalog struct {
	mu      sync.Mutex
	rev     uint64
	targets []target
	every   time.Duration // between two changes; 0 for no changes
	batch   int           // entries of each
	bytes   atomic.Int64  // written to watches and calls
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

func newCatalog(p Plan, port string) *catalog {
	c := &catalog{rev: 1}
	switch perBatch := p.Changes * changeEvery.Seconds(); {
	case perBatch >= 1:
		c.every, c.batch = changeEvery, int(math.Round(perBatch))
	case p.Changes > 0:
		c.every, c.batch = time.Duration(float64(time.Second)/p.Changes), 1
	}
	for i := range p.Workers {
		c.targets = append(c.targets, target{UID: uid(endpoint(i)), Endpoint: endpoint(i) + ":" + port, Zone: "a", Kind: "m",
			Cell: i / 6, State: "SERVING", Weight: 1})
	}
	return c
}

// whole returns the list.
func (c *catalog) whole() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(map[string]any{"rev": c.rev, "all": true, "targets": c.targets})
}

// change drains workers or brings them back, and returns what a watch is told of it.
func (c *catalog) change() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rev++
	var changed []target
	for i := range c.batch {
		t := &c.targets[(int(c.rev)+i)*7919%len(c.targets)]
		if t.State == "SERVING" {
			t.State = "DRAINING"
		} else {
			t.State = "SERVING"
		}
		changed = append(changed, *t)
	}
	return json.Marshal(map[string]any{"rev": c.rev, "all": false, "targets": changed})
}

// next waits for the next change, or for the time in which a watch has to say something, and returns
// what it is told.
func (c *catalog) next(ctx context.Context, changed *time.Time) ([]byte, error) {
	wait := beatEvery
	if c.every > 0 {
		wait = min(wait, time.Until(changed.Add(c.every)))
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.every == 0 || time.Since(*changed) < c.every {
		return nil, nil // an empty line
	}
	*changed = time.Now()
	return c.change()
}

// ServeHTTP answers a call for the list, and a watch with the changes since it began.
func (c *catalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := c.whole()
	changed := time.Now()
	for watch := r.URL.Query().Get("watch") == "1"; err == nil; text, err = c.next(r.Context(), &changed) {
		n, _ := w.Write(append(text, '\n'))
		c.bytes.Add(int64(n))
		if !watch || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
