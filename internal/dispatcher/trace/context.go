// Package trace holds the record of a request, from its arrival through each attempt to its final
// response. It decides which records are kept, which are dropped first when a queue is full, and
// which earlier request a client's retry repeats. The ingress, the core and the Gearman server
// write records; package export samples and sends them.
//
// Apart from random ids, the package does no I/O and reads no clock. Its types are not safe for
// concurrent use: a record has one owner at a time.
package trace

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
)

// ID identifies a trace, and SpanID a span within it. The zero value means that there is none.
// Source: W3C Trace Context, level 1.
type (
	ID     [16]byte
	SpanID [8]byte
)

// NewID returns a random non-zero trace id.
func NewID() (id ID) {
	for id == (ID{}) {
		binary.BigEndian.PutUint64(id[:8], rand.Uint64())
		binary.BigEndian.PutUint64(id[8:], rand.Uint64())
	}
	return id
}

// NewSpanID returns a random non-zero span id.
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

// UnmarshalText parses the form that MarshalText returns.
func (id *ID) UnmarshalText(text []byte) error { return parseHex(id[:], string(text)) }

// UnmarshalText parses the form that MarshalText returns.
func (id *SpanID) UnmarshalText(text []byte) error { return parseHex(id[:], string(text)) }

// errInvalidHex is wrapped by the errors of parseHex.
var errInvalidHex = errors.New("not lower-case hexadecimal digits of the right number")

// parseHex decodes hexadecimal digits into dst. Upper-case digits are rejected, as the traceparent
// header does not allow them.
func parseHex(dst []byte, text string) error {
	if len(text) != 2*len(dst) || strings.ContainsAny(text, "ABCDEF") {
		return fmt.Errorf("%q: %w", text, errInvalidHex)
	}
	if _, err := hex.Decode(dst, []byte(text)); err != nil {
		return fmt.Errorf("%q: %w", text, errInvalidHex)
	}
	return nil
}

// Context is the trace context that a request carries in its headers.
type Context struct {
	Trace   ID     `json:"trace"`
	Span    SpanID `json:"span"`
	State   string `json:"state,omitempty"` // the tracestate header, forwarded unchanged
	Sampled bool   `json:"sampled,omitempty"`
}

// maxState is the maximum length in bytes of a tracestate that is forwarded. The recommendation
// asks for at least 512 and allows longer ones to be dropped.
const maxState = 512

// ParseParent parses the traceparent and tracestate headers and reports whether they identify a
// trace. If they don't, a new trace begins and the state must be ignored. A state that is too long or
// has characters that it must not have is dropped. Versions after 00 are
// parsed as far as version 00 defines the format. Source: W3C Trace Context, level 1, 3.2 and 3.3.
func ParseParent(parent, state string) (c Context, ok bool) {
	const length = 2 + 1 + 32 + 1 + 16 + 1 + 2
	if len(parent) < length || parent[2] != '-' || parent[35] != '-' || parent[52] != '-' {
		return Context{}, false
	}
	var version, flags [1]byte
	err := errors.Join(parseHex(version[:], parent[:2]), parseHex(c.Trace[:], parent[3:35]),
		parseHex(c.Span[:], parent[36:52]), parseHex(flags[:], parent[53:55]))
	suffix := parent[length:]
	switch {
	case err != nil, version[0] == 0xff, c.Trace == (ID{}), c.Span == (SpanID{}):
		return Context{}, false
	case version[0] == 0 && suffix != "", suffix != "" && suffix[0] != '-':
		return Context{}, false
	}
	c.Sampled = flags[0]&1 == 1
	if len(state) <= maxState && isPrintableASCII(state) {
		c.State = state
	}
	return c, true
}

// isPrintableASCII reports whether a tracestate has only characters that its members and the white
// space between them may have. Source: W3C Trace Context, level 1, 3.3.1.
func isPrintableASCII(state string) bool {
	return !strings.ContainsFunc(state, func(c rune) bool { return c != '\t' && (c < ' ' || c > '~') })
}

// Parent returns the traceparent header for a request made within the span.
func (c Context) Parent() string {
	flags := "00"
	if c.Sampled {
		flags = "01"
	}
	return "00-" + c.Trace.String() + "-" + c.Span.String() + "-" + flags
}
