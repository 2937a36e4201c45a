package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/monotime"
	"frosttide/internal/testkit/connpair"
)

// newerPeer is a newer process that serves until stop is called.
type newerPeer struct {
	Peer
	mu       sync.Mutex
	stopped  bool
	forwards int // number of ForwardReport calls
}

func (p *newerPeer) Linked() bool { return p.SuccessorServes() }

func (p *newerPeer) SuccessorServes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopped
}

// stop simulates the end of the newer process.
func (p *newerPeer) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// ForwardReport implements Peer: the newer process holds the job from the third call on.
func (p *newerPeer) ForwardReport(core.JobEvent, time.Time) core.ReportResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwards++; p.forwards < 3 {
		return core.NotHeld
	}
	return core.Held
}

// holdingCore holds every job until serveAll is called. It releases jobs immediately.
type holdingCore struct {
	Core
	mu           sync.Mutex
	held         map[string]core.Ingress
	released     int
	adopted      int
	onRelease    func()
	reportResult core.ReportResult // result of Report
}

func (c *holdingCore) Submit(job *core.Job, in core.Ingress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[job.ID] = in
}

func (c *holdingCore) Release(job *core.Job, done func(*core.MovedRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[job.ID] == nil {
		done(nil)
		return
	}
	delete(c.held, job.ID)
	c.released++
	if c.onRelease != nil {
		c.onRelease()
	}
	done(&core.MovedRequest{Attempts: []core.MovedAttempt{{UID: "s-1"}}})
}

func (c *holdingCore) Adopt(job *core.Job, _ *core.MovedRequest, in core.Ingress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adopted++
	c.held[job.ID] = in
}

func (c *holdingCore) Report(_ core.JobEvent, held func(core.ReportResult)) { held(c.reportResult) }

func (c *holdingCore) ClientLeft(*core.Job) {}

// counts returns the numbers of jobs that are held, and that were released and adopted.
func (c *holdingCore) counts() (held, released, adopted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held), c.released, c.adopted
}

// serveAll responds to all held jobs.
func (c *holdingCore) serveAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, in := range c.held {
		in.Respond(core.Response{Verdict: core.Served, Result: []byte("result")})
		delete(c.held, id)
	}
}

// startHoldingFront starts a front and as many clients, which send one job each. It returns when
// the core holds all jobs; responses receives the status of each response, or 0 if the
// connection ended without one.
func startHoldingFront(t *testing.T, holder *holdingCore, peer Peer, clients int) (front *Front, responses <-chan int) {
	t.Helper()
	cfg := Config{Classes: []Class{{Name: "a"}}, MaxSlots: 8, MaxJobs: clients, MaxConnections: clients, Recorder: noRecorder{}}
	front = New(cfg, holder, peer, noCounts{}, logrus.NewEntry(logrus.New()))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = front.Serve(listener) }()
	t.Cleanup(func() { _ = front.server.Close() })
	statuses := make(chan int, clients)
	for i := range clients {
		client, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { client.Close() })
		_, err = io.WriteString(client, strings.Replace(jobRequest, "Trace-Id: one", fmt.Sprintf("Trace-Id: job-%d", i), 1))
		require.NoError(t, err)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				statuses <- 0 // the connection was transferred or closed
				return
			}
			statuses <- response.StatusCode
		}()
	}
	requireEventually(t, func() bool { held, _, _ := holder.counts(); return held == clients })
	return front, statuses
}

func requireEventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, time.Millisecond)
}

// TestNewerProcessEndsAtRelease guards a client from a 502 response if the newer process ends
// just after the client's job was released for it: the job must be adopted again.
func TestNewerProcessEndsAtRelease(t *testing.T) {
	peer := &newerPeer{}
	holder := &holdingCore{held: map[string]core.Ingress{}, onRelease: peer.stop}
	front, responses := startHoldingFront(t, holder, peer, 1)
	front.HandOver(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
	requireEventually(t, func() bool { held, _, adopted := holder.counts(); return held == 1 && adopted == 1 })
	holder.serveAll()
	require.Equal(t, http.StatusOK, <-responses)
}

// adoptingCore holds jobs like holdingCore, and responds to a job when a report on it arrives.
type adoptingCore struct{ holdingCore }

func (c *adoptingCore) Report(event core.JobEvent, held func(core.ReportResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.held[event.ID]
	if in == nil {
		held(core.NotHeld)
		return
	}
	held(core.Held)
	delete(c.held, event.ID)
	in.Respond(core.Response{Verdict: core.Served, Result: event.Result})
}

// TestReportBeforeAdoptedJob guards a job from a 502 response if its last report arrives when
// the older process has ended and the newer one has the job's connection, but has not read the
// job from it yet: the report was acknowledged with 204 and dropped.
func TestReportBeforeAdoptedJob(t *testing.T) {
	front, client, serve := adoptOneJob(t, noPeer{})
	delivered := make(chan bool, 1)
	go func() { delivered <- front.deliverReport(core.JobEvent{ID: "one", State: core.JobDone}) }()
	select {
	case <-delivered:
		t.Fatal("the report was settled before the job was adopted")
	case <-time.After(2 * reportRetryInterval):
	}
	serve()
	requireStatusOK(t, client)
	require.True(t, <-delivered)
}

// adoptOneJob returns a front that has adopted the connection of a client whose job was already
// sent to a worker. The front does not read the job before serve is called.
func adoptOneJob(t *testing.T, peer Peer) (front *Front, client net.Conn, serve func()) {
	t.Helper()
	adopter := &adoptingCore{holdingCore{held: map[string]core.Ingress{}}}
	cfg := Config{Classes: []Class{{Name: "a"}}, MaxSlots: 8, MaxJobs: 1, MaxConnections: 8, Recorder: noRecorder{}}
	front = New(cfg, adopter, peer, noCounts{}, logrus.NewEntry(logrus.New()))
	client, server := connpair.New(t)
	moved := &core.MovedRequest{Deadline: monotime.Of(time.Now().Add(time.Hour)), Attempts: []core.MovedAttempt{{UID: "s-1"}}}
	require.True(t, front.Adopt(server, []byte(jobRequest), moved))
	return front, client, func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = front.Serve(listener) }()
		t.Cleanup(func() { _ = front.server.Close() })
	}
}

// TestAdoptedJobPastLimit guards a client from a 503 response, "try again", to a job that is
// already running, because the process that adopted it was at its limit of open jobs.
func TestAdoptedJobPastLimit(t *testing.T) {
	front, client, serve := adoptOneJob(t, noPeer{})
	front.SetLimits(0, 8)
	go front.deliverReport(core.JobEvent{ID: "one", State: core.JobDone})
	serve()
	requireStatusOK(t, client)
}

// requireStatusOK requires that a client gets a response with status 200.
func requireStatusOK(t *testing.T, client net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// silentPeer is an older process that does not answer forwarded reports before their deadline.
type silentPeer struct{ Peer }

func (silentPeer) Linked() bool          { return true }
func (silentPeer) SuccessorServes() bool { return false }

func (silentPeer) ForwardReport(_ core.JobEvent, deadline time.Time) core.ReportResult {
	time.Sleep(time.Until(deadline))
	return core.NotHeld
}

// TestReportAppliedOnArrival guards a job from a 502 response if it is adopted while its last
// report is waiting for the older process's answer: the report was applied only after that
// answer, which may take the older process seconds.
func TestReportAppliedOnArrival(t *testing.T) {
	front, client, serve := adoptOneJob(t, silentPeer{})
	delivered := make(chan bool, 1)
	began := time.Now()
	go func() { delivered <- front.deliverReport(core.JobEvent{ID: "one", State: core.JobDone}) }()
	time.Sleep(reportRetryInterval)
	serve()
	requireStatusOK(t, client)
	require.True(t, <-delivered)
	require.Less(t, time.Since(began), reportTimeout)
}

// TestForwardedReportAwaitsJob guards a job whose last report the older process forwards before
// this process has adopted the job.
func TestForwardedReportAwaitsJob(t *testing.T) {
	front, client, serve := adoptOneJob(t, silentPeer{})
	results := make(chan core.ReportResult, 1)
	front.ReportForwarded(core.JobEvent{ID: "one", State: core.JobDone}, func(result core.ReportResult) { results <- result })
	select {
	case result := <-results:
		t.Fatalf("the report was answered with %v before the job was adopted", result)
	case <-time.After(2 * reportRetryInterval):
	}
	serve()
	requireStatusOK(t, client)
	require.Equal(t, core.Held, <-results)
}

// TestForwardedReportOnUnknownJob checks that a forwarded report on a job that no process holds
// is answered immediately.
func TestForwardedReportOnUnknownJob(t *testing.T) {
	front := New(Config{}, &holdingCore{reportResult: core.NotHeld}, silentPeer{}, noCounts{}, logrus.NewEntry(logrus.New()))
	results := make(chan core.ReportResult, 1)
	front.ReportForwarded(core.JobEvent{ID: "one"}, func(result core.ReportResult) { results <- result })
	require.Equal(t, core.NotHeld, <-results)
	require.Empty(t, front.arrivals.subscribers)
}

// TestReportOnReturningJob guards a job that was released to a newer process which has ended,
// and that this process has not adopted again yet: a report on it was acknowledged with 204 and
// dropped.
func TestReportOnReturningJob(t *testing.T) {
	for result, want := range map[core.ReportResult]bool{core.Moving: false, core.NotHeld: true, core.Held: true} {
		front := New(Config{}, &holdingCore{reportResult: result}, noPeer{}, noCounts{}, logrus.NewEntry(logrus.New()))
		front.HandOver(time.Now(), time.Now().Add(reportRetryInterval*3/2))
		require.Equal(t, want, front.deliverReport(core.JobEvent{ID: "one"}), result)
	}
}

// TestTransitEndsWithConnection checks that a closed connection no longer counts as in transit.
// Otherwise reports on unknown jobs would wait for a job whose client has disconnected.
func TestTransitEndsWithConnection(t *testing.T) {
	listener := &connListener{maxOpen: 8}
	_, server := connpair.New(t)
	adopted := listener.admit(server, []byte(jobRequest), &core.MovedRequest{Attempts: []core.MovedAttempt{{UID: "s-1"}}})
	require.True(t, listener.hasJobsInTransit())
	adopted.Close()
	require.False(t, listener.hasJobsInTransit())
}

// TestReportOnJobInTransit guards jobs whose worker reports while they are being handed over to
// the newer process: the report was rejected, and a worker retries it only ten times.
func TestReportOnJobInTransit(t *testing.T) {
	for result, want := range map[core.ReportResult]bool{core.Moving: true, core.NotHeld: false} {
		front := New(Config{}, &holdingCore{reportResult: result}, &newerPeer{}, noCounts{}, logrus.NewEntry(logrus.New()))
		require.Equal(t, want, front.deliverReport(core.JobEvent{ID: "one"}))
	}
}
