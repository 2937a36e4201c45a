package httpserver

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Listener is an HTTP server on one address that can be drained; see the package comment.
type Listener struct {
	server       *http.Server
	netListener  net.Listener
	acceptDone   chan struct{} // closed when the goroutine that accepts connections has returned
	endKeepAlive atomic.Bool   // set by EndKeepAlive

	mu          sync.Mutex
	connections map[*connection]struct{} // open connections
	draining    bool                     // connections are closed instead of waiting for a request
	drained     chan struct{}            // closed once a drain has no connection left
}

// Listen listens on an IPv4 address, host:port, and serves it until Close or Drain. It returns the
// error if the address cannot be listened on; a later failure to accept connections is logged. The
// Listener takes ownership of the server: it wraps its handler and sets its ConnState hook.
func Listen(address string, server *http.Server) (*Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		server:      server,
		netListener: listener,
		acceptDone:  make(chan struct{}),
		connections: make(map[*connection]struct{}),
		drained:     make(chan struct{}),
	}
	server.Handler = l.closingHandler(server.Handler)
	server.ConnState = trackState
	go l.serve()
	return l, nil
}

// serve accepts connections until the listening socket is closed.
func (l *Listener) serve() {
	defer close(l.acceptDone)
	err := l.server.Serve(trackingListener{Listener: l.netListener, owner: l})
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "Listener has ended", "address", l.netListener.Addr())
	}
}

// Close stops listening and closes all remaining connections, which aborts requests that are still
// open.
func (l *Listener) Close() {
	_ = l.server.Close() // open requests are aborted
	<-l.acceptDone
}
