// Package protocoltest supports fuzz tests of the handling of messages from other processes. Only
// tests use it; it keeps no state.
package protocoltest

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// Fuzz runs a fuzz test that calls handle with each input that decodes as an Envelope. The encoded
// seeds are its seed corpus. handle must fail the test if the code under test mishandles the
// message.
func Fuzz(f *testing.F, seeds []*protocol.Envelope, handle func(t *testing.T, e *protocol.Envelope)) {
	f.Helper()
	for _, e := range seeds {
		data, err := proto.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var e protocol.Envelope
		if proto.Unmarshal(data, &e) == nil {
			handle(t, &e)
		}
	})
}
