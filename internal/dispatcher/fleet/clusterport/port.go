// Package clusterport multiplexes all traffic between a dispatcher and the other members over one
// network address: gossip packets over UDP, and gossip, replicated-log and call connections over
// TCP. The first byte of a TCP connection selects its protocol. Outgoing traffic is sent from the
// same IP address, so that a firewall between two members can recognise it. The traffic is not
// encrypted.
//
// Package cluster opens the Port; packages members, quorum and cluster use it. A Port is safe for
// concurrent use. It never uses more than Sockets file descriptors, as long as its users keep no
// more than maxConns outgoing connections; the port itself limits only the accepted ones.
package clusterport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Protocol identifies the protocol of a TCP connection; its value is sent as the first byte.
type Protocol byte

// The protocols of connections.
const (
	Gossip Protocol = 'g' // membership and gossip, of package members
	Log    Protocol = 'l' // replicated log, of package quorum
	Calls  Protocol = 'c' // calls between members, of package cluster
)

const (
	// Sockets is the maximum number of file descriptors that a port uses: accepted connections,
	// about as many outgoing ones, the TCP listener and the UDP socket.
	Sockets = 2*maxConns + 2
	// maxConns is the maximum number of accepted connections; more are closed at once.
	maxConns = 64
	// preambleTimeout limits the wait for the first byte of an accepted connection.
	preambleTimeout = 2 * time.Second
	// acceptBacklog is the number of connections per protocol that may wait for Accept; more are
	// closed.
	acceptBacklog = 16
	// packetBacklog is the number of received packets that may wait to be read; more are dropped,
	// as UDP allows.
	packetBacklog = 1024
	packetSize    = 64 << 10 // size of the receive buffer, in bytes
)

// Port is an open cluster address. Use Open to create one, and Close to release it.
type Port struct {
	advertise  string
	listener   net.Listener
	udp        net.PacketConn
	localIP    net.IP // source address of outgoing connections; may be unspecified
	log        *logrus.Entry
	listeners  map[Protocol]*listener
	packets    chan Packet
	openConns  atomic.Int64 // accepted connections that are not closed
	closing    chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup

	sent, received, dropped atomic.Uint64 // see Traffic
}

// Packet is a received UDP packet.
type Packet struct {
	Bytes []byte
	From  net.Addr
	At    time.Time // time of receipt
}

// Open listens on an address for TCP and UDP. With port number 0 the system chooses one, the same
// for both. advertise is the address at which the other members reach the port; if it is empty,
// that is the listening address.
func Open(listen, advertise string, log *logrus.Entry) (*Port, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	udp, err := net.ListenPacket("udp", l.Addr().String())
	if err != nil {
		l.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	if advertise == "" {
		advertise = l.Addr().String()
	}
	p := &Port{advertise: advertise, listener: l, udp: udp, localIP: l.Addr().(*net.TCPAddr).IP, log: log,
		packets: make(chan Packet, packetBacklog), closing: make(chan struct{}), listeners: map[Protocol]*listener{}}
	for _, protocol := range []Protocol{Gossip, Log, Calls} {
		p.listeners[protocol] = &listener{port: p, conns: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	}
	p.goroutines.Add(2)
	go p.acceptConns()
	go p.readPackets()
	return p, nil
}

// Advertised returns the address, as host:port, at which the other members reach the port.
func (p *Port) Advertised() string { return p.advertise }

// Host returns the advertised IP address and port number. It fails if the advertised address is not
// numeric, for example a DNS name.
func (p *Port) Host() (net.IP, int, error) {
	host, port, err := net.SplitHostPort(p.advertise)
	if err != nil {
		return nil, 0, fmt.Errorf("cluster: %w", err)
	}
	n, err := strconv.Atoi(port)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return nil, 0, fmt.Errorf("cluster: %q is not a numeric IP address and port", p.advertise)
	}
	return ip, n, nil
}

// Traffic returns the bytes sent and received in UDP packets, and the number of packets dropped
// because the queue of received packets was full.
func (p *Port) Traffic() (sent, received, dropped uint64) {
	return p.sent.Load(), p.received.Load(), p.dropped.Load()
}

// acceptConns accepts TCP connections until Close, up to maxConns at a time.
func (p *Port) acceptConns() {
	defer p.goroutines.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			select {
			case <-p.closing:
				return
			default: // for example out of file descriptors, or the peer has already closed
				p.log.WithError(err).Warn("failed to accept a cluster connection")
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		if p.openConns.Add(1) > maxConns { // limits the use of file descriptors
			p.openConns.Add(-1)
			c.Close()
			continue
		}
		go p.dispatch(&limitedConn{Conn: c, port: p})
	}
}

// dispatch reads the protocol byte of a connection and queues the connection for that protocol's
// listener. It closes the connection if the byte does not arrive within preambleTimeout or is
// unknown, or if the listener is closed or its backlog is full.
func (p *Port) dispatch(c net.Conn) {
	var first [1]byte
	err := c.SetReadDeadline(time.Now().Add(preambleTimeout))
	if err == nil {
		_, err = c.Read(first[:])
	}
	if err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	target := p.listeners[Protocol(first[0])]
	if err != nil || target == nil {
		c.Close()
		return
	}
	select {
	case target.conns <- c:
	case <-target.closed:
		c.Close()
	default:
		c.Close()
	}
}

// readPackets receives UDP packets until Close.
func (p *Port) readPackets() {
	defer p.goroutines.Done()
	buf := make([]byte, packetSize)
	for {
		n, from, err := p.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-p.closing:
				return
			default: // for example an ICMP port-unreachable message
				continue
			}
		}
		p.received.Add(uint64(n))
		select {
		case p.packets <- Packet{Bytes: append([]byte(nil), buf[:n]...), From: from, At: time.Now()}:
		default:
			p.dropped.Add(1)
		}
	}
}

// Packets returns the channel of received packets. It is never closed.
func (p *Port) Packets() <-chan Packet { return p.packets }

// WriteTo sends a UDP packet to an address, as host:port. As with UDP in general, a nil error does
// not mean that the packet arrived.
func (p *Port) WriteTo(b []byte, addr string) error {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	n, err := p.udp.WriteTo(b, to)
	p.sent.Add(uint64(n))
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// Dial opens a TCP connection to another member. It sends the protocol byte, followed by preamble
// as the first bytes of that protocol. ctx limits both, and does not affect the returned
// connection.
func (p *Port) Dial(ctx context.Context, protocol Protocol, addr string, preamble ...byte) (net.Conn, error) {
	d := net.Dialer{}
	if !p.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	deadline, ok := ctx.Deadline()
	if ok {
		err = c.SetWriteDeadline(deadline)
	}
	if err == nil {
		_, err = c.Write(append([]byte{byte(protocol)}, preamble...))
	}
	if err == nil {
		err = c.SetWriteDeadline(time.Time{})
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("cluster: %w", err)
	}
	return c, nil
}

// Listener returns the listener of a protocol. Closing it does not affect the other protocols.
func (p *Port) Listener(protocol Protocol) net.Listener { return p.listeners[protocol] }

// Close stops listening, closes all listeners, and waits until the accepting and the receiving
// goroutine have ended. Connections that are open stay open.
func (p *Port) Close() {
	p.closeOnce.Do(func() {
		close(p.closing)
		p.listener.Close()
		p.udp.Close()
		for _, l := range p.listeners {
			l.Close()
		}
	})
	p.goroutines.Wait()
}

// limitedConn is an accepted connection that counts towards maxConns until it is closed.
type limitedConn struct {
	net.Conn
	port *Port
	once sync.Once
}

// Close closes the connection and releases its place among the accepted ones. It may be called more
// than once.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.port.openConns.Add(-1) })
	return c.Conn.Close()
}

// listener implements net.Listener for the connections of one protocol.
type listener struct {
	port   *Port
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var errClosed = errors.New("cluster: the port is closed")

// Accept waits for the next connection. After Close it returns errClosed, possibly after
// connections that were already queued.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errClosed
	}
}

// Close makes Accept return errClosed. It always succeeds.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the listening address of the port, which all protocols share.
func (l *listener) Addr() net.Addr { return l.port.listener.Addr() }
