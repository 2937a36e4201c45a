// Package gearman is a front for Gearman's clients and workers, beside the platform's. It
// turns their packets into the core's terms and back, and decides nothing: a worker's grab
// is the offer of a free slot, not the choice of its job.
package gearman

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/trace"
	"frosttide/internal/mailbox"
)

// Core takes what clients and workers say. None of its methods blocks.
type Core interface {
	Submit(*core.Job, core.Ingress)
	ClientLeft(*core.Job)
	Report(ev core.JobEvent, took func(bool))
	AttemptAccepted(core.AttemptRef, core.Delivery)
	AttemptEnded(core.AttemptRef, decision.Outcome, []float32, core.Delivery)
	AttemptRecalled(ref core.AttemptRef, known bool)
	RoutesChanged([]core.Route)
}

// Counts takes note of how jobs end, by their class's number.
type Counts interface {
	Completed(class int)
	Rejected(class int)
	Failed(class int)
	Sent(class int)
	Pending(change int)
}

// Stories begins the stories of jobs, and takes those that the core never gets.
type Stories interface {
	Begin(came time.Time, parent, state string) *trace.Record
	Ended(*trace.Record)
}

// Function says what a Gearman function is here.
type Function struct {
	Class   int
	Name    string // the class's
	Keyed   bool   // its jobs need a unique id, which is their key
	GiveUp  time.Duration
	Worth   float64
	Repeats time.Duration // how long one of the same unique id belongs to it
	Slots   float64
}

// Config holds the figures of the front.
type Config struct {
	Listen      string
	Functions   map[string]Function
	Zone, Kind  int // of the workers
	ZoneName    string
	Connections int // open at most; a further one is closed at once
	Jobs        int // of clients, not ended, at most; a further one is refused
	Packet      int // bytes of data at most
	TLS         *tls.Config
}

// Sockets is how many descriptors the front takes at most.
func (c *Config) Sockets() int { return c.Connections + 2 }

// Server is the actor that owns the clients' jobs. Make it with New, start it with Run.
type Server struct {
	cfg       Config
	core      Core
	counts    Counts
	stories   Stories
	log       *logrus.Entry
	listener  net.Listener
	functions atomic.Pointer[map[string]Function]
	box       *mailbox.Box[func(*Server)]

	mu       sync.Mutex
	sessions map[uint64]*session
	names    map[string]bool // uids in use
	last     uint64
	leaving  atomic.Pointer[time.Time] // when all that is here has to be answered; nil before the planned end

	// The actor's own:
	jobs   map[string]*job // by handle
	unique map[string]*job // by function and unique id
	number uint64
}

// New opens the address.
func New(cfg Config, c Core, counts Counts, stories Stories, log *logrus.Entry) (*Server, error) {
	s := &Server{cfg: cfg, core: c, counts: counts, stories: stories, log: log, box: mailbox.New[func(*Server)](),
		sessions: map[uint64]*session{}, names: map[string]bool{}, jobs: map[string]*job{}, unique: map[string]*job{}}
	s.Functions(cfg.Functions)
	// Both processes of an upgrade listen for a while; the older one stops first.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(err, set)
	}}
	l, err := lc.Listen(context.Background(), "tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("gearman: %w", err)
	}
	if cfg.TLS != nil {
		l = tls.NewListener(l, cfg.TLS)
	}
	s.listener = l
	return s, nil
}

// Functions sets what functions there are from now on. Jobs under way keep their class.
func (s *Server) Functions(f map[string]Function) { s.functions.Store(&f) }

// Run works until the context ends.
func (s *Server) Run(ctx context.Context) {
	go s.accept()
	var mail []func(*Server)
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case <-s.box.Ready():
		}
		mail = s.box.Drain(mail[:0])
		for i, message := range mail {
			message(s)
			mail[i] = nil
		}
	}
}

// accept takes connections until the listener is closed. One past the bound is closed at
// once: a worker or client of Gearman tries again by itself.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, or the other side has gone: not for ever
			time.Sleep(acceptPause)
			continue
		}
		s.mu.Lock()
		full := len(s.sessions) >= s.cfg.Connections
		s.last++
		x := newSession(s, s.last, c)
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

// acceptPause spares the core while connections can't be taken.
const acceptPause = 10 * time.Millisecond

// Addr is where the front listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// scheme begins the addresses of Gearman's workers in the route table.
const scheme = "gearman/"

// Has tells whether an address is one of this front's workers.
func Has(addr string) bool { return strings.HasPrefix(addr, scheme) }

// Open returns the target of a worker; one that has gone meanwhile takes nothing.
func (s *Server) Open(addr string) core.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		if x.addr() == addr {
			return target{x}
		}
	}
	return target{&session{server: s, box: mailbox.New[func(*session)](), ended: true}}
}

// name gives a worker a uid that no other has.
func (s *Server) name(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := 1; ; n++ {
		uid := id
		if n > 1 {
			uid = fmt.Sprintf("%s#%d", id, n)
		}
		if !s.names[uid] {
			s.names[uid] = true
			return uid
		}
	}
}

// freed gives back a worker's uid.
func (s *Server) freed(uid string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, uid)
}

// gone gives back a session's place.
func (s *Server) gone(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, x.number)
}

// Leave begins the planned end: no connection is taken any more, and no job has a later
// deadline.
func (s *Server) Leave(by time.Time) {
	s.leaving.Store(&by)
	s.listener.Close()
}

// Idle tells whether no client's job is open. Any goroutine but the actor's may call it.
func (s *Server) Idle(by time.Time) bool {
	idle := make(chan bool, 1)
	s.box.Put(func(s *Server) { idle <- len(s.jobs) == 0 })
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case yes := <-idle:
		return yes
	case <-late.C:
		return false
	}
}

// close ends all connections.
func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		x.conn.Close()
	}
}
