// Package mailbox holds the messages of an actor: any goroutine puts a message, and the actor's goroutine takes all of
// them at once. All actors of the dispatcher have one.
//
// Put never blocks, so that actors that send to each other can't deadlock. A mailbox has no bound of its own: each message
// comes from a socket, whose number is bounded.
package mailbox

import "sync"

// Box holds the messages of one actor in the order in which they were put. Put may be called from any goroutine; Drain is
// for the actor's.
type Box[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New returns an empty box.
func New[T any]() *Box[T] { return &Box[T]{ready: make(chan struct{}, 1)} }

// Put adds a message. It never blocks.
func (b *Box[T]) Put(message T) {
	b.mu.Lock()
	b.items = append(b.items, message)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default: // the actor has been signalled already
	}
}

// Ready returns a channel that receives a value when there may be messages to take.
func (b *Box[T]) Ready() <-chan struct{} { return b.ready }

// Drain appends all messages to into, empties the box and returns the result.
func (b *Box[T]) Drain(into []T) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.items...)
	clear(b.items) // releases what the messages refer to
	b.items = b.items[:0]
	return into
}
