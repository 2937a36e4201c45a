package neterr

import (
	"errors"
	"net"
	"time"
)

const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 160 * time.Millisecond
)

// Listener is a listener whose Accept ends with the listener only: it tries again, after a pause
// that doubles up to a bound, whatever else accept says. Guards a server from ending for good by
// an error that passes, as net/http's does by those that it does not know.
type Listener struct {
	net.Listener
	// OnError is told of each error that is tried again; nil for nobody.
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
