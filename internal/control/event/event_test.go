package event

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEvent(t *testing.T) {
	for _, tc := range []struct {
		name      string
		event     Event
		wantText  string
		wantValue any
	}{
		{name: "no keys", event: New("No longer the head"), wantText: "No longer the head"},
		{name: "keys", event: New("View agreed", "epoch", 3, "reason", "restart"), wantText: "View agreed epoch=3 reason=restart", wantValue: 3},
		{name: "key without a value", event: New("View agreed", "epoch"), wantText: "View agreed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.wantText, tc.event.String())
			require.Equal(t, tc.wantValue, tc.event.Value("epoch"))
		})
	}
}
