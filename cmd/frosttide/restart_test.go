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

// serveAll has a runner take every job and report it done after a while, until the test ends.
func (r *runner) serveAll(t *testing.T, addr string) {
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	call := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: testTimeout}
	go func() {
		for {
			var h *runnerRequest
			select {
			case h = <-r.requests:
			case <-over:
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
					for range 10 { // as runners do
						resp, err := call.Post("http://"+addr+"/v1/job-events", "application/json", strings.NewReader(jobEvent(id, r.uid, state)))
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

// keepAliveClients count what became of the requests of clients that keep their connections.
type keepAliveClients struct {
	answered, closed, crossed, unreachable atomic.Int64
	mu                                     sync.Mutex
	lost                                   []string
}

func (e *keepAliveClients) recordLoss(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = append(e.lost, fmt.Sprintf(format, args...))
}

// keep is one client: it sends on its connection at random moments for as long as that is
// open, and once more on a new one where a close has crossed its request. Gone tells that its
// connection has to be closed when it is over.
func (e *keepAliveClients) keep(d *dispatcher, rng *rand.Rand, name string, job func(id string) *http.Request, over <-chan struct{}, gone bool) {
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
		case <-over:
			wait.Stop()
			if gone { // nobody owns it any more
				_ = c.SetReadDeadline(time.Now().Add(testTimeout))
				if _, err := in.Peek(1); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					e.recordLoss("%s: the connection lives on", name)
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
			e.recordLoss("%s: status %d", req.Header.Get("X-Trace-Id"), status)
			return
		case !errors.Is(err, errUnread):
			e.recordLoss("%s: %v", req.Header.Get("X-Trace-Id"), err)
			return
		}
		e.crossed.Add(1)
		again, err := net.Dial("tcp", d.addr)
		if err != nil { // it has ended, and nobody took the request
			e.unreachable.Add(1)
			return
		}
		defer again.Close()
		if status, _, err = exchange(again, bufio.NewReader(again), job(fmt.Sprintf("%s-%d-again", name, n))); err != nil && !errors.Is(err, syscall.ECONNRESET) {
			e.recordLoss("%s: sent once more: status %d, %v", req.Header.Get("X-Trace-Id"), status, err)
		}
		return
	}
}

// errUnread is the error of a connection that was closed before a byte of the response.
var errUnread = errors.New("closed without an answer")

// exchange sends a request and reads its answer, and reports whether the connection ends with it.
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

// TestBusyRestart guards the planned restart from what clients do: 200 keep their
// connections and send on each that stays open until the process is gone. Each connection is
// answered or closed between two requests, none lives on, and nothing that a runner got stays
// without its answer.
func TestBusyRestart(t *testing.T) {
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		for _, way := range []string{"alone", "succeeded"} {
			t.Run(way, func(t *testing.T) {
				t.Parallel()
				a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
				edits := []func(*dispatcher){dep.applySettings}
				if way == "succeeded" {
					edits = append(edits, withInheritedListener)
				}
				disc := newDiscovery(t)
				go func() {
					for w := range disc.watches { // it has nothing new to tell
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
				over := make(chan struct{})
				for i := range 200 {
					all.Go(func() {
						e.keep(d, rand.New(rand.NewPCG(uint64(i), 5)), fmt.Sprintf("c%d", i), job, over, way == "alone")
					})
				}
				if way == "succeeded" {
					d.startSuccessor()
				}
				for e.answered.Load() < 400 { // all are at work
					<-time.After(5 * time.Millisecond)
				}
				told := time.Now()
				if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				if err := await(t, d.exited, "end of the process"); err != nil {
					t.Errorf("it ended with %v", err)
				}
				if took := time.Since(told); took > 3700*time.Millisecond {
					t.Errorf("it ended %v after SIGTERM, and would have been killed before", took)
				}
				close(over)
				all.Wait()
				t.Logf("%d answered, %d closed with an answer, %d crossed by a close, %d unreachable", e.answered.Load(), e.closed.Load(), e.crossed.Load(), e.unreachable.Load())
				if len(e.lost) > 0 {
					t.Errorf("%d lost: %v", len(e.lost), e.lost[:min(len(e.lost), 5)])
				}
				if way == "alone" && e.closed.Load()+e.crossed.Load() < 200 {
					t.Errorf("%d of 200 connections were closed", e.closed.Load()+e.crossed.Load())
				}
			})
		}
	})
}
