package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/dispatcher/core"
)

// connListener is the listener of the ingress and the owner of its connections. It takes
// every one at once; past its budget it gives another one's place away. Guards
// against connections that say nothing, or never come to an end of what they say:
// behind a listener that waits for a place they would keep clients, call-backs
// and the health check outside.
type connListener struct {
	net.Listener
	maxOpen int

	evicted   atomic.Int64 // connections that had to make room, since the last summary
	mu        sync.Mutex
	open      int
	retiring  int                        // of those, connections that are told to end and have not yet
	evictable [idleRunners + 1]list.List // connections whose place may be given away, the longest quiet first
}

// The lists of connections without a whole request.
const (
	newConns        = iota // have said nothing yet
	partialRequests        // have begun a request
	idleClients            // kept, last used by a client
	idleRunners            // kept, last used by a runner's call-back
)

const (
	// maxPeeks bounds the connections of a list that are asked whether they speak,
	// for one place.
	maxPeeks = 32
	// evictionAge is how long a connection may be quiet before it makes room first. Guards
	// a client that is about to send its first request, or the rest of one: a close fails
	// that, while one that had its answer just connects again.
	evictionAge = 500 * time.Millisecond
)

// setListener has the door take connections from a listener. Whoever drains may look at it meanwhile.
func (d *connListener) setListener(l net.Listener) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Listener = l
}

// closeListener closes the listener, if there is one yet.
func (d *connListener) closeListener() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Listener != nil {
		_ = d.Listener.Close() // it ends either way
	}
}

func (d *connListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return d.admit(c, nil, nil), nil
}

// admit takes a connection, past the budget in another one's place. What has been read
// from it already comes first, and moved is what has become of that request.
func (d *connListener) admit(c net.Conn, read []byte, moved *core.MovedRequest) *conn {
	x := &conn{Conn: c, listener: d, transferred: moved}
	x.lookahead.prepend(read)
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(read) == 0 {
		x.enqueue(newConns)
	}
	d.open++
	d.evict(x)
	return x
}

// evict ends connections past the budget. Latest, nil for none, goes last. The caller has the
// lock.
func (d *connListener) evict(newest *conn) {
	for d.open-d.retiring > d.maxOpen {
		x := d.selectVictim(newest)
		if x == nil {
			return
		}
		d.evicted.Add(1)
		x.retire()
		if x == newest {
			return
		}
	}
}

// adoptedListener is the listener of connections that another process hands over.
type adoptedListener struct {
	listener *connListener
	conns    chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (a *adoptedListener) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return c, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

func (a *adoptedListener) Close() error {
	a.once.Do(func() { close(a.closed) })
	return nil
}

func (a *adoptedListener) Addr() net.Addr { return a.listener.Addr() }

// selectVictim picks the connection that is to make room: a newcomer that has said nothing
// for long, else a client's that has rested for long, else one that has stopped in the
// middle of a request; and if none has been quiet for long, a client's, a runner's, then
// any. One that speaks is passed over. Guards requests that are written slowly, on new
// connections, while thousands of others connect, ask once and stay.
func (d *connListener) selectVictim(newest *conn) *conn {
	settled := time.Now().Add(-evictionAge)
	for _, pass := range []struct {
		list   int
		before time.Time
	}{{newConns, settled}, {idleClients, settled}, {partialRequests, settled}, {idleClients, time.Time{}}, {idleRunners, time.Time{}},
		{newConns, time.Time{}}, {partialRequests, time.Time{}}} {
		peeks := 0
		for e := d.evictable[pass.list].Front(); e != nil && peeks < maxPeeks; e = e.Next() {
			x := e.Value.(*conn)
			if !pass.before.IsZero() && x.listedAt.After(pass.before) {
				break
			}
			if x != newest && !x.hasData() {
				return x
			}
			peeks++
		}
	}
	return newest
}

// setMaxOpen sets how many connections there may be, and ends those past it that may go.
func (d *connListener) setMaxOpen(maxOpen int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.maxOpen = maxOpen
	d.evict(nil)
}

// retireIdle ends the connections that rest between requests, and with newcomersToo those that
// have said nothing yet. It returns how many have begun a request that is not whole.
func (d *connListener) retireIdle(includeNew bool) (partial int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lists := []int{idleClients, idleRunners}
	if includeNew {
		lists = append(lists, newConns)
	}
	for _, n := range lists {
		for d.evictable[n].Len() > 0 {
			d.evictable[n].Front().Value.(*conn).retire()
		}
	}
	return d.evictable[partialRequests].Len()
}

// count returns how many connections are open.
func (d *connListener) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}
