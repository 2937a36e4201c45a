// Package console is the operators' HTTP server, at an address of its own. It reports
// whether the process is ready, returns its figures, and excludes and reinstates
// workers. It takes one call per connection. cmd/frosttide makes one Console and
// runs it.
//
// At most Sockets descriptors are open, whatever callers do. All methods are safe
// for concurrent use.
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
	// Sockets is the largest number of descriptors that the console uses, its
	// listener's included.
	Sockets    = maxCallers + 1
	maxCallers = 7
	// requestTimeout is how long a call may take to arrive. Callers wait for 1 s.
	requestTimeout = 1500 * time.Millisecond
	// operationTimeout is how long a call may take to be executed, and responseMargin
	// how much later its caller learns that it was not: within 1 s in all.
	operationTimeout = 600 * time.Millisecond
	responseMargin   = 150 * time.Millisecond
	// maxCall bounds the body of a call, in bytes.
	maxCall = 4 << 10
	// maxOrderID bounds an order's ID, in bytes.
	maxOrderID = 128
)

// ErrUnknown is the error of a call on a worker that nobody has.
var ErrUnknown = errors.New("no runner has this id")

// ErrUnclear is wrapped by the error of an order that may be in force all the same, or
// come to be.
var ErrUnclear = errors.New("unclear")

// Order excludes a worker, or reinstates it.
type Order struct {
	Worker string // its uid
	Out    bool   // exclude it; otherwise reinstate it
	// ID names the order: sent again under its ID it has its effect once. It is drawn
	// where the operator gives none.
	ID string
}

// Core does what operators ask for.
type Core interface {
	// Exclude executes an order. It calls done with nil, with ErrUnknown, with an error
	// that wraps ErrUnclear, or with why it was not done, possibly after the deadline.
	Exclude(order Order, deadline time.Time, done func(error))
}

// Handlers answer the calls that the console passes on.
type Handlers struct {
	// Ready reports whether the process serves, and then what operators should know
	// of it.
	Ready   func() (ready bool, note string)
	Figures http.Handler // the figures of the process
	Cluster http.Handler // the cluster; nil without one
	Work    http.Handler // workflows and gangs
}

// Console is the server of operators.
type Console struct {
	server *http.Server
	core   Core
	log    *logrus.Entry
}

// New makes a console that does not serve yet.
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

// routes returns the handler of all calls.
func (c *Console) routes(handlers Handlers) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		ready, note := handlers.Ready()
		if !ready {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, note) // a caller that has left needs no error
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

// Serve serves until the listener is closed.
func (c *Console) Serve(l net.Listener) {
	err := c.server.Serve(&callerListener{Listener: neterr.Listener{Listener: l}})
	c.log.WithError(err).Debug("console closed")
}

// exclude executes a call that excludes a worker, or reinstates it with out false.
func (c *Console) exclude(w http.ResponseWriter, r *http.Request, out bool) {
	deadline := time.Now().Add(operationTimeout)
	var call struct {
		Host  string `json:"host"`
		Order string `json:"order"`
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCall))
	if err == nil {
		err = json.Unmarshal(text, &call)
	}
	if err != nil || call.Host == "" {
		http.Error(w, `the body is to be {"host":"ID"}`, http.StatusBadRequest)
		return
	}
	if len(call.Order) > maxOrderID {
		http.Error(w, fmt.Sprintf("an order has %d bytes at the most", maxOrderID), http.StatusBadRequest)
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
