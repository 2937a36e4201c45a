package transport

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// received identifies a message passed to a handler.
type received struct {
	from string
	id   uint64
}

// freeAddress returns a loopback address that no process listens on. The host part is random: on
// 127.0.0.1 the kernel may assign the port to another process before the test listens on it.
func freeAddress(t require.TestingT) string {
	if helper, ok := t.(interface{ Helper() }); ok {
		helper.Helper()
	}
	host := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// listen opens a transport, on a free address if address is empty, and returns it with its address
// and a channel of the messages that it receives.
func listen(t *testing.T, address string) (*Transport, string, chan received) {
	t.Helper()
	return listenWith(t, Config{Address: address})
}

func listenWith(t *testing.T, cfg Config) (*Transport, string, chan received) {
	t.Helper()
	if cfg.Address == "" {
		cfg.Address = freeAddress(t)
	}
	got := make(chan received, 10000)
	cfg.Role = "test"
	cfg.Incarnation = uint64(time.Now().UnixNano())
	cfg.Handle = forwardTo(got)
	tr, err := Listen(cfg)
	require.NoError(t, err)
	t.Cleanup(tr.Close)
	return tr, cfg.Address, got
}

// forwardTo returns a handler that forwards the sender and the ID of each message to a channel.
func forwardTo(got chan received) func(from string, e *protocol.Envelope) {
	return func(from string, e *protocol.Envelope) { got <- received{from, e.GetConfirm().GetRound()} }
}

func newMessage(id uint64) *protocol.Envelope {
	return &protocol.Envelope{Body: &protocol.Envelope_Confirm{Confirm: &protocol.Confirm{Round: id}}}
}

// newLargeMessage returns a message of 8 MB, which exceeds the buffers of a connection.
func newLargeMessage() *protocol.Envelope {
	entry := &protocol.Entry{Puts: []*protocol.Put{{Key: "k", Value: make([]byte, 8<<20)}}}
	return &protocol.Envelope{Body: &protocol.Envelope_Append{Append: &protocol.Append{Entries: []*protocol.Entry{entry}}}}
}

// awaitReceived returns the next received message.
func awaitReceived(t *testing.T, got chan received) received {
	t.Helper()
	select {
	case r := <-got:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no message arrives within 10 s")
		return received{}
	}
}

// newUnencodableMessage returns a message with a text that is not valid UTF-8.
func newUnencodableMessage() *protocol.Envelope {
	read := &protocol.ClientRequest{Op: &protocol.ClientRequest_ReadState{ReadState: &protocol.ReadState{Id: "repetici\xf3n"}}}
	return &protocol.Envelope{Body: &protocol.Envelope_ClientRequest{ClientRequest: read}}
}

// TestUnencodableMessageIsDropped guards against a message that can't be encoded and takes with it what
// is queued behind it on its link, the messages of other clients among them.
func TestUnencodableMessageIsDropped(t *testing.T) {
	a, addressA, _ := listen(t, "")
	_, addressB, gotB := listen(t, "")
	for i := range uint64(100) {
		a.Send(addressB, newMessage(i))
		a.Send(addressB, newUnencodableMessage())
	}
	for i := range uint64(100) {
		require.Equal(t, received{addressA, i}, awaitReceived(t, gotB))
	}
}

func TestInOrderBothWays(t *testing.T) {
	a, addressA, gotA := listen(t, "")
	b, addressB, gotB := listen(t, "")
	for i := range uint64(1000) {
		a.Send(addressB, newMessage(i))
	}
	for i := range uint64(1000) {
		require.Equal(t, received{addressA, i}, awaitReceived(t, gotB))
	}
	for i := range uint64(10) {
		b.Send(addressA, newMessage(i))
	}
	for i := range uint64(10) {
		require.Equal(t, received{addressB, i}, awaitReceived(t, gotA))
	}
	b.mu.Lock()
	require.Len(t, b.links, 1, "number of links: the one that the peer opened carries both directions")
	b.mu.Unlock()
}

// TestReconnectsToRestartedProcess checks that messages reach a process that has replaced an
// earlier one at the same address.
func TestReconnectsToRestartedProcess(t *testing.T) {
	a, _, _ := listen(t, "")
	b, address, got := listen(t, "")
	a.Send(address, newMessage(1))
	awaitReceived(t, got)
	b.Close()
	_, _, restarted := listen(t, address)
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		<-restarted
	}()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for i := uint64(2); ; i++ {
		a.Send(address, newMessage(i))
		select {
		case <-arrived:
			return
		case <-tick.C:
			require.Less(t, i, uint64(1000), "number of messages sent before one reaches the new process")
		}
	}
}

// TestSendToUnreachableAddress checks that messages to an address without a process are dropped with
// their link.
func TestSendToUnreachableAddress(t *testing.T) {
	a, _, _ := listen(t, "")
	address := freeAddress(t)
	for i := range uint64(100) {
		a.Send(address, newMessage(i))
	}
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.links) == 0
	}, 10*time.Second, 5*time.Millisecond, "the link to the unreachable address is not removed")
}

// TestLinkOfTheOtherWhileDialing checks that messages queued during a dial are sent on the link
// that the peer opens meanwhile: a dial that began while the peer's machine was off would block
// until its timeout.
func TestLinkOfTheOtherWhileDialing(t *testing.T) {
	dialed := make(chan struct{})
	ended := make(chan struct{})
	a, addressA, _ := listenWith(t, Config{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		close(dialed)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}})
	b, address, got := listen(t, "")
	startedAt := time.Now()
	a.Send(address, newMessage(1))
	<-dialed
	b.Send(addressA, newMessage(2))
	require.Equal(t, received{addressA, 1}, awaitReceived(t, got))
	<-ended
	require.Less(t, time.Since(startedAt), dialTimeout, "the dial is canceled before its timeout")
	a.Send(address, newMessage(3))
	require.Equal(t, received{addressA, 3}, awaitReceived(t, got))
}

// TestQueueOverflowDuringDial checks that a link that is terminated by a full queue during its dial
// is removed, so that later messages use a new link.
func TestQueueOverflowDuringDial(t *testing.T) {
	proceed := make(chan struct{})
	a, _, _ := listenWith(t, Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		<-proceed
		return new(net.Dialer).DialContext(ctx, "tcp4", address)
	}})
	_, address, got := listen(t, "")
	for i := range uint64(maxQueuedMessages + 1) {
		a.Send(address, newMessage(i))
	}
	close(proceed)
	require.Eventually(t, func() bool {
		a.Send(address, newMessage(maxQueuedMessages+1))
		return len(got) > 0
	}, 10*time.Second, 5*time.Millisecond, "no message arrives on a new link")
}

func TestLargeMessage(t *testing.T) {
	a, _, _ := listen(t, "")
	_, address, got := listen(t, "")
	a.Send(address, newLargeMessage())
	a.Send(address, newMessage(7))
	awaitReceived(t, got)
	require.EqualValues(t, 7, awaitReceived(t, got).id)
}

// TestCloseWaitsForHandlers checks that Close waits for a handler that is running, and that
// messages sent afterwards are dropped.
func TestCloseWaitsForHandlers(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	var handled atomic.Bool
	address := freeAddress(t)
	b, err := Listen(Config{Address: address, Role: "test", Incarnation: 2, Handle: func(string, *protocol.Envelope) {
		close(entered)
		<-release
		handled.Store(true)
	}})
	require.NoError(t, err)
	a, _, _ := listen(t, "")
	a.Send(address, newMessage(1))
	<-entered
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		b.Close()
	}()
	close(release)
	<-closed
	require.True(t, handled.Load())
	b.Send(address, newMessage(2)) // dropped after Close
	require.Empty(t, b.links)
}

// TestCloseWithAStalledPeer checks that Close returns although the transport's writes are blocked
// by a peer that does not read, on a dialed and on an accepted link.
func TestCloseWithAStalledPeer(t *testing.T) {
	for _, c := range []struct {
		name    string
		connect func(t *testing.T, stalled, other *Transport, arrived chan received) // opens the link
	}{
		{"dialed", func(_ *testing.T, stalled, other *Transport, _ chan received) {
			other.Send(stalled.cfg.Address, newMessage(1))
		}},
		{"accepted", func(t *testing.T, stalled, other *Transport, arrived chan received) {
			stalled.Send(other.cfg.Address, newMessage(1))
			awaitReceived(t, arrived)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			release, entered := make(chan struct{}), make(chan struct{}, 100)
			stalled, err := Listen(Config{Address: freeAddress(t), Role: "test", Incarnation: 2, Handle: func(string, *protocol.Envelope) {
				entered <- struct{}{}
				<-release
			}})
			require.NoError(t, err)
			other, _, arrived := listen(t, "")
			c.connect(t, stalled, other, arrived)
			for range 10 {
				other.Send(stalled.cfg.Address, newLargeMessage())
			}
			<-entered
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				other.Close()
			}()
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Error("Close is blocked by the stalled peer for 10 s")
			}
			close(release)
			stalled.Close()
		})
	}
}
