// Package clusterport is the one address at which a dispatcher meets the others: gossip by
// UDP, and by TCP gossip, the replicated log and calls, told apart by the first byte of each
// connection. All that goes out leaves from the same address, so that what lies between two
// members can tell whose it is. It is plain text.
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

// Use says what a connection is for; it is the first byte on it.
type Use byte

// The uses of connections.
const (
	Gossip Use = 'g'
	Log    Use = 'l'
	Calls  Use = 'c'
)

const (
	// Sockets is how many descriptors a port uses at most: connections that came, about as
	// many that go out, the listener and the packets' socket.
	Sockets = 2*places + 2
	places  = 64
	// firstByte is how long a connection may take to say what it is for.
	firstByte = 2 * time.Second
	// backlog is how many connections of a use may wait to be taken; more are closed.
	backlog = 16
	// packets is how many packets may wait to be read; more are dropped, as UDP would.
	packets    = 1024
	packetSize = 64 << 10
)

// Port is the address. Open makes it.
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

// Packet is one that came.
type Packet struct {
	Bytes []byte
	From  net.Addr
	At    time.Time
}

// Open opens an address for TCP and UDP. Advertise is where others reach it, empty for the
// same.
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

// Advertised returns where others reach the port.
func (p *Port) Advertised() string { return p.advertise }

// Host returns the advertised address in its parts.
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

// Traffic returns the bytes of packets that went and came, and how many were dropped since
// nobody read them.
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
			default: // out of descriptors, or a caller that left at once
				p.log.WithError(err).Warn("a member's connection was not taken")
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		if p.open.Add(1) > places { // guards the process's descriptors
			p.open.Add(-1)
			c.Close()
			continue
		}
		go p.sort(&counted{Conn: c, port: p})
	}
}

// sort reads what a connection is for.
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
			default: // such as an answer that a port is closed
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

// Packets yields what came by UDP.
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

// Dial connects to another member for a use, and says first what the use wants to be said.
func (p *Port) Dial(ctx context.Context, use Use, addr string, first ...byte) (net.Conn, error) {
	d := net.Dialer{}
	if !p.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: p.from}
	}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	by, ok := ctx.Deadline()
	if ok {
		err = c.SetWriteDeadline(by)
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

// Listener yields the connections that came for a use.
func (p *Port) Listener(use Use) net.Listener { return p.uses[use] }

// Close closes the address and waits until nothing reads from it.
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

// counted gives its place back when it is closed.
type counted struct {
	net.Conn
	port *Port
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.port.open.Add(-1) })
	return c.Conn.Close()
}

// listener yields the connections of one use.
type listener struct {
	port   *Port
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

var errClosed = errors.New("cluster: the port is closed")

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, errClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.port.listener.Addr() }
