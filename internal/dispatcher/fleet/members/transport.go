package members

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"frosttide/internal/dispatcher/fleet/clusterport"
)

// transport lets memberlist use the port that the other uses share.
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

// FinalAdvertiseAddr is memberlist's question for the address that others use.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) { return t.port.Host() }

// WriteTo sends a packet.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return time.Now(), t.port.WriteTo(b, addr)
}

// WriteToAddress sends a packet.
func (t *transport) WriteToAddress(b []byte, addr memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, addr.Addr)
}

// PacketCh yields what comes by UDP.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout is memberlist's way to connect; the library has no deadlines.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	return t.port.Dial(ctx, clusterport.Gossip, addr)
}

// DialAddressTimeout connects.
func (t *transport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(addr.Addr, timeout)
}

// StreamCh yields the connections that come.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown ends what the transport runs; the port is its owner's to close.
func (t *transport) Shutdown() error {
	close(t.closing)
	return nil
}
