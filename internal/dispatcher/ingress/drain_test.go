package ingress

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/testkit/connpair"
)

// slowListener returns one connection, long after the kernel has accepted it, as the thread that accepts may be
// preempted: only once the listener was closed, and some time after that.
type slowListener struct {
	net.Listener
	conn      net.Conn
	accepting chan struct{} // closed when the connection is waited for
	closed    chan struct{}
	once      sync.Once
	given     bool
}

// newSlowListener returns a listener that returns one connection, none if it is nil.
func newSlowListener(conn net.Conn) *slowListener {
	return &slowListener{conn: conn, accepting: make(chan struct{}), closed: make(chan struct{}), given: conn == nil}
}

const acceptDelay = 50 * time.Millisecond

func (l *slowListener) Accept() (net.Conn, error) {
	if l.given {
		<-l.closed
		return nil, net.ErrClosed
	}
	close(l.accepting)
	<-l.closed
	l.given = true
	time.Sleep(acceptDelay)
	return l.conn, nil
}

func (l *slowListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *slowListener) Addr() net.Addr { return &net.TCPAddr{} }

// newDrainFront returns a front without another process, whose jobs are served at once.
func newDrainFront() *Front {
	cfg := Config{Classes: []Class{{Name: "a"}}, MaxSlots: 8, MaxJobs: 8, MaxConnections: 8, Recorder: noRecorder{}}
	return New(cfg, &immediateCore{}, noPeer{}, noCounts{}, logrus.NewEntry(logrus.New()))
}

// requireJobAnswered reads the answer to a job.
func requireJobAnswered(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

const oneJob = "POST /a HTTP/1.1\r\nHost: h\r\nX-Qos: a\r\nX-Trace-Id: one\r\nX-Expires-In-Ms: 10000\r\nContent-Length: 4\r\n\r\nbody"

// TestDrainAwaitsAcceptedConnections has the last connection be accepted while the listener closes.
//
// At the end of a planned restart a job on a new connection was read and not answered: the thread that had accepted the
// connection had not listed it yet when the drain found none open and ended the server, and net/http drops what it reads
// then. TestDispatcherSignalSoak showed it in 2 of 112 runs of seed 1: a job was sent at 05:37:12.439, and the
// process logged at 05:37:12.441 that it had answered everything.
func TestDrainAwaitsAcceptedConnections(t *testing.T) {
	client, server := connpair.New(t)
	front := newDrainFront()
	listener := newSlowListener(server)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	<-listener.accepting
	_, err := io.WriteString(client, oneJob)
	require.NoError(t, err)
	require.NoError(t, front.Drain(t.Context()))
	require.NoError(t, <-served)
	requireJobAnswered(t, client)
}

// lateListener accepts nothing before it is closed, as the goroutine that accepts may get no time.
type lateListener struct {
	*net.TCPListener
	closed context.Context
	cancel context.CancelFunc
}

func (l lateListener) Accept() (net.Conn, error) {
	<-l.closed.Done()
	return nil, net.ErrClosed
}

func (l lateListener) Close() error {
	defer l.cancel()
	return l.TCPListener.Close()
}

// submitCounter counts the jobs that it gets, and serves them.
type submitCounter struct {
	immediateCore
	submitted atomic.Int64
}

func (c *submitCounter) Submit(job *core.Job, in core.Ingress) {
	c.submitted.Add(1)
	c.immediateCore.Submit(job, in)
}

// TestDrainAnswersPendingConnections guards a client whose connection is made in the moment in which a drain closes the listener:
// the kernel reset it. Its job is refused, as no runner could report on it.
func TestDrainAnswersPendingConnections(t *testing.T) {
	front := newDrainFront()
	jobs := &submitCounter{}
	front.core = jobs
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	closed, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { served <- front.Serve(lateListener{listener.(*net.TCPListener), closed, cancel}) }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	_, err = io.WriteString(client, oneJob)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		front.listener.mu.Lock()
		defer front.listener.mu.Unlock()
		return front.listener.Listener != nil
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, front.Drain(t.Context()))
	require.NoError(t, <-served)
	require.NoError(t, client.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(client), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
	require.Zero(t, jobs.submitted.Load())
}

// TestDrainAwaitsReconnect guards a client that connects anew just after its connection was closed by a drain: the listener closed
// as soon as no connection was open, and a job that came with it had no report.
func TestDrainAwaitsReconnect(t *testing.T) {
	front := newDrainFront()
	began := time.Now()
	require.NoError(t, front.Drain(t.Context()))
	require.GreaterOrEqual(t, time.Since(began), emptyQuietPeriod)
}

// TestDrainEndsWithItsContext guards the grace that the platform gives: a drain went on waiting for connections on which no
// response was owed.
func TestDrainEndsWithItsContext(t *testing.T) {
	for _, tc := range []struct {
		name    string
		sent    string
		open    int64 // requests that are being handled
		wantErr bool
	}{
		{"a request that does not come whole", oneJob[:8], 0, false},
		{"a request without a response", oneJob[:8], 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			front := newDrainFront()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			served := make(chan error, 1)
			go func() { served <- front.Serve(listener) }()
			client, err := net.Dial("tcp4", listener.Addr().String())
			require.NoError(t, err)
			defer client.Close()
			_, err = io.WriteString(client, tc.sent)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return front.listener.retireIdle(time.Time{}) == 1 }, 10*time.Second, time.Millisecond)
			front.activeRequests.Store(tc.open)
			ctx, cancel := context.WithTimeout(t.Context(), acceptDelay)
			defer cancel()
			began := time.Now()
			err = front.Drain(ctx)
			require.Equal(t, tc.wantErr, err != nil, "Drain returned %v", err)
			require.Less(t, time.Since(began), requestTimeout)
			require.NoError(t, <-served)
			require.Zero(t, front.listener.count())
		})
	}
}

// delayedCore serves each job after a while once it has begun, so that with a few clients some job is always open.
type delayedCore struct {
	immediateCore
	begun <-chan struct{}
}

func (c *delayedCore) Submit(_ *core.Job, in core.Ingress) {
	go func() {
		<-c.begun
		time.Sleep(drainPollInterval + rand.N(drainPollInterval))
		in.Respond(core.Response{Verdict: core.Served, Result: []byte("result")})
	}()
}

// TestDrainAnswersWhileClientsCome guards the requests of clients that connect anew after each response for as long as the
// listener is open: the drain ended at its deadline with some of them unanswered.
func TestDrainAnswersWhileClientsCome(t *testing.T) {
	front := newDrainFront()
	begun := make(chan struct{})
	front.core = &delayedCore{begun: begun}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			for {
				client, err := net.Dial("tcp4", listener.Addr().String())
				if err != nil {
					return // the listener is closed
				}
				_, _ = io.WriteString(client, oneJob)
				_, _ = io.Copy(io.Discard, client)
				client.Close()
			}
		})
	}
	require.Eventually(t, func() bool { return front.activeRequests.Load() == 8 }, 10*time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 2*listenerCloseMargin)
	defer cancel()
	close(begun)
	require.NoError(t, front.Drain(ctx))
	require.NoError(t, ctx.Err(), "the drain has taken all its time")
	require.NoError(t, <-served)
	clients.Wait()
}

// TestRetireIdleSparesNewest guards a client that sends once more on a new connection, as a drain's close has crossed its
// request: the new connection was closed as well, as others had been quiet for long enough.
func TestRetireIdleSparesNewest(t *testing.T) {
	listener := &connListener{maxOpen: 2}
	_, earlier := connpair.New(t)
	_, later := connpair.New(t)
	first := listener.admit(earlier, nil, nil)
	since := time.Now()
	second := listener.admit(later, nil, nil)
	listener.retireIdle(since)
	require.True(t, first.isRetired())
	require.False(t, second.isRetired())
	require.Zero(t, newConnCutoff(time.Now()))
	require.WithinDuration(t, time.Now().Add(-newConnGrace), newConnCutoff(time.Now().Add(-drainQuietPeriod)), newConnGrace/2)
}

// TestDrainBeforeServing checks that a front that does not serve yet drains at once.
func TestDrainBeforeServing(t *testing.T) {
	require.NoError(t, newDrainFront().Drain(t.Context()))
}

// TestDrainedFrontAdoptsNothing checks that a front that has drained refuses the connections that an older process hands over:
// the older process answers them itself.
func TestDrainedFrontAdoptsNothing(t *testing.T) {
	front := newDrainFront()
	require.NoError(t, front.Drain(t.Context()))
	_, server := connpair.New(t)
	require.False(t, front.Adopt(server, []byte(oneJob), nil))
}

// TestDrainServesAdoptedConnections checks that connections that were handed over are served though a drain begins.
func TestDrainServesAdoptedConnections(t *testing.T) {
	front := newDrainFront()
	client, server := connpair.New(t)
	require.True(t, front.Adopt(server, []byte(oneJob), nil))
	listener := newSlowListener(nil)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	drained, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.NoError(t, front.Drain(drained))
	require.NoError(t, <-served)
	requireJobAnswered(t, client)
}
