package transport

import (
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/protocol"
)

// link is a stream to another process.
type link struct {
	address         string
	incarnation     atomic.Uint64 // of the other process, 0 before its hello
	mu              sync.Mutex
	queue           []*protocol.Envelope
	wakeup          chan struct{}
	done            chan struct{}
	closeOnce       sync.Once
	lastUsed        time.Time
	closeConnection func()
	dialing         bool // no connection stands yet; guarded by the transport's lock
}

func newLink(to string) *link {
	return &link{address: to, wakeup: make(chan struct{}, 1), done: make(chan struct{}), lastUsed: time.Now(), closeConnection: func() {}}
}

// enqueue queues a message. A link whose queue is full is given up, so that the other end sees the loss.
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

// terminate closes a link.
func (l *link) terminate() {
	l.closeOnce.Do(func() {
		close(l.done)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closeConnection()
	})
}

// drain returns the messages that wait, which the link forgets.
func (l *link) drain() []*protocol.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	return queue
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && time.Since(l.lastUsed) > idleTimeout
}
