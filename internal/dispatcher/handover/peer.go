package handover

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/mailbox"
)

const (
	// heartbeatInterval is the time between two heartbeats of a process. silenceTimeout is how long
	// a process may send nothing before the link is closed; on a busy machine, a process that takes
	// over connections may send nothing for two seconds.
	heartbeatInterval = 400 * time.Millisecond
	silenceTimeout    = 3 * time.Second
	// maxMessageSize limits the size of a message, in bytes. The largest is the state, with the
	// whole list of a large fleet.
	maxMessageSize = 4 << 20
)

// errNoState is the error of an older process that does not send its state in time or closes the
// link.
var errNoState = errors.New("the older process did not send its state in time, or has ended")

// peer is the connection to the other process of the dispatcher. Each wait for that process has a
// timeout; silence or an invalid message closes the link.
type peer struct {
	link         *Link
	conn         *net.UnixConn
	reader       *descriptorReader
	scanner      *bufio.Scanner
	mailbox      *mailbox.Box[message] // messages to write
	serving      atomic.Bool           // the other process has announced that it serves
	lastReceived atomic.Int64          // time of the last message received, in ns since 1970
	done         chan struct{}         // closed when the link is closed
	closeOnce    sync.Once

	awaitingState atomic.Bool // the state has neither arrived nor timed out
	state         chan *State // receives the state; has room for one

	mu            sync.Mutex
	lastRequestID uint64
	pending       map[uint64]chan requestOutcome // requests without a response, by ID
}

// newPeer returns the peer on a connection, which it owns from then on.
func newPeer(l *Link, c *net.UnixConn) *peer {
	reader := &descriptorReader{conn: c}
	p := &peer{
		link:    l,
		conn:    c,
		reader:  reader,
		scanner: bufio.NewScanner(reader),
		mailbox: mailbox.New[message](),
		done:    make(chan struct{}),
		state:   make(chan *State, 1),
		pending: map[uint64]chan requestOutcome{},
	}
	p.scanner.Buffer(nil, maxMessageSize)
	return p
}

// close closes the connection and removes the peer from the link. Every link ends here. Further
// calls do nothing.
func (p *peer) close() {
	p.closeOnce.Do(func() {
		close(p.done)
		p.conn.Close()
		l := p.link
		l.mu.Lock()
		linked := l.peer == p
		if linked {
			l.peer = nil
		}
		l.mu.Unlock()
		if linked {
			l.log.Info("the other process has ended")
			l.onProcessCount(1)
		}
	})
}

// writeLoop writes the messages of the mailbox, and heartbeats, until the link is closed or a write
// fails. If a write fails because the other process has closed the connection, it leaves the link
// open so that readLoop still reads what that process has sent before.
func (p *peer) writeLoop() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	var messages []message
	for {
		select {
		case <-p.done:
			return
		case <-p.mailbox.Ready():
			messages = p.mailbox.Drain(messages[:0])
		case <-tick.C:
			messages = append(messages[:0], message{})
		}
		_ = p.conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
		for _, m := range messages {
			if err := p.writeMessage(m); err != nil {
				p.link.log.WithError(err).Debug("link failed or was closed")
				if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
					p.close()
				}
				return
			}
		}
	}
}

// writeMessage writes a message, with its descriptor as ancillary data if it has one.
func (p *peer) writeMessage(m message) error {
	line, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "writing to the link")
	}
	line = append(line, '\n')
	if m.descriptor == nil {
		_, err = p.conn.Write(line)
	} else {
		err = m.descriptor.send(p.conn, line)
	}
	return errors.Wrap(err, "writing to the link")
}

// readMessage reads a message by the deadline. At the end of the connection it fails with io.EOF.
func (p *peer) readMessage(deadline time.Time) (m message, err error) {
	_ = p.conn.SetReadDeadline(deadline)
	if !p.scanner.Scan() {
		if err = p.scanner.Err(); err == nil {
			err = io.EOF
		}
		return m, errors.Wrap(err, "reading from the link")
	}
	if err = json.Unmarshal(p.scanner.Bytes(), &m); err != nil {
		return m, errors.Wrap(err, "reading from the link")
	}
	return m, nil
}

// awaitState waits for the state of an older process. It fails with errNoState after the timeout,
// which leaves the link open, or when the link is closed.
func (p *peer) awaitState(timeout time.Duration) (*State, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case state := <-p.state:
		return state, nil
	case <-p.done:
	case <-timer.C:
	}
	if p.awaitingState.CompareAndSwap(true, false) {
		return nil, errNoState
	}
	return <-p.state, nil // the state has arrived meanwhile
}

// receiveState takes over the state of an older process. If awaitState has timed out before, it
// applies only the operators' exclusions.
func (p *peer) receiveState(state *State) {
	if p.awaitingState.CompareAndSwap(true, false) {
		p.link.core.Restore(state.Core)
		p.state <- state
		return
	}
	for _, uid := range state.Core.Excluded {
		p.link.core.ApplyExclusion(core.Exclusion{UID: uid, Out: true})
	}
}

// readLoop handles the other process's messages until a read fails, the connection ends or no
// message arrives within silenceTimeout. It then closes the link.
func (p *peer) readLoop() {
	defer p.reader.close()
	defer p.close()
	for {
		m, err := p.readMessage(time.Now().Add(silenceTimeout))
		if err != nil {
			p.link.log.WithError(err).Debug("link failed or was closed")
			return
		}
		p.lastReceived.Store(time.Now().UnixNano())
		p.handle(m)
	}
}

// handle handles a message of the other process. It ignores heartbeats.
func (p *peer) handle(m message) {
	switch {
	case m.State != nil:
		p.receiveState(m.State)
	case m.Ready:
		p.serving.Store(true)
		p.respond(m, true)
	case m.Exclusion != nil:
		p.link.core.ApplyExclusion(*m.Exclusion)
	case m.Event != nil:
		p.link.report(*m.Event, func(result core.ReportResult) { p.respondToReport(m, result) })
	case m.Transfer != nil:
		c, err := p.reader.nextConn()
		p.respond(m, err == nil && p.link.adopt(c, m.Transfer.Request, m.Transfer.Moved))
	case m.RequestID > 0:
		p.handleResponse(m)
	}
}

// respond responds to a request of the other process.
func (p *peer) respond(request message, accepted bool) {
	p.mailbox.Put(message{RequestID: request.RequestID, Accepted: accepted})
}

// respondToReport responds to a report that the other process has forwarded.
func (p *peer) respondToReport(request message, result core.ReportResult) {
	p.mailbox.Put(message{RequestID: request.RequestID, Accepted: result == core.Held, Moving: result == core.Moving})
}

// requestOutcome is the outcome of a request to the other process.
type requestOutcome uint8

const (
	unanswered requestOutcome = iota // no response by the deadline, or before the link was closed
	accepted                         // the other process has accepted the request
	refused                          // the other process has refused the request
	moving                           // refused, as the job of the report is moving to this process
	sent                             // no response, but the descriptor was sent to a live process
)

// request sends a request and returns its outcome by the deadline. For a request with a descriptor
// it stops waiting at the first multiple of transferResponseTimeout at which the descriptor was
// sent and the other process has sent something since the request began.
func (p *peer) request(m message, deadline time.Time) requestOutcome {
	response, start := make(chan requestOutcome, 1), time.Now().UnixNano()
	p.mu.Lock()
	p.lastRequestID++
	m.RequestID = p.lastRequestID
	p.pending[m.RequestID] = response
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, m.RequestID)
		p.mu.Unlock()
	}()
	p.mailbox.Put(m)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	tick := time.NewTicker(transferResponseTimeout)
	defer tick.Stop()
	isSent := func() bool { return m.descriptor != nil && m.descriptor.sent.Load() && p.lastReceived.Load() > start }
	for {
		select {
		case result := <-response:
			return result
		case <-tick.C:
			if isSent() {
				return sent
			}
		case <-timer.C:
			if isSent() {
				return sent
			}
			return unanswered
		case <-p.done:
			return unanswered
		}
	}
}

// handleResponse passes a response to the request that waits for it, if one still does.
func (p *peer) handleResponse(response message) {
	result := refused
	switch {
	case response.Accepted:
		result = accepted
	case response.Moving:
		result = moving
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending := p.pending[response.RequestID]; pending != nil {
		pending <- result
		delete(p.pending, response.RequestID) // the channel has room for one
	}
}
