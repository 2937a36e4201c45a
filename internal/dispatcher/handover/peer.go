package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/mailbox"
)

// peer is the other process of the dispatcher. Guards this one against it: no wait on
// it is without bound, and whatever it does but speak in time ends the link.
type peer struct {
	link    *Link
	conn    *net.UnixConn
	reader  *descriptorReader
	scanner *bufio.Scanner
	mailbox *mailbox.Box[message] // what is to be written
	serving atomic.Bool           // it has said that it serves
	done    chan struct{}         // closed at the link's end
	once    sync.Once

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan bool // what has been asked and not answered
}

// end is the one place where a link ends and its connection is given back.
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

// writeLoop puts what is in the mailbox on the connection, and a beat from time to time.
func (p *peer) writeLoop() {
	defer p.end()
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
				return
			}
		}
	}
}

// writeMessage writes a message, with its connection if there is one.
func (p *peer) writeMessage(m message) error {
	line, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("writing the link: %w", err)
	}
	line = append(line, '\n')
	if m.socket == nil {
		_, err = p.conn.Write(line)
	} else {
		err = m.socket.send(p.conn, line)
	}
	if err != nil {
		return fmt.Errorf("writing the link: %w", err)
	}
	return nil
}

// readMessage reads a message until the deadline.
func (p *peer) readMessage(by time.Time) (m message, err error) {
	_ = p.conn.SetReadDeadline(by)
	if !p.scanner.Scan() {
		if err = p.scanner.Err(); err == nil {
			err = io.EOF
		}
		return m, fmt.Errorf("reading the link: %w", err)
	}
	if err = json.Unmarshal(p.scanner.Bytes(), &m); err != nil {
		return m, fmt.Errorf("reading the link: %w", err)
	}
	return m, nil
}

// awaitState waits for the state, the first thing that counts on a link.
func (p *peer) awaitState(by time.Time) (*State, error) {
	for {
		m, err := p.readMessage(by)
		if err != nil {
			return nil, err
		}
		if m.State != nil {
			return m.State, nil
		}
		if !time.Now().Before(by) {
			return nil, errors.New("the older process told no state in time")
		}
	}
}

// readLoop heeds what the other process says until it falls silent.
func (p *peer) readLoop() {
	defer p.reader.close()
	defer p.end()
	for {
		m, err := p.readMessage(time.Now().Add(silenceTimeout))
		if err != nil {
			p.link.log.WithError(err).Debug("link ends")
			return
		}
		switch {
		case m.Ready:
			p.serving.Store(true)
			p.mailbox.Put(message{Number: m.Number, Took: true})
		case m.Exclusion != nil:
			p.link.core.ApplyExclusion(*m.Exclusion)
		case m.Event != nil:
			p.link.core.Report(*m.Event, func(taken bool) { p.mailbox.Put(message{Number: m.Number, Took: taken}) })
		case m.Client != nil:
			c, err := p.reader.nextConn()
			taken := err == nil && p.link.adopt(c, m.Client.Request, m.Client.Moved)
			p.mailbox.Put(message{Number: m.Number, Took: taken})
		case m.Number > 0:
			p.resolve(m.Number, m.Took)
		}
	}
}

// request sends what the other process is to take, and reports whether it did by the
// deadline.
func (p *peer) request(m message, by time.Time) bool {
	taken := make(chan bool, 1)
	p.mu.Lock()
	p.lastNumber++
	m.Number = p.lastNumber
	p.pending[m.Number] = taken
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, m.Number)
		p.mu.Unlock()
	}()
	p.mailbox.Put(m)
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case ok := <-taken:
		return ok
	case <-timer.C:
	case <-p.done:
	}
	return false
}

func (p *peer) resolve(n uint64, taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to := p.pending[n]; to != nil {
		to <- taken
		delete(p.pending, n) // once
	}
}
