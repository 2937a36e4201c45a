package console

import (
	"container/list"
	"net"
	"sync"
)

// boundedListener accepts every connection immediately and bounds their number: beyond
// maxConnections it closes the oldest one. Requests are answered in milliseconds, so the oldest of
// many connections is one whose client has connected and sent nothing.
type boundedListener struct {
	net.Listener
	mu   sync.Mutex
	open list.List // of *connection, in the order of acceptance
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &connection{Conn: c, listener: l}
	var oldest *connection
	l.mu.Lock()
	accepted.element = l.open.PushBack(accepted)
	if l.open.Len() > maxConnections {
		oldest = l.open.Front().Value.(*connection)
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return accepted, nil
}

// connection removes itself from the open connections of its listener when it is closed.
type connection struct {
	net.Conn
	listener *boundedListener
	element  *list.Element
	once     sync.Once
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open.Remove(c.element)
	})
	return c.Conn.Close()
}
