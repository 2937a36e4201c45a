package transport

import (
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

// listen opens a transport at a free address of loopback.
func listen(t *testing.T, address string) (*Transport, string, chan received) {
	t.Helper()
	if address == "" {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		address = l.Addr().String()
		require.NoError(t, l.Close())
	}
	got := make(chan received, 10000)
	tr, err := Listen(Config{Address: address, Role: "test", Incarnation: uint64(time.Now().UnixNano()), Handle: func(from string, e *protocol.Envelope) {
		got <- received{from, e.GetConfirm().GetRound()}
	}})
	require.NoError(t, err)
	t.Cleanup(tr.Close)
	return tr, address, got
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
	_, _, again := listen(t, address)
	arrived := make(chan struct{})
	go func() {
		defer close(arrived)
		<-again
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

func TestLargeMessage(t *testing.T) {
	a, _, _ := listen(t, "")
	_, address, got := listen(t, "")
	e := &protocol.Envelope{Body: &protocol.Envelope_Append{Append: &protocol.Append{Entries: []*protocol.Entry{{Puts: []*protocol.Put{{Key: "k", Value: make([]byte, 8<<20)}}}}}}}
	a.Send(address, e)
	a.Send(address, message(7))
	next(t, got)
	require.EqualValues(t, 7, next(t, got).id)
}
