package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/dispatcher/core"
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
	leaving int                    // of those, connections that are told to end and have not yet
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

// listen has the door take connections from a listener. Whoever drains may look at it meanwhile.
func (d *door) listen(l net.Listener) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Listener = l
}

// shut closes the listener, if there is one yet.
func (d *door) shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Listener != nil {
		_ = d.Listener.Close() // it ends either way
	}
}

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
	x := &conn{Conn: c, door: d, moved: moved}
	x.ahead.put(read)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(read) == 0 {
		x.wait(newcomers)
	}
	d.open++
	d.makeRoom(x)
	return x
}

// makeRoom ends connections past the budget. Latest, nil for none, goes last. The caller has the
// lock.
func (d *door) makeRoom(latest *conn) {
	for d.open-d.leaving > d.most {
		x := d.surplus(latest)
		if x == nil {
			return
		}
		d.putOut.Add(1)
		x.retire()
		if x == latest {
			return
		}
	}
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
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = most
	d.makeRoom(nil)
}

// endResting ends the connections that rest between requests, and with newcomersToo those that
// have said nothing yet. It returns how many have begun a request that is not whole.
func (d *door) endResting(newcomersToo bool) (begunOnes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	of := []int{clients, runners}
	if newcomersToo {
		of = append(of, newcomers)
	}
	for _, n := range of {
		for d.waiting[n].Len() > 0 {
			d.waiting[n].Front().Value.(*conn).retire()
		}
	}
	return d.waiting[begun].Len()
}

// count returns how many connections are open.
func (d *door) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}
