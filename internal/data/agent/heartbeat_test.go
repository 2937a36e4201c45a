package agent

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

const sampleHeartbeat = `{"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":8,"State":"draining","RemainingMs":1500,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":2},` +
	`"Labels":["a","r1-3"],"Sequence":4,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41]],"Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]],"New":{"x":1}}`

func TestParseHeartbeat(t *testing.T) {
	b, err := parseHeartbeat("i1", []byte(sampleHeartbeat))
	require.NoError(t, err)
	require.EqualValues(t, 4, b.Sequence)
	require.True(t, b.Account.GetDraining())
	require.EqualValues(t, 1500, b.Account.GetRemainingMs())
	require.EqualValues(t, 2, b.Account.GetCapacity().GetGpus())
	require.Equal(t, []string{"a", "r1-3"}, b.Account.GetLabels())
	require.Equal(t, "00000bb8", b.Running[0].GetSaved())
	require.EqualValues(t, 41, b.Running[0].GetPercent())
	require.EqualValues(t, 58, b.Finished[0].GetNumber())
}

func TestParseHeartbeatErrors(t *testing.T) {
	tests := []struct{ name, body string }{
		{"empty body", ``},
		{"body cut short", `{`},
		{"list as body", `[]`},
		{"number as running run", `{"Running":[1]}`},
		{"end without a task", `{"Finished":[[1]]}`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := parseHeartbeat("i1", []byte(test.body))
			require.True(t, errors.Is(err, ErrHeartbeat), "%v", err)
		})
	}
}

func TestEncodeHeartbeatResponse(t *testing.T) {
	tests := []struct {
		name     string
		response HeartbeatResponse
		want     map[string]any
	}{
		{"nothing to do", HeartbeatResponse{}, map[string]any{"LastSeen": 0.0, "FenceToken": 0.0, "RetryMs": 0.0}},
		{
			"starts and stops",
			HeartbeatResponse{
				RunLease:          4 * time.Second,
				Acknowledged:      58,
				FencingToken:      7,
				HeartbeatInterval: 50 * time.Millisecond,
				Start:             []*protocol.RunOrder{{Task: "t.0.1.18", Run: 1, Spec: "a \"text\"\n"}, {Task: "u", Run: 2, Saved: "s"}},
				Stop:              []*protocol.RunRef{{Task: "t.0.1.17", Run: 2}},
			},
			map[string]any{
				"HoldMs":     4000.0,
				"LastSeen":   58.0,
				"FenceToken": 7.0,
				"RetryMs":    50.0,
				"Start":      []any{[]any{"t.0.1.18", 1.0, "a \"text\"\n", ""}, []any{"u", 2.0, "", "s"}},
				"Stop":       []any{[]any{"t.0.1.17", 2.0}},
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got map[string]any
			require.NoError(t, json.Unmarshal(test.response.encode(), &got))
			require.Equal(t, test.want, got)
		})
	}
}

// FuzzParseHeartbeat checks that no body makes the parser panic, and that each parsed heartbeat has
// an account.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(sampleHeartbeat))
	f.Add([]byte(`{"Running":[[]],"Finished":[["x",1,2,3]]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := parseHeartbeat("i1", body)
		if err == nil && b.Account == nil {
			t.Fatal("got a heartbeat without an account")
		}
	})
}
