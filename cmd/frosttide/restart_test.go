package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// serveAll makes the runner accept every job and report it done up to 40 ms later, until the test
// ends.
func (r *runner) serveAll(t *testing.T, addr string) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: testTimeout}
	go func() {
		for {
			var h *runnerRequest
			select {
			case h = <-r.requests:
			case <-stop:
				return
			}
			if h.Method != http.MethodPost {
				h.reply(200, "")
				continue
			}
			h.reply(202, "")
			id := h.id()
			time.AfterFunc(time.Duration(rand.N(40))*time.Millisecond, func() {
				for _, state := range []string{"started", "done"} {
					for range 10 { // runners repeat reports too
						resp, err := client.Post("http://"+addr+"/v1/job-events", "application/json", strings.NewReader(jobEvent(id, r.uid, state)))
						if err == nil {
							resp.Body.Close()
							if resp.StatusCode/100 == 2 {
								break
							}
						}
					}
				}
			})
		}
	}()
}

// keepAliveClients counts the outcomes of the requests of clients with keep-alive connections.
type keepAliveClients struct {
	// answered counts requests with status 200 or 503, closed the connections that the dispatcher
	// closed after a response or while idle, crossed the requests that were sent while the dispatcher
	// closed the connection, and unreachable the retries that could not connect.
	answered, closed, crossed, unreachable atomic.Int64

	mu   sync.Mutex
	lost []string // descriptions of the failures
}

func (e *keepAliveClients) recordLoss(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = append(e.lost, fmt.Sprintf(format, args...))
}

// run runs one client. It sends requests on its connection at random intervals while that is open,
// and repeats a request once on a new connection if the dispatcher closed the old one while the
// request was on its way. After stop is closed, mustClose requires that the dispatcher closes the
// connection.
func (e *keepAliveClients) run(d *dispatcher, rng *rand.Rand, name string, job func(id string) *http.Request, stop <-chan struct{}, mustClose bool) {
	c, err := net.Dial("tcp", d.addr)
	if err != nil {
		e.recordLoss("%s: %v", name, err)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		wait := time.NewTimer(time.Duration(rng.IntN(400)) * time.Millisecond)
		select {
		case <-stop:
			wait.Stop()
			if mustClose { // its process has exited
				_ = c.SetReadDeadline(time.Now().Add(testTimeout))
				if _, err := in.Peek(1); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					e.recordLoss("%s: the connection is still open", name)
				}
				e.closed.Add(1)
			}
			return
		case <-wait.C:
		}
		req := job(fmt.Sprintf("%s-%d", name, n))
		status, last, err := exchange(c, in, req)
		switch {
		case err == nil && (status == 200 || status == 503):
			e.answered.Add(1)
			if last {
				e.closed.Add(1)
				return
			}
			continue
		case err == nil:
			e.recordLoss("%s: status %d, want 200 or 503", req.Header.Get("X-Trace-Id"), status)
			return
		case !errors.Is(err, errUnread):
			e.recordLoss("%s: %v", req.Header.Get("X-Trace-Id"), err)
			return
		}
		e.crossed.Add(1)
		retryConn, err := net.Dial("tcp", d.addr)
		if err != nil { // the process has exited without reading the request
			e.unreachable.Add(1)
			return
		}
		defer retryConn.Close()
		if status, _, err = exchange(retryConn, bufio.NewReader(retryConn), job(fmt.Sprintf("%s-%d-again", name, n))); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			e.recordLoss("%s: retry: status %d, %v", req.Header.Get("X-Trace-Id"), status, err)
		}
		return
	}
}

// errUnread means that the connection was closed before any byte of the response arrived.
var errUnread = errors.New("connection closed without a response")

// exchange sends a request and reads the response. last reports whether the connection closes after
// it.
func exchange(c net.Conn, in *bufio.Reader, req *http.Request) (status int, last bool, err error) {
	if err := req.Write(c); err != nil {
		return 0, true, errUnread
	}
	if _, err := in.Peek(1); err != nil {
		return 0, true, errUnread
	}
	resp, err := http.ReadResponse(in, req)
	if err != nil {
		return 0, true, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return resp.StatusCode, true, err
	}
	return resp.StatusCode, resp.Close, nil
}

// TestBusyRestart checks a planned restart under load: 200 clients keep sending on their
// connections until the process exits. The process answers each request or closes the connection
// between two requests, no connection outlives it, and every job that a runner got is answered.
func TestBusyRestart(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		for _, mode := range []string{"alone", "succeeded"} {
			t.Run(mode, func(t *testing.T) {
				t.Parallel()
				a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
				edits := []func(*dispatcher){dep.applySettings}
				if mode == "succeeded" {
					edits = append(edits, withInheritedListener)
				}
				disc := newDiscovery(t)
				go func() {
					for w := range disc.watches { // the list never changes
						if w.query == "" {
							w.lines <- targetList(41, true, dep.entry(a, "SERVING"), dep.entry(b, "SERVING"))
							close(w.lines)
						}
					}
				}()
				d := startWith(t, disc.URL, 1024, []string{dep.entry(a, "SERVING"), dep.entry(b, "SERVING")}, edits...)
				for _, r := range []*runner{a, b} {
					r.serveAll(t, d.addr)
				}
				class := dep.Settings.Classes[0].Name
				job := func(id string) *http.Request { return d.jobRequest(class, id, dep.withClassHeaders(0)) }
				var e keepAliveClients
				var all sync.WaitGroup
				stop := make(chan struct{})
				for i := range 200 {
					all.Go(func() {
						e.run(d, rand.New(rand.NewPCG(uint64(i), 5)), fmt.Sprintf("c%d", i), job, stop, mode == "alone")
					})
				}
				if mode == "succeeded" {
					d.startSuccessor()
				}
				for e.answered.Load() < 400 { // until the clients are busy
					<-time.After(5 * time.Millisecond)
				}
				terminatedAt := time.Now()
				if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				if err := await(t, d.exited, "exit of the process"); err != nil {
					t.Errorf("the process exited with %v, want status 0", err)
				}
				if took := time.Since(terminatedAt); took > 3700*time.Millisecond {
					t.Errorf("the process exited %v after SIGTERM, want 3.7 s at most, when the platform kills it", took)
				}
				close(stop)
				all.Wait()
				t.Logf("%d requests answered, %d connections closed after a response or while idle, %d requests crossed by a close, %d retries without a connection", e.answered.Load(), e.closed.Load(), e.crossed.Load(), e.unreachable.Load())
				if len(e.lost) > 0 {
					t.Errorf("%d failures, want none: %v", len(e.lost), e.lost[:min(len(e.lost), 5)])
				}
				if mode == "alone" && e.closed.Load()+e.crossed.Load() < 200 {
					t.Errorf("%d of 200 connections were closed, want all", e.closed.Load()+e.crossed.Load())
				}
			})
		}
	})
}
