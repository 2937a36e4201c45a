package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"frosttide/internal/protocol"
)

const (
	// dialTimeout bounds a dial: a machine that is powered off does not refuse the connection.
	dialTimeout = 600 * time.Millisecond
	// dialBackoff is how long messages to a process are dropped after a failed dial.
	dialBackoff = 80 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	userTimeout = 1200 * time.Millisecond
	// maxMessageBytes is the largest encoded message, in bytes, that is accepted.
	maxMessageBytes = 64 << 20
)

// Config identifies the process and sets the handler of its messages.
type Config struct {
	Address     string // internal address that the process listens on, host:port
	Role        string // as in protocol.Hello
	Incarnation uint64 // of this process; differs from those of earlier processes at the address
	// Handle is called with each message received from the process at an internal address, one at a
	// time for each address and in the order in which they were sent. It must not block for long,
	// and must not call Close.
	Handle func(from string, e *protocol.Envelope)
	// Dial opens a connection; nil means TCP over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Transport sends and receives the messages of a process; see the package comment.
type Transport struct {
	cfg        Config
	listener   net.Listener
	ctx        context.Context // parent of all links' contexts; done once Close is called
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // once ctx is done, only goroutines that it counts start others

	mu           sync.Mutex
	links        map[string]*link        // links for sending, by the other process's address
	dialFailures map[string]time.Time    // time of the last failed dial, by address
	inbound      map[string]*inboundPeer // state of the links that are read, by address
	generation   uint64                  // sendGeneration of the newest link for sending

	connections atomic.Uint64 // number of connections accepted and dials started so far
}

// Listen listens on the process's internal address and serves it until Close. If the address is in
// use, the error wraps unix.EADDRINUSE.
func Listen(cfg Config) (*Transport, error) {
	listener, err := net.Listen("tcp4", cfg.Address)
	if err != nil {
		return nil, errors.Wrap(err, "transport: listen on the internal address")
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp4", address)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{cfg: cfg, listener: listener, ctx: ctx, cancel: cancel, links: make(map[string]*link), dialFailures: make(map[string]time.Time), inbound: make(map[string]*inboundPeer)}
	mux := drpcmux.New()
	if err := protocol.DRPCRegisterPeer(mux, (*peerService)(t)); err != nil {
		cancel()
		return nil, errors.Wrap(errors.CombineErrors(err, listener.Close()), "transport: register the drpc service")
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(), Log: func(error) {}})
	t.goroutines.Go(func() { t.acceptLoop(server) })
	return t, nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		Stream: drpcstream.Options{ManualFlush: true}, // writeLoop flushes each batch of messages
	}
}

// acceptLoop accepts connections from other processes and serves them until Close.
func (t *Transport) acceptLoop(server *drpcserver.Server) {
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
		ctx := withConnectionNumber(t.ctx, t.connections.Add(1))
		// The error only says that the link failed, which both ends notice by themselves.
		t.goroutines.Go(func() { _ = server.ServeOne(ctx, conn) })
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails soon after its peer has become
// unreachable. If the kernel refuses the option, the connection is used without it.
func setUserTimeout(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
}

// Close terminates all links and waits for all goroutines. Messages sent afterwards are dropped.
func (t *Transport) Close() {
	t.closeLinks()
	t.goroutines.Wait()
}

func (t *Transport) closeLinks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel()
	_ = t.listener.Close() // fails only if it is already closed
	for _, l := range t.links {
		l.terminate()
	}
}

// Send queues a message for the process at an internal address, without blocking. The message is
// dropped if that process is unreachable. The caller must not change the message afterwards.
func (t *Transport) Send(to string, e *protocol.Envelope) {
	if l := t.linkTo(to); l != nil {
		l.enqueue(e)
	}
}

// setSendLink makes a link the one for messages to its peer, under a new generation. The caller
// holds the transport's lock and has terminated the previous link.
func (t *Transport) setSendLink(l *link) {
	t.generation++
	l.sendGeneration = t.generation
	t.links[l.address] = l
}

// linkTo returns the link for messages to a process, and starts to dial one if there is none. It
// returns nil after Close, and for dialBackoff after a failed dial.
func (t *Transport) linkTo(address string) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[address]; l != nil {
		return l
	}
	if t.ctx.Err() != nil || time.Since(t.dialFailures[address]) < dialBackoff {
		return nil
	}
	l := newLink(address)
	l.dialing, l.connection = true, t.connections.Add(1)
	t.setSendLink(l)
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	l.closeConnection = cancel
	t.goroutines.Go(func() { t.dialLink(ctx, l) })
	return l
}
