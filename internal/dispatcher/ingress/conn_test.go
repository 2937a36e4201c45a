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

// held is a connection whose reads the test lets return.
type held struct {
	net.Conn
	reading  chan struct{} // a read has begun
	returns  chan string   // what it returns; empty for the read deadline
	mu       sync.Mutex
	deadline time.Time
	closed   bool
}

func newHeld() *held { return &held{reading: make(chan struct{}, 8), returns: make(chan string, 8)} }

func (h *held) Read(p []byte) (int, error) {
	h.reading <- struct{}{}
	text := <-h.returns
	if text == "" {
		return 0, os.ErrDeadlineExceeded
	}
	return copy(p, text), nil
}

func (h *held) SetReadDeadline(t time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	return nil
}

func (h *held) Close() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	return nil
}

func (h *held) state() (deadline time.Time, closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline, h.closed
}

// end is what a read of a connection came to.
type end struct {
	n   int
	err error
}

// TestRetireOrAnswer guards requests that cross the end of a resting connection: what has been read is
// answered, and ends the connection with its answer; what has not is not read any more.
func TestRetireOrAnswer(t *testing.T) {
	for _, tc := range []struct {
		name     string
		retire   func(*door)
		newcomer bool
	}{
		{"planned end", func(d *door) { d.endResting(true) }, false},
		{"planned end of a newcomer", func(d *door) { d.endResting(true) }, true},
		{"no place left", func(d *door) { d.budget(0) }, false},
	} {
		for _, crosses := range []bool{true, false} {
			h := newHeld()
			d := &door{most: 1}
			x := d.admit(h, nil, nil)
			if !tc.newcomer {
				x.rests()
			}
			got := make(chan end, 1)
			go func() {
				n, err := x.Read(make([]byte, 64))
				got <- end{n, err}
			}()
			<-h.reading
			tc.retire(d)
			if at, closed := h.state(); closed || !at.Equal(past) {
				t.Errorf("%s: closed %t under its reader, deadline %v", tc.name, closed, at)
			}
			if !crosses {
				h.returns <- ""
				if e := <-got; e.n > 0 || !errors.Is(e.err, io.EOF) || x.ending() {
					t.Errorf("%s: a read of a resting connection ended with %d bytes, %v", tc.name, e.n, e.err)
				}
				if _, err := x.Read(make([]byte, 64)); !errors.Is(err, io.EOF) || len(h.reading) > 0 {
					t.Errorf("%s: it was read again: %v", tc.name, err)
				}
				continue
			}
			h.returns <- "POST"
			if e := <-got; e.n != 4 || e.err != nil || !x.ending() {
				t.Errorf("%s: what had been read came to %d bytes, %v, the last request %t", tc.name, e.n, e.err, x.ending())
			}
			if at, _ := h.state(); time.Until(at) < hearTime/2 {
				t.Errorf("%s: the rest of the request has until %v from now", tc.name, time.Until(at))
			}
			if begun := d.endResting(true); begun != 1 {
				t.Errorf("%s: %d requests have begun, want 1", tc.name, begun)
			}
			if _, closed := h.state(); closed {
				t.Errorf("%s: closed in the middle of a request", tc.name)
			}
		}
	}
}

// TestPlaces has connections that are told to end give their places back once, whether they end or
// have a request to answer.
func TestPlaces(t *testing.T) {
	d := &door{most: 2}
	var conns []*conn
	for range 2 {
		x := d.admit(newHeld(), nil, nil)
		x.rests()
		conns = append(conns, x)
	}
	third := d.admit(newHeld(), nil, nil) // the first makes room
	if d.count() != 3 || d.leaving != 1 || !conns[0].ends() {
		t.Fatalf("%d open, %d of them leave", d.count(), d.leaving)
	}
	conns[0].spoke(false) // it has a request after all
	if d.leaving != 0 || !conns[0].ending() {
		t.Errorf("%d leave, want none", d.leaving)
	}
	d.admit(newHeld(), nil, nil)
	if d.leaving != 2 || !conns[1].ends() || !third.ends() {
		t.Errorf("%d leave, want the two that rest", d.leaving)
	}
	for _, x := range append(conns, third) {
		x.Close()
		x.Close()
	}
	if d.count() != 1 || d.leaving != 0 {
		t.Errorf("%d open, %d leave at the end", d.count(), d.leaving)
	}
}
