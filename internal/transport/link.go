package transport

import (
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/protocol"
)

// link is a stream to another process.
type link struct {
	to          string
	incarnation atomic.Uint64 // of the other process, 0 before its hello
	mu          sync.Mutex
	queue       []*protocol.Envelope
	wake        chan struct{}
	done        chan struct{}
	once        sync.Once
	used        time.Time
	close       func()
	dialing     bool // no connection stands yet; guarded by the transport's lock
}

func newLink(to string) *link {
	return &link{to: to, wake: make(chan struct{}, 1), done: make(chan struct{}), used: time.Now(), close: func() {}}
}

// put queues a message. A link whose queue is full is given up, so that the other end sees the loss.
func (l *link) put(e *protocol.Envelope) {
	l.mu.Lock()
	l.used = time.Now()
	full := len(l.queue) >= mostQueued
	if !full {
		l.queue = append(l.queue, e)
	}
	l.mu.Unlock()
	if full {
		l.end()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// end closes a link.
func (l *link) end() {
	l.once.Do(func() {
		close(l.done)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.close()
	})
}

// take returns the messages that wait, which the link forgets.
func (l *link) take() []*protocol.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	queue := l.queue
	l.queue = nil
	return queue
}

func (l *link) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && time.Since(l.used) > idleTime
}
