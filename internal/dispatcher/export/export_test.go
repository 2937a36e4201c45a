package export

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"frosttide/internal/dispatcher/otlp"
	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/trace"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// getenv returns a lookup function for an environment of NAME=VALUE pairs.
func getenv(pairs ...string) func(string) string {
	m := map[string]string{}
	for _, p := range pairs {
		k, v, _ := strings.Cut(p, "=")
		m[k] = v
	}
	return func(name string) string { return m[name] }
}

// TestResolve checks that OpenTelemetry's variables are interpreted as the specification says, and
// take precedence over the settings.
func TestResolve(t *testing.T) {
	configured := settings.Telemetry{OTLP: settings.OTLP{Endpoint: "http://settings:4318", Protocol: "grpc", Headers: map[string]string{"a": "1"}}}
	tenth := 0.1
	for _, tc := range []struct {
		name     string
		settings settings.Telemetry
		env      []string
		want     string // traces | metrics | sampler
		warnings int
	}{
		{"off", settings.Telemetry{}, nil, "| | {false 1 true}", 0},
		{"common endpoint with the paths added", settings.Telemetry{}, []string{"OTEL_EXPORTER_OTLP_ENDPOINT=http://c:1/base/"},
			"http://c:1/base/v1/traces| http://c:1/base/v1/metrics| {false 1 true}", 0},
		{"a signal's own endpoint as it is", settings.Telemetry{}, []string{"OTEL_EXPORTER_OTLP_TRACES_ENDPOINT=http://c:1/in"},
			"http://c:1/in| | {false 1 true}", 0},
		{"settings", configured, nil, "http://settings:4318 grpc a=1| http://settings:4318 grpc a=1| {false 1 true}", 0},
		{"environment over the settings", configured, []string{"OTEL_EXPORTER_OTLP_ENDPOINT=http://c:1", "OTEL_EXPORTER_OTLP_METRICS_PROTOCOL=http/protobuf",
			"OTEL_EXPORTER_OTLP_TRACES_HEADERS=a=2,b=x%20y"},
			"http://c:1 grpc a=2 b=x y| http://c:1/v1/metrics a=1| {false 1 true}", 0},
		{"disabled", configured, []string{"OTEL_SDK_DISABLED=true"}, "| | {false 1 true}", 0},
		{"one signal", configured, []string{"OTEL_METRICS_EXPORTER=none"}, "http://settings:4318 grpc a=1| | {false 1 true}", 0},
		{"gRPC without a scheme", settings.Telemetry{}, []string{"OTEL_EXPORTER_OTLP_ENDPOINT=c:4317", "OTEL_EXPORTER_OTLP_PROTOCOL=grpc",
			"OTEL_EXPORTER_OTLP_INSECURE=true"}, "http://c:4317 grpc| http://c:4317 grpc| {false 1 true}", 0},
		{"ratio of the settings", settings.Telemetry{SampleRatio: &tenth}, nil, "| | {false 0.1 true}", 0},
		{"sampler", settings.Telemetry{SampleRatio: &tenth}, []string{"OTEL_TRACES_SAMPLER=traceidratio", "OTEL_TRACES_SAMPLER_ARG=0.25"}, "| | {false 0.25 false}", 0},
		{"parent's sampler", settings.Telemetry{}, []string{"OTEL_TRACES_SAMPLER=parentbased_always_off"}, "| | {false 0 true}", 0},
		{"always off", settings.Telemetry{}, []string{"OTEL_TRACES_SAMPLER=always_off"}, "| | {true 0 false}", 0},
		{"malformed values ignored", settings.Telemetry{}, []string{"OTEL_TRACES_SAMPLER=sometimes", "OTEL_BSP_SCHEDULE_DELAY=soon",
			"OTEL_EXPORTER_OTLP_PROTOCOL=smoke", "OTEL_EXPORTER_OTLP_ENDPOINT=http://c:1", "OTEL_EXPORTER_OTLP_TIMEOUT=-1"},
			"http://c:1/v1/traces| http://c:1/v1/metrics| {false 1 true}", 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o, warnings, err := Resolve(tc.settings, "n0", getenv(tc.env...))
			if err != nil {
				t.Fatal(err)
			}
			got := fmt.Sprintf("%s| %s| %v", describe(o.Traces), describe(o.Metrics), o.Sampler)
			if got != tc.want || len(warnings) != tc.warnings {
				t.Errorf("got %s, want %s; warnings %q", got, tc.want, warnings)
			}
			if !o.Equivalent(o) {
				t.Error("equal options are not equivalent")
			}
		})
	}
}

// describe returns the URL, protocol and headers of an endpoint as one string.
func describe(e Endpoint) string {
	s := e.URL
	if e.GRPC && s != "" {
		s += " grpc"
	}
	for _, k := range []string{"a", "b"} {
		if v, ok := e.Headers[k]; ok && s != "" {
			s += " " + k + "=" + v
		}
	}
	return s
}

// TestResolveErrors checks that unusable addresses, headers, attributes and certificates are
// rejected.
func TestResolveErrors(t *testing.T) {
	for _, variable := range []string{"OTEL_EXPORTER_OTLP_ENDPOINT=nowhere", "OTEL_EXPORTER_OTLP_HEADERS=x", "OTEL_RESOURCE_ATTRIBUTES==",
		"OTEL_EXPORTER_OTLP_CERTIFICATE=/nowhere"} {
		t.Run(variable, func(t *testing.T) {
			_, _, err := Resolve(settings.Telemetry{OTLP: settings.OTLP{Endpoint: "https://c"}}, "n0", getenv(variable))
			if err == nil {
				t.Error("Resolve succeeded, want an error")
			}
		})
	}
}

// TestRetryWait checks that the waits between retries are bounded and no shorter than the collector
// asks for, and that retries end.
func TestRetryWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Float64Range(0, 1).Draw(t, "draw")
		minWait := time.Duration(rapid.IntRange(0, int(maxRetryAfter)).Draw(t, "after"))
		var elapsed time.Duration
		for calls := 1; ; calls++ {
			wait, retry := retryWait(calls, minWait, elapsed, draw)
			if wait < minWait || wait > max(maxRetryWait, minWait) {
				t.Fatalf("wait after call %d is %s, the collector asked for %s", calls, wait, minWait)
			}
			if !retry {
				break
			}
			if elapsed += wait + time.Millisecond; elapsed > maxRetryAge+time.Second {
				t.Fatal("retries go on past maxRetryAge")
			}
		}
	})
}

// TestRetryAfter checks that the header is parsed in both forms and its wait is bounded.
func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		name, text string
		want       time.Duration
	}{
		{"none", "", 0},
		{"seconds", "2", 2 * time.Second},
		{"negative", "-1", 0},
		{"malformed", "soon", 0},
		{"too many digits", "99999999999", maxRetryAfter},
		{"past the bound", "3600", maxRetryAfter},
		{"date", "Thu, 01 Jan 2026 12:00:05 GMT", 5 * time.Second},
		{"past date", "Thu, 01 Jan 2026 11:00:00 GMT", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := retryAfter(tc.text, now); got != tc.want {
				t.Errorf("got %s, want %s", got, tc.want)
			}
		})
	}
}

// FuzzPartial checks that parsing any response does not panic.
func FuzzPartial(f *testing.F) {
	f.Add([]byte{0x0a, 0x04, 0x08, 0x01, 0x12, 0x00})
	f.Add([]byte("\xff\xff<html>"))
	f.Fuzz(func(t *testing.T, response []byte) {
		_, message, _ := parsePartialSuccess(response)
		if len(message) > len(response) {
			t.Errorf("got error message %q from a response of %d bytes", message, len(response))
		}
	})
}

// TestFile checks that rotated files keep to their maximum size and number, that no line is split
// between two files, and that after an incomplete line the next one starts on a new line.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "traces.jsonl")
	if err := os.WriteFile(path, []byte(`{"cut`), 0o600); err != nil {
		t.Fatal(err)
	}
	sink := &fileSink{options: settings.TraceFile{Path: path, Size: 2000, Files: 3}}
	defer sink.close()
	for i := range 40 {
		record := &trace.Record{Trace: trace.NewID(), Span: trace.NewSpanID(), Request: fmt.Sprint("r", i), Received: 1, Ended: 2}
		line, err := sink.write(otlp.TracesPayload(otlp.Traces(map[string]string{"service.name": "x"}, []*trace.Record{record})))
		if err != nil {
			t.Fatal(err)
		}
		if result := sink.send(context.Background(), line); result.err != nil {
			t.Fatal(result.err)
		}
	}
	files, err := filepath.Glob(path + "*")
	if err != nil || len(files) != 3 {
		t.Fatalf("got files %v, error %v, want 3 files", files, err)
	}
	last := ""
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) > 2000 {
			t.Errorf("%s has %d bytes, want at most 2000", name, len(text))
		}
		for _, line := range strings.Split(strings.TrimSuffix(string(text), "\n"), "\n") {
			if !strings.HasPrefix(line, `{"resourceSpans"`) || !strings.HasSuffix(line, "}") {
				t.Errorf("%s has the line %.80s, want a whole JSON object", name, line)
			}
			if name == path {
				last = line
			}
		}
	}
	if !strings.Contains(last, `"r39"`) {
		t.Errorf("the last line is %.200s, want that of request r39", last)
	}
}

// TestDisabledAllocs checks that a request costs no allocation while nothing is exported.
func TestDisabledAllocs(t *testing.T) {
	e := New(logrus.NewEntry(logrus.New()))
	now := time.Now()
	if n := testing.AllocsPerRun(100, func() {
		if e.Begin(now, "", "") != nil {
			t.Fatal("Begin returned a record while nothing is exported")
		}
	}); n > 0 {
		t.Errorf("got %g allocations per request, want 0", n)
	}
}

// TestIntake checks that Ended does not block while the intake is full, and that dropped records
// are counted.
func TestIntake(t *testing.T) {
	a := &actor{intake: make(chan *trace.Record, 3)}
	e := New(logrus.NewEntry(logrus.New()))
	e.current.Store(a) // its goroutine is not started
	for range 5 {
		e.Ended(&trace.Record{})
	}
	if diff := cmp.Diff([]int64{3, 2}, []int64{int64(len(a.intake)), a.overflowed.Load()}); diff != "" {
		t.Errorf("received and dropped records (-want +got):\n%s", diff)
	}
}

// finishedRecord returns the record of a served request with one attempt, as the core writes it.
func finishedRecord(e *Exporter) *trace.Record {
	record := e.Begin(time.Now(), "", "")
	record.Request, record.Class, record.Method = "9b1f03aa5c7e2d41", "render", "POST"
	index := record.StartAttempt(trace.Attempt{Backend: "s-1", Addr: "127.0.0.1:9", Zone: "a", Sent: record.Received + 1})
	attempt := &record.Attempts[index]
	attempt.Accepted = record.Received + 2
	attempt.AddEvent(record.Received+3, "started", 0)
	attempt.AddEvent(record.Received+4, "done", 0)
	attempt.Ended, attempt.Outcome = record.Received+4, "served"
	record.Finish(record.Received+4, trace.Served, trace.ByRunner, "done")
	return record
}

// BenchmarkRecord measures the cost of writing a record, of adding it in the actor, and of encoding
// it.
func BenchmarkRecord(b *testing.B) {
	a, err := newActor(Options{Sampler: trace.Sampler{Ratio: 0.01}, Resource: map[string]string{"service.name": "x"},
		MetricsInterval: time.Hour, BatchDelay: time.Hour, Batch: 512, Queue: 4 << 20}, logrus.NewEntry(logrus.New()))
	if err != nil {
		b.Fatal(err)
	}
	e := New(logrus.NewEntry(logrus.New()))
	e.current.Store(a)
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			finishedRecord(e)
		}
	})
	b.Run("take", func(b *testing.B) {
		record := finishedRecord(e)
		b.ReportAllocs()
		for b.Loop() {
			a.add(record)
		}
	})
	b.Run("encode", func(b *testing.B) {
		traces := newPipeline("traces", tracesSignal, a.options, newCollector(Endpoint{}, tracesMethod), nil, a.log)
		records := make([]*trace.Record, 512)
		for i := range records {
			records[i] = finishedRecord(e)
		}
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := traces.encode(exportJob{records: records}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/512, "µs/record")
	})
}
