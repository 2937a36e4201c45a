// Package clusterport is the one network address at which a dispatcher communicates with the
// others: UDP for gossip; TCP for gossip, the replicated log and calls, distinguished by the first
// byte of each connection. Outgoing traffic leaves from the same IP address, so that a firewall
// between two members can recognise it. The traffic is not encrypted.
//
// Package cluster opens the Port; members, quorum and cluster use it. A Port is safe for
// concurrent use. It never holds more than Sockets file descriptors.
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

// Use is the protocol of a connection, sent as its first byte.
type Use byte

// The protocols of connections.
const (
	Gossip Use = 'g'
	Log    Use = 'l'
	Calls  Use = 'c'
)

const (
	// Sockets is the most file descriptors that a port uses: accepted connections, about as many
	// outgoing ones, the listener and the packet socket.
	Sockets = 2*places + 2
	places  = 64
	// firstByte bounds the wait for a connection's first byte.
	firstByte = 2 * time.Second
	// backlog is how many connections of a protocol may wait to be accepted; more are closed.
	backlog = 16
	// packets is how many packets may wait to be read; more are dropped, as UDP allows.
	packets    = 1024
	packetSize = 64 << 10
)

// Port is an open address; Open creates it.
type Port struct {
	advertise string
	listener  net.Listener
	udp       net.PacketConn
	from      net.IP
	log       *logrus.Entry
	uses      map[Use]*listener
	packets   chan Packet
	open      atomic.Int64
	closing   chan struct{}
	once      sync.Once
	done      sync.WaitGroup

	sent, received, dropped atomic.Uint64
}

// Packet is a received UDP packet.
type Packet struct {
	Bytes []byte
	From  net.Addr
	At    time.Time
}

// Open opens listen for TCP and UDP. advertise is the address at which the other members reach it;
// empty means the same.
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
	p := &Port{advertise: advertise, listener: l, udp: udp, from: l.Addr().(*net.TCPAddr).IP, log: log,
		packets: make(chan Packet, packets), closing: make(chan struct{}), uses: map[Use]*listener{}}
	for _, use := range []Use{Gossip, Log, Calls} {
		p.uses[use] = &listener{port: p, conns: make(chan net.Conn, backlog), closed: make(chan struct{})}
	}
	p.done.Add(2)
	go p.accept()
	go p.read()
	return p, nil
}

// Advertised returns the address at which the other members reach the port.
func (p *Port) Advertised() string { return p.advertise }

// Host returns the advertised IP address and port number, or an error if the address is not
// numeric.
func (p *Port) Host() (net.IP, int, error) {
	host, port, err := net.SplitHostPort(p.advertise)
	if err != nil {
		return nil, 0, fmt.Errorf("cluster: %w", err)
	}
	n, err := strconv.Atoi(port)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return nil, 0, fmt.Errorf("cluster: %q is no address of numbers", p.advertise)
	}
	return ip, n, nil
}

// Traffic returns the bytes sent and received in packets, and the number of packets dropped
// because nothing read them in time.
func (p *Port) Traffic() (sent, received, dropped uint64) {
	return p.sent.Load(), p.received.Load(), p.dropped.Load()
}

func (p *Port) accept() {
	defer p.done.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			select {
			case <-p.closing:
				return
			default: // out of descriptors, or the peer has closed already
				p.log.WithError(err).Warn("a member's connection was not taken")
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		if p.open.Add(1) > places { // protects the process's file descriptors
			p.open.Add(-1)
			c.Close()
			continue
		}
		go p.sort(&counted{Conn: c, port: p})
	}
}

// sort reads a connection's protocol and queues it for that protocol's listener.
func (p *Port) sort(c net.Conn) {
	var first [1]byte
	err := c.SetReadDeadline(time.Now().Add(firstByte))
	if err == nil {
		_, err = c.Read(first[:])
	}
	if err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	l := p.uses[Use(first[0])]
	if err != nil || l == nil {
		c.Close()
		return
	}
	select {
	case l.conns <- c:
	case <-l.closed:
		c.Close()
	default:
		c.Close()
	}
}

func (p *Port) read() {
	defer p.done.Done()
	buf := make([]byte, packetSize)
	for {
		n, from, err := p.udp.ReadFrom(buf)
		if err != nil {
			select {
			case <-p.closing:
				return
			default: // for example an ICMP message that a port is closed
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

// Packets returns the received packets.
func (p *Port) Packets() <-chan Packet { return p.packets }

// WriteTo sends a packet.
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

// Dial connects to another member with a protocol, and sends first as the protocol's preamble.
func (p *Port) Dial(ctx context.Context, use Use, addr string, first ...byte) (net.Conn, error) {
	d := net.Dialer{}
	if !p.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: p.from}
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
		_, err = c.Write(append([]byte{byte(use)}, first...))
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

// Listener returns the listener of a protocol. Closing it affects no other protocol.
func (p *Port) Listener(use Use) net.Listener { return p.uses[use] }

// Close closes the address and waits until its goroutines have ended.
func (p *Port) Close() {
	p.once.Do(func() {
		close(p.closing)
		p.listener.Close()
		p.udp.Close()
		for _, l := range p.uses {
			l.Close()
		}
	})
	p.done.Wait()
}

// counted is an accepted connection that counts against places until it is closed.
type counted struct {
	net.Conn
	port *Port
	once sync.Once
}

// Close closes the connection.
func (c *counted) Close() error {
	c.once.Do(func() { c.port.open.Add(-1) })
	return c.Conn.Close()
}

// listener accepts the connections of one protocol.
type listener struct {
	port   *Port
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var errClosed = errors.New("cluster: the port is closed")

// Accept waits for the next connection; errClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errClosed
	}
}

// Close makes Accept return; it never fails.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the port's listening address.
func (l *listener) Addr() net.Addr { return l.port.listener.Addr() }
