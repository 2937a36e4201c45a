package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

type received struct {
	from string
	id   uint64
}

// listen opens a transport, at a free address of loopback where none is given.
func listen(t *testing.T, address string) (*Transport, string, chan received) {
	t.Helper()
	return listenWith(t, Config{Address: address})
}

func listenWith(t *testing.T, cfg Config) (*Transport, string, chan received) {
	t.Helper()
	if cfg.Address == "" {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		cfg.Address = l.Addr().String()
		require.NoError(t, l.Close())
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

// forwardTo hands on the rounds of what arrives.
func forwardTo(got chan received) func(from string, e *protocol.Envelope) {
	return func(from string, e *protocol.Envelope) { got <- received{from, e.GetConfirm().GetRound()} }
}

func message(id uint64) *protocol.Envelope {
	return &protocol.Envelope{Body: &protocol.Envelope_Confirm{Confirm: &protocol.Confirm{Round: id}}}
}

func next(t *testing.T, got chan received) received {
	t.Helper()
	select {
	case r := <-got:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("nothing arrives")
		return received{}
	}
}

func TestInOrderBothWays(t *testing.T) {
	a, addressA, gotA := listen(t, "")
	b, addressB, gotB := listen(t, "")
	for i := range uint64(1000) {
		a.Send(addressB, message(i))
	}
	for i := range uint64(1000) {
		require.Equal(t, received{addressA, i}, next(t, gotB))
	}
	for i := range uint64(10) {
		b.Send(addressA, message(i))
	}
	for i := range uint64(10) {
		require.Equal(t, received{addressB, i}, next(t, gotA))
	}
	b.mu.Lock()
	require.Len(t, b.links, 1, "the link that was opened from the other side serves both ways")
	b.mu.Unlock()
}

// TestOtherProcessAtTheSameAddress has messages reach a process that has taken an earlier one's place.
func TestOtherProcessAtTheSameAddress(t *testing.T) {
	a, _, _ := listen(t, "")
	b, address, got := listen(t, "")
	a.Send(address, message(1))
	next(t, got)
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
		a.Send(address, message(i))
		select {
		case <-arrived:
			return
		case <-tick.C:
			require.Less(t, i, uint64(1000), "nothing reaches the new process")
		}
	}
}

func TestNobodyThere(t *testing.T) {
	a, _, _ := listen(t, "")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	for i := range uint64(100) {
		a.Send(address, message(i))
	}
	require.Eventually(t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.links) == 0
	}, 10*time.Second, 5*time.Millisecond, "the messages are dropped")
}

// TestLinkOfTheOtherWhileDialing has messages that wait for a dial leave by the link that the other process
// opens meanwhile: a dial that began while the other machine was off stands until its timeout.
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
	a.Send(address, message(1))
	<-dialed
	b.Send(addressA, message(2))
	require.Equal(t, received{addressA, 1}, next(t, got))
	<-ended
	require.Less(t, time.Since(startedAt), dialTimeout, "the dial ends at once")
	a.Send(address, message(3))
	require.Equal(t, received{addressA, 3}, next(t, got))
}

// TestLinkEndsWhileDialed has a link that was given up during its dial leave no dead entry behind.
func TestLinkEndsWhileDialed(t *testing.T) {
	proceed := make(chan struct{})
	a, _, _ := listenWith(t, Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		<-proceed
		return new(net.Dialer).DialContext(ctx, "tcp4", address)
	}})
	_, address, got := listen(t, "")
	for i := range uint64(maxQueuedMessages + 1) {
		a.Send(address, message(i))
	}
	close(proceed)
	require.Eventually(t, func() bool {
		a.Send(address, message(maxQueuedMessages+1))
		return len(got) > 0
	}, 10*time.Second, 5*time.Millisecond, "a new link is made")
}

func TestLargeMessage(t *testing.T) {
	a, _, _ := listen(t, "")
	_, address, got := listen(t, "")
	e := &protocol.Envelope{Body: &protocol.Envelope_Append{Append: &protocol.Append{Entries: []*protocol.Entry{{Puts: []*protocol.Put{{Key: "k", Value: make([]byte, 8<<20)}}}}}}}
	a.Send(address, e)
	a.Send(address, message(7))
	next(t, got)
	require.EqualValues(t, 7, next(t, got).id)
}
