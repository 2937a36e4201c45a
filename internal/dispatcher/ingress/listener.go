package ingress

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/dispatcher/core"
)

// The classes of connections that may be evicted, each without a whole request on
// it.
const (
	newConns        = iota // nothing has been read from them
	partialRequests        // a request has begun
	idleClients            // kept between requests, last used by a client
	idleRunners            // kept between requests, last used by a worker's report
)

const (
	// maxPeeks bounds how many connections of a class are checked for unread data
	// in search of one victim.
	maxPeeks = 32
	// evictionAge is how long a connection must have been quiet to be evicted
	// before others. A client that is about to send its first request, or the rest
	// of one, fails when its connection closes; one that had its response just
	// connects again.
	evictionAge = 500 * time.Millisecond
)

// connListener is the listener of the ingress and the owner of its connections. It
// accepts every connection at once, and past its limit evicts another one. If it
// waited for a free place instead, connections that send nothing, or never the end
// of a request, would keep clients, workers' reports and the health check out.
type connListener struct {
	net.Listener
	maxOpen int

	accepting sync.WaitGroup // the goroutine that accepts
	evicted   atomic.Int64   // connections evicted since the last summary

	mu        sync.Mutex
	ended     bool // nothing more is accepted
	open      int
	retiring  int                        // those of them that were retired and have not ended yet
	inTransit int                        // those of them with a job of another process that the core does not have yet
	evictable [idleRunners + 1]list.List // of *conn by class, the longest quiet first
}

// startAccepting has connections be accepted from a listener, until the caller tells
// accepting that it has ended. It reports whether any are accepted: none once
// closeListener was called.
func (l *connListener) startAccepting(listener net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	l.Listener = listener
	l.accepting.Add(1)
	return true
}

// closeListener closes the listener, if there is one yet, and waits until each
// connection that was accepted is counted. It returns the connections that it has
// accepted itself, as they were still pending.
func (l *connListener) closeListener() []*conn {
	var pending []net.Conn
	l.mu.Lock()
	l.ended = true
	if l.Listener != nil {
		pending = acceptPending(l.Listener)
		_ = l.Listener.Close() // nothing is accepted any more in either case
	}
	l.mu.Unlock()
	l.accepting.Wait()
	var admitted []*conn
	for _, c := range pending {
		late := l.admit(c, nil, nil)
		late.late = true
		admitted = append(admitted, late)
	}
	return admitted
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.admit(c, nil, nil), nil
}

// admit takes a connection, past the limit in another one's place. What another
// process has read from it comes first, and moved is what that process has done
// for the request.
func (l *connListener) admit(c net.Conn, read []byte, moved *core.MovedRequest) *conn {
	admitted := &conn{Conn: c, listener: l, transferred: moved}
	admitted.lookahead.prepend(read)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(read) == 0 {
		admitted.enqueue(newConns)
	}
	if admitted.sentBefore() {
		admitted.inTransit = true
		l.inTransit++
	}
	l.open++
	l.evict(admitted)
	return admitted
}

// evict ends connections past the limit. The newest, nil for none, is the last to
// go. The caller holds the lock.
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

// selectVictim selects the connection to evict: a new one that has sent nothing for
// evictionAge, else a client's that has been idle for so long, else one that has
// stopped for so long within a request; and if none has been quiet for so long, a
// client's, a worker's, then any. It passes over connections with unread data, and
// selects the newest if nothing else is left. So requests that are written slowly,
// on new connections, survive while thousands of others connect, send one request
// and stay.
func (l *connListener) selectVictim(newest *conn) *conn {
	settled := time.Now().Add(-evictionAge)
	for _, pass := range [...]struct {
		class      int
		quietSince time.Time // zero for any
	}{
		{newConns, settled},
		{idleClients, settled},
		{partialRequests, settled},
		{idleClients, time.Time{}},
		{idleRunners, time.Time{}},
		{newConns, time.Time{}},
		{partialRequests, time.Time{}},
	} {
		peeks := 0
		for e := l.evictable[pass.class].Front(); e != nil && peeks < maxPeeks; e = e.Next() {
			c := e.Value.(*conn)
			if !pass.quietSince.IsZero() && c.listedAt.After(pass.quietSince) {
				break
			}
			if c != newest && !c.hasData() {
				return c
			}
			peeks++
		}
	}
	return newest
}

// setMaxOpen sets the limit of open connections, and evicts those past it.
func (l *connListener) setMaxOpen(maxOpen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxOpen = maxOpen
	l.evict(nil)
}

// retireIdle ends the connections that are idle between requests, and those that
// have sent nothing since a time. It returns how many have begun a request that is
// not whole.
func (l *connListener) retireIdle(newSince time.Time) (partial int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, class := range []int{idleClients, idleRunners} {
		for l.evictable[class].Len() > 0 {
			l.evictable[class].Front().Value.(*conn).retire()
		}
	}
	for e := l.evictable[newConns].Front(); e != nil; e = l.evictable[newConns].Front() {
		c := e.Value.(*conn)
		if c.listedAt.After(newSince) { // the longest quiet is first
			break
		}
		c.retire()
	}
	return l.evictable[partialRequests].Len()
}

// count returns how many connections are open.
func (l *connListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// awaitsJobs reports whether a job that another process has sent to a worker is on
// its way to the core.
func (l *connListener) awaitsJobs() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inTransit > 0
}

// adoptedListener is the listener of the connections that another process hands
// over, and of those that were pending when the listener closed.
type adoptedListener struct {
	listener *connListener
	conns    chan net.Conn
	closed   chan struct{}

	mu      sync.Mutex
	refuses bool // takes no more connections
}

// offer has a connection be served. It reports whether there is room for it.
func (a *adoptedListener) offer(c net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refuses {
		return false
	}
	select {
	case a.conns <- c:
		return true
	default:
		return false
	}
}

// refuse has no more connections be taken. Those that were taken are still served.
func (a *adoptedListener) refuse() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses = true
}

// Accept implements net.Listener.
func (a *adoptedListener) Accept() (net.Conn, error) {
	select {
	case c := <-a.conns:
		return c, nil
	case <-a.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (a *adoptedListener) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refuses = true
	select {
	case <-a.closed:
	default:
		close(a.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (a *adoptedListener) Addr() net.Addr { return a.listener.Addr() }
