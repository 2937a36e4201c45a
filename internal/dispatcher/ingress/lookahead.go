package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// maxLookahead is the number of bytes after which the lookahead stops reading. A disconnect
// after more data than this is noticed only after the response.
const maxLookahead = 2 * maxBody

// lookahead reads pipelined data while a request awaits its response, to detect that the client
// disconnects. net/http's background read stops after one byte, and so would not notice a client
// that sends more data and then disconnects. The zero value is ready to use.
type lookahead struct {
	mu           sync.Mutex
	buffered     []byte
	err          error
	readerDone   chan struct{} // closed when the reader ends; nil if none runs
	disconnected chan struct{} // closed at EOF or a read error; created on demand
}

// clientDisconnected returns a channel that is closed when the reader finds that the client has
// closed its side, or that the connection has failed.
func (a *lookahead) clientDisconnected() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.disconnectedChannel()
}

// disconnectedChannel returns the channel of clientDisconnected. The caller holds the mutex.
func (a *lookahead) disconnectedChannel() chan struct{} {
	if a.disconnected == nil {
		a.disconnected = make(chan struct{})
	}
	return a.disconnected
}

// prepend sets the data that another process has already read from the connection. It must be
// called before any other method.
func (a *lookahead) prepend(read []byte) { a.buffered = read }

// take moves buffered data to p and returns the number of bytes. If nothing is buffered it
// returns the error that ended the reader, if any.
func (a *lookahead) take(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buffered) == 0 {
		return 0, a.err
	}
	n := copy(p, a.buffered)
	a.buffered = a.buffered[n:]
	return n, nil
}

// start starts the reader, unless it is already running or the connection has failed.
func (a *lookahead) start(c net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readerDone == nil && a.err == nil {
		a.readerDone = make(chan struct{})
		go a.read(c, a.readerDone)
	}
}

// read buffers data until the connection ends, maxLookahead bytes are buffered, or stop
// interrupts it.
func (a *lookahead) read(c net.Conn, done chan struct{}) {
	defer close(done)
	for buf := make([]byte, 4<<10); ; {
		n, err := c.Read(buf)
		a.mu.Lock()
		a.buffered = append(a.buffered, buf[:n]...)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			a.err = err
			close(a.disconnectedChannel())
		}
		full := len(a.buffered) >= maxLookahead
		a.mu.Unlock()
		if err != nil || full {
			return
		}
	}
}

// takeAll removes and returns all buffered data.
func (a *lookahead) takeAll() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	rest := a.buffered
	a.buffered = nil
	return rest
}

// stop interrupts the reader and waits until it has ended, so that conn.Read can read from the
// connection again.
func (a *lookahead) stop(c net.Conn) {
	a.mu.Lock()
	done := a.readerDone
	a.readerDone = nil
	a.mu.Unlock()
	if done == nil {
		return
	}
	_ = c.SetReadDeadline(pastDeadline)
	<-done
	_ = c.SetReadDeadline(time.Time{})
}
