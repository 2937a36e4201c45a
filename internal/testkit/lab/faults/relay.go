// Package faults starts several processes of the real program with stand-in runners,
// discoveries and clients, puts relays of its own between every pair of them, breaks links
// and processes as a script says, and checks from outside that the rules and invariants
// hold. Scripts are data; a run waits for events and never sleeps for a time to pass.
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
	cut   bool
	delay time.Duration
	drop  float64 // share of packets
	twice float64
	late  float64 // share of packets that are kept until the next has gone
	kept  func()
}

// net is the relays between all members. Each member has an address that others know, which
// is a relay's, and one at which it listens and from which it calls. Who calls is told by
// the source address.
type relays struct {
	mu     sync.Mutex
	rng    *rand.Rand
	healed chan struct{} // closed at each change of links
	links  map[[2]int]*link
	real   []string // address by member
	public []string
	byIP   map[string]int
	tcp    []net.Listener
	udp    []net.PacketConn
	conns  map[*pair]struct{}
	done   sync.WaitGroup
	over   bool
}

// pair is a connection through a relay.
type pair struct {
	from, to  int
	in, out   net.Conn
	closeOnce sync.Once
}

func (p *pair) close() {
	p.closeOnce.Do(func() {
		p.in.Close()
		p.out.Close()
	})
}

// port is that of all members; their addresses differ.
const port = 7946

// openRelays opens relays for so many members on a free part of 127.0.0.0/8, drawn from a
// seed of its own: nothing that a run shows depends on it.
func openRelays(n int, seed uint64) (*relays, error) {
	var last error
	for range 50 {
		r := &relays{rng: rand.New(rand.NewPCG(seed, 2)), healed: make(chan struct{}), links: map[[2]int]*link{}, byIP: map[string]int{}, conns: map[*pair]struct{}{}}
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
		r.real = append(r.real, fmt.Sprintf("%s:%d", ip, port))
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
		r.public = append(r.public, public)
		free, err := net.Listen("tcp", r.real[i]) // nobody else's
		if err != nil {
			return err
		}
		free.Close()
	}
	for i := range n {
		r.done.Add(2)
		go r.accept(i)
		go r.packets(i)
	}
	return nil
}

func (r *relays) link(from, to int) *link {
	k := [2]int{from, to}
	if r.links[k] == nil {
		r.links[k] = &link{}
	}
	return r.links[k]
}

// set changes links; what waited goes on.
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
	close(r.healed)
	r.healed = make(chan struct{})
}

// reset breaks the connections between members.
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

// passes waits until a link is whole, false at the end of all.
func (r *relays) passes(from, to int) bool {
	for {
		r.mu.Lock()
		cut, delay, healed, over := r.link(from, to).cut, r.link(from, to).delay, r.healed, r.over
		r.mu.Unlock()
		switch {
		case over:
			return false
		case !cut:
			if delay > 0 {
				<-time.After(delay) // the fault itself
			}
			return true
		}
		<-healed
	}
}

func (r *relays) accept(to int) {
	defer r.done.Done()
	for {
		c, err := r.tcp[to].Accept()
		if err != nil {
			return
		}
		from, ok := r.byIP[c.RemoteAddr().(*net.TCPAddr).IP.String()]
		if !ok { // nobody's
			c.Close()
			continue
		}
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.join(from, to, c)
		}()
	}
}

// join carries one connection. What is under way when a link is cut waits, as with TCP.
func (r *relays) join(from, to int, in net.Conn) {
	if !r.passes(from, to) {
		in.Close()
		return
	}
	out, err := net.Dial("tcp", r.real[to])
	if err != nil { // the member is down: its caller is refused
		in.(*net.TCPConn).SetLinger(0)
		in.Close()
		return
	}
	p := &pair{from: from, to: to, in: in, out: out}
	r.mu.Lock()
	if r.over {
		r.mu.Unlock()
		p.close()
		return
	}
	r.conns[p] = struct{}{}
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.carry(from, to, in, out); p.close() })
	both.Go(func() { r.carry(to, from, out, in); p.close() })
	both.Wait()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

func (r *relays) carry(from, to int, in io.Reader, out io.Writer) {
	buf := make([]byte, 32<<10)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if !r.passes(from, to) {
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

func (r *relays) packets(to int) {
	defer r.done.Done()
	addr, err := net.ResolveUDPAddr("udp", r.real[to])
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
			continue // such as word that a member is down
		}
		from, ok := r.byIP[src.(*net.UDPAddr).IP.String()]
		if !ok {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		send := func() { _, _ = r.udp[to].WriteTo(b, addr) } // lost is lost
		r.mu.Lock()
		l := r.link(from, to)
		kept := l.kept
		l.kept = nil
		times := 1
		switch {
		case l.cut || r.rng.Float64() < l.drop:
			times = 0
		case r.rng.Float64() < l.twice:
			times = 2
		case r.rng.Float64() < l.late:
			times, l.kept = 0, send
		}
		delay := l.delay
		r.mu.Unlock()
		for range times {
			if delay > 0 {
				time.AfterFunc(delay, send)
			} else {
				send()
			}
		}
		if kept != nil {
			kept()
		}
	}
}

func (r *relays) close() {
	r.mu.Lock()
	r.over = true
	close(r.healed)
	r.healed = make(chan struct{})
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
	r.done.Wait()
}
