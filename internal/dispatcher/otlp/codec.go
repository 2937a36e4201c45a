package otlp

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Message is a gRPC message in its encoded form.
type Message struct{ Bytes []byte }

// Codec is a codec of the connect library that passes a Message through as it is, and encodes and decodes the library's
// own messages, as the status of a failed call.
type Codec struct{}

// Name returns the encoding's name on the wire.
func (Codec) Name() string { return "proto" }

// Marshal returns a message in a buffer of its own. The library owns that buffer and overwrites it with the next message,
// while the Message may be sent again.
func (Codec) Marshal(m any) ([]byte, error) {
	switch m := m.(type) {
	case *Message:
		return bytes.Clone(m.Bytes), nil
	case proto.Message:
		return proto.Marshal(m)
	}
	return nil, fmt.Errorf("%T is no message", m)
}

// Unmarshal decodes a message and keeps no reference to the text.
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
