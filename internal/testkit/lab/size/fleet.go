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

// fleet is a set of simulated workers in this process, and their discovery service. The workers
// share one listener and are distinguished by the local address of a connection. Each accepts any
// job, unless accept says otherwise, and reports its start and end. accept returns whether the
// worker accepts a job, and the job's run time.
type fleet struct {
	dispatcher string
	work       time.Duration // run time of a job
	listener   net.Listener
	server     *http.Server
	call       *http.Client
	catalog    *catalog
	discovery  *http.Server
	at         string                                         // discovery's address
	connected  atomic.Int64                                   // connections accepted by the workers
	reports    sync.WaitGroup                                 // accepted jobs that have not ended
	accept     func(worker, job string) (bool, time.Duration) // nil accepts all jobs
	ended      func(worker string)                            // called when a job ends; may be nil
}

// uid returns the UID of the worker with an IP address.
func uid(ip string) string { return "s-" + ip }

// endpoint returns the IP address of worker i, counted from 0.
func endpoint(i int) string { return fmt.Sprintf("127.21.%d.%d", i/250, i%250+1) }

// openFleet starts the workers of a plan and their discovery. The workers report to the dispatcher
// at the given address. The caller closes the fleet.
func openFleet(p Plan, dispatcher string) (*fleet, error) {
	l, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("simulated workers: %w", err)
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

// close stops the servers and waits for accepted jobs to end.
func (f *fleet) close() {
	f.server.Close()
	f.discovery.Close()
	f.reports.Wait()
	f.call.CloseIdleConnections()
}

// worker handles a request to a worker: a job by POST, or a health check by any other method.
func (f *fleet) worker(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusOK)
		return
	}
	local := r.Context().Value(http.LocalAddrContextKey).(net.Addr).(*net.TCPAddr)
	id, from, work := r.Header.Get("X-Trace-Id"), uid(local.IP.String()), f.work
	if f.accept != nil {
		room := false
		if room, work = f.accept(from, id); !room {
			w.Header().Set("X-Never-Ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusAccepted)
	f.reports.Go(func() { f.run(id, from, work) })
}

// run reports the start of a job, waits for its run time and reports its end.
func (f *fleet) run(id, from string, work time.Duration) {
	if work < 0 { // the worker hangs
		return
	}
	f.report(id, from, "started")
	time.Sleep(work)
	if f.ended != nil {
		f.ended(from)
	}
	f.report(id, from, "done")
}

// report sends a job's state to the dispatcher. Errors are ignored.
func (f *fleet) report(id, from, state string) {
	text, err := json.Marshal(map[string]string{"id": id, "from": from, "state": state, "result": "x"})
	if err != nil {
		return // can't happen: all values are strings
	}
	resp, err := f.call.Post("http://"+f.dispatcher+"/v1/job-events", "application/json", bytes.NewReader(text))
	if err == nil {
		resp.Body.Close()
	}
}

// catalog is the discovery service: a list of workers that drain and come back in turn.
type catalog struct {
	mu       sync.Mutex
	rev      uint64
	targets  []target
	interval time.Duration // interval between changes; 0 for no changes
	batch    int           // entries per change
	bytes    atomic.Int64  // sent in all responses
}

// target is the entry of a worker in the list.
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
	switch perBatch := p.Changes * changeInterval.Seconds(); {
	case perBatch >= 1:
		c.interval, c.batch = changeInterval, int(math.Round(perBatch))
	case p.Changes > 0:
		c.interval, c.batch = time.Duration(float64(time.Second)/p.Changes), 1
	}
	for i := range p.Workers {
		c.targets = append(c.targets, target{UID: uid(endpoint(i)), Endpoint: endpoint(i) + ":" + port, Zone: "a", Kind: "m",
			Cell: i / 6, State: "SERVING", Weight: 1})
	}
	return c
}

// fullList returns the complete list as JSON.
func (c *catalog) fullList() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(map[string]any{"rev": c.rev, "all": true, "targets": c.targets})
}

// change toggles a batch of workers between serving and draining, and returns the update as JSON.
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

// next waits for the next change or heartbeat of a watch, and returns the line to send, empty for a
// heartbeat. changed is the time of the watch's last change.
func (c *catalog) next(ctx context.Context, changed *time.Time) ([]byte, error) {
	wait := heartbeatInterval
	if c.interval > 0 {
		wait = min(wait, time.Until(changed.Add(c.interval)))
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if c.interval == 0 || time.Since(*changed) < c.interval {
		return nil, nil // heartbeat: an empty line
	}
	*changed = time.Now()
	return c.change()
}

// ServeHTTP sends the list, and to a watch (watch=1) also the changes from then on, one line each.
func (c *catalog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	text, err := c.fullList()
	changed := time.Now()
	for watch := r.URL.Query().Get("watch") == "1"; err == nil; text, err = c.next(r.Context(), &changed) {
		n, _ := w.Write(append(text, '\n'))
		c.bytes.Add(int64(n))
		if !watch || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
