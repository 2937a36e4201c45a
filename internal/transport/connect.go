package transport

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"

	"frosttide/internal/protocol"
)

// errNoHello ends a stream whose first message is not a Hello, so that its sender is unknown.
var errNoHello = errors.New("transport: first message on the stream is not a Hello")

// dialLink connects a link and serves it until the stream fails.
func (t *Transport) dialLink(ctx context.Context, l *link) {
	conn, err := t.cfg.Dial(ctx, l.address)
	if err != nil {
		t.removeUnreachable(l)
		return
	}
	defer conn.Close()
	if !t.attachConnection(l, conn) {
		t.removeLink(l)
		return
	}
	setUserTimeout(conn)
	client := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	s, err := protocol.NewDRPCPeerClient(client).Exchange(t.ctx)
	if err != nil {
		t.removeUnreachable(l)
		return
	}
	t.goroutines.Go(func() { t.writeLoop(l, s) })
	if peer, err := t.receiveHello(l, s); err == nil {
		t.readLoop(l, s, peer)
	}
	t.removeLink(l)
}

// receiveHello receives the peer's Hello on a dialed link and registers the reader of that link.
func (t *Transport) receiveHello(l *link, s stream) (*inboundPeer, error) {
	first, err := s.Recv()
	if err != nil {
		return nil, err
	}
	hello := first.GetHello()
	if hello == nil {
		return nil, errNoHello
	}
	return t.registerReader(l, hello), nil
}

// attachConnection assigns the dialed connection to its link. It returns false if the link was
// terminated during the dial, or was replaced by a link that the peer opened.
func (t *Transport) attachConnection(l *link, conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.links[l.address] != l {
		return false
	}
	l.dialing = false
	return l.addCloser(func() { conn.Close() })
}

// connectionNumberKey is the context key under which a stream finds the number of its accepted
// connection.
type connectionNumberKey struct{}

// withConnectionNumber returns a context that carries the number of an accepted connection.
func withConnectionNumber(ctx context.Context, number uint64) context.Context {
	return context.WithValue(ctx, connectionNumberKey{}, number)
}

// connectionNumber returns the connection number that a stream's context carries, 0 if none.
func connectionNumber(ctx context.Context) uint64 {
	number, _ := ctx.Value(connectionNumberKey{}).(uint64)
	return number
}

// peerService implements the drpc service Peer on a Transport.
type peerService Transport

// Exchange serves a stream that another process opened, until the stream fails or its link is
// superseded.
func (s *peerService) Exchange(in protocol.DRPCPeer_ExchangeStream) error {
	t := (*Transport)(s)
	first, err := in.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return errNoHello
	}
	l := newLink(hello.GetAddress())
	l.connection = connectionNumber(in.Context())
	l.closeConnection = func() { in.Close() }
	peer := t.registerReader(l, hello)
	if !peer.mayDeliver(l) { // opened by an earlier process, or before the link that is read now
		t.unregisterReader(peer)
		return nil
	}
	t.useForSending(l)
	t.goroutines.Go(func() { t.writeLoop(l, in) })
	t.readLoop(l, in, peer)
	return nil
}

// useForSending makes a link that the peer opened the one for messages to that peer, unless there
// already is a link to the same process or to a later one at its address. A link that is still
// being dialed is replaced and its queue moves to the new link: the dial may have started while the
// peer's machine was off, and would then block until dialTimeout.
func (t *Transport) useForSending(l *link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.links[l.address]; current != nil {
		switch incarnation := current.incarnation.Load(); {
		case current.dialing:
			l.queue = current.drain()
		case incarnation == 0 || incarnation == l.incarnation.Load() || l.connection < current.connection:
			return
		}
		t.goroutines.Go(current.terminate) // closing a connection may block, so not under the lock
	}
	t.setSendLink(l)
}

// removeLink terminates and deletes a link, so that the next message to its peer dials a new one.
func (t *Transport) removeLink(l *link) {
	l.terminate()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deleteLink(l)
}

// removeUnreachable terminates and deletes a link that could not be established. Messages to its
// peer are dropped for dialBackoff.
func (t *Transport) removeUnreachable(l *link) {
	l.terminate()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.deleteLink(l) {
		t.pruneDialFailures()
		t.dialFailures[l.address] = time.Now()
	}
}

// pruneDialFailures deletes the dial failures older than dialBackoff once there are
// maxRememberedPeers of them. The caller holds the transport's lock.
func (t *Transport) pruneDialFailures() {
	if len(t.dialFailures) < maxRememberedPeers {
		return
	}
	for address, at := range t.dialFailures {
		if time.Since(at) >= dialBackoff {
			delete(t.dialFailures, address)
		}
	}
}

// deleteLink deletes a link, and returns false if it had been replaced already. The caller holds
// the transport's lock.
func (t *Transport) deleteLink(l *link) bool {
	if t.links[l.address] != l {
		return false
	}
	delete(t.links, l.address)
	return true
}
