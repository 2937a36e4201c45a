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

// linkPair returns the two ends of a link's connection, which are closed with the test.
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

// newTestLink returns a link over a connection, with the peer at its other end.
func newTestLink(c *net.UnixConn, adopt Adopt) (*Link, *peer) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l := New("", nil, nil, func(int) {}, adopt, nil, logrus.NewEntry(log))
	l.peer = newPeer(l, c)
	return l, l.peer
}

// transferTimeout is how long a transfer may take that has no answer.
const transferTimeout = 100 * time.Millisecond

// TestTransferReadLater guards a client whose connection the newer process reads only once the older one has ended: the
// older one answered 502 on it, and the newer one then answered too.
func TestTransferReadLater(t *testing.T) {
	older, newer := linkPair(t)
	link, peer := newTestLink(older, nil)
	go peer.writeLoop()
	go peer.readLoop()
	client, server := connpair.New(t)
	time.AfterFunc(transferTimeout/2, func() { _, _ = io.WriteString(newer, "{}\n") }) // a heartbeat
	require.True(t, link.TransferConn(server, []byte("request"), &core.MovedRequest{}, time.Now().Add(transferTimeout)))
	server.Close() // this process's copy
	link.Close()

	adopted := make(chan string, 1)
	_, newerPeer := newTestLink(newer, func(c net.Conn, request []byte, _ *core.MovedRequest) bool {
		adopted <- string(request)
		_, err := io.WriteString(c, "response\n")
		c.Close()
		return err == nil
	})
	go newerPeer.writeLoop()
	newerPeer.mailbox.Put(message{Ready: true}) // can't be written any more
	time.Sleep(transferTimeout)
	newerPeer.readLoop()
	require.Equal(t, "request", <-adopted)
	line, err := bufio.NewReader(client).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "response\n", line)
}

// TestTransferFails checks that a connection stays with this process where the other one surely does not serve it.
func TestTransferFails(t *testing.T) {
	for _, tc := range []struct {
		name  string
		begin func(older *peer, newer *net.UnixConn)
	}{
		{"not written yet", func(*peer, *net.UnixConn) {}},
		{"the other process says nothing any more", func(older *peer, _ *net.UnixConn) {
			go older.writeLoop()
			go older.readLoop()
		}},
		{"the other process has ended", func(older *peer, newer *net.UnixConn) {
			go older.writeLoop()
			go func() {
				_, _ = newer.Read(make([]byte, 1)) // the transfer has come
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
			tc.begin(peer, newer)
			_, server := connpair.New(t)
			require.False(t, link.TransferConn(server, []byte("request"), &core.MovedRequest{}, time.Now().Add(transferTimeout)))
		})
	}
}
