package handover

import (
	"bufio"
	"io"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/testkit/connpair"
)

// linkPair returns the two ends of a link's connection, which are closed at the end of the test.
func linkPair(t *testing.T) (older, newer *net.UnixConn) {
	t.Helper()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(t.TempDir(), "link"), Net: "unix"})
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("unix", listener.Addr().String())
	require.NoError(t, err)
	older, err = listener.AcceptUnix()
	require.NoError(t, err)
	newer = dialed.(*net.UnixConn)
	t.Cleanup(func() {
		older.Close()
		newer.Close()
	})
	return older, newer
}

// newTestLink returns a link whose peer is at the other end of a connection, and that peer.
func newTestLink(c *net.UnixConn, adopt Adopt) (*Link, *peer) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := New("", nil, nil, func(int) {}, adopt, nil, logrus.NewEntry(log))
	l.peer = newPeer(l, c)
	return l, l.peer
}

// transferTimeout is the deadline of transfers that may remain without a response.
const transferTimeout = 100 * time.Millisecond

// TestTransferReadLater guards against two responses to one client. If the newer process read a
// transferred connection only after the older one had ended, the older one had already answered 502
// on it, and the newer one then answered as well.
func TestTransferReadLater(t *testing.T) {
	older, newer := linkPair(t)
	link, peer := newTestLink(older, nil)
	go peer.writeLoop()
	go peer.readLoop()
	client, server := connpair.New(t)
	time.AfterFunc(transferTimeout/2, func() { _, _ = io.WriteString(newer, "{}\n") }) // heartbeat
	require.True(t, link.TransferConn(server, []byte("request"), &core.MovedRequest{}, time.Now().Add(transferTimeout)))
	server.Close() // the older process's copy
	link.Close()

	adopted := make(chan string, 1)
	_, newerPeer := newTestLink(newer, func(c net.Conn, request []byte, _ *core.MovedRequest) bool {
		adopted <- string(request)
		_, err := io.WriteString(c, "response\n")
		c.Close()
		return err == nil
	})
	go newerPeer.writeLoop()
	newerPeer.mailbox.Put(message{Ready: true}) // can no longer be written
	time.Sleep(transferTimeout)
	newerPeer.readLoop()
	require.Equal(t, "request", <-adopted)
	line, err := bufio.NewReader(client).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "response\n", line)
}

// TestTransferFails checks that a connection stays with this process if the other one certainly
// does not serve it.
func TestTransferFails(t *testing.T) {
	for _, tc := range []struct {
		name  string
		start func(older *peer, newer *net.UnixConn)
	}{
		{"descriptor not written", func(*peer, *net.UnixConn) {}},
		{"no message from the other process", func(older *peer, _ *net.UnixConn) {
			go older.writeLoop()
			go older.readLoop()
		}},
		{"the other process has ended", func(older *peer, newer *net.UnixConn) {
			go older.writeLoop()
			go func() {
				_, _ = newer.Read(make([]byte, 1)) // the transfer has arrived
				newer.Close()
				older.readLoop()
			}()
		}},
		{"refused", func(older *peer, newer *net.UnixConn) {
			go older.writeLoop()
			go older.readLoop()
			_, peer := newTestLink(newer, func(c net.Conn, _ []byte, _ *core.MovedRequest) bool {
				c.Close()
				return false
			})
			go peer.writeLoop()
			go peer.readLoop()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			older, newer := linkPair(t)
			link, peer := newTestLink(older, nil)
			tc.start(peer, newer)
			_, server := connpair.New(t)
			require.False(t, link.TransferConn(server, []byte("request"), &core.MovedRequest{}, time.Now().Add(transferTimeout)))
		})
	}
}
