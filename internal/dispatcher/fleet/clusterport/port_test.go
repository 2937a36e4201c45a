package clusterport

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

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

// TestUses checks that each protocol receives its own connections from the caller's address, that
// packets arrive, and that a connection of an unknown protocol is closed.
func TestUses(t *testing.T) {
	a, b := open(t, "127.60.0.1:0"), open(t, "127.60.0.2:0")
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(20*time.Second))
	defer cancel()
	for _, use := range []Use{Gossip, Log, Calls} {
		c, err := a.Dial(ctx, use, b.Advertised())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		got, err := b.Listener(use).Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer got.Close()
		var text [5]byte
		if _, err := io.ReadFull(got, text[:]); err != nil || string(text[:]) != "hello" {
			t.Errorf("%c: read %q, %v", use, text, err)
		}
		if host, _, _ := net.SplitHostPort(got.RemoteAddr().String()); host != "127.60.0.1" {
			t.Errorf("%c: the call comes from %s", use, host)
		}
	}
	if err := a.WriteTo([]byte("packet"), b.Advertised()); err != nil {
		t.Fatal(err)
	}
	select {
	case p := <-b.Packets():
		if string(p.Bytes) != "packet" || p.From.(*net.UDPAddr).IP.String() != "127.60.0.1" {
			t.Errorf("packet %q from %v", p.Bytes, p.From)
		}
	case <-ctx.Done():
		t.Fatal("no packet")
	}
	odd, err := a.Dial(ctx, 'x', b.Advertised())
	if err != nil {
		t.Fatal(err)
	}
	defer odd.Close()
	if _, err := odd.Read(make([]byte, 1)); err == nil {
		t.Error("a connection of no known use is kept")
	}
}

// TestFlood checks that silent connections use no more than their places and release them when
// they end.
func TestFlood(t *testing.T) {
	a, b := open(t, "127.60.0.3:0"), open(t, "127.60.0.4:0")
	var all []net.Conn
	for range places {
		c, err := net.Dial("tcp", b.Advertised())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		all = append(all, c)
	}
	for b.open.Load() < places { // they are taken one after the other
	}
	over, err := net.Dial("tcp", b.Advertised())
	if err != nil {
		t.Fatal(err)
	}
	defer over.Close()
	if _, err := over.Read(make([]byte, 1)); err == nil {
		t.Error("one more than the places is kept")
	}
	for _, c := range all {
		c.Close()
	}
	for b.open.Load() > 0 { // their ends are noticed
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
