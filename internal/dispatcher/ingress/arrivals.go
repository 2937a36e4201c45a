package ingress

import (
	"slices"
	"sync"
)

// arrivals notifies reports when the core gets the job that they are on from another
// process.
type arrivals struct {
	mu      sync.Mutex
	waiting map[string][]chan struct{} // by the job's ID
}

// subscribe returns a channel that is closed once the core has got a job. The caller
// has to unsubscribe.
func (a *arrivals) subscribe(id string) (arrived <-chan struct{}, unsubscribe func()) {
	channel := make(chan struct{})
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting == nil {
		a.waiting = map[string][]chan struct{}{}
	}
	a.waiting[id] = append(a.waiting[id], channel)
	return channel, func() { a.unsubscribe(id, channel) }
}

// unsubscribe drops a channel, unless it was closed.
func (a *arrivals) unsubscribe(id string, channel chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	others := slices.DeleteFunc(a.waiting[id], func(c chan struct{}) bool { return c == channel })
	if len(others) == 0 {
		delete(a.waiting, id)
		return
	}
	a.waiting[id] = others
}

// notify notifies the reports on a job that the core has it.
func (a *arrivals) notify(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, channel := range a.waiting[id] {
		close(channel)
	}
	delete(a.waiting, id)
}
