package otlp

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Message is a gRPC message that is written already, or not read yet.
type Message struct{ Bytes []byte }

// Codec lets connect carry Messages. Those of the library's own, as the status of a
// failed call, it writes and reads itself.
type Codec struct{}

// Name is that of the encoding on the wire.
func (Codec) Name() string { return "proto" }

// Marshal writes a message into bytes of its own. Guards a message that is sent again: the
// RPC library owns what it is given here and writes the next message over it once this one
// is sent.
func (Codec) Marshal(m any) ([]byte, error) {
	switch m := m.(type) {
	case *Message:
		return bytes.Clone(m.Bytes), nil
	case proto.Message:
		return proto.Marshal(m)
	}
	return nil, fmt.Errorf("%T is no message", m)
}

// Unmarshal reads a message; it keeps nothing of the text.
func (Codec) Unmarshal(text []byte, m any) error {
	switch m := m.(type) {
	case *Message:
		m.Bytes = bytes.Clone(text)
		return nil
	case proto.Message:
		return proto.Unmarshal(text, m)
	}
	return fmt.Errorf("%T is no message", m)
}
