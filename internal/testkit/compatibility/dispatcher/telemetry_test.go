package compatibility_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"frosttide/internal/dispatcher/measures"
	"frosttide/internal/dispatcher/otlp"
	"frosttide/internal/dispatcher/telemetry"
	"frosttide/internal/dispatcher/trace"
	"frosttide/internal/dispatcher/traceview"
)

// TestCompatibilityOperatorMetrics checks the names, labels, types and help texts of the metrics at
// /api/telemetry.
func TestCompatibilityOperatorMetrics(t *testing.T) {
	counts := telemetry.New()
	counts.SetClasses([]string{"render", "release"})
	counts.RegisterStoredList(func() (time.Duration, int, int) { return 90 * time.Second, 3, 2 })
	counts.Completed(0)
	counts.Rejected(1)
	counts.Failed(0)
	counts.Sent(1)
	counts.Pending(4)
	counts.SetMembers(7, 5)
	counts.Reloaded(true)
	counts.Reloaded(false)
	response := httptest.NewRecorder()
	counts.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/api/telemetry", nil))
	header := fmt.Sprintf("%d %s\n", response.Code, response.Header().Get("Content-Type"))
	compareGolden(t, "telemetry/console.golden.txt", append([]byte(header), response.Body.Bytes()...))
}

// traceRecords returns one record of a request with every field of a span set, and records of
// requests with other results that leave most fields unset.
func traceRecords() []*trace.Record {
	const receivedAt = time.Duration(1_796_000_000_000_000_000)
	full := &trace.Record{Trace: trace.ID{1, 2}, Span: trace.SpanID{3}, Parent: trace.SpanID{4}, TraceState: "vendor=1", ParentSampled: true, Selected: true,
		Request: "job-1", Class: "render", Method: "POST", Value: 2.5, Slots: 2, Keyed: true, ClientRetry: true, RetryKey: 9, RetryWindow: time.Minute,
		Received: receivedAt, Deadline: receivedAt + 5*time.Second, Ended: receivedAt + 2*time.Second, Result: trace.Served, AnsweredBy: trace.ByRunner, Reason: "done", Status: 200,
		Backend: "s-2", Overdue: true, HandedOver: true, Links: []trace.SpanReference{{Trace: trace.ID{5}, Span: trace.SpanID{6}}},
		Attempts: []trace.Attempt{
			{Span: trace.SpanID{7}, Kind: trace.First, Backend: "s-1", Addr: "127.0.0.1:9101", Zone: "a", WarmingUp: true, Sent: receivedAt + 1, Accepted: receivedAt + 2, Started: receivedAt + 3,
				Cancelled: receivedAt + 4, Ended: receivedAt + 5, Outcome: "errored", MayHaveRun: true, Bytes: 640, ReusedConnection: true, DroppedEvents: 2,
				Events: []trace.Event{{At: receivedAt + 3, Name: "started"}, {At: receivedAt + 4, Name: "running", Progress: 0.5}}},
			{Span: trace.SpanID{8}, Kind: trace.Hedge, HedgeOf: 0, Backend: "s-2", Addr: "127.0.0.1:9102", Zone: "b", Sent: receivedAt + 4, Started: receivedAt + 1e9, Ended: receivedAt + 2e9, Outcome: "served", Bytes: 640},
		}}
	plain := func(n byte, result trace.Result, answeredBy, reason string) *trace.Record {
		return &trace.Record{Trace: trace.ID{n}, Span: trace.SpanID{n}, Request: fmt.Sprint("job-", n), Class: "release", Method: "POST", Value: 1, Slots: 1,
			Received: receivedAt, Ended: receivedAt + time.Millisecond, Result: result, AnsweredBy: answeredBy, Reason: reason}
	}
	retryable := plain(21, trace.Expired, trace.ByCore, "deadline")
	retryable.Retryable = true
	return []*trace.Record{full, plain(11, trace.Refused, trace.ByModule, "no_token"), plain(12, trace.Failed, trace.ByCore, "may_have_run"),
		plain(13, trace.Invalid, trace.ByIngress, "malformed"), plain(14, trace.Expired, trace.ByCore, "deadline"), plain(15, trace.Abandoned, trace.ByIngress, "gone"), retryable}
}

// TestCompatibilitySpans checks the names, attributes, events, links and status of exported spans.
func TestCompatibilitySpans(t *testing.T) {
	line, err := otlp.TracesPayload(otlp.Traces(map[string]string{"service.name": "frosttide", "service.instance.id": "n0"}, traceRecords())).JSON()
	if err != nil {
		t.Fatal(err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, line, "", " "); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "telemetry/spans.golden.json", append(indented.Bytes(), '\n'))
}

// TestCompatibilityTraceFile checks how the trace commands show and summarize a trace file of an
// earlier build.
func TestCompatibilityTraceFile(t *testing.T) {
	var file bytes.Buffer
	if err := json.Compact(&file, readFile(t, "telemetry/spans.golden.json")); err != nil {
		t.Fatal(err)
	}
	file.WriteByte('\n')
	var out bytes.Buffer
	for _, id := range []string{"job-1", "job-11", "0c000000000000000000000000000000", "nobody"} {
		n, err := traceview.Show(&out, bytes.NewReader(file.Bytes()), id)
		fmt.Fprintf(&out, "-- %s: %d requests, %v\n", id, n, err)
	}
	for _, by := range traceview.Groups {
		summary := traceview.NewSummary(traceview.Query{GroupBy: by, MaxWorst: 3})
		skipped, err := traceview.Read(bytes.NewReader(file.Bytes()), summary.Add)
		if err == nil {
			err = summary.Write(&out)
		}
		fmt.Fprintf(&out, "-- by %s: %d unread, %v\n", by, skipped, err)
	}
	compareGolden(t, "telemetry/traceview.golden.txt", out.Bytes())
}

// TestCompatibilityMetrics checks the names, units, descriptions, kinds and attributes of exported
// metrics.
func TestCompatibilityMetrics(t *testing.T) {
	for _, tc := range []struct {
		name  string
		delta bool
	}{{"cumulative", false}, {"delta", true}} {
		t.Run(tc.name, func(t *testing.T) {
			set, err := measures.New(tc.delta)
			if err != nil {
				t.Fatal(err)
			}
			defer set.Close(time.Now().Add(eventTimeout))
			for _, record := range traceRecords() {
				set.Add(record, true)
			}
			all, err := set.Collect([]measures.Load{{Backend: "s-1", InUse: 2, Limit: 5}}, measures.Exporter{Queued: 1, QueuedBytes: 2,
				Sent: map[string]int64{"traces": 3}, Retried: map[string]int64{"metrics": 4}, Dropped: map[string]int64{"queue": 5}})
			if err != nil {
				t.Fatal(err)
			}
			payload, err := otlp.Metrics(map[string]string{"service.name": "frosttide"}, all)
			if err != nil {
				t.Fatal(err)
			}
			if payload.DataPointCount() == 0 {
				t.Error("the payload has no data points")
			}
			compareGoldenJSON(t, "telemetry/figures-"+tc.name+".golden.json", describeMetrics(t, all))
		})
	}
}

// describeMetrics returns the properties of each metric with the attributes and values of its data
// points, without their times.
func describeMetrics(t *testing.T, all *metricdata.ResourceMetrics) map[string]any {
	t.Helper()
	out := map[string]any{}
	for _, scope := range all.ScopeMetrics {
		for _, m := range scope.Metrics {
			var points []string
			kind := ""
			switch data := m.Data.(type) {
			case metricdata.Sum[int64]:
				kind = fmt.Sprint("sum, ", data.Temporality, ", monotonic ", data.IsMonotonic)
				for _, p := range data.DataPoints {
					points = append(points, fmt.Sprint(p.Attributes.Encoded(attribute.DefaultEncoder()), ": ", p.Value))
				}
			case metricdata.Gauge[int64]:
				kind = "gauge"
				for _, p := range data.DataPoints {
					points = append(points, fmt.Sprint(p.Attributes.Encoded(attribute.DefaultEncoder()), ": ", p.Value))
				}
			case metricdata.ExponentialHistogram[float64]:
				kind = fmt.Sprint("histogram, ", data.Temporality)
				for _, p := range data.DataPoints {
					points = append(points, fmt.Sprint(p.Attributes.Encoded(attribute.DefaultEncoder()), ": ", p.Count, " of ", p.Sum, ", scale ", p.Scale, ", exemplars ", len(p.Exemplars)))
				}
			default:
				t.Fatalf("metric %s has the unexpected type %T", m.Name, m.Data)
			}
			slices.Sort(points)
			out[m.Name] = map[string]any{"scope": scope.Scope.Name, "unit": m.Unit, "description": m.Description, "kind": kind, "points": points}
		}
	}
	return out
}
