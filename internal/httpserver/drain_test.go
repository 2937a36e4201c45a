package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/connpair"
	"frosttide/internal/testkit/signalsoak"
)

// The head and the body of the request that the tests send.
const (
	requestHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	requestBody = "body"
)

// drainTimeout bounds the drains of the tests; none comes near it.
const drainTimeout = 10 * time.Second

// serveEcho returns a listener whose handler responds with the body of the request, and its
// address.
func serveEcho(t *testing.T) (*Listener, string) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, err := io.ReadAll(r.Body); err == nil {
			_, _ = w.Write(body)
		}
	})})
	require.NoError(t, err)
	t.Cleanup(listener.Close)
	return listener, listener.netListener.Addr().String()
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(drainTimeout)))
	return conn
}

// send writes a part of a request.
func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

// requireResponse reads a response, checks its body, and returns whether it closes the connection.
func requireResponse(t *testing.T, reader *bufio.Reader) (closes bool) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, requestBody, string(body))
	return response.Close
}

// TestDrainAnswersWhatItHasRead sends a request in two parts, one before a drain starts and one
// during it, and checks that the request gets a response.
//
// It guards against a gateway that, on shutdown, closed a job's connection without a response
// although it had read the job: net/http checks for Server.Shutdown again after it has read the
// head of a request, and then drops the request. CI's TestSignalSoak showed it: a job sent at 13.57
// s was "closed after the request was read", and Shutdown was called 2.5 s after the SIGTERM of
// 11.07 s.
func TestDrainAnswersWhatItHasRead(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, rest string
		reused      bool // the connection has carried a request before
	}{
		{name: "in the head, on a new connection", first: requestHead[:20], rest: requestHead[20:] + requestBody},
		{name: "in the head, on a reused connection", first: requestHead[:20], rest: requestHead[20:] + requestBody, reused: true},
		{name: "after the first byte", first: requestHead[:1], rest: requestHead[1:] + requestBody, reused: true},
		{name: "in the body", first: requestHead + requestBody[:1], rest: requestBody[1:]},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, address := serveEcho(t)
			conn := dial(t, address)
			reader := bufio.NewReader(conn)
			if c.reused {
				send(t, conn, requestHead+requestBody)
				require.False(t, requireResponse(t, reader))
			}
			send(t, conn, c.first)
			time.Sleep(50 * time.Millisecond) // until the server has read it
			drained := make(chan error, 1)
			go func() { drained <- listener.Drain(drainTimeout) }()
			time.Sleep(50 * time.Millisecond)
			send(t, conn, c.rest)
			require.True(t, requireResponse(t, reader), "the response does not close its connection")
			require.NoError(t, <-drained)
		})
	}
}

// TestDrainDropsNoRequestInBusyTraffic drains listeners while clients send requests continuously,
// and checks that every request of which a byte was read gets a response.
func TestDrainDropsNoRequestInBusyTraffic(t *testing.T) {
	const rounds, clients = 30, 16
	for range rounds {
		listener, address := serveEcho(t)
		ctx, stop := context.WithCancel(t.Context())
		loadClients := make([]*signalsoak.Client, clients)
		var running sync.WaitGroup
		for i := range loadClients {
			loadClients[i] = &signalsoak.Client{
				Timeout: drainTimeout,
				Pick:    func() (int, string) { return 0, address },
				Next: func(*signalsoak.Outcome) *signalsoak.Request {
					return &signalsoak.Request{Text: []byte(requestHead + requestBody)}
				},
			}
			running.Go(func() { loadClients[i].Run(ctx) })
		}
		time.Sleep(10 * time.Millisecond)
		require.NoError(t, listener.Drain(drainTimeout))
		stop()
		running.Wait()
		for _, client := range loadClients {
			for _, outcome := range client.Outcomes {
				require.Contains(t, []signalsoak.Ending{"", signalsoak.Unread}, outcome.Ending, "%v", outcome.Err)
			}
		}
	}
}

// TestDrainAwaitsRequestBehindTheLast guards against dropping a request whose first byte net/http
// has read, by a background read, before it marks the connection as idle.
func TestDrainAwaitsRequestBehindTheLast(t *testing.T) {
	l := &Listener{connections: make(map[*connection]struct{}), drained: make(chan struct{})}
	client, server := connpair.New(t)
	conn := l.add(server)
	buffer := make([]byte, len(requestHead))
	read := func(p []byte) {
		t.Helper()
		_, err := io.ReadFull(conn, p)
		require.NoError(t, err)
	}
	send(t, client, requestHead+requestHead[:1])
	read(buffer)
	read(buffer[:backgroundReadSize])
	conn.requestEnded()
	l.interruptWaiting()
	send(t, client, requestHead[1:])
	read(buffer[1:])
	conn.requestEnded()
	_, err := conn.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a connection without a request is not interrupted")
}

// TestDrainEndsIdleConnections checks that a drain closes connections that are idle or have not
// carried a request yet, and that it closes the listening socket.
func TestDrainEndsIdleConnections(t *testing.T) {
	listener, address := serveEcho(t)
	idle, unused := dial(t, address), dial(t, address)
	send(t, idle, requestHead+requestBody)
	require.False(t, requireResponse(t, bufio.NewReader(idle)))
	require.NoError(t, listener.Drain(drainTimeout))
	for _, conn := range []net.Conn{idle, unused} {
		_, err := conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}
	_, err := net.Dial("tcp4", address)
	require.Error(t, err)
}

// TestDrainTimeout checks that a drain returns ErrRequestsOpen if a request is not complete in
// time.
func TestDrainTimeout(t *testing.T) {
	listener, address := serveEcho(t)
	conn := dial(t, address)
	send(t, conn, requestHead)
	time.Sleep(50 * time.Millisecond) // until the server has read it
	require.ErrorIs(t, listener.Drain(100*time.Millisecond), ErrRequestsOpen)
}
