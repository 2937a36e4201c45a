package neterr

import (
	"errors"
	"net"
	"time"
)

const (
	firstPause = 5 * time.Millisecond
	longPause  = 160 * time.Millisecond
)

// Listener is a listener whose Accept ends with the listener only: it tries again, after a pause
// that doubles up to a bound, whatever else accept says. Guards a server from ending for good by
// an error that passes, as net/http's does by those that it does not know.
type Listener struct {
	net.Listener
	// Failed is told of each error that is tried again; nil for nobody.
	Failed func(error)
}

// Accept waits for the next connection.
func (l Listener) Accept() (net.Conn, error) {
	for pause := firstPause; ; pause = min(2*pause, longPause) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || EndsListener(err) {
			return c, err
		}
		if l.Failed != nil {
			l.Failed(err)
		}
		time.Sleep(pause)
	}
}
