package agent

import (
	"encoding/json"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

const sampleHeartbeat = `{"Service":"s","Address":"10.0.0.9:8080","Zone":"z","Version":"v1","Slots":8,"State":"draining","RemainingMs":1500,"Capacity":{"Cpu":16000,"MemMb":32768,"Gpus":2},` +
	`"Labels":["a","r1-3"],"Sequence":4,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb8",41]],"Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]],"New":{"x":1}}`

func TestParseHeartbeat(t *testing.T) {
	b, err := ParseHeartbeat("i1", []byte(sampleHeartbeat))
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
			_, err := ParseHeartbeat("i1", []byte(test.body))
			require.True(t, errors.Is(err, ErrHeartbeat), "%v", err)
		})
	}
}

// TestHeartbeatNamesText guards against a heartbeat whose texts can't be sent on to the head, so that
// the reports of the agent end and the runner is taken for lost.
func TestHeartbeatNamesText(t *testing.T) {
	const bad = "repetici\xf3n"
	tests := []struct{ name, body, want string }{
		{"service", `{"Service":"` + bad + `"}`, "/Service: the text is not Unicode"},
		{"label", `{"Labels":["a","` + bad + `"]}`, "/Labels/1: the text is not Unicode"},
		{"checkpoint of a run", `{"Running":[["t",1,"` + bad + `",0]]}`, "/Running/0/2: the text is not Unicode"},
		{"checkpoint of an end", `{"Finished":[[1,"t",1,"done","` + bad + `"]]}`, "/Finished/0/4: the text is not Unicode"},
		{"surrogate without its other half", `{"Finished":[[1,"t",1,"done","\udcf3"]]}`, "/Finished/0/4"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseHeartbeat("i1", []byte(test.body))
			require.True(t, errors.Is(err, ErrHeartbeat), "%v", err)
			require.ErrorContains(t, err, test.want)
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
			require.NoError(t, json.Unmarshal(test.response.Encode(), &got))
			require.Equal(t, test.want, got)
		})
	}
}

// decodedResponse is a response as a runner reads it. Its decoder is independent of the encoder.
type decodedResponse struct{ Start, Stop [][]any }

// decodeResponse decodes an encoded response.
func decodeResponse(t *testing.T, body []byte) decodedResponse {
	t.Helper()
	var decoded decodedResponse
	require.NoError(t, json.Unmarshal(body, &decoded), "%s", body)
	return decoded
}

// TestRunnerReadsEachText guards against a response that the runner can't read, so that a job whose
// Spec or checkpoint holds such a text never runs and neither do the other runs of its runner.
func TestRunnerReadsEachText(t *testing.T) {
	for _, text := range []string{
		"title=\"\U0001f3f4\U000e0067\U000e0062\U000e0065\U000e006e\U000e0067\U000e007f\"", // the flag of England
		"a bell \a, a tab \t, an escape \x1b and a delete \x7f",
		"C:\\frames\\\U000e0001",
	} {
		response := HeartbeatResponse{
			Start: []*protocol.RunOrder{{Task: "first.0.0.0", Run: 1, Spec: text, Saved: text}, {Task: "second.0.0.0", Run: 1, Spec: "plain"}},
			Stop:  []*protocol.RunRef{{Task: text, Run: 3}},
		}
		decoded := decodeResponse(t, response.Encode())
		require.Equal(t, [][]any{{"first.0.0.0", 1.0, text, text}, {"second.0.0.0", 1.0, "plain", ""}}, decoded.Start)
		require.Equal(t, [][]any{{text, 3.0}}, decoded.Stop)
	}
}

// FuzzEncodeHeartbeatResponse checks that a runner reads back each text of a response unchanged.
func FuzzEncodeHeartbeatResponse(f *testing.F) {
	f.Add("5c0e7a21d94b36f8.0.1.17", "\"\U000e0067\"", "")
	f.Add("t", "\a\x7f\\", "\u2028\"")
	f.Fuzz(func(t *testing.T, task, spec, saved string) {
		if !utf8.ValidString(task) || !utf8.ValidString(spec) || !utf8.ValidString(saved) {
			return // texts of protocol messages are valid UTF-8
		}
		response := HeartbeatResponse{Start: []*protocol.RunOrder{{Task: task, Run: 1, Spec: spec, Saved: saved}}, Stop: []*protocol.RunRef{{Task: task, Run: 2}}}
		decoded := decodeResponse(t, response.Encode())
		require.Equal(t, [][]any{{task, 1.0, spec, saved}}, decoded.Start)
		require.Equal(t, [][]any{{task, 2.0}}, decoded.Stop)
	})
}

// FuzzParseHeartbeat checks that no body makes the parser panic, and that each parsed heartbeat has
// an account and can be sent to the head.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(sampleHeartbeat))
	f.Add([]byte(`{"Running":[[]],"Finished":[["x",1,2,3]]}`))
	f.Add([]byte(`{"Labels":["repetici` + "\xf3" + `n"]}`))
	f.Add([]byte(`{"Running":[["t",1,"` + "\xf3" + `",0]],"Finished":[[1,"t",1,"done","` + "\xf3" + `"]]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		b, err := ParseHeartbeat("i1", body)
		if err != nil {
			return
		}
		if b.Account == nil {
			t.Fatal("got a heartbeat without an account")
		}
		_, err = proto.Marshal(&protocol.RunnerReport{Account: b.Account, Running: b.Running, Ends: b.Finished})
		require.NoError(t, err)
	})
}
