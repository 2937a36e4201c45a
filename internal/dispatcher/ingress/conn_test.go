package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// scriptedConn is a net.Conn whose reads block until the test supplies their results.
type scriptedConn struct {
	net.Conn
	readStarted chan struct{} // receives a value when a read begins
	results     chan string   // data for the next read; empty for a deadline error
	mu          sync.Mutex
	deadline    time.Time
	closed      bool
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{readStarted: make(chan struct{}, 8), results: make(chan string, 8)}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	c.readStarted <- struct{}{}
	data := <-c.results
	if data == "" {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, data), nil
}

func (c *scriptedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *scriptedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

func (c *scriptedConn) state() (deadline time.Time, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline, c.closed
}

// readResult is what a read of a conn returned.
type readResult struct {
	n   int
	err error
}

// startRead reads once from a connection in the background.
func startRead(c *conn) <-chan readResult {
	result := make(chan readResult, 1)
	go func() {
		n, err := c.Read(make([]byte, 64))
		result <- readResult{n, err}
	}()
	return result
}

// TestRetiredConnAnswersOrEnds guards requests that cross the close of a retired connection: a
// request whose first bytes were read must be answered, and its response closes the
// connection; otherwise nothing more may be read.
func TestRetiredConnAnswersOrEnds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		retire func(*connListener)
		fresh  bool // no request has been on the connection before
	}{
		{"planned end", func(l *connListener) { l.retireIdle(time.Now()) }, false},
		{"planned end of a new one", func(l *connListener) { l.retireIdle(time.Now()) }, true},
		{"past the limit", func(l *connListener) { l.setMaxOpen(0) }, false},
	} {
		startRetiredRead := func(t *testing.T) (*connListener, *scriptedConn, *conn, <-chan readResult) {
			t.Helper()
			scripted, l := newScriptedConn(), &connListener{maxOpen: 1}
			c := l.admit(scripted, nil, nil)
			if !tc.fresh {
				c.becameIdle()
			}
			result := startRead(c)
			<-scripted.readStarted
			tc.retire(l)
			if deadline, closed := scripted.state(); closed || !deadline.Equal(pastDeadline) {
				t.Errorf("after retiring: closed %t, read deadline %v, want false, pastDeadline", closed, deadline)
			}
			return l, scripted, c, result
		}
		t.Run(tc.name+", no request crosses", func(t *testing.T) {
			_, scripted, c, result := startRetiredRead(t)
			scripted.results <- ""
			if r := <-result; r.n > 0 || !errors.Is(r.err, io.EOF) || c.closesAfterResponse() {
				t.Errorf("read of a retired connection = %d bytes, error %v, want 0 bytes, EOF", r.n, r.err)
			}
			if _, err := c.Read(make([]byte, 64)); !errors.Is(err, io.EOF) || len(scripted.readStarted) > 0 {
				t.Errorf("second read of a retired connection: error %v, want EOF without a read of the socket", err)
			}
		})
		t.Run(tc.name+", a request crosses", func(t *testing.T) {
			l, scripted, c, result := startRetiredRead(t)
			scripted.results <- "POST"
			if r := <-result; r.n != 4 || r.err != nil || !c.closesAfterResponse() {
				t.Errorf("read = %d bytes, error %v, closes after response %t, want 4 bytes, nil, true",
					r.n, r.err, c.closesAfterResponse())
			}
			if deadline, _ := scripted.state(); time.Until(deadline) < requestTimeout/2 {
				t.Errorf("read deadline after the first bytes is in %v, want requestTimeout", time.Until(deadline))
			}
			if partial := l.retireIdle(time.Now()); partial != 1 {
				t.Errorf("retireIdle returned %d partial requests, want 1", partial)
			}
			if _, closed := scripted.state(); closed {
				t.Error("the connection was closed during a request")
			}
		})
	}
}

// TestRetiredConnsUpdateCountersOnce checks that retired connections update the listener's
// counters only once, whether they are closed or still have a request to answer.
func TestRetiredConnsUpdateCountersOnce(t *testing.T) {
	l := &connListener{maxOpen: 2}
	var conns []*conn
	for range 2 {
		c := l.admit(newScriptedConn(), nil, nil)
		c.becameIdle()
		conns = append(conns, c)
	}
	third := l.admit(newScriptedConn(), nil, nil) // retires the first one
	if l.count() != 3 || l.retiring != 1 || !conns[0].isRetired() {
		t.Fatalf("%d connections open, %d retiring, want 3, 1: the first one", l.count(), l.retiring)
	}
	conns[0].dataArrived(false) // a request arrived before the close
	if l.retiring != 0 || !conns[0].closesAfterResponse() {
		t.Errorf("%d retiring after a request arrived, want 0, and a close after its response", l.retiring)
	}
	l.admit(newScriptedConn(), nil, nil)
	if l.retiring != 2 || !conns[1].isRetired() || !third.isRetired() {
		t.Errorf("%d retiring, want 2: both idle connections", l.retiring)
	}
	for _, c := range append(conns, third) {
		c.Close()
		c.Close()
	}
	if l.count() != 1 || l.retiring != 0 {
		t.Errorf("after closing: %d open, %d retiring, want 1, 0", l.count(), l.retiring)
	}
}
