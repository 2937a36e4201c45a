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
	link   *Link
	conn   *net.UnixConn
	in     *rights
	lines  *bufio.Scanner
	box    *mailbox.Box[message] // what is to be written
	serves atomic.Bool           // it has said that it serves
	over   chan struct{}         // closed at the link's end
	once   sync.Once

	mu     sync.Mutex
	number uint64
	asked  map[uint64]chan bool // what has been asked and not answered
}

// end is the one place where a link ends and its connection is given back.
func (p *peer) end() {
	p.once.Do(func() {
		close(p.over)
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
			l.overlap(1)
		}
	})
}

// write puts what is in the mailbox on the connection, and a beat from time to time.
func (p *peer) write() {
	defer p.end()
	tick := time.NewTicker(beat)
	defer tick.Stop()
	var mail []message
	for {
		select {
		case <-p.over:
			return
		case <-p.box.Ready():
			mail = p.box.Drain(mail[:0])
		case <-tick.C:
			mail = append(mail[:0], message{})
		}
		_ = p.conn.SetWriteDeadline(time.Now().Add(hush))
		for _, m := range mail {
			if err := p.put(m); err != nil {
				p.link.log.WithError(err).Debug("link ends")
				return
			}
		}
	}
}

// put writes a message, with its connection if there is one.
func (p *peer) put(m message) error {
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

// next reads a message until the deadline.
func (p *peer) next(by time.Time) (m message, err error) {
	_ = p.conn.SetReadDeadline(by)
	if !p.lines.Scan() {
		if err = p.lines.Err(); err == nil {
			err = io.EOF
		}
		return m, fmt.Errorf("reading the link: %w", err)
	}
	if err = json.Unmarshal(p.lines.Bytes(), &m); err != nil {
		return m, fmt.Errorf("reading the link: %w", err)
	}
	return m, nil
}

// state waits for the state, the first thing that counts on a link.
func (p *peer) state(by time.Time) (*State, error) {
	for {
		m, err := p.next(by)
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

// read heeds what the other process says until it falls silent.
func (p *peer) read() {
	defer p.in.close()
	defer p.end()
	for {
		m, err := p.next(time.Now().Add(hush))
		if err != nil {
			p.link.log.WithError(err).Debug("link ends")
			return
		}
		switch {
		case m.Ready:
			p.serves.Store(true)
			p.box.Put(message{Number: m.Number, Took: true})
		case m.Exclusion != nil:
			p.link.core.Heed(*m.Exclusion)
		case m.Event != nil:
			p.link.core.Report(*m.Event, func(took bool) { p.box.Put(message{Number: m.Number, Took: took}) })
		case m.Client != nil:
			c, err := p.in.next()
			took := err == nil && p.link.adopt(c, m.Client.Request, m.Client.Moved)
			p.box.Put(message{Number: m.Number, Took: took})
		case m.Number > 0:
			p.answered(m.Number, m.Took)
		}
	}
}

// ask sends what the other process is to take, and reports whether it did by the
// deadline.
func (p *peer) ask(m message, by time.Time) bool {
	took := make(chan bool, 1)
	p.mu.Lock()
	p.number++
	m.Number = p.number
	p.asked[m.Number] = took
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.asked, m.Number)
		p.mu.Unlock()
	}()
	p.box.Put(m)
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	select {
	case ok := <-took:
		return ok
	case <-late.C:
	case <-p.over:
	}
	return false
}

func (p *peer) answered(n uint64, took bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to := p.asked[n]; to != nil {
		to <- took
		delete(p.asked, n) // once
	}
}
