package transport

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// resettableDialer dials TCP connections that the test can reset.
type resettableDialer struct {
	mu    sync.Mutex
	conns []*net.TCPConn
}

func (r *resettableDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", address)
	if err == nil {
		r.mu.Lock()
		r.conns = append(r.conns, conn.(*net.TCPConn))
		r.mu.Unlock()
	}
	return conn, err
}

// reset resets all connections, which discards the data in flight.
func (r *resettableDialer) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	r.conns = nil
}

// TestOrderAcrossResets sends messages and resets the links at random points: messages arrive in
// the order in which they were sent and at most once, and within a link none between two that
// arrive is missing.
//
// It guards against a message that arrived after one sent later ("out of order, or twice"), seen
// while the machine was busy with other work: each link has its own reader goroutine, and after a
// reset the reader of the old link went on handling buffered messages concurrently with that of the
// new one. See docs/incidents/links-read-beside-each-other.md.
func TestOrderAcrossResets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var links resettableDialer
		a, err := Listen(Config{Address: "127.0.0.1:0", Role: "test", Incarnation: 1, Dial: links.dial})
		require.NoError(t, err)
		defer a.Close()
		got := make(chan received, 10000)
		b, address, stop := receiver(t, got)
		defer stop()
		const last = 1 << 40
		resets := 0
		id := uint64(0)
		for range rapid.IntRange(1, 5).Draw(t, "bursts") {
			for range rapid.IntRange(1, 200).Draw(t, "messages") {
				id++
				a.Send(address, newMessage(id))
			}
			if rapid.Bool().Draw(t, "reset") {
				links.reset()
				resets++
			}
		}
		require.NotNil(t, b)
		var arrived []uint64
		end := time.After(20 * time.Second)
		resend := time.NewTicker(5 * time.Millisecond)
		defer resend.Stop()
		for done := false; !done; {
			select {
			case r := <-got:
				done = r.id >= last
				arrived = append(arrived, r.id)
			case <-resend.C: // a link that is reset loses the messages in flight
				id++
				a.Send(address, newMessage(last+id))
			case <-end:
				t.Fatalf("no further message arrives within 20 s")
			}
		}
		gaps := 0
		for i := 1; i < len(arrived); i++ {
			require.Greater(t, arrived[i], arrived[i-1], "messages arrive out of order, or twice")
			if arrived[i] != arrived[i-1]+1 && arrived[i] < last {
				gaps++
			}
		}
		require.LessOrEqual(t, gaps, resets, "messages are missing within a link")
	})
}

// receiver opens a transport that forwards received messages to a channel, and returns it with its
// address and its Close function.
func receiver(t *rapid.T, got chan received) (b *Transport, address string, stop func()) {
	t.Helper()
	address = freeAddress(t)
	b, err := Listen(Config{Address: address, Role: "test", Incarnation: 2, Handle: forwardTo(got)})
	require.NoError(t, err)
	return b, address, b.Close
}
