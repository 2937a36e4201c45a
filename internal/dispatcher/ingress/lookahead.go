package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxLookahead bounds the bytes that are read ahead of the response to a request.
// Past it, the end of the client's side is noticed only after the response.
const maxLookahead = 2 * maxBody

// lookahead reads on behind a request that waits for its response, once data has
// arrived there. net/http reads one byte there and no further, and so would not
// notice a client that sends more and leaves. The zero value reads nothing.
type lookahead struct {
	mu      sync.Mutex
	bytes   []byte
	err     error
	reading chan struct{} // closed when the reader has ended; nil for no reader
	end     chan struct{} // closed when the end of the client's side was seen; nil until asked for
}

// clientEnded returns a channel that is closed when the end of the client's side
// has been read behind what the client sent.
func (a *lookahead) clientEnded() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endChannel()
}

// endChannel returns the channel of clientEnded. The caller holds the lock.
func (a *lookahead) endChannel() chan struct{} {
	if a.end == nil {
		a.end = make(chan struct{})
	}
	return a.end
}

// prepend sets what another process has read of the connection already. It must be
// called before any other use.
func (a *lookahead) prepend(read []byte) { a.bytes = read }

// take copies bytes that have been read ahead. Without any it returns the error
// that ended the reading, nil for none.
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

// start starts the reader, unless it runs or the connection has ended.
func (a *lookahead) start(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reading == nil && a.err == nil {
		a.reading = make(chan struct{})
		go a.read(c, a.reading)
	}
}

// read reads until the connection ends, enough is read, or stop interrupts it.
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

// rest takes all bytes that have been read ahead.
func (a *lookahead) rest() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	rest := a.bytes
	a.bytes = nil
	return rest
}

// stop ends the reader and waits for its end, so that the connection's own reader
// can go on.
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
