package wire

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"
	"time"

	"frosttide/decision"
)

// TestEncodeDocumentedActions compares encoded actions to the examples of the protocol's
// documentation.
func TestEncodeDocumentedActions(t *testing.T) {
	const id, worker = 0x5d3a91c4, 0x03124a07
	us := func(n int) time.Duration { return time.Duration(n) * time.Microsecond }
	tests := map[string]struct {
		action decision.Action
		want   string
	}{
		"send": {decision.Action{Type: decision.Send, Request: id, Worker: worker, After: us(0x13880)},
			"0001 0300 c4913a5d 80380100 074a1203"},
		"cancel": {decision.Action{Type: decision.Cancel, Request: id}, "0901 0300 c4913a5d 0000"},
		"reject": {decision.Action{Type: decision.Reject, Request: 0x0e6f2b19, After: us(250000)},
			"0301 0300 192b6f0e 90d00300"},
		"fail": {decision.Action{Type: decision.Fail, Request: 0x0e6f2b19}, "0501 0300 192b6f0e"},
		"timer": {decision.Action{Type: decision.SetTimer, At: us(0x87fd7a), Token: 77},
			"0801 0300 7afd870000000000 4d000000"},
		"probe":     {decision.Action{Type: decision.Probe, Worker: 0x2c9011f2}, "0a01 0300 f211902c"},
		"subscribe": {decision.Action{Type: decision.Subscribe}, "0b01 0300 01"},
		"fetch":     {decision.Action{Type: decision.Fetch}, "0601 0300"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var r Reply
			r.Begin(12)
			if err := r.Action(3, &tt.action); err != nil {
				t.Fatal(err)
			}
			body := strings.ReplaceAll(tt.want, " ", "")
			want := fmt.Sprintf("%02x0000000c000000%s", replyHeaderSize+len(body)/2, body)
			if got := hex.EncodeToString(r.Bytes()); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
	var r Reply
	r.Begin(12)
	if err := r.Action(3, &decision.Action{}); err == nil {
		t.Error("got no error for an action without a type")
	}
	r.Begin(12)
	r.Fault(3, "index out of range")
	if want := "200000000c000000 0701 0300 1200 696e646578206f7574206f662072616e6765"; hex.EncodeToString(r.Bytes()) !=
		strings.ReplaceAll(want, " ", "") {
		t.Errorf("fault: got %x, want %s", r.Bytes(), want)
	}
}
