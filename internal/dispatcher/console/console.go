// Package console is the HTTP server for operators, which listens on an address of its own. It
// reports whether the process is ready, returns its metrics, and excludes and reinstates workers.
// It serves one request per connection. cmd/frosttide creates one Console and runs it.
//
// The console never has more than Sockets descriptors open, whatever its clients do. All methods
// are safe for concurrent use.
package console

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/neterr"
)

const (
	// Sockets is the maximum number of file descriptors that the console uses, including the
	// listener.
	Sockets        = maxConnections + 1
	maxConnections = 7
	// requestTimeout is the maximum time for reading a request. Clients time out after 1 s.
	requestTimeout = 1500 * time.Millisecond
	// operationTimeout is the maximum time for executing an order, and responseMargin the
	// additional time after which the client gets an error. Together they are less than the 1 s of
	// the client.
	operationTimeout = 600 * time.Millisecond
	responseMargin   = 150 * time.Millisecond
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 4 << 10
	// maxOrderIDBytes is the maximum length of an order's ID.
	maxOrderIDBytes = 128
)

// ErrUnknown is the error of an order for a worker that is not known. Clients get its text.
var ErrUnknown = errors.New("no runner has this id")

// ErrUnclear is wrapped by the error of an order whose outcome is unknown: it may have been
// executed, or may still be. Clients get its text.
var ErrUnclear = errors.New("unclear")

// Order is an operator's order to exclude a worker or to reinstate it.
type Order struct {
	Worker string // UID of the worker
	Out    bool   // exclude the worker; otherwise reinstate it
	// ID makes the order idempotent: if it is sent again under the same ID, it has its effect once.
	// The console generates an ID if the operator provides none.
	ID string
}

// Core executes the orders of operators.
type Core interface {
	// Exclude executes an order and calls done, possibly after the deadline: with nil, with
	// ErrUnknown, with an error that wraps ErrUnclear, or with another error if the order was not
	// executed.
	Exclude(order Order, deadline time.Time, done func(error))
}

// Handlers serve the requests that the console only routes.
type Handlers struct {
	// Ready reports whether the process serves requests. If it does, note is the body of the
	// response and tells operators of restrictions, if any.
	Ready   func() (ready bool, note string)
	Figures http.Handler // metrics of the process
	Cluster http.Handler // status of the cluster and orders to it; nil without a cluster
	Work    http.Handler // workflows and gangs
}

// Console is the HTTP server for operators.
type Console struct {
	server *http.Server
	core   Core
	log    *logrus.Entry
}

// New returns a console that does not serve yet. The server of net/http logs at debug level.
func New(core Core, handlers Handlers, log *logrus.Entry) *Console {
	c := &Console{core: core, log: log}
	c.server = &http.Server{
		Handler:        c.routes(handlers),
		ReadTimeout:    requestTimeout,
		WriteTimeout:   2 * requestTimeout,
		MaxHeaderBytes: 4 << 10,
		ErrorLog:       stdlog.New(log.WriterLevel(logrus.DebugLevel), "", 0),
	}
	c.server.SetKeepAlivesEnabled(false)
	return c
}

// routes returns the handler of all requests.
func (c *Console) routes(handlers Handlers) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		ready, note := handlers.Ready()
		if !ready {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, note) // a failed write means that the client has disconnected
	})
	mux.Handle("GET /api/telemetry", handlers.Figures)
	for _, path := range []string{"/api/workflow", "/api/workflow/", "/api/gang"} {
		mux.Handle(path, handlers.Work)
	}
	if handlers.Cluster != nil {
		mux.Handle("/api/cluster", handlers.Cluster)
		mux.Handle("/api/cluster/", handlers.Cluster)
	}
	mux.HandleFunc("PUT /api/exclude", func(w http.ResponseWriter, r *http.Request) { c.exclude(w, r, true) })
	mux.HandleFunc("PUT /api/include", func(w http.ResponseWriter, r *http.Request) { c.exclude(w, r, false) })
	return mux
}

// Serve serves requests on l until l is closed.
func (c *Console) Serve(l net.Listener) {
	err := c.server.Serve(&boundedListener{Listener: neterr.Listener{Listener: l}})
	c.log.WithError(err).Debug("console closed")
}

// exclude handles a request to exclude a worker, or to reinstate it if out is false.
func (c *Console) exclude(w http.ResponseWriter, r *http.Request, out bool) {
	deadline := time.Now().Add(operationTimeout)
	var call struct {
		Host  string `json:"host"`
		Order string `json:"order"`
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(text, &call)
	}
	if err != nil || call.Host == "" {
		http.Error(w, `the body is to be {"host":"ID"}`, http.StatusBadRequest)
		return
	}
	if len(call.Order) > maxOrderIDBytes {
		http.Error(w, fmt.Sprintf("an order has %d bytes at the most", maxOrderIDBytes), http.StatusBadRequest)
		return
	}
	order := Order{Worker: call.Host, Out: out, ID: cmp.Or(call.Order, rand.Text())}
	result := make(chan error, 1)
	c.core.Exclude(order, deadline, func(err error) { result <- err })
	timer := time.NewTimer(time.Until(deadline.Add(responseMargin)))
	defer timer.Stop()
	select {
	case err = <-result:
	case <-timer.C:
		err = fmt.Errorf("%w: there is no answer in time", ErrUnclear)
	}
	switch {
	case errors.Is(err, ErrUnknown):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, ErrUnclear):
		http.Error(w, fmt.Sprintf("%s; send it again with \"order\":%q, and it has its effect once", err, order.ID), http.StatusGatewayTimeout)
	case err != nil:
		http.Error(w, "not done: "+err.Error(), http.StatusServiceUnavailable)
	}
}
