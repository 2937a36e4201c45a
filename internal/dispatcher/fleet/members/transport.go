package members

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"frosttide/internal/dispatcher/fleet/clusterport"
)

// transport implements memberlist.NodeAwareTransport on the port that the cluster's other
// protocols share.
type transport struct {
	port    *clusterport.Port
	packets chan *memberlist.Packet
	streams chan net.Conn
	closing chan struct{}
}

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

// FinalAdvertiseAddr returns the address that other members use.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return t.port.Host() }

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return time.Now(), t.port.WriteTo(b, addr)
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

// PacketCh returns the received packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout connects to another member; memberlist passes a duration rather than a context.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	return t.port.Dial(ctx, clusterport.Gossip, addr)
}

// DialAddressTimeout connects to another member.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

// StreamCh returns the accepted connections.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown ends the transport's goroutines. The port stays open; its owner closes it.
func (t *transport) Shutdown() error {
	close(t.closing)
	return nil
}
