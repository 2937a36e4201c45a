package egress

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// lateConn is a connection whose reads block until a given time, even if data has arrived before.
type lateConn struct {
	*net.TCPConn
	readableAt time.Time
}

func (c lateConn) Read(p []byte) (int, error) {
	time.Sleep(time.Until(c.readableAt))
	return c.TCPConn.Read(p)
}

// attemptRecorder is a Reporter that records whether one attempt is accepted or ends.
type attemptRecorder struct {
	Reporter
	accepted chan struct{}
	ended    chan decision.Outcome
}

func (r attemptRecorder) AttemptAccepted(core.AttemptRef, core.Delivery) { close(r.accepted) }

func (r attemptRecorder) AttemptEnded(_ core.AttemptRef, outcome decision.Outcome, _ []float32, _ core.Delivery) {
	r.ended <- outcome
}

// sendLate sends an attempt to a worker on a connection that is not read until delay after it was
// opened.
func sendLate(t *testing.T, worker http.HandlerFunc, delay time.Duration) attemptRecorder {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: worker}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	dial := func(network, addr string, deadline time.Time) (net.Conn, error) {
		c, err := dialNet(network, addr, deadline)
		if err != nil {
			return nil, err
		}
		return lateConn{c.(*net.TCPConn), time.Now().Add(delay)}, nil
	}
	fleet := NewFleet(Config{ConnectTimeout: time.Second, MaxSockets: 8, OnSent: func(int) {}, Dial: dial}, logrus.NewEntry(log))
	recorder := attemptRecorder{accepted: make(chan struct{}), ended: make(chan decision.Outcome, 1)}
	fleet.SetReporter(recorder)
	backend := fleet.Open(1, "s-1", listener.Addr().String())
	t.Cleanup(backend.Close)
	job := &core.Job{ID: "one", Method: http.MethodPost, Resource: "/", Body: []byte("body")}
	backend.Send(core.Attempt{Job: job, Deadline: time.Now().Add(20 * time.Second)})
	return recorder
}

// TestAcceptanceReadLate guards against a job that fails although its worker accepted it in time,
// because this process reads the response only after acceptTimeout.
func TestAcceptanceReadLate(t *testing.T) {
	t.Parallel()
	recorder := sendLate(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }, acceptTimeout*3/2)
	select {
	case <-recorder.accepted:
	case outcome := <-recorder.ended:
		t.Errorf("attempt ended with outcome %v, want it accepted", outcome)
	}
}

// TestSilentWorker checks that an attempt times out if the worker does not respond within
// acceptTimeout.
func TestSilentWorker(t *testing.T) {
	t.Parallel()
	done := make(chan struct{})
	defer close(done)
	start := time.Now()
	recorder := sendLate(t, func(http.ResponseWriter, *http.Request) { <-done }, 0)
	select {
	case <-recorder.accepted:
		t.Error("attempt was accepted, want it to time out")
	case outcome := <-recorder.ended:
		require.Equal(t, decision.TimedOut, outcome)
		require.GreaterOrEqual(t, time.Since(start), acceptTimeout)
	}
}

// TestAcceptTimerStops guards against a timer that outlives its exchange. The transport may report
// the write of a request after its response; the timer then started after the exchange and
// restarted each second for as long as the connection was used.
func TestAcceptTimerStops(t *testing.T) {
	a := newAcceptTimer(&atomic.Pointer[conn]{}, func() {})
	a.start()
	a.stop()
	a.start()
	require.False(t, a.timer.Stop(), "the timer runs after the end of the exchange")
}
