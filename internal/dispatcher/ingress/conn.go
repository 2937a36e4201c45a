package ingress

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"frosttide/internal/dispatcher/core"
)

// conn is a connection of the ingress. Its place is given back when it is closed.
type conn struct {
	net.Conn
	door    *door
	framing framing
	moved   *core.Moved // what has become of the request read by another process; nil if it goes on here

	// Under the door's lock.
	place   *list.Element // in the door's list; nil while a whole request is on it
	of      int           // that list
	since   time.Time     // when it came there
	runner  bool          // the last request on it was a call-back
	retired bool          // it is to end unless a request has come on it
	last    bool          // a request has: it ends with the answer
	waited  bool          // a whole request is on it that has no answer yet
	behind  bool          // something has come behind that request
	closed  bool

	ahead lookahead
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Read takes note of the requests that pass. What has been read counts as taken, so a connection
// that is to end does so here, before anything is read: nobody else knows whether something was.
func (c *conn) Read(p []byte) (int, error) {
	if c.ends() {
		return 0, io.EOF
	}
	n, err := c.ahead.take(p)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	c.framing.see(p[:n])
	if n > 0 {
		c.spoke(len(p) == behindRead)
	} else if c.ends() {
		err = io.EOF
	}
	return n, err
}

// behindRead is the size of the reads by which net/http looks for a client's end behind a request;
// all others are larger.
const behindRead = 1

// ends tells whether the connection was told to end and nothing has come on it since.
func (c *conn) ends() bool {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	return c.retired
}

// retire has the connection end before the next request on it is read. One in the middle of a
// request is closed at once. The caller has the door's lock.
func (c *conn) retire() {
	resting := c.place != nil && c.of != begun
	c.stir()
	if !resting {
		c.shut()
		return
	}
	c.retired = true
	c.door.leaving++
	_ = c.Conn.SetReadDeadline(past) // wakes the reader
}

// NetConn returns the connection that this one wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite lets net/http end an answer before it stops reading.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *conn) Close() error {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	return c.shut()
}

// shut closes the connection and gives its place back. The caller has the door's lock.
func (c *conn) shut() error {
	if !c.closed {
		c.closed = true
		c.door.open--
		c.stay()
		c.stir()
	}
	return c.Conn.Close()
}

// stay takes back that the connection is to end.
func (c *conn) stay() {
	if c.retired {
		c.retired = false
		c.door.leaving--
	}
}

// wait and stir put a connection into a list and take it out.
func (c *conn) wait(of int) {
	c.place, c.of, c.since = c.door.waiting[of].PushBack(c), of, time.Now()
}

func (c *conn) stir() {
	if c.place != nil {
		c.door.waiting[c.of].Remove(c.place)
		c.place = nil
	}
}

// spoke tells that a part of a request has come. Guards against a client that stops after its
// first byte: on a kept connection the server's own time for a request runs from the fourth.
// What comes behind a request that waits for its answer is read on from there.
func (c *conn) spoke(behind bool) {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	switch {
	case c.closed:
		return
	case behind:
		c.behind = true
		c.readAhead()
		return
	}
	resting := c.retired || c.place != nil && c.of != begun
	if c.retired {
		c.stay()
		c.last = true
	}
	c.stir()
	c.wait(begun)
	if resting {
		_ = c.Conn.SetReadDeadline(time.Now().Add(hearTime))
	}
}

// heard tells that a whole request has come: nobody takes its place until it is
// answered.
func (c *conn) heard(runner bool) {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.stir()
	c.runner, c.waited = runner, true
	c.readAhead()
}

// readAhead reads on behind the request where net/http has stopped to. The caller has the door's
// lock.
func (c *conn) readAhead() {
	if c.waited && c.behind {
		c.ahead.start(c.Conn)
	}
}

// written tells that the request on it has its answer, or never will.
func (c *conn) written() {
	c.door.mu.Lock()
	c.waited, c.behind = false, false
	c.door.mu.Unlock()
	c.ahead.stop(c.Conn)
}

// ending tells whether the connection ends with the answer to the request that is on it.
func (c *conn) ending() bool {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	return c.last
}

// rests tells that the connection is kept between requests.
func (c *conn) rests() {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.stir()
	switch {
	case c.closed:
	case c.runner:
		c.wait(runners)
	default:
		c.wait(clients)
	}
}

// speaks tells whether a request, or the next part of one, waits to be read: it
// came before the place was needed.
func (c *conn) speaks() bool {
	if c.framing.waiting() {
		return true
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// gone tells whether the client has ended the connection, as far as the system knows now: also
// where nobody has come to read it yet.
func (c *conn) gone() bool {
	select {
	case <-c.ahead.over():
		return true
	default:
	}
	n, err := c.peek()
	switch {
	case err == nil:
		return n == 0
	case errors.Is(err, net.ErrClosed):
		return true
	}
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ETIMEDOUT) ||
		errors.Is(err, syscall.EHOSTUNREACH)
}

// errNoSocket tells that a connection has no socket to look at.
var errNoSocket = errors.New("the connection is no socket")

// peek looks at what waits to be read, without blocking: 0 bytes and no error is the end.
func (c *conn) peek() (n int, err error) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0, net.ErrClosed
	}
	var one [1]byte
	var peeked error
	if err := raw.Control(func(fd uintptr) {
		n, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return 0, net.ErrClosed
	}
	return n, peeked
}

// connState follows net/http's view of a connection.
func connState(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		c.(*conn).rests()
	}
}
