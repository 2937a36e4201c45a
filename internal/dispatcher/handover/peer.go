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
	// heartbeatInterval is the time between two heartbeats of a side, and
	// silenceTimeout how long a side may say nothing. On a busy machine a process that
	// takes connections over may be silent for two seconds.
	heartbeatInterval = 400 * time.Millisecond
	silenceTimeout    = 3 * time.Second
	// maxMessage bounds a message, in bytes: the whole list of a large fleet.
	maxMessage = 4 << 20
)

// errNoState is the error of an older process that does not pass its state.
var errNoState = errors.New("the older process told no state in time, or has ended")

// peer is the other process of the dispatcher. Each wait on it is bounded, and
// whatever it does other than speak in time ends the link.
type peer struct {
	link        *Link
	conn        *net.UnixConn
	reader      *descriptorReader
	scanner     *bufio.Scanner
	mailbox     *mailbox.Box[message] // messages to write
	serving     atomic.Bool           // it has said that it serves
	lastContact atomic.Int64          // when it was heard of last, in ns since 1970
	done        chan struct{}         // closed at the link's end
	once        sync.Once

	awaitsState atomic.Bool // this process has not gone on without the other's state
	state       chan *State // takes the state

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan outcome // requests without a response
}

// newPeer makes the peer on a connection, which belongs to the peer from then on.
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
		pending: map[uint64]chan outcome{},
	}
	p.scanner.Buffer(nil, maxMessage)
	return p
}

// end is the one place where a link ends and its connection is closed.
func (p *peer) end() {
	p.once.Do(func() {
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

// writeLoop writes the messages of the mailbox, and heartbeats, until the link ends. Where
// the other process has closed it, readLoop reads what that has sent before.
func (p *peer) writeLoop() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	var mail []message
	for {
		select {
		case <-p.done:
			return
		case <-p.mailbox.Ready():
			mail = p.mailbox.Drain(mail[:0])
		case <-tick.C:
			mail = append(mail[:0], message{})
		}
		_ = p.conn.SetWriteDeadline(time.Now().Add(silenceTimeout))
		for _, m := range mail {
			if err := p.writeMessage(m); err != nil {
				p.link.log.WithError(err).Debug("link ends")
				if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
					p.end()
				}
				return
			}
		}
	}
}

// writeMessage writes a message, with its descriptor if there is one.
func (p *peer) writeMessage(m message) error {
	line, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "writing the link")
	}
	line = append(line, '\n')
	if m.socket == nil {
		_, err = p.conn.Write(line)
	} else {
		err = m.socket.send(p.conn, line)
	}
	return errors.Wrap(err, "writing the link")
}

// readMessage reads a message until the deadline. At the end of the connection it
// fails with io.EOF.
func (p *peer) readMessage(deadline time.Time) (m message, err error) {
	_ = p.conn.SetReadDeadline(deadline)
	if !p.scanner.Scan() {
		if err = p.scanner.Err(); err == nil {
			err = io.EOF
		}
		return m, errors.Wrap(err, "reading the link")
	}
	if err = json.Unmarshal(p.scanner.Bytes(), &m); err != nil {
		return m, errors.Wrap(err, "reading the link")
	}
	return m, nil
}

// awaitState waits for the state of an older process. It fails with errNoState after the
// timeout; the link goes on then, unless it has ended.
func (p *peer) awaitState(timeout time.Duration) (*State, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case state := <-p.state:
		return state, nil
	case <-p.done:
	case <-timer.C:
	}
	if p.awaitsState.CompareAndSwap(true, false) {
		return nil, errNoState
	}
	return <-p.state, nil // it has come meanwhile
}

// receiveState takes over the state of an older process. What operators have excluded
// holds also where the state is late.
func (p *peer) receiveState(state *State) {
	if p.awaitsState.CompareAndSwap(true, false) {
		p.link.core.Restore(state.Core)
		p.state <- state
		return
	}
	for _, uid := range state.Core.Excluded {
		p.link.core.ApplyExclusion(core.Exclusion{UID: uid, Out: true})
	}
}

// readLoop handles what the other process sends until it falls silent.
func (p *peer) readLoop() {
	defer p.reader.close()
	defer p.end()
	for {
		m, err := p.readMessage(time.Now().Add(silenceTimeout))
		if err != nil {
			p.link.log.WithError(err).Debug("link ends")
			return
		}
		p.lastContact.Store(time.Now().UnixNano())
		p.handle(m)
	}
}

// handle handles a message.
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
		p.link.report(*m.Event, func(h core.ReportResult) { p.respondToReport(m, h) })
	case m.Client != nil:
		c, err := p.reader.nextConn()
		p.respond(m, err == nil && p.link.adopt(c, m.Client.Request, m.Client.Moved))
	case m.Number > 0:
		p.resolve(m)
	}
}

// respond responds to a request of the other process.
func (p *peer) respond(request message, took bool) {
	p.mailbox.Put(message{Number: request.Number, Took: took})
}

// respondToReport responds to a report that the other process has passed on.
func (p *peer) respondToReport(request message, h core.ReportResult) {
	p.mailbox.Put(message{Number: request.Number, Took: h == core.Held, Moving: h == core.Moving})
}

// outcome is what became of a request to the other process.
type outcome uint8

const (
	unanswered outcome = iota // by the deadline, or the link has ended before
	taken                     // the other process has taken what the request carries
	refused                   // it has not
	moving                    // it has not, as the job of the report is on its way here
	sent                      // it has been sent what the request carries, and goes on
)

// request sends a request and returns what became of it by the deadline. One that carries
// a connection is waited for no longer than transferAnswerTimeout if the other process
// goes on.
func (p *peer) request(m message, deadline time.Time) outcome {
	answer, begun := make(chan outcome, 1), time.Now().UnixNano()
	p.mu.Lock()
	p.lastNumber++
	m.Number = p.lastNumber
	p.pending[m.Number] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, m.Number)
		p.mu.Unlock()
	}()
	p.mailbox.Put(m)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	tick := time.NewTicker(transferAnswerTimeout)
	defer tick.Stop()
	isSent := func() bool { return m.socket != nil && m.socket.sent.Load() && p.lastContact.Load() > begun }
	for {
		select {
		case result := <-answer:
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

// resolve passes on the response to a request, if somebody still waits for it.
func (p *peer) resolve(response message) {
	result := refused
	switch {
	case response.Took:
		result = taken
	case response.Moving:
		result = moving
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting := p.pending[response.Number]; waiting != nil {
		waiting <- result
		delete(p.pending, response.Number) // the channel has room for one
	}
}
