package transport

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcconn"

	"frosttide/internal/protocol"
)

// rawLink is a link that the test opens without a Transport, to act as a process at an address.
type rawLink struct {
	stream protocol.DRPCPeer_ExchangeClient
}

// openRawLink opens a link to a transport and sends nothing on it yet.
func openRawLink(t *testing.T, to string) *rawLink {
	t.Helper()
	conn, err := net.Dial("tcp4", to)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	client := drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()})
	stream, err := protocol.NewDRPCPeerClient(client).Exchange(t.Context())
	require.NoError(t, err)
	return &rawLink{stream: stream}
}

// hello sends the Hello that identifies the opener of the link.
func (l *rawLink) hello(t *testing.T, hello *protocol.Hello) {
	t.Helper()
	l.sendNow(t, &protocol.Envelope{Body: &protocol.Envelope_Hello{Hello: hello}})
}

// sendNow sends and flushes a message.
func (l *rawLink) sendNow(t *testing.T, e *protocol.Envelope) {
	t.Helper()
	require.NoError(t, l.stream.Send(e))
	require.NoError(t, flushFunc(l.stream)())
}

// requireNothing checks that no message arrives within 200 ms, in which the reader of any link
// would have handled one.
func requireNothing(t *testing.T, got chan received, why string) {
	t.Helper()
	select {
	case r := <-got:
		require.Fail(t, why, "%d arrived", r.id)
	case <-time.After(200 * time.Millisecond):
	}
}

// TestLateLinkOfAnEarlierProcess restarts a process whose link the receiver has not read yet. A
// process opens a link, sends a message and is killed; its successor at the address opens a link of
// its own. The receiver, which was paused meanwhile, finds both links, and its goroutines read them
// in any order.
//
// It guards against this failure: if the successor's link was read first, the message of the dead
// process was handled after it, the successor's link was terminated, messages in flight on it were
// lost, and replies went to the dead process. The cause: a link of another incarnation that had not
// delivered a message yet counted as the later one, although incarnations are drawn at random and
// do not tell which process came first. A cluster head that read the links of an agent's two
// processes in this order treated the running process's reports as stale from then on. The remedy
// is that connections are numbered in the order in which they are made.
func TestLateLinkOfAnEarlierProcess(t *testing.T) {
	const address = "127.9.9.9:1"
	earlier := &protocol.Hello{Address: address, Incarnation: 9, Generation: 3}
	later := &protocol.Hello{Address: address, Incarnation: 5, Generation: 1}
	for _, c := range []struct {
		name         string
		earlierFirst bool // the Hello of the earlier process is read first
	}{
		{"the Hello of the earlier process is read first", true},
		{"the Hello of the later process is read first", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, to, got := listen(t, "")
			dead, running := openRawLink(t, to), openRawLink(t, to)
			if c.earlierFirst {
				dead.hello(t, earlier)
				require.Eventually(t, func() bool { return b.hasLink(address) }, 10*time.Second, time.Millisecond)
			}
			running.hello(t, later)
			running.sendNow(t, newMessage(10))
			require.Equal(t, received{address, 10}, awaitReceived(t, got))
			if !c.earlierFirst {
				dead.hello(t, earlier)
			}
			_ = dead.stream.Send(newMessage(1)) // the link may be closed already
			_ = flushFunc(dead.stream)()
			requireNothing(t, got, "a message of the dead process is handled after one of its successor")
			running.sendNow(t, newMessage(11))
			require.Equal(t, received{address, 11}, awaitReceived(t, got), "the link of the running process stays open")
			b.Send(address, newMessage(20))
			require.EqualValues(t, 20, awaitMessageID(t, running), "messages go to the running process")
		})
	}
}

// hasLink reports whether there is a link for messages to an address.
func (t *Transport) hasLink(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[address] != nil
}

// awaitMessageID returns the ID of the next message on a link, after the transport's Hello.
func awaitMessageID(t *testing.T, l *rawLink) uint64 {
	t.Helper()
	arrived := make(chan uint64, 1)
	go func() {
		for {
			e, err := l.stream.Recv()
			if err != nil {
				return
			}
			if e.GetHello() == nil {
				arrived <- e.GetConfirm().GetRound()
				return
			}
		}
	}()
	select {
	case id := <-arrived:
		return id
	case <-time.After(10 * time.Second):
		require.Fail(t, "no message arrives on the link within 10 s")
		return 0
	}
}

// TestSeriesOfRestarts reads the links of three successive processes at an address in the wrong
// order and checks that only messages of the last process are handled.
func TestSeriesOfRestarts(t *testing.T) {
	const address = "127.9.9.9:2"
	_, to, got := listen(t, "")
	links := []*rawLink{openRawLink(t, to), openRawLink(t, to), openRawLink(t, to)} // oldest first
	hello := func(process int) {
		links[process].hello(t, &protocol.Hello{Address: address, Incarnation: uint64(100 - process), Generation: 1})
	}
	hello(2)
	links[2].sendNow(t, newMessage(30))
	require.Equal(t, received{address, 30}, awaitReceived(t, got))
	for process, late := range links[:2] {
		hello(process)
		_ = late.stream.Send(newMessage(10 * uint64(process+1))) // the link may be closed already
		_ = flushFunc(late.stream)()
	}
	requireNothing(t, got, "a message of a dead process is handled after one of its successor")
	for i := range uint64(5) {
		links[2].sendNow(t, newMessage(31+i))
		require.Equal(t, received{address, 31 + i}, awaitReceived(t, got))
	}
}

// TestProcessThatStartsAnew checks that messages of a restarted process are handled at once
// whatever its clocks say: processes are ordered only by the receiver's connection numbers, not by
// any value of the sender's machine.
func TestProcessThatStartsAnew(t *testing.T) {
	const address = "127.9.9.9:3"
	_, to, got := listen(t, "")
	for process := range uint64(20) {
		l := openRawLink(t, to)
		l.hello(t, &protocol.Hello{Address: address, Incarnation: 1 + process*7919%20, Generation: 1})
		l.sendNow(t, newMessage(process))
		require.Equal(t, received{address, process}, awaitReceived(t, got))
	}
}
