// Package console is the operators' front: an HTTP server at an address of its own
// that tells whether the process is ready. It takes one call per connection.
package console

import (
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// Sockets is how many descriptors the console uses at most, its listener's too.
	Sockets = places + 1
	places  = 7
	// hearTime is how long a call may take to arrive: whoever makes one waits 1 s.
	hearTime = 1500 * time.Millisecond
)

// Console is the server of operators.
type Console struct {
	server *http.Server
	log    *logrus.Entry
}

// New makes a console. Ready tells whether the process serves.
func New(ready func() bool, log *logrus.Entry) *Console {
	c := &Console{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	c.server = &http.Server{Handler: mux, ReadTimeout: hearTime, WriteTimeout: 2 * hearTime, MaxHeaderBytes: 4 << 10,
		ErrorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0)}
	c.server.SetKeepAlivesEnabled(false)
	return c
}

// Serve answers until the listener is closed.
func (c *Console) Serve(l net.Listener) {
	err := c.server.Serve(&door{Listener: l})
	c.log.WithError(err).Debug("console closed")
}
