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

func (h *scriptedConn) Read(p []byte) (int, error) {
	h.reading <- struct{}{}
	text := <-h.returns
	if text == "" {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, text), nil
}

func (h *scriptedConn) SetReadDeadline(t time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	return nil
}

func (h *scriptedConn) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return nil
}

func (h *scriptedConn) state() (deadline time.Time, closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline, h.closed
}

// readResult is what a read of a connection came to.
type readResult struct {
	n   int
	err error
}

// TestRetiredConnAnswersOrEnds guards requests that cross the end of a resting connection: what has been read is
// answered, and ends the connection with its answer; what has not is not read any more.
func TestRetiredConnAnswersOrEnds(t *testing.T) {
	for _, tc := range []struct {
		name     string
		retire   func(*connListener)
		newcomer bool
	}{
		{"planned end", func(d *connListener) { d.retireIdle(true) }, false},
		{"planned end of a newcomer", func(d *connListener) { d.retireIdle(true) }, true},
		{"no place left", func(d *connListener) { d.setMaxOpen(0) }, false},
	} {
		for _, crosses := range []bool{true, false} {
			h := newScriptedConn()
			d := &connListener{maxOpen: 1}
			x := d.admit(h, nil, nil)
			if !tc.newcomer {
				x.becameIdle()
			}
			got := make(chan readResult, 1)
			go func() {
				n, err := x.Read(make([]byte, 64))
				got <- readResult{n, err}
			}()
			<-h.reading
			tc.retire(d)
			if at, closed := h.state(); closed || !at.Equal(pastDeadline) {
				t.Errorf("%s: closed %t under its reader, deadline %v", tc.name, closed, at)
			}
			if !crosses {
				h.returns <- ""
				if e := <-got; e.n > 0 || !errors.Is(e.err, io.EOF) || x.endsWithResponse() {
					t.Errorf("%s: a read of a resting connection ended with %d bytes, %v", tc.name, e.n, e.err)
				}
				if _, err := x.Read(make([]byte, 64)); !errors.Is(err, io.EOF) || len(h.reading) > 0 {
					t.Errorf("%s: it was read again: %v", tc.name, err)
				}
				continue
			}
			h.returns <- "POST"
			if e := <-got; e.n != 4 || e.err != nil || !x.endsWithResponse() {
				t.Errorf("%s: what had been read came to %d bytes, %v, the last request %t", tc.name, e.n, e.err, x.endsWithResponse())
			}
			if at, _ := h.state(); time.Until(at) < requestTimeout/2 {
				t.Errorf("%s: the rest of the request has until %v from now", tc.name, time.Until(at))
			}
			if begun := d.retireIdle(true); begun != 1 {
				t.Errorf("%s: %d requests have begun, want 1", tc.name, begun)
			}
			if _, closed := h.state(); closed {
				t.Errorf("%s: closed in the middle of a request", tc.name)
			}
		}
	}
}

// TestRetiredConnsFreeTheirPlacesOnce has connections that are told to end give their places back once, whether they end or
// have a request to answer.
func TestRetiredConnsFreeTheirPlacesOnce(t *testing.T) {
	d := &connListener{maxOpen: 2}
	var conns []*conn
	for range 2 {
		x := d.admit(newScriptedConn(), nil, nil)
		x.becameIdle()
		conns = append(conns, x)
	}
	third := d.admit(newScriptedConn(), nil, nil) // the first makes room
	if d.count() != 3 || d.retiring != 1 || !conns[0].isRetired() {
		t.Fatalf("%d open, %d of them leave", d.count(), d.retiring)
	}
	conns[0].dataArrived(false) // it has a request after all
	if d.retiring != 0 || !conns[0].endsWithResponse() {
		t.Errorf("%d leave, want none", d.retiring)
	}
	d.admit(newScriptedConn(), nil, nil)
	if d.retiring != 2 || !conns[1].isRetired() || !third.isRetired() {
		t.Errorf("%d leave, want the two that rest", d.retiring)
	}
	for _, x := range append(conns, third) {
		x.Close()
		x.Close()
	}
	if d.count() != 1 || d.retiring != 0 {
		t.Errorf("%d open, %d leave at the end", d.count(), d.retiring)
	}
}
