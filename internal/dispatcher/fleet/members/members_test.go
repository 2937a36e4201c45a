package members

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/clusterport"
)

const eventTimeout = 20 * time.Second

// fakeSink passes the events on to channels.
type fakeSink struct {
	joined, departed, changed chan Info
	updates                   chan string
	conflicts                 chan [2]Info
}

func (s *fakeSink) Joined(i Info)                 { s.joined <- i }
func (s *fakeSink) Changed(i Info)                { s.changed <- i }
func (s *fakeSink) Departed(i Info)               { s.departed <- i }
func (s *fakeSink) UpdateReceived(update []byte)  { s.updates <- string(update) }
func (s *fakeSink) NameConflict(mine, other Info) { s.conflicts <- [2]Info{mine, other} }

// member is a running member with its sink and port.
type member struct {
	*Members
	sink *fakeSink
	port *clusterport.Port
	stop context.CancelFunc
}

// lastHost is the last octet of the latest loopback address that start chose, in 127.61.0.0/24.
var lastHost atomic.Int32

// start runs a member at addr, or at a loopback address of its own if addr is empty.
func start(t *testing.T, name, addr string, seeds ...string) *member {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	if addr == "" {
		addr = fmt.Sprintf("127.61.0.%d:0", lastHost.Add(1))
	}
	port, err := clusterport.Open(addr, "", logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	sink := &fakeSink{joined: make(chan Info, 64), departed: make(chan Info, 64), changed: make(chan Info, 64), updates: make(chan string, 4096), conflicts: make(chan [2]Info, 64)}
	m, err := New(Config{Name: name, Seeds: seeds, Meta: Meta{Site: "a", Epoch: 1}}, port, sink, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	x := &member{Members: m, sink: sink, port: port, stop: cancel}
	t.Cleanup(x.crash)
	return x
}

// crash stops a member without announcing that.
func (m *member) crash() {
	m.stop()
	m.Close()
	m.port.Close()
}

// await returns the first event on a channel that matches; it fails the test if none comes within
// eventTimeout. what describes the event.
func await[T any](t *testing.T, events <-chan T, what string, matches func(T) bool) T {
	t.Helper()
	timeout := time.After(eventTimeout)
	for {
		select {
		case v := <-events:
			if matches(v) {
				return v
			}
		case <-timeout:
			t.Fatalf("event not received within the timeout: %s", what)
		}
	}
}

func named(name string) func(Info) bool { return func(i Info) bool { return i.Name == name } }

// TestMembers checks that members find each other and receive each other's updates, that a failure
// is distinguished from an announced departure, and that a failed member can rejoin at its old
// address.
func TestMembers(t *testing.T) {
	t.Parallel()
	a := start(t, "a", "")
	b := start(t, "b", "", a.port.Advertised())
	c := start(t, "c", "", a.port.Advertised())
	for _, m := range []*member{a, b, c} {
		seen := map[string]bool{}
		await(t, m.sink.joined, "all three members joined", func(i Info) bool { seen[i.Name] = true; return len(seen) == 3 })
	}
	if !a.Broadcast("k", []byte("one")) || a.Broadcast("k", make([]byte, MaxUpdateSize+1)) {
		t.Error("Broadcast must accept a short update and reject one over MaxUpdateSize")
	}
	await(t, c.sink.updates, "update from a", func(u string) bool { return u == "one" })
	b.Update(func(m *Meta) { m.Draining = true })
	if i := await(t, c.sink.changed, "metadata change of b", named("b")); !i.Draining || i.Site != "a" {
		t.Errorf("got b's metadata as %+v, want draining at site a", i)
	}
	at := b.port.Advertised()
	b.crash()
	if i := await(t, a.sink.departed, "failure of b", named("b")); i.Status != Dead {
		t.Errorf("after a crash: got b's status %q, want dead", i.Status)
	}
	start(t, "b", at, c.port.Advertised())
	await(t, a.sink.joined, "b rejoined", named("b"))
	c.Leave()
	if i := await(t, a.sink.departed, "departure of c", named("c")); i.Status != Departed {
		t.Errorf("after Leave: got c's status %q, want left", i.Status)
	}
	if all := a.All(); len(all) != 3 || all[2].Status != Departed {
		t.Errorf("got members %+v, want three, the last with status left", all)
	}
}

// TestNameConflict checks that of two members with one name the first keeps it, and that a name
// conflict is reported.
func TestNameConflict(t *testing.T) {
	t.Parallel()
	a := start(t, "a", "")
	b := start(t, "b", "", a.port.Advertised())
	await(t, a.sink.joined, "b joined", named("b"))
	other := start(t, "b", "", a.port.Advertised())
	conflict := await(t, a.sink.conflicts, "name conflict", func([2]Info) bool { return true })
	if conflict[0].Addr != b.port.Advertised() || conflict[1].Addr != other.port.Advertised() {
		t.Errorf("got name conflict %+v, want b's address and then the other member's", conflict)
	}
}

// TestMalformedTraffic checks that a member keeps working after malformed packets and connections.
func TestMalformedTraffic(t *testing.T) {
	t.Parallel()
	a := start(t, "a", "")
	sender := start(t, "sender", "")
	for _, text := range []string{"", "\x00", "\xff\xff\xff", "\x08\x00\x00\x00", string(make([]byte, 1300)), "{\"k\":1}"} {
		if err := sender.port.WriteTo([]byte(text), a.port.Advertised()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(eventTimeout))
		c, err := sender.port.Dial(ctx, clusterport.Gossip, a.port.Advertised())
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	start(t, "b", "", a.port.Advertised())
	await(t, a.sink.joined, "b joined after malformed traffic", named("b"))
}
