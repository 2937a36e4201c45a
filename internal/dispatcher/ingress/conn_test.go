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

// scriptedConn is a connection whose reads the test lets return.
type scriptedConn struct {
	net.Conn
	reading  chan struct{} // a read has begun
	returns  chan string   // what it returns; empty for the read deadline
	mu       sync.Mutex
	deadline time.Time
	closed   bool
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{reading: make(chan struct{}, 8), returns: make(chan string, 8)}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	c.reading <- struct{}{}
	text := <-c.returns
	if text == "" {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, text), nil
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

// readResult is the result of a read of a connection.
type readResult struct {
	n   int
	err error
}

// startRead reads from a connection in the background.
func startRead(c *conn) <-chan readResult {
	result := make(chan readResult, 1)
	go func() {
		n, err := c.Read(make([]byte, 64))
		result <- readResult{n, err}
	}()
	return result
}

// TestRetiredConnAnswersOrEnds guards requests that cross the end of an idle connection:
// what has been read is answered, and ends the connection with its response; what has
// not is not read any more.
func TestRetiredConnAnswersOrEnds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		retire func(*connListener)
		fresh  bool // nothing has been read from the connection before
	}{
		{"planned end", func(l *connListener) { l.retireIdle(time.Now()) }, false},
		{"planned end of a new one", func(l *connListener) { l.retireIdle(time.Now()) }, true},
		{"past the limit", func(l *connListener) { l.setMaxOpen(0) }, false},
	} {
		retired := func(t *testing.T) (*connListener, *scriptedConn, *conn, <-chan readResult) {
			t.Helper()
			scripted, l := newScriptedConn(), &connListener{maxOpen: 1}
			c := l.admit(scripted, nil, nil)
			if !tc.fresh {
				c.becameIdle()
			}
			result := startRead(c)
			<-scripted.reading
			tc.retire(l)
			if at, closed := scripted.state(); closed || !at.Equal(pastDeadline) {
				t.Errorf("closed %t under its reader, deadline %v", closed, at)
			}
			return l, scripted, c, result
		}
		t.Run(tc.name+", no request crosses", func(t *testing.T) {
			_, scripted, c, result := retired(t)
			scripted.returns <- ""
			if r := <-result; r.n > 0 || !errors.Is(r.err, io.EOF) || c.closesAfterResponse() {
				t.Errorf("a read of an idle connection ended with %d bytes, %v", r.n, r.err)
			}
			if _, err := c.Read(make([]byte, 64)); !errors.Is(err, io.EOF) || len(scripted.reading) > 0 {
				t.Errorf("it was read again: %v", err)
			}
		})
		t.Run(tc.name+", a request crosses", func(t *testing.T) {
			l, scripted, c, result := retired(t)
			scripted.returns <- "POST"
			if r := <-result; r.n != 4 || r.err != nil || !c.closesAfterResponse() {
				t.Errorf("the read ended with %d bytes, %v, the last request %t", r.n, r.err, c.closesAfterResponse())
			}
			if at, _ := scripted.state(); time.Until(at) < requestTimeout/2 {
				t.Errorf("the rest of the request has until %v from now", time.Until(at))
			}
			if partial := l.retireIdle(time.Now()); partial != 1 {
				t.Errorf("%d requests have begun, want 1", partial)
			}
			if _, closed := scripted.state(); closed {
				t.Error("closed within a request")
			}
		})
	}
}

// TestRetiredConnsFreeTheirPlacesOnce has connections that are told to end give their
// places back once, whether they end or have a request to answer.
func TestRetiredConnsFreeTheirPlacesOnce(t *testing.T) {
	l := &connListener{maxOpen: 2}
	var conns []*conn
	for range 2 {
		c := l.admit(newScriptedConn(), nil, nil)
		c.becameIdle()
		conns = append(conns, c)
	}
	third := l.admit(newScriptedConn(), nil, nil) // the first makes room
	if l.count() != 3 || l.retiring != 1 || !conns[0].isRetired() {
		t.Fatalf("%d open, %d of them retiring", l.count(), l.retiring)
	}
	conns[0].dataArrived(false) // a request has begun on it after all
	if l.retiring != 0 || !conns[0].closesAfterResponse() {
		t.Errorf("%d are retiring, want none", l.retiring)
	}
	l.admit(newScriptedConn(), nil, nil)
	if l.retiring != 2 || !conns[1].isRetired() || !third.isRetired() {
		t.Errorf("%d are retiring, want the two idle ones", l.retiring)
	}
	for _, c := range append(conns, third) {
		c.Close()
		c.Close()
	}
	if l.count() != 1 || l.retiring != 0 {
		t.Errorf("%d open, %d retiring at the end", l.count(), l.retiring)
	}
}
