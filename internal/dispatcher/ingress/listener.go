package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/dispatcher/core"
)

// The classes of evictable connections. None of them has a complete request on it.
const (
	newConns        = iota // no data has been read yet
	partialRequests        // a request has arrived in part
	idleClients            // idle between requests; the last one was a client's
	idleWorkers            // idle between requests; the last one was a worker's report
)

const (
	// maxPeeks limits how many connections of a class are checked for unread data to find one
	// victim.
	maxPeeks = 32
	// evictionQuietPeriod is how long a connection must have been inactive to be a preferred
	// victim. A client that is about to send its first request, or the rest of one, fails if
	// its connection is closed; a client that already has its response simply reconnects.
	evictionQuietPeriod = 500 * time.Millisecond
)

// connListener is the listener of the ingress and tracks its connections. It accepts every
// connection immediately, and beyond its limit evicts another one. If it stopped accepting
// instead, connections that send nothing, or never complete a request, would block clients,
// workers' reports and health checks.
type connListener struct {
	net.Listener
	maxOpen int

	accepting sync.WaitGroup // the goroutine that calls Accept
	evicted   atomic.Int64   // since the last logged summary

	mu        sync.Mutex
	closing   bool                       // closeListener was called; nothing more is accepted
	open      int                        // number of open connections
	retiring  int                        // of these, retired and not closed yet
	inTransit int                        // of these, with a job awaiting adoption by the core
	evictable [idleWorkers + 1]list.List // lists of *conn by class, longest inactive first
}

// startAccepting sets the listener to accept from, and adds the caller to the accepting wait
// group; the caller must call accepting.Done when it stops calling Accept. It returns false,
// and does nothing, if closeListener was called before.
func (l *connListener) startAccepting(listener net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		return false
	}
	l.Listener = listener
	l.accepting.Add(1)
	return true
}

// closeListener closes the listener, if one is set, and waits until all accepted connections
// are registered. It accepts the connections that are still pending in the listener's backlog
// and returns them; the caller must serve them.
func (l *connListener) closeListener() []*conn {
	var pending []net.Conn
	l.mu.Lock()
	l.closing = true
	if l.Listener != nil {
		pending = acceptPending(l.Listener)
		_ = l.Listener.Close() // nothing more is accepted even if Close fails
	}
	l.mu.Unlock()
	l.accepting.Wait()
	var admitted []*conn
	for _, c := range pending {
		accepted := l.admit(c, nil, nil)
		accepted.acceptedAtClose = true
		admitted = append(admitted, accepted)
	}
	return admitted
}

// Accept implements net.Listener. The connection is a *conn.
func (l *connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.admit(c, nil, nil), nil
}

// admit registers a connection, and evicts others if the limit is exceeded. For a connection
// that another process hands over, read holds the data that was read from it there, which is
// returned by the first reads, and moved the state of its request.
func (l *connListener) admit(c net.Conn, read []byte, moved *core.MovedRequest) *conn {
	admitted := &conn{Conn: c, listener: l, transferred: moved}
	admitted.lookahead.prepend(read)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(read) == 0 {
		admitted.enqueue(newConns)
	}
	if admitted.alreadyDispatched() {
		admitted.inTransit = true
		l.inTransit++
	}
	l.open++
	l.evict(admitted)
	return admitted
}

// evict retires connections until the limit is met. The newest connection, which may be nil,
// is evicted only if there is no other victim. The caller holds the mutex.
func (l *connListener) evict(newest *conn) {
	for l.open-l.retiring > l.maxOpen {
		victim := l.selectVictim(newest)
		if victim == nil {
			return
		}
		l.evicted.Add(1)
		victim.retire()
		if victim == newest {
			return
		}
	}
}

// selectVictim selects the connection to evict. It prefers, in this order, connections that
// have been inactive for evictionQuietPeriod: new ones, idle clients, partial requests. If
// there are none it selects any idle client, idle worker, new connection or partial request,
// in this order. It skips connections with unread data, and returns newest if there is no
// other. This way, slowly written requests on new connections survive while thousands of
// other clients connect, send one request and stay connected.
func (l *connListener) selectVictim(newest *conn) *conn {
	cutoff := time.Now().Add(-evictionQuietPeriod)
	for _, pass := range [...]struct {
		class      int
		quietSince time.Time // zero for no limit
	}{
		{newConns, cutoff},
		{idleClients, cutoff},
		{partialRequests, cutoff},
		{idleClients, time.Time{}},
		{idleWorkers, time.Time{}},
		{newConns, time.Time{}},
		{partialRequests, time.Time{}},
	} {
		peeks := 0
		for e := l.evictable[pass.class].Front(); e != nil && peeks < maxPeeks; e = e.Next() {
			c := e.Value.(*conn)
			if !pass.quietSince.IsZero() && c.enqueuedAt.After(pass.quietSince) {
				break
			}
			if c != newest && !c.hasUnreadData() {
				return c
			}
			peeks++
		}
	}
	return newest
}

// setMaxOpen sets the maximum number of open connections, and evicts those beyond it.
func (l *connListener) setMaxOpen(maxOpen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxOpen = maxOpen
	l.evict(nil)
}

// retireIdle retires the connections that are idle between requests, and those that were
// opened by the cutoff time and have sent nothing. It returns the number of connections with a
// partial request.
func (l *connListener) retireIdle(cutoff time.Time) (partial int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, class := range []int{idleClients, idleWorkers} {
		for l.evictable[class].Len() > 0 {
			l.evictable[class].Front().Value.(*conn).retire()
		}
	}
	for e := l.evictable[newConns].Front(); e != nil; e = l.evictable[newConns].Front() {
		c := e.Value.(*conn)
		if c.enqueuedAt.After(cutoff) { // the list is in order of time
			break
		}
		c.retire()
	}
	return l.evictable[partialRequests].Len()
}

// count returns the number of open connections.
func (l *connListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// hasJobsInTransit reports whether a connection is open whose job another process has sent to a
// worker, and the core has not adopted yet.
func (l *connListener) hasJobsInTransit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inTransit > 0
}

// adoptedListener is a net.Listener that returns connections which were not accepted by
// connListener.Accept: those that another process hands over, and those that were pending when
// the listener was closed.
type adoptedListener struct {
	listener *connListener
	conns    chan net.Conn
	closed   chan struct{}

	mu       sync.Mutex
	refusing bool // offer rejects all connections
}

// offer queues a connection for Accept. It returns false if the queue is full or refuse was
// called.
func (a *adoptedListener) offer(c net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refusing {
		return false
	}
	select {
	case a.conns <- c:
		return true
	default:
		return false
	}
}

// refuse makes offer reject further connections. Queued ones are still served.
func (a *adoptedListener) refuse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusing = true
}

// Accept implements net.Listener. It returns net.ErrClosed after Close.
func (a *adoptedListener) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return c, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It may be called more than once.
func (a *adoptedListener) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusing = true
	select {
	case <-a.closed:
	default:
		close(a.closed)
	}
	return nil
}

// Addr implements net.Listener with the address of the main listener.
func (a *adoptedListener) Addr() net.Addr { return a.listener.Addr() }
