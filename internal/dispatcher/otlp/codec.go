package otlp

import (
	"bytes"
	"fmt"

	"google.golang.org/protobuf/proto"
)

// Message is a gRPC message that is already encoded.
type Message struct{ Bytes []byte }

// Codec is a codec for the connect library. It passes a Message through unchanged, and encodes and
// decodes the library's own protobuf messages, such as the status of a failed call.
type Codec struct{}

// Name returns the name of the encoding in the gRPC content type.
func (Codec) Name() string { return "proto" }

// Marshal returns the encoded message in a new buffer. The library owns that buffer and reuses it
// for the next message, while the Message may be sent again.
func (Codec) Marshal(m any) ([]byte, error) {
	switch m := m.(type) {
	case *Message:
		return bytes.Clone(m.Bytes), nil
	case proto.Message:
		return proto.Marshal(m)
	}
	return nil, fmt.Errorf("%T is not a protobuf message", m)
}

// Unmarshal decodes a message without retaining the encoded bytes.
func (Codec) Unmarshal(data []byte, m any) error {
	switch m := m.(type) {
	case *Message:
		m.Bytes = bytes.Clone(data)
		return nil
	case proto.Message:
		return proto.Unmarshal(data, m)
	}
	return fmt.Errorf("%T is not a protobuf message", m)
}
