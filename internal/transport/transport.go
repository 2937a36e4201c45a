// Package transport carries envelopes between the processes of the cluster scheduler: one drpc stream each
// way between two of them, dialed by whichever has something to say first. Delivery is at most once and in
// order as long as a link stands; a link that breaks loses what was on its way.
package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"frosttide/internal/protocol"
)

const (
	// dialTimeout bounds the making of a link: a machine without power answers nothing.
	dialTimeout = 600 * time.Millisecond
	// dialPause is how long after a failed dial messages to that process are dropped.
	dialPause = 80 * time.Millisecond
	// userTimeout is how long sent bytes may be unacknowledged until the link is given up.
	userTimeout = 1200 * time.Millisecond
	// idleTime is how long a link may be unused until it is closed.
	idleTime = 20 * time.Second
	// mostQueued bounds the messages that wait for a link.
	mostQueued = 8192
	// mostMessage bounds a message in bytes.
	mostMessage = 64 << 20
)

// Config says who the process is and who handles messages. Handle is called by one goroutine for each
// link, in the order of that link's messages, and must not block for long.
type Config struct {
	Address     string // where the process listens
	Role        string
	Incarnation uint64
	Handle      func(from string, e *protocol.Envelope)
	// Dial opens a connection; nil stands for the network's own.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Transport is a process's links. It is safe for concurrent use.
type Transport struct {
	cfg      Config
	listener net.Listener
	cancel   context.CancelFunc
	ctx      context.Context

	mu     sync.Mutex
	links  map[string]*link     // by the other's address: the one that is written to
	failed map[string]time.Time // dials
}

// stream is either end of a drpc stream.
type stream interface {
	Send(*protocol.Envelope) error
	Recv() (*protocol.Envelope, error)
}

// flusher is what the streams of the library have for sending many messages at once.
type flusher interface{ RawFlush() error }

// Listen opens the process's address and serves it.
func Listen(cfg Config) (*Transport, error) {
	l, err := net.Listen("tcp4", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "transport: the internal address can't be listened on")
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp4", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{cfg: cfg, listener: l, ctx: ctx, cancel: cancel, links: make(map[string]*link), failed: make(map[string]time.Time)}
	mux := drpcmux.New()
	if err := protocol.DRPCRegisterPeer(mux, (*server)(t)); err != nil {
		cancel()
		l.Close()
		return nil, errors.Wrap(err, "transport: the service can't be registered")
	}
	s := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(), Log: func(error) {}})
	go t.accept(s)
	return t, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: mostMessage},
		Stream: drpcstream.Options{ManualFlush: true}, // write flushes many messages at once
	}
}

func (t *Transport) accept(s *drpcserver.Server) {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(dialPause)
			continue
		}
		tune(conn)
		go func() { _ = s.ServeOne(t.ctx, conn) }()
	}
}

// tune has a connection fail soon after the other end can't be reached.
func tune(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// Close ends all links.
func (t *Transport) Close() {
	t.cancel()
	t.listener.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.links {
		l.end()
	}
}

// Send sends a message to the process at an address; it is dropped where that can't be reached.
func (t *Transport) Send(to string, e *protocol.Envelope) {
	t.mu.Lock()
	l := t.links[to]
	if l == nil {
		if time.Since(t.failed[to]) < dialPause {
			t.mu.Unlock()
			return
		}
		l = newLink(to)
		l.dialing = true
		t.links[to] = l
		ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
		l.close = cancel
		go t.dial(ctx, l)
	}
	t.mu.Unlock()
	l.put(e)
}

// drop forgets a link that has ended.
func (t *Transport) drop(l *link, failed bool) {
	l.end()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.to] == l {
		delete(t.links, l.to)
		if failed {
			t.failed[l.to] = time.Now()
		}
	}
}

// dial makes a link and keeps it until it breaks.
func (t *Transport) dial(ctx context.Context, l *link) {
	conn, err := t.cfg.Dial(ctx, l.to)
	if err != nil {
		t.drop(l, true)
		return
	}
	defer conn.Close()
	if !t.connected(l, conn) {
		t.drop(l, false)
		return
	}
	tune(conn)
	d := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	s, err := protocol.NewDRPCPeerClient(d).Exchange(t.ctx)
	if err != nil {
		t.drop(l, true)
		return
	}
	go t.write(l, s)
	t.read(l, s)
	t.drop(l, false)
}

// connected gives a dialed link its connection, unless it has ended meanwhile or the other process's own
// link has taken its place.
func (t *Transport) connected(l *link, conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.to] != l {
		return false
	}
	l.dialing = false
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.done:
		return false
	default:
	}
	cancel := l.close
	l.close = func() {
		cancel()
		conn.Close()
	}
	return true
}

// server is the transport as the drpc service.
type server Transport

// Exchange serves a stream that another process has opened.
func (s *server) Exchange(in protocol.DRPCPeer_ExchangeStream) error {
	t := (*Transport)(s)
	first, err := in.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return errors.New("transport: the first message is no hello")
	}
	l := newLink(hello.GetAddress())
	l.incarnation.Store(hello.GetIncarnation())
	l.close = func() { in.Close() }
	t.adopt(l)
	go t.write(l, in)
	t.read(l, in)
	t.drop(l, false)
	return nil
}

// adopt takes a link that another process has opened for writing to it, unless there is one already to
// that very process. A link that is still being dialed gives way with all that waits for it: the dial may
// have begun while the other machine was off, and would then stand until its timeout.
func (t *Transport) adopt(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[l.to]
	switch {
	case old == nil:
	case old.dialing:
		l.queue = old.take()
		go old.end()
	case old.incarnation.Load() == 0 || old.incarnation.Load() == l.incarnation.Load():
		return
	default:
		go old.end() // to the process that was there before
	}
	t.links[l.to] = l
}

// read hands on what comes.
func (t *Transport) read(l *link, s stream) {
	for {
		e, err := s.Recv()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.used = time.Now()
		l.mu.Unlock()
		if h := e.GetHello(); h != nil {
			l.incarnation.Store(h.GetIncarnation())
			continue
		}
		t.cfg.Handle(l.to, e)
	}
}

// write sends what is queued, many messages with one flush.
func (t *Transport) write(l *link, s stream) {
	defer l.end()
	flush := flushOf(s)
	if err := s.Send(&protocol.Envelope{Body: &protocol.Envelope_Hello{Hello: &protocol.Hello{
		Address: t.cfg.Address, Role: t.cfg.Role, Incarnation: t.cfg.Incarnation}}}); err != nil {
		return
	}
	idle := time.NewTicker(idleTime)
	defer idle.Stop()
	for {
		for _, e := range l.take() {
			if err := s.Send(e); err != nil {
				return
			}
		}
		if err := flush(); err != nil {
			return
		}
		select {
		case <-l.wake:
		case <-l.done:
			return
		case <-idle.C:
			if l.unused() {
				return
			}
		}
	}
}

// flushOf returns how a stream is flushed.
func flushOf(s stream) func() error {
	if holder, ok := s.(interface{ GetStream() drpc.Stream }); ok {
		if f, ok := holder.GetStream().(flusher); ok {
			return f.RawFlush
		}
	}
	return func() error { return nil }
}
