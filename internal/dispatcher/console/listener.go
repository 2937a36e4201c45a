package console

import (
	"container/list"
	"net"
	"sync"
)

// callerListener is the console's listener. It takes every caller at once and bounds their
// number: past it the one that came first gives up its place. Guards against callers
// that connect and say nothing: a call is answered in milliseconds, so the first of
// many is one of those.
type callerListener struct {
	net.Listener
	mu   sync.Mutex
	open list.List // of *caller, the first first
}

func (d *callerListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &caller{Conn: c, listener: d}
	var oldest *caller
	d.mu.Lock()
	accepted.element = d.open.PushBack(accepted)
	if d.open.Len() > maxCallers {
		oldest = d.open.Front().Value.(*caller)
	}
	d.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return accepted, nil
}

// caller is a connection of the console. Its place is given back when it is closed.
type caller struct {
	net.Conn
	listener *callerListener
	element  *list.Element
	once     sync.Once
}

func (c *caller) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open.Remove(c.element)
	})
	return c.Conn.Close()
}
