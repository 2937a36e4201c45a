package httpserver

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrRequestsOpen is the error of a drain that timed out before the last response was complete.
var ErrRequestsOpen = errors.New("httpserver: drain timed out with requests still open")

// EndKeepAlive makes each response from now on carry "Connection: close". Connections without a
// request stay open, because a request may be in flight on them.
func (l *Listener) EndKeepAlive() { l.endKeepAlive.Store(true) }

// Drain stops listening, closes the connections without a request, and waits up to timeout for the
// responses on the others. Every request of which at least one byte was read gets a response; no
// byte was read of a request on a connection that is reset. If requests are still open after
// timeout, Drain returns ErrRequestsOpen.
func (l *Listener) Drain(timeout time.Duration) error {
	l.EndKeepAlive()
	_ = l.netListener.Close() // may be closed already
	<-l.acceptDone            // from here on the set of connections is complete
	l.interruptWaiting()
	select {
	case <-l.drained:
		return nil
	case <-time.After(timeout):
		return ErrRequestsOpen
	}
}

// interruptWaiting starts the drain: it interrupts the connections that wait for a request. The
// others are interrupted when their request ends.
func (l *Listener) interruptWaiting() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return
	}
	l.draining = true
	for c := range l.connections {
		c.interrupt()
	}
	l.signalIfDrained()
}

// signalIfDrained completes the drain once no connection is left. The caller holds the lock.
func (l *Listener) signalIfDrained() {
	if l.draining && len(l.connections) == 0 {
		close(l.drained)
	}
}

// closingHandler wraps a handler so that its responses carry "Connection: close" once EndKeepAlive
// was called.
func (l *Listener) closingHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &closingWriter{ResponseWriter: w, owner: l}
		next.ServeHTTP(writer, r)
		writer.setConnectionClose()
	})
}

// closingWriter is a ResponseWriter that adds "Connection: close" once EndKeepAlive was called.
type closingWriter struct {
	http.ResponseWriter
	owner *Listener
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.setConnectionClose()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.setConnectionClose()
	return w.ResponseWriter.Write(p)
}

// setConnectionClose sets "Connection: close" if EndKeepAlive was called. It has no effect once the
// header has been written.
func (w *closingWriter) setConnectionClose() {
	if w.owner.endKeepAlive.Load() {
		w.Header().Set("Connection", "close")
	}
}
