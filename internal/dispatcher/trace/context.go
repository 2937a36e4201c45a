// Package trace holds the record of a request, from its arrival over each attempt to its one final response, and decides
// which records are kept, which are dropped first when a queue is full, and which request a client's retry repeats. The
// ingress, the core and the Gearman server write records; package export keeps and sends them.
//
// It does no I/O and reads no clock, except that ids are random. Its types are not safe for concurrent use: a record has
// one owner at a time.
package trace

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
)

// ID identifies a trace, and SpanID a span of it. Their zero values identify none. Source: W3C Trace Context, level 1.
type (
	ID     [16]byte
	SpanID [8]byte
)

// NewID returns a random id that is not zero.
func NewID() (id ID) {
	for id == (ID{}) {
		binary.BigEndian.PutUint64(id[:8], rand.Uint64())
		binary.BigEndian.PutUint64(id[8:], rand.Uint64())
	}
	return id
}

// NewSpanID returns a random id that is not zero.
func NewSpanID() (id SpanID) {
	for id == (SpanID{}) {
		binary.BigEndian.PutUint64(id[:], rand.Uint64())
	}
	return id
}

// String returns the id as lower-case hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// String returns the id as lower-case hexadecimal digits.
func (id SpanID) String() string { return hex.EncodeToString(id[:]) }

// MarshalText returns the id as lower-case hexadecimal digits.
func (id ID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// MarshalText returns the id as lower-case hexadecimal digits.
func (id SpanID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText reads what MarshalText returns.
func (id *ID) UnmarshalText(text []byte) error { return digits(id[:], string(text)) }

// UnmarshalText reads what MarshalText returns.
func (id *SpanID) UnmarshalText(text []byte) error { return digits(id[:], string(text)) }

var errInvalidDigits = errors.New("not lower-case hexadecimal digits of the right number")

// digits reads hexadecimal digits into to. The header's specification allows no upper-case ones.
func digits(to []byte, text string) error {
	if len(text) != 2*len(to) || strings.ContainsAny(text, "ABCDEF") {
		return fmt.Errorf("%q: %w", text, errInvalidDigits)
	}
	if _, err := hex.Decode(to, []byte(text)); err != nil {
		return fmt.Errorf("%q: %w", text, errInvalidDigits)
	}
	return nil
}

// Context is the trace context that a request carries.
type Context struct {
	Trace   ID     `json:"trace"`
	Span    SpanID `json:"span"`
	State   string `json:"state,omitempty"` // tracestate, passed on unchanged
	Sampled bool   `json:"sampled,omitempty"`
}

// maxState is the longest tracestate, in bytes, that is passed on. The recommendation asks for at least 512 and allows a
// longer one to be dropped.
const maxState = 512

// ParseParent reads the headers traceparent and tracestate and reports whether they name a trace. If they don't, a new
// trace begins and the state must not be used. Versions after 00 are read as far as version 00 is defined. Source: W3C
// Trace Context, level 1, 3.2 and 3.3.
func ParseParent(parent, state string) (c Context, ok bool) {
	const length = 2 + 1 + 32 + 1 + 16 + 1 + 2
	if len(parent) < length || parent[2] != '-' || parent[35] != '-' || parent[52] != '-' {
		return Context{}, false
	}
	var version, flags [1]byte
	err := errors.Join(digits(version[:], parent[:2]), digits(c.Trace[:], parent[3:35]),
		digits(c.Span[:], parent[36:52]), digits(flags[:], parent[53:55]))
	more := parent[length:]
	switch {
	case err != nil, version[0] == 0xff, c.Trace == (ID{}), c.Span == (SpanID{}):
		return Context{}, false
	case version[0] == 0 && more != "", more != "" && more[0] != '-':
		return Context{}, false
	}
	c.Sampled = flags[0]&1 == 1
	if len(state) <= maxState {
		c.State = state
	}
	return c, true
}

// Parent returns the traceparent header of a request that belongs to the span.
func (c Context) Parent() string {
	flags := "00"
	if c.Sampled {
		flags = "01"
	}
	return "00-" + c.Trace.String() + "-" + c.Span.String() + "-" + flags
}
