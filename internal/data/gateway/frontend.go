package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"frosttide/internal/httpserver"
	"frosttide/internal/routeconfig"
)

const (
	// readHeaderTimeout limits how long the header of a request may take to arrive.
	readHeaderTimeout = 3 * time.Second
	// drainDelay is how long the gateway keeps accepting connections after a drain has begun: it
	// takes that long until clients notice that the gateway is not ready.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace time that is reserved for the process to exit.
	exitMargin = 700 * time.Millisecond
)

// frontend holds the HTTP servers of a gateway. Its handlers run concurrently.
type frontend struct {
	gateway           *Gateway
	table             atomic.Pointer[routeconfig.Table] // newest configuration
	draining          atomic.Bool
	grace             time.Duration
	clientServer      *http.Server
	readinessServer   *http.Server
	clientListener    *httpserver.Listener // nil until listen is called
	readinessListener *httpserver.Listener // likewise
}

// newFrontend returns a frontend that does not listen yet. A drain takes at most grace.
func newFrontend(g *Gateway, grace time.Duration) *frontend {
	f := &frontend{gateway: g, grace: grace}
	f.table.Store(routeconfig.Empty())
	f.clientServer = &http.Server{Handler: http.HandlerFunc(f.serveClient), ReadHeaderTimeout: readHeaderTimeout}
	readiness := http.NewServeMux()
	readiness.HandleFunc("GET /v1/ready", f.handleReadiness)
	f.readinessServer = &http.Server{Handler: readiness, ReadHeaderTimeout: readHeaderTimeout}
	return f
}

// listen starts the servers for clients and for readiness probes, which run until close is called.
func (f *frontend) listen(clientAddress, readinessAddress string) (err error) {
	if f.clientListener, err = listenAndServe(f.clientServer, clientAddress); err != nil {
		return err
	}
	f.readinessListener, err = listenAndServe(f.readinessServer, readinessAddress)
	return err
}

// listenAndServe starts a server on an address and returns its listener.
func listenAndServe(server *http.Server, address string) (*httpserver.Listener, error) {
	listener, err := httpserver.Listen(address, server)
	return listener, errors.Wrap(err, "carrier: can't listen on an address")
}

// close stops both servers and closes all remaining connections.
func (f *frontend) close() {
	for _, listener := range []*httpserver.Listener{f.clientListener, f.readinessListener} {
		if listener != nil {
			listener.Close()
		}
	}
}

// handleReadiness answers readiness probes: 200 if the platform may send clients to this gateway,
// 503 during a drain or while no configuration has arrived.
func (f *frontend) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() || f.table.Load().Version == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain reports the gateway as not ready, so that clients use another one. It returns when all open
// requests are answered or when the grace time is over.
func (f *frontend) drain() {
	klog.InfoS("Gateway is draining")
	f.draining.Store(true)
	f.clientListener.EndKeepAlive()
	delay, timeout := drainTimes(f.grace)
	time.Sleep(delay)
	if err := f.clientListener.Drain(timeout); err != nil {
		klog.ErrorS(err, "Requests are still open at the end of the grace time")
	}
}

// drainTimes splits the grace time: for delay a drain still accepts connections, then it waits up
// to timeout for open requests.
func drainTimes(grace time.Duration) (delay, timeout time.Duration) {
	delay = min(drainDelay, grace/2)
	return delay, max(grace-delay-exitMargin, grace/4)
}
