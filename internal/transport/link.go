package transport

import (
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/protocol"
)

const (
	// idleTimeout is how long a link may be unused before it is closed.
	idleTimeout = 20 * time.Second
	// maxQueuedMessages bounds the send queue of a link.
	maxQueuedMessages = 8192
)

// link is a stream to another process and its send queue. It ends exactly once, in terminate.
type link struct {
	address     string        // internal address of the other process
	incarnation atomic.Uint64 // of the other process, 0 until its Hello is received
	dialing     bool          // there is no connection yet; guarded by the transport's lock
	connection  uint64        // rises in the order in which connections are accepted or dials start

	sendGeneration uint64 // number among the links that this process sends on, from 1; 0 if read only
	generation     uint64 // the peer's sendGeneration, from its Hello; used by the reader only
	superseded     bool   // a later link has delivered a message; guarded by inboundPeer.mu

	wakeup    chan struct{} // holds an element while messages may be queued
	done      chan struct{} // closed by terminate
	closeOnce sync.Once

	mu              sync.Mutex
	queue           []*protocol.Envelope
	lastUsed        time.Time
	closeConnection func() // makes the link's blocked goroutines return with errors
}

func newLink(address string) *link {
	return &link{address: address, wakeup: make(chan struct{}, 1), done: make(chan struct{}), lastUsed: time.Now(), closeConnection: func() {}}
}

// enqueue queues a message. If the queue is full, it terminates the link, so that the peer notices
// the loss.
func (l *link) enqueue(e *protocol.Envelope) {
	l.mu.Lock()
	l.lastUsed = time.Now()
	full := len(l.queue) >= maxQueuedMessages
	if !full {
		l.queue = append(l.queue, e)
	}
	l.mu.Unlock()
	if full {
		l.terminate()
		return
	}
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// drain returns the queued messages and empties the queue.
func (l *link) drain() []*protocol.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	return queue
}

// terminate closes the link's connection and wakes its writer. Calls after the first have no
// effect.
func (l *link) terminate() {
	l.closeOnce.Do(func() {
		close(l.done)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closeConnection()
	})
}

// addCloser registers a further function that terminate calls to close the connection. It returns
// false if the link has been terminated already.
func (l *link) addCloser(closeConnection func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		return false
	default:
	}
	previous := l.closeConnection
	l.closeConnection = func() {
		previous()
		closeConnection()
	}
	return true
}

// touch records that the link is in use.
func (l *link) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastUsed = time.Now()
}

// idle reports whether the link has been unused for longer than idleTimeout.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && time.Since(l.lastUsed) > idleTimeout
}
