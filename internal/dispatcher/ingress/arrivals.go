package ingress

import (
	"slices"
	"sync"
)

// arrivals wakes pending report deliveries when this process's core adopts their job from
// another process. The zero value is ready to use.
type arrivals struct {
	mu          sync.Mutex
	subscribers map[string][]chan struct{} // by job ID
}

// subscribe returns a channel that is closed when the core adopts the job with this ID. The
// caller must call unsubscribe when it is done.
func (a *arrivals) subscribe(id string) (arrived <-chan struct{}, unsubscribe func()) {
	channel := make(chan struct{})
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.subscribers == nil {
		a.subscribers = map[string][]chan struct{}{}
	}
	a.subscribers[id] = append(a.subscribers[id], channel)
	return channel, func() { a.unsubscribe(id, channel) }
}

// unsubscribe removes a channel. It does nothing if notify has already closed the channel.
func (a *arrivals) unsubscribe(id string, channel chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	remaining := slices.DeleteFunc(a.subscribers[id], func(c chan struct{}) bool { return c == channel })
	if len(remaining) == 0 {
		delete(a.subscribers, id)
		return
	}
	a.subscribers[id] = remaining
}

// notify closes the channels of all subscribers to a job. It is called after the core has
// adopted the job.
func (a *arrivals) notify(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, channel := range a.subscribers[id] {
		close(channel)
	}
	delete(a.subscribers, id)
}
