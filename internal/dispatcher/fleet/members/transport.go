package members

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"frosttide/internal/dispatcher/fleet/clusterport"
)

// transport implements memberlist.NodeAwareTransport on the cluster port, which other protocols use
// as well.
type transport struct {
	port    *clusterport.Port
	packets chan *memberlist.Packet
	streams chan net.Conn
	closing chan struct{}
}

// newTransport returns a transport that forwards the port's packets and gossip connections to
// memberlist until Shutdown.
func newTransport(p *clusterport.Port) *transport {
	t := &transport{port: p, packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), closing: make(chan struct{})}
	go func() {
		for {
			select {
			case in := <-p.Packets():
				select {
				case t.packets <- &memberlist.Packet{Buf: in.Bytes, From: in.From, Timestamp: in.At}:
				case <-t.closing:
					return
				}
			case <-t.closing:
				return
			}
		}
	}()
	go func() {
		for {
			c, err := p.Listener(clusterport.Gossip).Accept()
			if err != nil {
				return
			}
			select {
			case t.streams <- c:
			case <-t.closing:
				c.Close()
				return
			}
		}
	}()
	return t
}

// FinalAdvertiseAddr returns the port's advertised address; the configured one is ignored.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return t.port.Host() }

// WriteTo sends a packet to an address and returns the time of sending.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return time.Now(), t.port.WriteTo(b, addr)
}

// WriteToAddress sends a packet to a member's address; its name is ignored.
func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

// PacketCh returns the channel of received packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout opens a gossip connection to an address. memberlist passes a duration instead of a
// context.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	return t.port.Dial(ctx, clusterport.Gossip, addr)
}

// DialAddressTimeout opens a gossip connection to a member's address; its name is ignored.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

// StreamCh returns the channel of accepted gossip connections.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown stops forwarding packets and connections. The port stays open; the goroutine that
// accepts connections ends once its owner closes it, or with the next connection.
func (t *transport) Shutdown() error {
	close(t.closing)
	return nil
}
