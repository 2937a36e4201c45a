// Package faults tests a cluster of real processes of the program under injected faults. It starts
// the processes with stand-ins for runners, discovery and clients, and connects each pair through
// relays of its own. A script says which links and processes fail and when; the package checks from
// outside that the rules and invariants hold. Scripts are data (see Script). A run waits for events
// and never sleeps for a fixed time.
package faults

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// link is one direction between two members.
type link struct {
	cut       bool
	delay     time.Duration
	drop      float64 // share of packets
	duplicate float64
	reorder   float64 // share of packets that are held back until the next was sent
	heldBack  func()
}

// relays are the relays between all members. Each member has an advertised address, which is a
// relay's, and one at which it listens and from which it calls. A relay identifies the caller by
// the source address.
type relays struct {
	mu              sync.Mutex
	rng             *rand.Rand
	changed         chan struct{} // closed at each change of links
	links           map[[2]int]*link
	listenAddrs     []string // by member
	advertisedAddrs []string
	byIP            map[string]int
	tcp             []net.Listener
	udp             []net.PacketConn
	conns           map[*relayedConn]struct{}
	handlers        sync.WaitGroup
	closed          bool
}

// relayedConn is a connection through a relay.
type relayedConn struct {
	from, to  int
	in, out   net.Conn
	closeOnce sync.Once
}

func (p *relayedConn) close() {
	p.closeOnce.Do(func() {
		p.in.Close()
		p.out.Close()
	})
}

// port is the cluster port of all members, whose IP addresses differ.
const port = 7946

// openRelays opens relays for n members on a free subnet of 127.0.0.0/8. The subnet is drawn at
// random, not from the seed: no result of a run depends on it.
func openRelays(n int, seed uint64) (*relays, error) {
	var last error
	for range 50 {
		r := &relays{rng: rand.New(rand.NewPCG(seed, 2)), changed: make(chan struct{}), links: map[[2]int]*link{}, byIP: map[string]int{}, conns: map[*relayedConn]struct{}{}}
		net := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(256))
		if last = r.open(net, n); last == nil {
			return r, nil
		}
		r.close()
	}
	return nil, fmt.Errorf("relays: %w", last)
}

func (r *relays) open(subnet string, n int) error {
	for i := range n {
		ip := fmt.Sprintf("%s.%d", subnet, 1+i)
		r.byIP[ip] = i
		r.listenAddrs = append(r.listenAddrs, fmt.Sprintf("%s:%d", ip, port))
		public := fmt.Sprintf("%s.%d:%d", subnet, 101+i, port)
		l, err := net.Listen("tcp", public)
		if err != nil {
			return err
		}
		r.tcp = append(r.tcp, l)
		u, err := net.ListenPacket("udp", public)
		if err != nil {
			return err
		}
		r.udp = append(r.udp, u)
		r.advertisedAddrs = append(r.advertisedAddrs, public)
		free, err := net.Listen("tcp", r.listenAddrs[i]) // checks that the address is free
		if err != nil {
			return err
		}
		free.Close()
	}
	for i := range n {
		r.handlers.Add(2)
		go r.accept(i)
		go r.relayPackets(i)
	}
	return nil
}

// link returns the link between two members, and creates it if needed. The caller holds r.mu.
func (r *relays) link(from, to int) *link {
	k := [2]int{from, to}
	if r.links[k] == nil {
		r.links[k] = &link{}
	}
	return r.links[k]
}

// set changes links. Data that waits for a cut link is sent on if the link is restored.
func (r *relays) set(from, to []int, change func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				change(r.link(a, b))
			}
		}
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// reset closes the connections between members.
func (r *relays) reset(from, to []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		for _, a := range from {
			for _, b := range to {
				if p.from == a && p.to == b || p.from == b && p.to == a {
					p.close()
				}
			}
		}
	}
}

// awaitOpen waits while a link is cut, and then for the delay of the link. It returns false when
// the relays are closed.
func (r *relays) awaitOpen(from, to int) bool {
	for {
		r.mu.Lock()
		cut, delay, healed, over := r.link(from, to).cut, r.link(from, to).delay, r.changed, r.closed
		r.mu.Unlock()
		switch {
		case over:
			return false
		case !cut:
			if delay > 0 {
				<-time.After(delay) // the delay that the script injects
			}
			return true
		}
		<-healed
	}
}

// accept relays the connections to a member until its listener is closed.
func (r *relays) accept(to int) {
	defer r.handlers.Done()
	for {
		c, err := r.tcp[to].Accept()
		if err != nil {
			return
		}
		from, ok := r.byIP[c.RemoteAddr().(*net.TCPAddr).IP.String()]
		if !ok { // not from a member
			c.Close()
			continue
		}
		r.handlers.Add(1)
		go func() {
			defer r.handlers.Done()
			r.relayConn(from, to, c)
		}()
	}
}

// relayConn relays one connection. Data in transit waits while a link is cut, as with TCP.
func (r *relays) relayConn(from, to int, in net.Conn) {
	if !r.awaitOpen(from, to) {
		in.Close()
		return
	}
	out, err := net.Dial("tcp", r.listenAddrs[to])
	if err != nil { // the member is down: reset the caller's connection
		in.(*net.TCPConn).SetLinger(0)
		in.Close()
		return
	}
	p := &relayedConn{from: from, to: to, in: in, out: out}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		p.close()
		return
	}
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copyStream(from, to, in, out); p.close() })
	both.Go(func() { r.copyStream(to, from, out, in); p.close() })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// copyStream copies one direction of a connection.
func (r *relays) copyStream(from, to int, in io.Reader, out io.Writer) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if !r.awaitOpen(from, to) {
				return
			}
			if _, err := out.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// relayPackets relays the datagrams to a member, and drops, duplicates, reorders and delays them.
func (r *relays) relayPackets(to int) {
	defer r.handlers.Done()
	addr, err := net.ResolveUDPAddr("udp", r.listenAddrs[to])
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		n, src, err := r.udp[to].ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // such as ICMP's report that a member is down
		}
		from, ok := r.byIP[src.(*net.UDPAddr).IP.String()]
		if !ok {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		// UDP: a failed send is a lost packet.
		send := func() { _, _ = r.udp[to].WriteTo(b, addr) }
		r.mu.Lock()
		l := r.link(from, to)
		heldBack := l.heldBack
		l.heldBack = nil
		copies := 1
		switch {
		case l.cut || r.rng.Float64() < l.drop:
			copies = 0
		case r.rng.Float64() < l.duplicate:
			copies = 2
		case r.rng.Float64() < l.reorder:
			copies, l.heldBack = 0, send
		}
		delay := l.delay
		r.mu.Unlock()
		for range copies {
			if delay > 0 {
				time.AfterFunc(delay, send)
			} else {
				send()
			}
		}
		if heldBack != nil {
			heldBack()
		}
	}
}

// close ends all relays and waits for their goroutines.
func (r *relays) close() {
	r.mu.Lock()
	r.closed = true
	close(r.changed)
	r.changed = make(chan struct{})
	for p := range r.conns {
		p.close()
	}
	r.mu.Unlock()
	for _, l := range r.tcp {
		l.Close()
	}
	for _, u := range r.udp {
		u.Close()
	}
	r.handlers.Wait()
}
