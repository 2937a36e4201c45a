// Package console is the operators' front: an HTTP server at an address of its own
// that tells whether the process is ready and its figures, leaves runners out and puts
// them back. It takes one call per connection.
package console

import (
	"encoding/json"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/neterr"
)

const (
	// Sockets is how many descriptors the console uses at most, its listener's too.
	Sockets    = maxCallers + 1
	maxCallers = 7
	// requestTimeout is how long a call may take to arrive: whoever makes one waits 1 s.
	requestTimeout = 1500 * time.Millisecond
	// operationTimeout is how long a call may take to be done, and tellTime how much later the
	// caller hears that it was not: within 1 s in all.
	operationTimeout = 600 * time.Millisecond
	responseMargin   = 150 * time.Millisecond
	// maxCall bounds the body of a call.
	maxCall = 4 << 10
)

// Core does what operators ask for.
type Core interface {
	// Exclude leaves a runner out, or puts it back. Done is told ErrUnknown where nobody has
	// the runner, and another error where it is not done; it may come after the deadline.
	Exclude(uid string, out bool, by time.Time, done func(error))
}

// ErrUnknown is told of a runner that nobody has.
var ErrUnknown = errors.New("no runner has this id")

// Console is the server of operators.
type Console struct {
	server *http.Server
	core   Core
	log    *logrus.Entry
}

// New makes a console. Ready tells whether the process serves, and what operators should
// know of it then; figures writes its figures; cluster answers what is asked of the other
// dispatchers, nil where there are none; work answers about workflows and gangs.
func New(core Core, ready func() (yes bool, note string), figures, cluster, work http.Handler, log *logrus.Entry) *Console {
	c := &Console{core: core, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		yes, note := ready()
		if !yes {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, note) // a caller that has left hears nothing
	})
	mux.Handle("GET /api/telemetry", figures)
	for _, path := range []string{"/api/workflow", "/api/workflow/", "/api/gang"} {
		mux.Handle(path, work)
	}
	if cluster != nil {
		mux.Handle("/api/cluster", cluster)
		mux.Handle("/api/cluster/", cluster)
	}
	mux.HandleFunc("PUT /api/exclude", func(w http.ResponseWriter, r *http.Request) { c.exclude(w, r, true) })
	mux.HandleFunc("PUT /api/include", func(w http.ResponseWriter, r *http.Request) { c.exclude(w, r, false) })
	c.server = &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: 2 * requestTimeout, MaxHeaderBytes: 4 << 10,
		ErrorLog: stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0)}
	c.server.SetKeepAlivesEnabled(false)
	return c
}

// Serve answers until the listener is closed.
func (c *Console) Serve(l net.Listener) {
	err := c.server.Serve(&callerListener{Listener: neterr.Listener{Listener: l}})
	c.log.WithError(err).Debug("console closed")
}

// exclude has a runner left out, or put back.
func (c *Console) exclude(w http.ResponseWriter, r *http.Request, out bool) {
	by := time.Now().Add(operationTimeout)
	var call struct {
		Host string `json:"host"`
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	if err == nil {
		err = json.Unmarshal(text, &call)
	}
	if err != nil || call.Host == "" {
		http.Error(w, `the body is to be {"host":"ID"}`, http.StatusBadRequest)
		return
	}
	result := make(chan error, 1)
	c.core.Exclude(call.Host, out, by, func(err error) { result <- err })
	timer := time.NewTimer(time.Until(by.Add(responseMargin)))
	defer timer.Stop()
	select {
	case err := <-result:
		if errors.Is(err, ErrUnknown) {
			http.Error(w, err.Error(), http.StatusNotFound)
		} else if err != nil {
			http.Error(w, "not done: "+err.Error(), http.StatusServiceUnavailable)
		}
	case <-timer.C:
		http.Error(w, "not done, try again", http.StatusServiceUnavailable)
	}
}
