// Package protocoltest helps to fuzz what processes make of each other's messages.
package protocoltest

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// Fuzz has a process bear any message, beginning with some that are well formed. Bear is called with each input that
// can be decoded.
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
