// Package gearman is the dispatcher's front for Gearman clients and workers, in addition to the
// platform's HTTP protocol. It translates between packets and the core's jobs, attempts and events,
// and makes no scheduling decision: the core selects the worker, and GRAB_JOB only fetches the job
// that was offered to that worker.
//
// Each connection has a session, whose goroutine owns the state of the client and worker on that
// connection. The goroutine of Server.Run owns the clients' jobs. They exchange messages through
// mailboxes and never block the core. All exported methods are safe for concurrent use.
package gearman

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/trace"
	"frosttide/internal/mailbox"
)

// Core is the part of the dispatcher's core that the front uses. core.Core implements it and
// documents its methods; none of them blocks.
type Core interface {
	Submit(*core.Job, core.Ingress)
	ClientLeft(*core.Job)
	Report(ev core.JobEvent, onResult func(core.ReportResult))
	AttemptAccepted(core.AttemptRef, core.Delivery)
	AttemptEnded(core.AttemptRef, decision.Outcome, []float32, core.Delivery)
	AttemptRecalled(ref core.AttemptRef, confirmed bool)
	RoutesChanged([]core.Route)
}

// Counters counts jobs by outcome and attempts sent to workers, by the index of the job class.
// Pending adds a change to the number of open jobs.
type Counters interface {
	Completed(class int)
	Rejected(class int)
	Failed(class int)
	Sent(class int)
	Pending(change int)
}

// Recorder creates the span records of jobs. Begin returns nil while none are exported; parent and
// state are the traceparent and tracestate headers of a request, which Gearman does not have. Ended
// takes the record of a job that was not submitted to the core.
type Recorder interface {
	Begin(received time.Time, parent, state string) *trace.Record
	Ended(*trace.Record)
}

// Function maps a Gearman function to a job class.
type Function struct {
	Class       int           // index of the class
	Name        string        // name of the class
	Keyed       bool          // jobs need a unique id, which is their idempotency key
	Timeout     time.Duration // from the arrival of a job to its deadline
	Value       float64       // value of a job, for its span record
	RetryWindow time.Duration // how long a job with the same unique id counts as a retry
	Slots       float64       // slots of a worker that a job takes; less than 1 counts as 1
}

// Config is the configuration of the front.
type Config struct {
	Listen         string              // host:port
	Functions      map[string]Function // by name; jobs of others get an ERROR packet
	Zone, Kind     int                 // indexes of the zone and the kind of all Gearman workers
	ZoneName       string
	MaxConnections int         // open connections; further ones are closed at once
	MaxJobs        int         // open jobs of clients; further ones are rejected
	MaxPacketBytes int         // data of one packet, without its header
	TLS            *tls.Config // nil for plain TCP
}

// Sockets returns the largest number of file descriptors that the front uses.
func (c *Config) Sockets() int { return c.MaxConnections + 2 }

// Server accepts Gearman connections and owns the clients' jobs. Create it with New and start it
// with Run.
type Server struct {
	cfg       Config
	core      Core
	counters  Counters
	recorder  Recorder
	log       *logrus.Entry
	listener  net.Listener
	functions atomic.Pointer[map[string]Function]
	mailbox   *mailbox.Box[func(*Server)]

	mu                sync.Mutex
	sessions          map[uint64]*session
	uids              map[string]bool // workers' uids in use
	lastSessionNumber uint64
	shutdownDeadline  atomic.Pointer[time.Time] // nil before a graceful shutdown begins

	// Owned by the goroutine of Run:
	jobs          map[string]*job // by handle
	unique        map[string]*job // by function and unique id
	lastJobNumber uint64
}

// New returns a server that listens on the configured address. It returns an error if it can't
// listen.
func New(cfg Config, c Core, counters Counters, recorder Recorder, log *logrus.Entry) (*Server, error) {
	s := &Server{cfg: cfg, core: c, counters: counters, recorder: recorder, log: log, mailbox: mailbox.New[func(*Server)](),
		sessions: map[uint64]*session{}, uids: map[string]bool{}, jobs: map[string]*job{}, unique: map[string]*job{}}
	s.SetFunctions(cfg.Functions)
	// SO_REUSEPORT lets the old and the new process listen at the same time during an upgrade; the
	// old one stops first.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) { optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, optErr)
	}}
	l, err := lc.Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "gearman listener")
	}
	if cfg.TLS != nil {
		l = tls.NewListener(l, cfg.TLS)
	}
	s.listener = l
	return s, nil
}

// SetFunctions replaces the functions, by name. Open jobs keep their class.
func (s *Server) SetFunctions(f map[string]Function) { s.functions.Store(&f) }

// Run accepts connections and handles jobs until ctx is done. It then closes the listener and all
// connections.
func (s *Server) Run(ctx context.Context) {
	go s.accept()
	var messages []func(*Server)
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-s.mailbox.Ready():
		}
		messages = s.mailbox.Drain(messages[:0])
		for i, message := range messages {
			message(s)
			messages[i] = nil
		}
	}
}

// accept accepts connections until the listener is closed. A connection above MaxConnections is
// closed at once; Gearman clients and workers reconnect by themselves.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // temporary: no file descriptor is free, or the peer has disconnected
			time.Sleep(acceptBackoff)
			continue
		}
		s.mu.Lock()
		full := len(s.sessions) >= s.cfg.MaxConnections
		s.lastSessionNumber++
		sess := newSession(s, s.lastSessionNumber, c)
		if !full {
			s.sessions[sess.number] = sess
		}
		s.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go sess.run()
	}
}

// acceptBackoff is the pause after a failed accept, so that the loop does not use a whole CPU.
const acceptBackoff = 10 * time.Millisecond

// Addr returns the address of the listener.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// addrPrefix begins the addresses of Gearman workers in the route table.
const addrPrefix = "gearman/"

// IsWorkerAddr reports whether addr, an address of the route table, is that of a Gearman worker.
func IsWorkerAddr(addr string) bool { return strings.HasPrefix(addr, addrPrefix) }

// Open returns the backend of the worker with the address. If the worker has disconnected, attempts
// sent to the backend end at once with decision.ConnectFailed.
func (s *Server) Open(addr string) core.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		if sess.addr() == addr {
			return backend{sess}
		}
	}
	return backend{&session{server: s, mailbox: mailbox.New[func(*session)](), ended: true}}
}

// reserveUID reserves and returns a uid for a worker: id, or id with a number appended if another
// worker has it.
func (s *Server) reserveUID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 1; ; n++ {
		uid := id
		if n > 1 {
			uid = fmt.Sprintf("%s#%d", id, n)
		}
		if !s.uids[uid] {
			s.uids[uid] = true
			return uid
		}
	}
}

// releaseUID releases a uid that reserveUID has returned.
func (s *Server) releaseUID(uid string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.uids, uid)
}

// removeSession removes a closed session.
func (s *Server) removeSession(sess *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.number)
}

// BeginShutdown begins a graceful shutdown: it closes the listener and caps the deadlines of new
// jobs at deadline. Open connections stay open.
func (s *Server) BeginShutdown(deadline time.Time) {
	s.shutdownDeadline.Store(&deadline)
	s.listener.Close()
}

// Idle reports whether no client's job is open. It returns false if the goroutine of Run does not
// answer before the deadline, and must not be called from that goroutine.
func (s *Server) Idle(deadline time.Time) bool {
	result := make(chan bool, 1)
	s.mailbox.Put(func(s *Server) { result <- len(s.jobs) == 0 })
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case idle := <-result:
		return idle
	case <-timeout.C:
		return false
	}
}

// close closes the listener and all connections.
func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sess := range s.sessions {
		sess.conn.Close()
	}
}
