package console

import (
	"container/list"
	"net"
	"sync"
)

// callerListener accepts every caller at once and bounds their number: past
// maxCallers it closes the connection of the one that came first. A call is answered
// in milliseconds, so the first of many is one that connected and sent nothing.
type callerListener struct {
	net.Listener
	mu   sync.Mutex
	open list.List // of *caller, in the order of their coming
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &caller{Conn: c, listener: l}
	var oldest *caller
	l.mu.Lock()
	accepted.element = l.open.PushBack(accepted)
	if l.open.Len() > maxCallers {
		oldest = l.open.Front().Value.(*caller)
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return accepted, nil
}

// caller is a connection of the console. It gives its place back when it is closed.
type caller struct {
	net.Conn
	listener *callerListener
	element  *list.Element
	once     sync.Once
}

// Close implements net.Conn.
func (c *caller) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open.Remove(c.element)
	})
	return c.Conn.Close()
}
