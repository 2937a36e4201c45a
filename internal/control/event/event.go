// Package event defines what the pure state machines of the control plane report for the log. A state machine returns
// its events with its other output; the server that runs it writes each as one structured line. The messages are
// constants, so that an operator can search for them; what varies stands in the keys and values.
//
// Events are plain values: they are safe to pass between goroutines once nobody changes their values any more.
package event

import (
	"fmt"
	"strings"
)

// Event is one line for the log, at the level of information.
type Event struct {
	Message       string // a constant, capitalised, without a full stop
	KeysAndValues []any  // alternately a key in camel case, as a string, and its value
}

// New returns an event with alternating keys and values, as klog.InfoS takes them.
func New(message string, keysAndValues ...any) Event {
	return Event{Message: message, KeysAndValues: keysAndValues}
}

// String returns the event as one line of text, for tests and traces of simulations.
func (e Event) String() string {
	var text strings.Builder
	text.WriteString(e.Message)
	for i := 0; i+1 < len(e.KeysAndValues); i += 2 {
		fmt.Fprintf(&text, " %v=%v", e.KeysAndValues[i], e.KeysAndValues[i+1])
	}
	return text.String()
}

// Value returns the value of a key, nil where the event has no such key.
func (e Event) Value(key string) any {
	for i := 0; i+1 < len(e.KeysAndValues); i += 2 {
		if e.KeysAndValues[i] == key {
			return e.KeysAndValues[i+1]
		}
	}
	return nil
}
