// Package mailbox implements the queue through which an actor receives messages: any goroutine may
// add a message, and the actor's goroutine takes all queued messages at once. Every actor of the
// dispatcher and the event loop of package process use one.
//
// Put never blocks, so that actors that send to each other cannot deadlock. A mailbox has no size
// limit of its own: each message originates from a socket, and the number of sockets is limited.
package mailbox

import "sync"

// Box is the message queue of one actor, first in, first out. Put may be called from any goroutine;
// Ready and Drain are for the actor's goroutine.
type Box[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New returns an empty Box.
func New[T any]() *Box[T] { return &Box[T]{ready: make(chan struct{}, 1)} }

// Put appends a message and signals the actor. It never blocks.
func (b *Box[T]) Put(message T) {
	b.mu.Lock()
	b.items = append(b.items, message)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default: // the actor has been signaled already
	}
}

// Ready returns the channel that receives a value when there may be messages to drain.
func (b *Box[T]) Ready() <-chan struct{} { return b.ready }

// Drain appends all queued messages to into, empties the queue and returns the extended slice.
func (b *Box[T]) Drain(into []T) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.items...)
	clear(b.items) // lets the garbage collector free the messages
	b.items = b.items[:0]
	return into
}
