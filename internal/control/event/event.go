// Package event defines the log events of the control plane's pure state machines. A state machine returns its events
// with its other output; the server that runs it writes each event as one structured log line. Messages are constants,
// so that operators can search for them; variable data goes into the keys and values.
//
// Events are plain values. They are safe to pass between goroutines as long as their values are not modified.
package event

import (
	"fmt"
	"strings"
)

// Event is one log line at info level.
type Event struct {
	Message       string // a constant, capitalised, without a full stop
	KeysAndValues []any  // alternating camel-case string keys and their values
}

// New returns an event. keysAndValues alternates keys and values, in the convention of klog.InfoS.
func New(message string, keysAndValues ...any) Event {
	return Event{Message: message, KeysAndValues: keysAndValues}
}

// String returns the event as one line of text, for tests and simulation traces.
func (e Event) String() string {
	var text strings.Builder
	text.WriteString(e.Message)
	for i := 0; i+1 < len(e.KeysAndValues); i += 2 {
		fmt.Fprintf(&text, " %v=%v", e.KeysAndValues[i], e.KeysAndValues[i+1])
	}
	return text.String()
}

// Value returns the value of a key, or nil if the event does not have the key.
func (e Event) Value(key string) any {
	for i := 0; i+1 < len(e.KeysAndValues); i += 2 {
		if e.KeysAndValues[i] == key {
			return e.KeysAndValues[i+1]
		}
	}
	return nil
}
