package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"frosttide/internal/httpserver"
	"frosttide/internal/nodefile"
	"frosttide/internal/process"
	"frosttide/internal/protocol"
)

const (
	// tickInterval is the interval between ticks of the state machines.
	tickInterval = 50 * time.Millisecond
	// maxHeartbeatBytes limits the size of a heartbeat's body. Runners list up to 500 ends at once, each
	// with a checkpoint, and all their runs.
	maxHeartbeatBytes = 16 << 20
	// readTimeout limits how long a heartbeat may take to arrive.
	readTimeout = 3 * time.Second
	// drainTimeout limits how long a process that shuts down waits for open requests, which are
	// answered without delay.
	drainTimeout = 300 * time.Millisecond
	// healthCheckInterval is the minimum time between two health checks of a timed-out runner.
	healthCheckInterval = 100 * time.Millisecond
	// healthCheckTimeout limits how long a health check may take.
	healthCheckTimeout = 300 * time.Millisecond
)

// Server connects the state machine of an agent to the network and to the HTTP endpoint of its
// runner. Its fields are used only on the process's goroutine, except for process itself.
type Server struct {
	process *process.Process
	node    *Node

	runnerAddress string // address that the runner listens on; empty if it is not in the settings
	checking      bool   // a health check is in progress
	lastCheck     time.Duration
	checks        sync.WaitGroup // goroutines of health checks
}

// Run runs an agent with the settings that were read from the file at path, until the context ends.
// It returns an error if the settings lack a required key or if it can't listen on an address.
func Run(ctx context.Context, path string, settings *nodefile.File) error {
	if settings.ListenAddrs.Control == "" {
		return nodefile.MissingKey(path, "ListenAddrs.Control")
	}
	s := &Server{runnerAddress: settings.App}
	p, err := process.New(path, settings, "companion", func(from string, e *protocol.Envelope) {
		s.node.Receive(s.process.Now(), from, e)
	})
	if err != nil {
		return err
	}
	defer p.Close()
	s.process = p
	s.node = NewNode(Config{
		Incarnation: p.Incarnation,
		MaxRunLease: nodefile.Milliseconds(settings.Bounds.HoldMaxMs),
		Contacts:    settings.Contacts(),
		Seed:        p.Incarnation,
	}, p.Address, p.Now())
	listener, err := s.serveRunner(settings.ListenAddrs.Control)
	if err != nil {
		return err
	}
	defer listener.Close()
	p.Serve(ctx, process.Role{
		TickInterval:  tickInterval,
		Tick:          s.tick,
		AfterTurn:     func() { s.afterTurn(ctx) },
		ApplySettings: func(changed *nodefile.File) { s.node.SetContacts(changed.Contacts()) },
		Drain:         func() { drain(listener) },
	})
	s.checks.Wait() // the end of the context has canceled them
	return nil
}

// drain waits until the runner's open requests are answered, at most for drainTimeout.
func drain(listener *httpserver.Listener) {
	if err := listener.Drain(drainTimeout); err != nil {
		klog.ErrorS(err, "Requests of the runner are still open at the end of the drain")
	}
}

// serveRunner starts the HTTP server for the runner's heartbeats and deregistration. The caller
// closes the returned listener.
func (s *Server) serveRunner(address string) (*httpserver.Listener, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/instances/{id}", s.handleHeartbeat)
	mux.HandleFunc("DELETE /v1/instances/{id}", s.handleDeregister)
	listener, err := httpserver.Listen(address, &http.Server{Handler: mux, ReadTimeout: readTimeout})
	return listener, errors.Wrap(err, "companion: can't listen on the address for the runner")
}

// tick passes the current time to the node.
func (s *Server) tick() { s.node.Tick(s.process.Now()) }

// afterTurn sends the node's messages and starts a health check of the runner if one is due. The
// end of the context cancels health checks.
func (s *Server) afterTurn(ctx context.Context) {
	now := s.process.Now()
	for _, send := range s.node.Turn(now) {
		s.process.Send(send.To, send.Message)
	}
	s.checkRunner(ctx, now)
}

// checkRunner starts a health check of the runner on a new goroutine, if one is due and none is in
// progress.
func (s *Server) checkRunner(ctx context.Context, now time.Duration) {
	if s.checking || s.runnerAddress == "" || now-s.lastCheck < healthCheckInterval {
		return
	}
	id, ok := s.node.Machine.NextHealthCheck(now)
	if !ok {
		return
	}
	s.checking, s.lastCheck = true, now
	s.checks.Go(func() {
		refused := refusesConnections(ctx, s.runnerAddress)
		s.process.Post(func() {
			s.checking = false
			s.node.Machine.HealthCheckDone(s.process.Now(), id, refused)
		})
	})
}

// refusesConnections reports whether a connection to an address is refused, which proves that
// nothing listens there. A connection that times out proves nothing.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: healthCheckTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err == nil {
		_ = conn.Close() // no data was sent, so that an error does not matter
	}
	return errors.Is(err, unix.ECONNREFUSED)
}

// handleHeartbeat handles PUT /v1/instances/{id}, the heartbeat of a runner.
func (s *Server) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	id, ok := httpserver.PathText(w, r, "id")
	if !ok {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	heartbeat, err := ParseHeartbeat(id, body)
	if err != nil {
		klog.ErrorS(err, "Heartbeat can't be read")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := make(chan HeartbeatResponse, 1)
	s.process.Post(func() { result <- s.node.Machine.HandleHeartbeat(s.process.Now(), heartbeat) })
	select {
	case response := <-result:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(response.Encode()) // fails only if the runner has disconnected
	case <-r.Context().Done():
	}
}

// handleDeregister handles DELETE /v1/instances/{id}, by which a runner announces that it will
// exit.
func (s *Server) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id, ok := httpserver.PathText(w, r, "id")
	if !ok {
		return
	}
	done := make(chan struct{})
	s.process.Post(func() {
		s.node.Machine.Deregister(s.process.Now(), id)
		close(done)
	})
	select {
	case <-done:
		w.WriteHeader(http.StatusOK)
	case <-r.Context().Done():
	}
}
