// Package protocoltest helps to fuzz how processes handle each other's messages. Only tests use it; it keeps no state.
package protocoltest

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// Fuzz calls handle with each input that can be decoded, beginning with some well-formed seeds. handle fails the test where
// a process does not withstand the message.
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
