package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxLookahead bounds what is read ahead of the answer to a request: past it a client's end is seen
// only once it has its answer.
const maxLookahead = 2 * maxBody

// lookahead reads on behind a request that waits for its answer, once something has come there.
// Guards against a client that sends more and goes: net/http reads one byte there and no further,
// and so does not see the end. The zero value reads nothing.
type lookahead struct {
	mu      sync.Mutex
	bytes   []byte
	err     error
	reading chan struct{} // closed when the reader has ended; nil for none
	end     chan struct{} // closed when the client's end was seen; nil until asked for
}

// clientEnded is closed when the client's end has been seen behind what it sent.
func (a *lookahead) clientEnded() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endChannel()
}

func (a *lookahead) endChannel() chan struct{} {
	if a.end == nil {
		a.end = make(chan struct{})
	}
	return a.end
}

// prepend is what another process has read of the connection already.
func (a *lookahead) prepend(read []byte) { a.bytes = read }

// take returns what has been read ahead, and what ended it.
func (a *lookahead) take(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.bytes) == 0 {
		return 0, a.err
	}
	n := copy(p, a.bytes)
	a.bytes = a.bytes[n:]
	return n, nil
}

// start begins to read, unless that goes on already.
func (a *lookahead) start(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reading == nil && a.err == nil {
		a.reading = make(chan struct{})
		go a.read(c, a.reading)
	}
}

func (a *lookahead) read(c net.Conn, done chan struct{}) {
	defer close(done)
	for part := make([]byte, 4<<10); ; {
		n, err := c.Read(part)
		a.mu.Lock()
		a.bytes = append(a.bytes, part[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			a.err = err
			close(a.endChannel())
		}
		full := len(a.bytes) >= maxLookahead
		a.mu.Unlock()
		if err != nil || full {
			return
		}
	}
}

// rest takes all that has been read ahead.
func (a *lookahead) rest() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	rest := a.bytes
	a.bytes = nil
	return rest
}

// stop ends the reading: the connection's own reader goes on.
func (a *lookahead) stop(c net.Conn) {
	a.mu.Lock()
	reading := a.reading
	a.reading = nil
	a.mu.Unlock()
	if reading == nil {
		return
	}
	_ = c.SetReadDeadline(pastDeadline)
	<-reading
	_ = c.SetReadDeadline(time.Time{})
}
