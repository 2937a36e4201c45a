package clusterport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// open opens a port that is closed at the end of the test.
func open(t *testing.T, listen string) *Port {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p, err := Open(listen, "", logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// TestProtocols checks that each protocol's listener receives its own connections, that connections
// and packets come from the sending port's IP address, and that a connection with an unknown
// protocol byte is closed.
func TestProtocols(t *testing.T) {
	a, b := open(t, "127.60.0.1:0"), open(t, "127.60.0.2:0")
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(20*time.Second))
	defer cancel()
	for _, protocol := range []Protocol{Gossip, Log, Calls} {
		c, err := a.Dial(ctx, protocol, b.Advertised())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		got, err := b.Listener(protocol).Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer got.Close()
		var text [5]byte
		if _, err := io.ReadFull(got, text[:]); err != nil || string(text[:]) != "hello" {
			t.Errorf("protocol %c: read %q, error %v; want hello", protocol, text, err)
		}
		if host, _, _ := net.SplitHostPort(got.RemoteAddr().String()); host != "127.60.0.1" {
			t.Errorf("protocol %c: connection comes from %s, want 127.60.0.1", protocol, host)
		}
	}
	if err := a.WriteTo([]byte("packet"), b.Advertised()); err != nil {
		t.Fatal(err)
	}
	select {
	case p := <-b.Packets():
		if string(p.Bytes) != "packet" || p.From.(*net.UDPAddr).IP.String() != "127.60.0.1" {
			t.Errorf("got packet %q from %v, want \"packet\" from 127.60.0.1", p.Bytes, p.From)
		}
	case <-ctx.Done():
		t.Fatal("packet not received within the timeout")
	}
	unknown, err := a.Dial(ctx, 'x', b.Advertised())
	if err != nil {
		t.Fatal(err)
	}
	defer unknown.Close()
	if _, err := unknown.Read(make([]byte, 1)); err == nil {
		t.Error("a connection with an unknown protocol byte was not closed")
	}
}

// TestConnectionLimit checks that connections without a protocol byte count towards maxConns, that
// a connection beyond that limit is closed, and that the places of closed connections are available
// again.
func TestConnectionLimit(t *testing.T) {
	a, b := open(t, "127.60.0.3:0"), open(t, "127.60.0.4:0")
	var all []net.Conn
	for range maxConns {
		c, err := net.Dial("tcp", b.Advertised())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c)
	}
	for b.openConns.Load() < maxConns { // accepted one after the other
	}
	excess, err := net.Dial("tcp", b.Advertised())
	if err != nil {
		t.Fatal(err)
	}
	defer excess.Close()
	if _, err := excess.Read(make([]byte, 1)); err == nil {
		t.Error("a connection beyond maxConns was not closed")
	}
	for _, c := range all {
		c.Close()
	}
	for b.openConns.Load() > 0 { // the port reads the end of each
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(20*time.Second))
	defer cancel()
	c, err := a.Dial(ctx, Calls, b.Advertised())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	got, err := b.Listener(Calls).Accept()
	if err != nil {
		t.Fatal(err)
	}
	got.Close()
}
