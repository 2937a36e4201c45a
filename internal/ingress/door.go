package ingress

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"frosttide/internal/core"
)

// door is the listener of the ingress and the owner of its connections. It takes
// every one at once; past its budget it gives another one's place away. Guards
// against connections that say nothing, or never come to an end of what they say:
// behind a listener that waits for a place they would keep clients, call-backs
// and the health check outside.
type door struct {
	net.Listener
	most int

	putOut  atomic.Int64 // connections that had to make room, since the last summary
	mu      sync.Mutex
	open    int
	waiting [runners + 1]list.List // connections whose place may be given away, the longest quiet first
}

// The lists of connections without a whole request.
const (
	newcomers = iota // have said nothing yet
	begun            // have begun a request
	clients          // kept, last used by a client
	runners          // kept, last used by a runner's call-back
)

const (
	// mostPeeks bounds the connections of a list that are asked whether they speak,
	// for one place.
	mostPeeks = 32
	// settling is how long a connection may be quiet before it makes room first. Guards
	// a client that is about to send its first request, or the rest of one: a close fails
	// that, while one that had its answer just connects again.
	settling = 500 * time.Millisecond
)

func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return d.admit(c, nil, nil), nil
}

// admit takes a connection, past the budget in another one's place. What has been read
// from it already comes first, and moved is what has become of that request.
func (d *door) admit(c net.Conn, read []byte, moved *core.Moved) *conn {
	x := &conn{Conn: c, door: d, read: read, moved: moved}
	d.mu.Lock()
	if len(read) == 0 {
		x.wait(newcomers)
	}
	d.open++
	var out *conn
	if d.open > d.most {
		out = d.surplus(x)
	}
	d.mu.Unlock()
	if out != nil {
		d.putOut.Add(1)
		out.Close()
	}
	return x
}

// adopted is the listener of connections that another process hands over.
type adopted struct {
	door  *door
	conns chan net.Conn
	over  chan struct{}
	once  sync.Once
}

func (a *adopted) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return c, nil
	case <-a.over:
		return nil, net.ErrClosed
	}
}

func (a *adopted) Close() error {
	a.once.Do(func() { close(a.over) })
	return nil
}

func (a *adopted) Addr() net.Addr { return a.door.Addr() }

// surplus picks the connection that is to make room: a newcomer that has said nothing
// for long, else a client's that has rested for long, else one that has stopped in the
// middle of a request; and if none has been quiet for long, a client's, a runner's, then
// any. One that speaks is passed over. Guards requests that are written slowly, on new
// connections, while thousands of others connect, ask once and stay.
func (d *door) surplus(latest *conn) *conn {
	settled := time.Now().Add(-settling)
	for _, pass := range []struct {
		list   int
		before time.Time
	}{{newcomers, settled}, {clients, settled}, {begun, settled}, {clients, time.Time{}}, {runners, time.Time{}},
		{newcomers, time.Time{}}, {begun, time.Time{}}} {
		peeks := 0
		for e := d.waiting[pass.list].Front(); e != nil && peeks < mostPeeks; e = e.Next() {
			x := e.Value.(*conn)
			if !pass.before.IsZero() && x.since.After(pass.before) {
				break
			}
			if x != latest && !x.speaks() {
				return x
			}
			peeks++
		}
	}
	return latest
}

// budget sets how many connections there may be, and ends those past it that may go.
func (d *door) budget(most int) {
	var out []*conn
	d.mu.Lock()
	d.most = most
	for n := d.open - most; n > 0; n-- {
		x := d.surplus(nil)
		if x == nil {
			break
		}
		x.stir()
		out = append(out, x)
	}
	d.mu.Unlock()
	d.putOut.Add(int64(len(out)))
	for _, x := range out {
		x.Close()
	}
}

// count returns how many connections are open.
func (d *door) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// conn is a connection of the ingress. Its place is given back when it is closed.
type conn struct {
	net.Conn
	door    *door
	framing framing
	read    []byte      // by another process, and to be read first
	moved   *core.Moved // what has become of that; nil if it goes on here

	// Under the door's lock.
	place  *list.Element // in the door's list; nil while a whole request is on it
	of     int           // that list
	since  time.Time     // when it came there
	runner bool          // the last request on it was a call-back
	closed bool
}

// Read takes note of the requests that pass.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var err error
	if len(c.read) > 0 {
		n = copy(p, c.read)
		c.read = c.read[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	c.framing.see(p[:n])
	if n > 0 {
		c.spoke()
	}
	return n, err
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
	if !c.closed {
		c.closed = true
		c.door.open--
		c.stir()
	}
	c.door.mu.Unlock()
	return c.Conn.Close()
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

// spoke tells that a part of a request has come.
func (c *conn) spoke() {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	if c.place != nil {
		c.stir()
		c.wait(begun)
	}
}

// heard tells that a whole request has come: nobody takes its place until it is
// answered.
func (c *conn) heard(runner bool) {
	c.door.mu.Lock()
	defer c.door.mu.Unlock()
	c.stir()
	c.runner = runner
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
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// connState follows net/http's view of a connection.
func connState(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		c.(*conn).rests()
	}
}
