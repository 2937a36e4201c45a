// Package gearman is the dispatcher's front for clients and workers of Gearman, in addition to the
// platform's own protocol. It translates packets to the core's terms and back and makes no
// scheduling decision: a worker's GRAB_JOB offers a free slot and does not choose a job.
//
// Each connection has a session, an actor that owns the state of its worker; the Server is the
// actor that owns the clients' jobs. Actors talk by mailboxes, and none of them blocks the core.
// The exported methods are safe for concurrent use.
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

// Core takes what clients and workers report; the dispatcher's core implements it. None of its
// methods blocks.
type Core interface {
	Submit(*core.Job, core.Ingress)
	ClientLeft(*core.Job)
	Report(ev core.JobEvent, held func(core.ReportResult))
	AttemptAccepted(core.AttemptRef, core.Delivery)
	AttemptEnded(core.AttemptRef, decision.Outcome, []float32, core.Delivery)
	AttemptRecalled(ref core.AttemptRef, known bool)
	RoutesChanged([]core.Route)
}

// Counters count how jobs end, by the number of their class.
type Counters interface {
	Completed(class int)
	Rejected(class int)
	Failed(class int)
	Sent(class int)
	Pending(change int)
}

// Recorder begins the span records of jobs, and takes those of jobs that the core never gets.
type Recorder interface {
	Begin(came time.Time, parent, state string) *trace.Record
	Ended(*trace.Record)
}

// Function maps a Gearman function to a job class.
type Function struct {
	Class       int
	Name        string // of the class
	Keyed       bool   // its jobs need a unique id, which is their key
	Timeout     time.Duration
	Value       float64
	RetryWindow time.Duration // how long a job of the same unique id counts as a retry
	Slots       float64
}

// Config is the configuration of the front.
type Config struct {
	Listen         string
	Functions      map[string]Function
	Zone, Kind     int // of the workers, by index
	ZoneName       string
	MaxConnections int // open at a time; a further one is closed at once
	MaxJobs        int // open jobs of clients; a further one is rejected
	MaxPacketBytes int // bytes of data in one packet
	TLS            *tls.Config
}

// Sockets returns how many file descriptors the front uses at most.
func (c *Config) Sockets() int { return c.MaxConnections + 2 }

// Server accepts connections and owns the clients' jobs. Make it with New and start it with Run.
type Server struct {
	cfg       Config
	core      Core
	counters  Counters
	recorder  Recorder
	log       *logrus.Entry
	listener  net.Listener
	functions atomic.Pointer[map[string]Function]
	mailbox   *mailbox.Box[func(*Server)]

	mu          sync.Mutex
	sessions    map[uint64]*session
	uids        map[string]bool // uids in use
	lastSession uint64
	shutdownBy  atomic.Pointer[time.Time] // deadline of a graceful shutdown; nil before it begins

	// Used by the goroutine of Run alone:
	jobs    map[string]*job // by handle
	unique  map[string]*job // by function and unique id
	lastJob uint64
}

// New listens on the configured address. Errors are those of listening.
func New(cfg Config, c Core, counts Counters, stories Recorder, log *logrus.Entry) (*Server, error) {
	s := &Server{cfg: cfg, core: c, counters: counts, recorder: stories, log: log, mailbox: mailbox.New[func(*Server)](),
		sessions: map[uint64]*session{}, uids: map[string]bool{}, jobs: map[string]*job{}, unique: map[string]*job{}}
	s.SetFunctions(cfg.Functions)
	// During an upgrade both processes listen for a while; the older one stops first.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, set)
	}}
	l, err := lc.Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "gearman")
	}
	if cfg.TLS != nil {
		l = tls.NewListener(l, cfg.TLS)
	}
	s.listener = l
	return s, nil
}

// SetFunctions replaces the functions. Jobs that are open keep their class.
func (s *Server) SetFunctions(f map[string]Function) { s.functions.Store(&f) }

// Run works until the context ends and then closes all connections.
func (s *Server) Run(ctx context.Context) {
	go s.accept()
	var mail []func(*Server)
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-s.mailbox.Ready():
		}
		mail = s.mailbox.Drain(mail[:0])
		for i, message := range mail {
			message(s)
			mail[i] = nil
		}
	}
}

// accept accepts connections until the listener is closed. One above the limit is closed at once;
// Gearman's clients and workers reconnect by themselves.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the peer is gone: temporary
			time.Sleep(acceptBackoff)
			continue
		}
		s.mu.Lock()
		full := len(s.sessions) >= s.cfg.MaxConnections
		s.lastSession++
		x := newSession(s, s.lastSession, c)
		if !full {
			s.sessions[x.number] = x
		}
		s.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go x.run()
	}
}

// acceptBackoff is the pause after a failed accept, so that the loop does not spin.
const acceptBackoff = 10 * time.Millisecond

// Addr returns the address that the front listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// scheme is the prefix of the addresses of Gearman's workers in the route table.
const scheme = "gearman/"

// Has reports whether an address is that of a Gearman worker.
func Has(addr string) bool { return strings.HasPrefix(addr, scheme) }

// Open returns the backend of a worker. Attempts at one that is not connected any more fail at
// once.
func (s *Server) Open(addr string) core.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		if x.addr() == addr {
			return backend{x}
		}
	}
	return backend{&session{server: s, mailbox: mailbox.New[func(*session)](), ended: true}}
}

// reserveUID returns a uid that no other worker has, made from a worker's id.
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

// releaseUID makes a worker's uid available again.
func (s *Server) releaseUID(uid string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.uids, uid)
}

// removeSession removes a session that has ended.
func (s *Server) removeSession(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x.number)
}

// Leave begins a graceful shutdown: no connection is accepted any more, and no job has a deadline
// after by.
func (s *Server) Leave(by time.Time) {
	s.shutdownBy.Store(&by)
	s.listener.Close()
}

// Idle reports whether no client's job is open; false if the answer takes until by. It must not be
// called from the goroutine of Run.
func (s *Server) Idle(by time.Time) bool {
	idle := make(chan bool, 1)
	s.mailbox.Put(func(s *Server) { idle <- len(s.jobs) == 0 })
	timeout := time.NewTimer(time.Until(by))
	defer timeout.Stop()
	select {
	case yes := <-idle:
		return yes
	case <-timeout.C:
		return false
	}
}

// close closes the listener and all connections.
func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		x.conn.Close()
	}
}
