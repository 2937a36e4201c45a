package neterr

import (
	"errors"
	"net"
	"time"
)

// The delay before accept is retried doubles with each error in a row, between these bounds.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 160 * time.Millisecond
)

// Listener wraps a net.Listener so that Accept fails only when the listener can't be used any more.
// It retries after all other errors, whereas the server of net/http stops for good on those that it
// does not know.
type Listener struct {
	net.Listener
	// OnError, if not nil, is called with each error before the retry, on the goroutine of Accept.
	OnError func(error)
}

// Accept returns the next connection. It sleeps between retries.
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
