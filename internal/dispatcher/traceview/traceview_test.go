package traceview

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"frosttide/internal/dispatcher/otlp"
	"frosttide/internal/dispatcher/trace"
)

// sampleTime returns the time, since the Unix epoch, that is a number of milliseconds after the
// start of the sample traces.
func sampleTime(ms int) time.Duration {
	return time.Duration(time.Date(2026, 11, 29, 20, 45, 0, 0, time.UTC).UnixNano()) + time.Duration(ms)*time.Millisecond
}

// sampleFile returns a file with a request of each kind, lines that hold no spans, and an
// incomplete last line.
func sampleFile(t *testing.T) []byte {
	t.Helper()
	id := func(n byte) (t trace.ID, s trace.SpanID) { t[0], s[0] = n, n; return t, s }
	record := func(n byte, request, class string, value float64, received, elapsed int, result trace.Result, reason string, attempts ...trace.Attempt) *trace.Record {
		r := &trace.Record{Request: request, Class: class, Method: "POST", Value: value, Slots: 1, Received: sampleTime(received), Deadline: sampleTime(received + 5000),
			Ended: sampleTime(received + elapsed), Result: result, AnsweredBy: trace.ByModule, Reason: reason, Attempts: attempts}
		r.Trace, r.Span = id(n)
		return r
	}
	attempt := func(n byte, backend string, sent, elapsed int, kind trace.Kind, outcome string) trace.Attempt {
		_, span := id(n)
		return trace.Attempt{Span: span, Kind: kind, Backend: backend, Addr: "127.0.0.1:9", Zone: "sur", Sent: sampleTime(sent), Ended: sampleTime(sent + elapsed), Outcome: outcome}
	}
	first := attempt(11, "s-1", 1, 40, trace.First, "errored")
	first.MayHaveRun, first.WarmingUp = true, true
	second := attempt(12, "s-2", 20, 80, trace.Hedge, "served")
	second.Events = []trace.Event{{At: sampleTime(30), Name: "started"}, {At: sampleTime(60), Name: "running", Progress: 0.5}}
	hedged := record(1, "c1", "cut", 1, 0, 100, trace.Served, "done", first, second)
	hedged.Backend, hedged.Links = "s-2", []trace.SpanReference{{Trace: trace.ID{9}, Span: trace.SpanID{9}}}
	overdue := record(2, "l1", "cut", 1, 1000, 900, trace.Served, "done", attempt(21, "s-1", 1001, 899, trace.First, "served"))
	overdue.Overdue, overdue.Backend = true, "s-1"
	records := []*trace.Record{hedged, overdue,
		record(3, "r1", "release", 5, 2000, 1, trace.Refused, "no_token"),
		record(4, "f1", "release", 5, 3000, 50, trace.Failed, "may_have_run", attempt(41, "s-1", 3001, 49, trace.First, "reset")),
		record(5, "u1", "", 0, 4000, 1, trace.Invalid, "malformed")}
	line, err := otlp.TracesPayload(otlp.Traces(map[string]string{"service.name": "f", "service.instance.id": "n1"}, records)).JSON()
	if err != nil {
		t.Fatal(err)
	}
	return append(append([]byte("{\"resourceMetrics\":[]}\n\nnot a line\n"), line...), "\n{\"resourceSpans\":[{\"cut"...)
}

// TestShow checks that a request is written as a tree and is found by its own id and by its
// trace's.
func TestShow(t *testing.T) {
	var out strings.Builder
	n, err := Show(&out, bytes.NewReader(sampleFile(t)), "c1")
	if err != nil || n != 1 {
		t.Fatal(n, err)
	}
	want := `trace 01000000000000000000000000000000
request c1 of cut at 2026-11-29T20:45:00Z by n1: served by module, done, after 100ms
  worth 1, 1 slots, time 5000ms, status 200
  after the try of trace 09000000000000000000000000000000, span 0900000000000000
  ├─ +1ms hop 1 (first) to s-1 127.0.0.1:9 in sur: errored after 40ms, may have run, cold
  └─ +20ms hop 2 (copy of hop 1) to s-2 127.0.0.1:9 in sur: served after 80ms
       +30ms started
       +60ms running 50%
lines that could not be read: 2
`
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
	if n, _ := Show(io.Discard, bytes.NewReader(sampleFile(t)), "04000000000000000000000000000000"); n != 1 {
		t.Errorf("found %d requests by the trace id, want 1", n)
	}
}

// TestSummary checks the tables of a summary by each kind of group and within time bounds.
func TestSummary(t *testing.T) {
	for _, tc := range []struct {
		name  string
		query Query
		want  []string // lines, with runs of spaces collapsed
	}{
		{"all", Query{GroupBy: "class", MaxWorst: 2}, []string{
			"5 requests from 2026-11-29T20:45:00Z to 2026-11-29T20:45:04Z: 8.3% of their worth served in time",
			"class requests served late refused failed expired gone unusable worth lost p50 p99",
			"(none) 1 0 0 0 0 0 0 1 0 1ms 1ms", "cut 2 2 1 0 0 0 0 0 1 100ms 900ms", "release 2 0 0 1 1 0 0 0 10 1ms 50ms",
			"lost to requests worth lost", "failed: may_have_run 1 5", "refused: no_token 1 5", "served: late 1 1",
			"target hops errored rejected timed_out unconnected reset not_sent", "s-1 3 1 0 0 0 1 0",
			"worst requests", "04000000000000000000000000000000 release f1: failed, may_have_run, after 50ms, 1 hops, worth 5",
			"03000000000000000000000000000000 release r1: refused, no_token, after 1ms, 0 hops, worth 5"}},
		{"times, by target", Query{GroupBy: "target", From: time.Unix(0, int64(sampleTime(500))), To: time.Unix(0, int64(sampleTime(2000)))}, []string{
			"1 requests from 2026-11-29T20:45:01Z to 2026-11-29T20:45:01Z: 0.0% of their worth served in time",
			"target requests served late refused failed expired gone unusable worth lost p50 p99",
			"s-1 1 1 1 0 0 0 0 0 1 900ms 900ms", "lost to requests worth lost", "served: late 1 1"}},
		{"no requests", Query{GroupBy: "answer", From: time.Unix(0, int64(sampleTime(9000)))}, []string{"no requests"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := NewSummary(tc.query)
			if unreadable, err := Read(bytes.NewReader(sampleFile(t)), s.Add); err != nil || unreadable != 2 {
				t.Fatal(unreadable, err)
			}
			var out strings.Builder
			if err := s.Write(&out); err != nil {
				t.Fatal(err)
			}
			var got []string
			for line := range strings.Lines(out.String()) {
				if collapsed := strings.Join(strings.Fields(line), " "); collapsed != "" {
					got = append(got, collapsed)
				}
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("output (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOpen checks that plain, compressed, truncated compressed and empty files can be read.
func TestOpen(t *testing.T) {
	plain := sampleFile(t)
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(plain); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	for i, content := range [][]byte{plain, compressed.Bytes(), compressed.Bytes()[:compressed.Len()-9], nil} {
		path := filepath.Join(t.TempDir(), fmt.Sprint(i))
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		in, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		if _, err := Read(in, func(*Request) { n++ }); err != nil || n != 5 && content != nil {
			t.Errorf("file %d: got %d requests, error %v", i, n, err)
		}
		in.Close()
	}
}
