package console

import (
	"container/list"
	"net"
	"sync"
)

// door is the console's listener. It takes every caller at once and bounds their
// number: past it the one that came first gives up its place. Guards against callers
// that connect and say nothing: a call is answered in milliseconds, so the first of
// many is one of those.
type door struct {
	net.Listener
	mu   sync.Mutex
	open list.List // of *caller, the first first
}

func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	x := &caller{Conn: c, door: d}
	var first *caller
	d.mu.Lock()
	x.place = d.open.PushBack(x)
	if d.open.Len() > places {
		first = d.open.Front().Value.(*caller)
	}
	d.mu.Unlock()
	if first != nil {
		first.Close()
	}
	return x, nil
}

// caller is a connection of the console. Its place is given back when it is closed.
type caller struct {
	net.Conn
	door  *door
	place *list.Element
	once  sync.Once
}

func (c *caller) Close() error {
	c.once.Do(func() {
		c.door.mu.Lock()
		defer c.door.mu.Unlock()
		c.door.open.Remove(c.place)
	})
	return c.Conn.Close()
}
