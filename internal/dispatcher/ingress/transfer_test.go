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

// newerPeer is a newer process that serves until it ends.
type newerPeer struct {
	Peer
	mu       sync.Mutex
	ended    bool
	forwards int // reports passed on
}

func (p *newerPeer) Linked() bool { return p.Succeeded() }

func (p *newerPeer) Succeeded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended
}

// end ends the newer process.
func (p *newerPeer) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

// ForwardReport implements Peer: the newer process has the job from the third report on.
func (p *newerPeer) ForwardReport(core.JobEvent, time.Time) core.ReportResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwards++; p.forwards < 3 {
		return core.NotHeld
	}
	return core.Held
}

// holdingCore holds every job until the test has it served. A release happens at once.
type holdingCore struct {
	Core
	mu        sync.Mutex
	ingress   map[string]core.Ingress
	released  int
	adopted   int
	onRelease func()
	holding   core.ReportResult // of jobs that reports are on
}

func (c *holdingCore) Submit(job *core.Job, in core.Ingress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ingress[job.ID] = in
}

func (c *holdingCore) Release(job *core.Job, done func(*core.MovedRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ingress[job.ID] == nil {
		done(nil)
		return
	}
	delete(c.ingress, job.ID)
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
	c.ingress[job.ID] = in
}

func (c *holdingCore) Report(_ core.JobEvent, held func(core.ReportResult)) { held(c.holding) }

func (c *holdingCore) ClientLeft(*core.Job) {}

// counts returns how many jobs are held, and how many were released and adopted.
func (c *holdingCore) counts() (held, released, adopted int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ingress), c.released, c.adopted
}

// serveAll serves all jobs that are held.
func (c *holdingCore) serveAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, in := range c.ingress {
		in.Respond(core.Response{Verdict: core.Served, Result: []byte("result")})
		delete(c.ingress, id)
	}
}

// startHoldingFront starts a front and has clients send a job each, and returns once the core holds all of them.
func startHoldingFront(t *testing.T, jobs *holdingCore, peer Peer, clients int) (front *Front, responses <-chan int) {
	t.Helper()
	cfg := Config{Classes: []Class{{Name: "a"}}, MaxSlots: 8, MaxJobs: clients, MaxConnections: clients, Recorder: noRecorder{}}
	front = New(cfg, jobs, peer, noCounts{}, logrus.NewEntry(logrus.New()))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = front.Serve(listener) }()
	t.Cleanup(func() { _ = front.server.Close() })
	statuses := make(chan int, clients)
	for i := range clients {
		client, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { client.Close() })
		_, err = io.WriteString(client, strings.Replace(oneJob, "Trace-Id: one", fmt.Sprintf("Trace-Id: job-%d", i), 1))
		require.NoError(t, err)
		go func() {
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil {
				statuses <- 0 // the newer process has it, or nobody
				return
			}
			statuses <- response.StatusCode
		}()
	}
	requireEventually(t, func() bool { held, _, _ := jobs.counts(); return held == clients })
	return front, statuses
}

func requireEventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, time.Millisecond)
}

// TestNewerProcessEndsAtRelease guards a client from 502 where the newer process ends when its job has been released.
func TestNewerProcessEndsAtRelease(t *testing.T) {
	peer := &newerPeer{}
	jobs := &holdingCore{ingress: map[string]core.Ingress{}, onRelease: peer.end}
	front, responses := startHoldingFront(t, jobs, peer, 1)
	front.HandOver(time.Now().Add(time.Hour), time.Now().Add(time.Hour))
	requireEventually(t, func() bool { held, _, adopted := jobs.counts(); return held == 1 && adopted == 1 })
	jobs.serveAll()
	require.Equal(t, http.StatusOK, <-responses)
}

// adoptingCore holds the jobs that it has adopted, and has those served that reports say are done.
type adoptingCore struct{ holdingCore }

func (c *adoptingCore) Report(event core.JobEvent, held func(core.ReportResult)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	in := c.ingress[event.ID]
	if in == nil {
		held(core.NotHeld)
		return
	}
	held(core.Held)
	delete(c.ingress, event.ID)
	in.Respond(core.Response{Verdict: core.Served, Result: event.Result})
}

// TestReportBeforeAdoptedJob guards a job from 502 whose last report comes when the older process has ended and the newer one
// has its connection, but has not read the job on it: the report was answered 204 and dropped.
func TestReportBeforeAdoptedJob(t *testing.T) {
	front, client, serve := adoptOneJob(t, noPeer{})
	delivered := make(chan bool, 1)
	go func() { delivered <- front.deliverReport(core.JobEvent{ID: "one", State: core.JobDone}) }()
	select {
	case <-delivered:
		t.Fatal("the report is taken while the job is on its way")
	case <-time.After(2 * reportRetryInterval):
	}
	serve()
	requireServed(t, client)
	require.True(t, <-delivered)
}

// adoptOneJob returns a front that has adopted the connection of a client whose job was sent to a runner, and does not
// read it before serve is called.
func adoptOneJob(t *testing.T, peer Peer) (front *Front, client net.Conn, serve func()) {
	t.Helper()
	jobs := &adoptingCore{holdingCore{ingress: map[string]core.Ingress{}}}
	cfg := Config{Classes: []Class{{Name: "a"}}, MaxSlots: 8, MaxJobs: 1, MaxConnections: 8, Recorder: noRecorder{}}
	front = New(cfg, jobs, peer, noCounts{}, logrus.NewEntry(logrus.New()))
	client, server := connpair.New(t)
	moved := &core.MovedRequest{Deadline: monotime.Of(time.Now().Add(time.Hour)), Attempts: []core.MovedAttempt{{UID: "s-1"}}}
	require.True(t, front.Adopt(server, []byte(oneJob), moved))
	return front, client, func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		go func() { _ = front.Serve(listener) }()
		t.Cleanup(func() { _ = front.server.Close() })
	}
}

// TestAdoptedJobPastLimit guards a client from 503, "try again", for a job that runs already: the process that took it over
// was at its limit of open jobs.
func TestAdoptedJobPastLimit(t *testing.T) {
	front, client, serve := adoptOneJob(t, noPeer{})
	front.SetLimits(0, 8)
	go front.deliverReport(core.JobEvent{ID: "one", State: core.JobDone})
	serve()
	requireServed(t, client)
}

// requireServed checks that a client gets its result.
func requireServed(t *testing.T, client net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// silentPeer is an older process that answers no report in time.
type silentPeer struct{ Peer }

func (silentPeer) Linked() bool    { return true }
func (silentPeer) Succeeded() bool { return false }

func (silentPeer) ForwardReport(_ core.JobEvent, deadline time.Time) core.ReportResult {
	time.Sleep(time.Until(deadline))
	return core.NotHeld
}

// TestReportAppliedOnArrival guards a job from 502 whose last report waits for the older process's answer while the job comes:
// it was applied only after that answer, for which the older process may take seconds.
func TestReportAppliedOnArrival(t *testing.T) {
	front, client, serve := adoptOneJob(t, silentPeer{})
	delivered := make(chan bool, 1)
	began := time.Now()
	go func() { delivered <- front.deliverReport(core.JobEvent{ID: "one", State: core.JobDone}) }()
	time.Sleep(reportRetryInterval)
	serve()
	requireServed(t, client)
	require.True(t, <-delivered)
	require.Less(t, time.Since(began), reportTimeout)
}

// TestForwardedReportAwaitsJob guards a job whose last report the older process passes on while the job is on its way here.
func TestForwardedReportAwaitsJob(t *testing.T) {
	front, client, serve := adoptOneJob(t, silentPeer{})
	results := make(chan core.ReportResult, 1)
	front.ReportForwarded(core.JobEvent{ID: "one", State: core.JobDone}, func(result core.ReportResult) { results <- result })
	select {
	case result := <-results:
		t.Fatalf("the report is answered with %v while the job is on its way", result)
	case <-time.After(2 * reportRetryInterval):
	}
	serve()
	requireServed(t, client)
	require.Equal(t, core.Held, <-results)
}

// TestForwardedReportOnUnknownJob checks that a report on a job that no process has is answered at once.
func TestForwardedReportOnUnknownJob(t *testing.T) {
	front := New(Config{}, &holdingCore{holding: core.NotHeld}, silentPeer{}, noCounts{}, logrus.NewEntry(logrus.New()))
	results := make(chan core.ReportResult, 1)
	front.ReportForwarded(core.JobEvent{ID: "one"}, func(result core.ReportResult) { results <- result })
	require.Equal(t, core.NotHeld, <-results)
	require.Empty(t, front.arrivals.subscribers)
}

// TestReportOnReturningJob guards a job that was released to a newer process, which has ended, and is not back yet: a report on
// it was answered 204 and dropped.
func TestReportOnReturningJob(t *testing.T) {
	for holding, want := range map[core.ReportResult]bool{core.Moving: false, core.NotHeld: true, core.Held: true} {
		front := New(Config{}, &holdingCore{holding: holding}, noPeer{}, noCounts{}, logrus.NewEntry(logrus.New()))
		front.HandOver(time.Now(), time.Now().Add(reportRetryInterval*3/2))
		require.Equal(t, want, front.deliverReport(core.JobEvent{ID: "one"}), holding)
	}
}

// TestTransitEndsWithConnection guards reports on unknown jobs from waiting for a job whose client has left.
func TestTransitEndsWithConnection(t *testing.T) {
	listener := &connListener{maxOpen: 8}
	_, server := connpair.New(t)
	adopted := listener.admit(server, []byte(oneJob), &core.MovedRequest{Attempts: []core.MovedAttempt{{UID: "s-1"}}})
	require.True(t, listener.hasJobsInTransit())
	adopted.Close()
	require.False(t, listener.hasJobsInTransit())
}

// TestReportOnJobInTransit guards jobs whose runner reports while they are on their way to the newer process: the report
// was refused, and a runner repeats it only ten times.
func TestReportOnJobInTransit(t *testing.T) {
	for holding, want := range map[core.ReportResult]bool{core.Moving: true, core.NotHeld: false} {
		front := New(Config{}, &holdingCore{holding: holding}, &newerPeer{}, noCounts{}, logrus.NewEntry(logrus.New()))
		require.Equal(t, want, front.deliverReport(core.JobEvent{ID: "one"}))
	}
}
