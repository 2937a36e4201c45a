// Package mailbox is the inbox of an actor: any goroutine puts, the one actor
// takes everything out at once. Putting never blocks, so no ring of actors that
// write to each other can lock up; what bounds the contents is the budget of
// sockets, as every message stems from one.
package mailbox

import "sync"

// Box holds the messages of one actor in the order in which they came.
type Box[T any] struct {
	mu    sync.Mutex
	items []T
	ready chan struct{}
}

// New makes an empty box.
func New[T any]() *Box[T] { return &Box[T]{ready: make(chan struct{}, 1)} }

// Put adds a message. It never blocks.
func (b *Box[T]) Put(message T) {
	b.mu.Lock()
	b.items = append(b.items, message)
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default: // the actor has been told already
	}
}

// Ready yields when there may be something to take.
func (b *Box[T]) Ready() <-chan struct{} { return b.ready }

// Drain appends all messages to into, empties the box and returns into.
func (b *Box[T]) Drain(into []T) []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	into = append(into, b.items...)
	clear(b.items) // lets go of what the messages hold
	b.items = b.items[:0]
	return into
}
