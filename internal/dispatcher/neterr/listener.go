package neterr

import (
	"errors"
	"net"
	"time"
)

// The bounds of the wait before another accept, which doubles with each error.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 160 * time.Millisecond
)

// Listener is a listener whose Accept fails only when the listener itself has ended. It retries after all other errors,
// while net/http's server would end for good by those that it does not know.
type Listener struct {
	net.Listener
	// OnError is called with each error that is retried, on the goroutine of Accept; nil for none.
	OnError func(error)
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || EndsListener(err) {
			return c, err
		}
		if l.OnError != nil {
			l.OnError(err)
		}
		time.Sleep(backoff)
	}
}
