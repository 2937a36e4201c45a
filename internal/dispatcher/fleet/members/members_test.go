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

type fakeSink struct {
	joined, departed, changed chan Info
	updates                   chan string
	conflicts                 chan [2]Info
}

func (h *fakeSink) Joined(i Info)                 { h.joined <- i }
func (h *fakeSink) Changed(i Info)                { h.changed <- i }
func (h *fakeSink) Departed(i Info)               { h.departed <- i }
func (h *fakeSink) UpdateReceived(update []byte)  { h.updates <- string(update) }
func (h *fakeSink) NameConflict(mine, other Info) { h.conflicts <- [2]Info{mine, other} }

type member struct {
	*Members
	sink *fakeSink
	port *clusterport.Port
	end  context.CancelFunc
}

var next atomic.Int32

func start(t *testing.T, name, addr string, seeds ...string) *member {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	if addr == "" {
		addr = fmt.Sprintf("127.61.0.%d:0", next.Add(1))
	}
	port, err := clusterport.Open(addr, "", logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	h := &fakeSink{joined: make(chan Info, 64), departed: make(chan Info, 64), changed: make(chan Info, 64), updates: make(chan string, 4096), conflicts: make(chan [2]Info, 64)}
	m, err := New(Config{Name: name, Seeds: seeds, Meta: Meta{Site: "a", Epoch: 1}}, port, h, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go m.Run(ctx)
	x := &member{Members: m, sink: h, port: port, end: cancel}
	t.Cleanup(x.kill)
	return x
}

// kill ends a member as a crash would.
func (m *member) kill() {
	m.end()
	m.Close()
	m.port.Close()
}

func await[T any](t *testing.T, from <-chan T, what string, ok func(T) bool) T {
	t.Helper()
	timeout := time.After(eventTimeout)
	for {
		select {
		case v := <-from:
			if ok(v) {
				return v
			}
		case <-timeout:
			t.Fatalf("no %s", what)
		}
	}
}

func named(name string) func(Info) bool { return func(i Info) bool { return i.Name == name } }

// TestMembers checks that members find each other and receive each other's updates, that a failure
// is distinguished from a departure, and that a member may return at its old address.
func TestMembers(t *testing.T) {
	t.Parallel()
	a := start(t, "a", "")
	b := start(t, "b", "", a.port.Advertised())
	c := start(t, "c", "", a.port.Advertised())
	for _, m := range []*member{a, b, c} {
		seen := map[string]bool{}
		await(t, m.sink.joined, "all three joined", func(i Info) bool { seen[i.Name] = true; return len(seen) == 3 })
	}
	if !a.Broadcast("k", []byte("one")) || a.Broadcast("k", make([]byte, MaxUpdateSize+1)) {
		t.Error("a short word was not said, or one that is too long was")
	}
	await(t, c.sink.updates, "word", func(w string) bool { return w == "one" })
	b.Update(func(m *Meta) { m.Draining = true })
	if i := await(t, c.sink.changed, "change", named("b")); !i.Draining || i.Site != "a" {
		t.Errorf("b is heard of as %+v", i)
	}
	at := b.port.Advertised()
	b.kill()
	if i := await(t, a.sink.departed, "end of b", named("b")); i.Status != Dead {
		t.Errorf("after a crash b is %s", i.Status)
	}
	start(t, "b", at, c.port.Advertised())
	await(t, a.sink.joined, "b back", named("b"))
	c.Leave()
	if i := await(t, a.sink.departed, "farewell of c", named("c")); i.Status != Departed {
		t.Errorf("after its farewell c is %s", i.Status)
	}
	if all := a.All(); len(all) != 3 || all[2].Status != Departed {
		t.Errorf("a lists %+v", all)
	}
}

// TestClash checks that the first of two members with one name keeps it and learns of the
// conflict.
func TestClash(t *testing.T) {
	t.Parallel()
	a := start(t, "a", "")
	b := start(t, "b", "", a.port.Advertised())
	await(t, a.sink.joined, "b", named("b"))
	other := start(t, "b", "", a.port.Advertised())
	clash := await(t, a.sink.conflicts, "clash", func([2]Info) bool { return true })
	if clash[0].Addr != b.port.Advertised() || clash[1].Addr != other.port.Advertised() {
		t.Errorf("told of %+v", clash)
	}
}

// TestGarbled checks that malformed packets and connections do no harm.
func TestGarbled(t *testing.T) {
	t.Parallel()
	a := start(t, "a", "")
	odd := start(t, "odd", "")
	for _, text := range []string{"", "\x00", "\xff\xff\xff", "\x08\x00\x00\x00", string(make([]byte, 1300)), "{\"k\":1}"} {
		if err := odd.port.WriteTo([]byte(text), a.port.Advertised()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(eventTimeout))
		c, err := odd.port.Dial(ctx, clusterport.Gossip, a.port.Advertised())
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
	await(t, a.sink.joined, "b, after all that", named("b"))
}
