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
	// dialBackoff is how long after a failed dial messages to that process are dropped.
	dialBackoff = 80 * time.Millisecond
	// userTimeout is how long sent bytes may be unacknowledged until the link is given up.
	userTimeout = 1200 * time.Millisecond
	// idleTimeout is how long a link may be unused until it is closed.
	idleTimeout = 20 * time.Second
	// maxQueuedMessages bounds the messages that wait for a link.
	maxQueuedMessages = 8192
	// maxMessageBytes bounds a message in bytes.
	maxMessageBytes = 64 << 20
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

	mu           sync.Mutex
	links        map[string]*link     // by the other's address: the one that is written to
	dialFailures map[string]time.Time // dials
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
	t := &Transport{cfg: cfg, listener: l, ctx: ctx, cancel: cancel, links: make(map[string]*link), dialFailures: make(map[string]time.Time)}
	mux := drpcmux.New()
	if err := protocol.DRPCRegisterPeer(mux, (*peerService)(t)); err != nil {
		cancel()
		l.Close()
		return nil, errors.Wrap(err, "transport: the service can't be registered")
	}
	s := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(), Log: func(error) {}})
	go t.acceptLoop(s)
	return t, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{ManualFlush: true}, // write flushes many messages at once
	}
}

func (t *Transport) acceptLoop(s *drpcserver.Server) {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			time.Sleep(dialBackoff)
			continue
		}
		setUserTimeout(conn)
		go func() { _ = s.ServeOne(t.ctx, conn) }()
	}
}

// setUserTimeout has a connection fail soon after the other end can't be reached.
func setUserTimeout(conn net.Conn) {
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
		l.terminate()
	}
}

// Send sends a message to the process at an address; it is dropped where that can't be reached.
func (t *Transport) Send(to string, e *protocol.Envelope) {
	t.mu.Lock()
	l := t.links[to]
	if l == nil {
		if time.Since(t.dialFailures[to]) < dialBackoff {
			t.mu.Unlock()
			return
		}
		l = newLink(to)
		l.dialing = true
		t.links[to] = l
		ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
		l.closeConnection = cancel
		go t.dialLink(ctx, l)
	}
	t.mu.Unlock()
	l.enqueue(e)
}

// removeLink forgets a link that has ended.
func (t *Transport) removeLink(l *link, failed bool) {
	l.terminate()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.address] == l {
		delete(t.links, l.address)
		if failed {
			t.dialFailures[l.address] = time.Now()
		}
	}
}

// dialLink makes a link and keeps it until it breaks.
func (t *Transport) dialLink(ctx context.Context, l *link) {
	conn, err := t.cfg.Dial(ctx, l.address)
	if err != nil {
		t.removeLink(l, true)
		return
	}
	defer conn.Close()
	if !t.attachConnection(l, conn) {
		t.removeLink(l, false)
		return
	}
	setUserTimeout(conn)
	d := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	s, err := protocol.NewDRPCPeerClient(d).Exchange(t.ctx)
	if err != nil {
		t.removeLink(l, true)
		return
	}
	go t.writeLoop(l, s)
	t.readLoop(l, s)
	t.removeLink(l, false)
}

// attachConnection gives a dialed link its connection, unless it has ended meanwhile or the other process's own
// link has taken its place.
func (t *Transport) attachConnection(l *link, conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.address] != l {
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
	cancel := l.closeConnection
	l.closeConnection = func() {
		cancel()
		conn.Close()
	}
	return true
}

// peerService is the transport as the drpc service.
type peerService Transport

// Exchange serves a stream that another process has opened.
func (s *peerService) Exchange(in protocol.DRPCPeer_ExchangeStream) error {
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
	l.closeConnection = func() { in.Close() }
	t.adoptLink(l)
	go t.writeLoop(l, in)
	t.readLoop(l, in)
	t.removeLink(l, false)
	return nil
}

// adoptLink takes a link that another process has opened for writing to it, unless there is one already to
// that very process. A link that is still being dialed gives way with all that waits for it: the dial may
// have begun while the other machine was off, and would then stand until its timeout.
func (t *Transport) adoptLink(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[l.address]
	switch {
	case old == nil:
	case old.dialing:
		l.queue = old.drain()
		go old.terminate()
	case old.incarnation.Load() == 0 || old.incarnation.Load() == l.incarnation.Load():
		return
	default:
		go old.terminate() // to the process that was there before
	}
	t.links[l.address] = l
}

// readLoop hands on what comes.
func (t *Transport) readLoop(l *link, s stream) {
	for {
		e, err := s.Recv()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.lastUsed = time.Now()
		l.mu.Unlock()
		if h := e.GetHello(); h != nil {
			l.incarnation.Store(h.GetIncarnation())
			continue
		}
		t.cfg.Handle(l.address, e)
	}
}

// writeLoop sends what is queued, many messages with one flush.
func (t *Transport) writeLoop(l *link, s stream) {
	defer l.terminate()
	flush := flushFunc(s)
	if err := s.Send(&protocol.Envelope{Body: &protocol.Envelope_Hello{Hello: &protocol.Hello{
		Address: t.cfg.Address, Role: t.cfg.Role, Incarnation: t.cfg.Incarnation}}}); err != nil {
		return
	}
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	for {
		for _, e := range l.drain() {
			if err := s.Send(e); err != nil {
				return
			}
		}
		if err := flush(); err != nil {
			return
		}
		select {
		case <-l.wakeup:
		case <-l.done:
			return
		case <-idle.C:
			if l.idle() {
				return
			}
		}
	}
}

// flushFunc returns how a stream is flushed.
func flushFunc(s stream) func() error {
	if holder, ok := s.(interface{ GetStream() drpc.Stream }); ok {
		if f, ok := holder.GetStream().(flusher); ok {
			return f.RawFlush
		}
	}
	return func() error { return nil }
}
