package signalsoak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestJudge checks the Ending that a client reports for each way in which a server can
// end a connection.
func TestJudge(t *testing.T) {
	readRequest := func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
	}
	for _, c := range []struct {
		name  string
		serve func(conn net.Conn)
		delay time.Duration // between the connect and the request
		want  Ending
	}{
		{"reads the request and closes", func(conn net.Conn) { readRequest(conn); conn.Close() }, 0, Lost},
		{"closes before the request", func(conn net.Conn) { conn.Close() }, 50 * time.Millisecond, Unread},
		{"closes without reading the request", func(conn net.Conn) { time.Sleep(50 * time.Millisecond); conn.Close() }, 0, Unread},
		{"closes in the middle of the response", func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			conn.Close()
		}, 0, CutShort},
		{"does not respond in time", func(conn net.Conn) { readRequest(conn); time.Sleep(time.Second); conn.Close() }, 0, Late},
		{"responds", func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				if conn, err := listener.Accept(); err == nil {
					c.serve(conn)
				}
			}()
			sent := false
			client := &Client{Timeout: 500 * time.Millisecond, Pick: func() (int, string) { return 0, listener.Addr().String() }}
			client.Next = func(*Outcome) *Request {
				if sent {
					return nil
				}
				sent = true
				return &Request{ID: "r", Text: []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")}
			}
			require.True(t, client.connect(context.Background()))
			time.Sleep(c.delay)
			client.Run(context.Background())
			require.Len(t, client.Outcomes, 1)
			require.Equal(t, c.want, client.Outcomes[0].Ending, "ending of the request, error: %v", client.Outcomes[0].Err)
		})
	}
}

// TestDraw checks that equal seeds give equal schedules, and that the actions on each target are
// sorted by time and start within the length of the schedule plus that of a burst.
func TestDraw(t *testing.T) {
	c := Config{Seed: 7, Targets: 5, Length: 10 * time.Second, Restarts: 20, Signals: 20}
	s := Draw(c)
	require.Equal(t, s, Draw(c))
	restarts := 0
	for target, actions := range s.Restarts {
		restarts += len(actions)
		for i, a := range actions {
			require.Equal(t, target, a.Target)
			require.Less(t, a.At, c.Length+burstLength)
			require.True(t, i == 0 || actions[i-1].At <= a.At)
		}
	}
	require.Equal(t, c.Restarts, restarts)
	require.Len(t, s.Signals, c.Signals)
}
