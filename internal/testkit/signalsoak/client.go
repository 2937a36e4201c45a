package signalsoak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Ending says why a request has no complete response.
type Ending string

// The reasons for which a request has no complete response.
const (
	// Unread means that the peer closed the connection before it had read the whole request, so
	// that its kernel reset the connection.
	Unread Ending = "closed before the request was read"
	// Lost means that the peer read the request and then closed the connection without a reset.
	Lost Ending = "closed after the request was read"
	// CutShort means that the connection ended in the middle of the response, or that the body was
	// not complete within Client.Timeout.
	CutShort Ending = "answer cut short"
	// Late means that the headers of the response did not arrive within Client.Timeout.
	Late Ending = "no answer in time"
)

// Outcome is the result of a request.
type Outcome struct {
	SentAt  time.Time
	EndedAt time.Time
	Target  int    // target of the connection, as returned by Client.Pick
	ID      string // ID of the request
	Status  int    // HTTP status of a complete response, otherwise 0
	Body    []byte
	Ending  Ending // empty for a complete response
	Err     error  // error that the connection failed with, if any
}

// Client sends HTTP requests in sequence and reuses each connection until the peer closes it.
type Client struct {
	// Pick returns the target of the next connection and its TCP address. It is called again before
	// each attempt to connect.
	Pick func() (target int, address string)
	// Next returns the next request, or nil to end Run. Its argument is the outcome of the previous
	// request, nil before the first. It may return a request that got no complete response again;
	// the retry is sent on a new connection.
	Next func(last *Outcome) *Request
	// Timeout bounds the time from the sending of a request to the end of its response.
	Timeout time.Duration
	// Pause is the delay between the end of a request and the next one.
	Pause time.Duration

	Outcomes    []Outcome // results of all requests, in the order of sending
	Connections int       // number of connections that were opened

	conn   net.Conn
	reader *bufio.Reader
	target int
}

// Request is an HTTP/1.1 request to send.
type Request struct {
	ID   string
	Text []byte // the encoded request, with its headers and body
}

// redialPause is the delay between attempts to connect.
const redialPause = 20 * time.Millisecond

// Run sends requests until the context is canceled or Next returns nil. It closes the connection.
func (c *Client) Run(ctx context.Context) {
	defer c.closeConnection()
	var last *Outcome
	for request := c.Next(nil); request != nil; request = c.Next(last) {
		if !c.connect(ctx) {
			return
		}
		outcome := c.exchange(request)
		c.Outcomes = append(c.Outcomes, outcome)
		last = &outcome
		if ctx.Err() != nil {
			return
		}
		time.Sleep(c.Pause)
	}
}

// connect opens a connection unless one is open, and retries until it succeeds. It returns false if
// the context is canceled first.
func (c *Client) connect(ctx context.Context) bool {
	for c.conn == nil {
		if ctx.Err() != nil {
			return false
		}
		target, address := c.Pick()
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			time.Sleep(redialPause)
			continue
		}
		c.conn, c.reader, c.target = conn, bufio.NewReader(conn), target
		c.Connections++
	}
	return true
}

// closeConnection closes the connection if one is open.
func (c *Client) closeConnection() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and reads its response. It closes the connection if the response is
// incomplete or asks for that.
func (c *Client) exchange(request *Request) Outcome {
	o := Outcome{SentAt: time.Now(), Target: c.target, ID: request.ID}
	err := c.conn.SetDeadline(o.SentAt.Add(c.Timeout))
	if err == nil {
		_, err = c.conn.Write(request.Text)
	}
	if err != nil { // the peer closed the connection before the last byte was written
		o.Ending, o.Err = Unread, err
		return c.finish(o)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		o.Ending, o.Err = c.classifyReadError(err), err
		return c.finish(o)
	}
	o.Body, err = io.ReadAll(response.Body)
	if err != nil {
		o.Ending, o.Err = CutShort, err
		return c.finish(o)
	}
	o.Status = response.StatusCode
	if response.Close {
		return c.finish(o)
	}
	o.EndedAt = time.Now()
	return o
}

// finish closes the connection and sets the end time of an outcome.
func (c *Client) finish(o Outcome) Outcome {
	c.closeConnection()
	o.EndedAt = time.Now()
	return o
}

// acknowledgementPoll is the interval between checks of what the peer has acknowledged.
const acknowledgementPoll = time.Millisecond

// classifyReadError returns the Ending of a request whose response can't be read. If the peer
// closed the connection without a reset, it had read everything that had reached it; its kernel
// answers data that arrives later with a reset. So this waits, up to Timeout, until the peer has
// acknowledged all sent bytes or reset the connection.
func (c *Client) classifyReadError(err error) Ending {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return Late
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return Unread
	case c.reader.Buffered() > 0 || !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return CutShort
	}
	for deadline := time.Now().Add(c.Timeout); time.Now().Before(deadline); time.Sleep(acknowledgementPoll) {
		pending := c.unacknowledged() // read before wasReset: a reset empties the send queue
		if c.wasReset() {
			return Unread
		}
		if pending == 0 {
			break
		}
	}
	return Lost
}

// unacknowledged returns the number of sent bytes that the peer's kernel has not acknowledged.
func (c *Client) unacknowledged() int {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	var pending int
	if err := raw.Control(func(fd uintptr) { pending, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }); err != nil {
		return 0
	}
	return pending
}

// wasReset reports whether the socket has a pending error, as it has after a reset by the peer.
func (c *Client) wasReset() bool {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var pending int
	if err := raw.Control(func(fd uintptr) { pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) }); err != nil {
		return false
	}
	return pending != 0
}
