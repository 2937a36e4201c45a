// Package measures makes figures of stories: how long requests took and how they ended,
// by class and answer, and how hops went, by target. It is used by one goroutine but
// for Collect's callers, who are the same. The histograms and their exemplars are
// OpenTelemetry's SDK's; what the console shows is package telemetry's.
package measures

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/exemplar"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"go.opentelemetry.io/otel/sdk/resource"
	oteltrace "go.opentelemetry.io/otel/trace"

	"frosttide/internal/dispatcher/trace"
)

const (
	// maxSeries bounds the series of each figure; past it all others are one, marked
	// otel.metric.overflow.
	maxSeries = 2500
	// buckets bounds a histogram's memory; a thousandfold range has an error of 4% with
	// 160, and of 25% with 24.
	buckets        = 160
	backendBuckets = 24
)

// Load is how much of a target this process uses.
type Load struct {
	Backend      string
	InUse, Limit int // tokens
}

// Exporter is what the export tells of itself.
type Exporter struct {
	Queued, QueuedBytes int
	Sent, Retried       map[string]int64 // by signal
	Dropped             map[string]int64 // by reason
}

// Set holds the figures of a process.
type Set struct {
	reader     *sdk.ManualReader
	provider   *sdk.MeterProvider
	duration   metric.Float64Histogram
	requests   metric.Int64Counter
	overdue    metric.Int64Counter
	attempts   metric.Int64Counter
	startDelay metric.Float64Histogram

	loads         []Load
	exporter      Exporter
	attributeSets map[series]metric.MeasurementOption
}

// series names a set of attributes; making one costs more than finding it.
type series struct {
	kind    uint8
	a, b, c string
}

// The kinds of series.
const (
	byRequest uint8 = iota
	byResult
	byClass
	byAttempt
	byBackend
)

// New makes the figures. With delta each Collect tells what came since the last one.
func New(delta bool) (*Set, error) {
	temporality := func(kind sdk.InstrumentKind) metricdata.Temporality {
		if delta && kind != sdk.InstrumentKindObservableUpDownCounter && kind != sdk.InstrumentKindUpDownCounter {
			return metricdata.DeltaTemporality
		}
		return metricdata.CumulativeTemporality
	}
	s := &Set{reader: sdk.NewManualReader(sdk.WithTemporalitySelector(temporality)), attributeSets: map[series]metric.MeasurementOption{}}
	histogram := func(name string, size int32) sdk.View {
		return sdk.NewView(sdk.Instrument{Name: name}, sdk.Stream{
			Aggregation: sdk.AggregationBase2ExponentialHistogram{MaxSize: size, MaxScale: 20}})
	}
	s.provider = sdk.NewMeterProvider(sdk.WithReader(s.reader), sdk.WithResource(resource.Empty()),
		sdk.WithExemplarFilter(exemplar.TraceBasedFilter), sdk.WithCardinalityLimit(maxSeries),
		sdk.WithView(histogram("http.server.request.duration", buckets), histogram("frosttide.hop.start", backendBuckets)))
	meter := s.provider.Meter("frosttide")
	var err [12]error
	s.duration, err[0] = meter.Float64Histogram("http.server.request.duration", metric.WithUnit("s"),
		metric.WithDescription("From a request's coming to its one final answer."))
	s.requests, err[1] = meter.Int64Counter("frosttide.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests that have ended, by answer and reason."))
	s.overdue, err[2] = meter.Int64Counter("frosttide.requests.late", metric.WithUnit("{request}"),
		metric.WithDescription("Requests served after the wanted time."))
	s.attempts, err[3] = meter.Int64Counter("frosttide.hops", metric.WithUnit("{hop}"),
		metric.WithDescription("Hops that have ended, by target and outcome."))
	s.startDelay, err[4] = meter.Float64Histogram("frosttide.hop.start", metric.WithUnit("s"),
		metric.WithDescription("From a hop's sending to the runner's word that the job runs."))
	_, err[5] = meter.Int64ObservableGauge("frosttide.tokens.held", metric.WithUnit("{token}"),
		metric.WithDescription("Tokens of a target that are out."), metric.WithInt64Callback(s.observe(func(l Load) int { return l.InUse })))
	_, err[6] = meter.Int64ObservableGauge("frosttide.tokens.limit", metric.WithUnit("{token}"),
		metric.WithDescription("Tokens of a target that may be out."), metric.WithInt64Callback(s.observe(func(l Load) int { return l.Limit })))
	_, err[7] = meter.Int64ObservableGauge("frosttide.export.queued", metric.WithUnit("{story}"),
		metric.WithDescription("Stories that wait for their export."), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(s.exporter.Queued))
			return nil
		}))
	_, err[8] = meter.Int64ObservableGauge("frosttide.export.queued.size", metric.WithUnit("By"),
		metric.WithDescription("Memory that they take."), metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(s.exporter.QueuedBytes))
			return nil
		}))
	counter := func(name, unit, text, label string, of func() map[string]int64) error {
		_, err := meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(text),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				for key, n := range of() {
					o.Observe(n, metric.WithAttributes(attribute.String(label, key)))
				}
				return nil
			}))
		return err
	}
	err[9] = counter("frosttide.export.sent", "{item}", "Spans and points that a collector took.", "signal",
		func() map[string]int64 { return s.exporter.Sent })
	err[10] = counter("frosttide.export.retried", "{call}", "Calls to a collector that were made again.", "signal",
		func() map[string]int64 { return s.exporter.Retried })
	err[11] = counter("frosttide.export.dropped", "{item}", "Stories and batches that were let go, by reason.", "reason",
		func() map[string]int64 { return s.exporter.Dropped })
	for _, e := range err {
		if e != nil {
			return nil, fmt.Errorf("making the figures: %w", e)
		}
	}
	return s, nil
}

func (s *Set) observe(what func(Load) int) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for _, l := range s.loads {
			o.Observe(int64(what(l)), s.option(series{byBackend, l.Backend, "", ""}).(metric.ObserveOption))
		}
		return nil
	}
}

// option returns the attributes of a series. Guards memory against names without
// bound, as those of targets that come and go: past the bound all is made anew.
func (s *Set) option(k series) metric.MeasurementOption {
	if o := s.attributeSets[k]; o != nil {
		return o
	}
	if len(s.attributeSets) >= 2*maxSeries {
		clear(s.attributeSets)
	}
	var attributes []attribute.KeyValue
	switch k.kind {
	case byRequest:
		attributes = []attribute.KeyValue{attribute.String("frosttide.class", k.a), attribute.String("frosttide.answer", k.b),
			attribute.String("http.request.method", k.c)}
	case byResult:
		attributes = []attribute.KeyValue{attribute.String("frosttide.class", k.a), attribute.String("frosttide.answer", k.b),
			attribute.String("frosttide.answer.why", k.c)}
	case byClass:
		attributes = []attribute.KeyValue{attribute.String("frosttide.class", k.a)}
	case byAttempt:
		attributes = []attribute.KeyValue{attribute.String("frosttide.target", k.a), attribute.String("frosttide.outcome", k.b)}
	case byBackend:
		attributes = []attribute.KeyValue{attribute.String("frosttide.target", k.a)}
	}
	o := metric.WithAttributeSet(attribute.NewSet(attributes...))
	s.attributeSets[k] = o
	return o
}

// Add takes in a request that has ended. Kept tells whether its trace is exported, so
// that a histogram may point at it.
func (s *Set) Add(record *trace.Record, kept bool) {
	ctx := context.Background()
	if kept {
		ctx = oteltrace.ContextWithSpanContext(ctx, oteltrace.NewSpanContext(oteltrace.SpanContextConfig{
			TraceID: oteltrace.TraceID(record.Trace), SpanID: oteltrace.SpanID(record.Span), TraceFlags: oteltrace.FlagsSampled}))
	}
	result := string(record.Result)
	s.duration.Record(ctx, (record.Ended - record.Received).Seconds(), s.option(series{byRequest, record.Class, result, record.Method}))
	s.requests.Add(ctx, 1, s.option(series{byResult, record.Class, result, record.Reason}))
	if record.Overdue {
		s.overdue.Add(ctx, 1, s.option(series{byClass, record.Class, "", ""}))
	}
	for i := range record.Attempts {
		attempt := &record.Attempts[i]
		s.attempts.Add(ctx, 1, s.option(series{byAttempt, attempt.Backend, attempt.Outcome, ""}))
		if attempt.Started > attempt.Sent {
			s.startDelay.Record(ctx, (attempt.Started - attempt.Sent).Seconds(), s.option(series{byBackend, attempt.Backend, "", ""}))
		}
	}
}

// Collect returns all figures, with what the targets and the exporter are at now.
func (s *Set) Collect(loads []Load, e Exporter) (*metricdata.ResourceMetrics, error) {
	s.loads, s.exporter = loads, e
	var out metricdata.ResourceMetrics
	if err := s.reader.Collect(context.Background(), &out); err != nil {
		return nil, fmt.Errorf("collecting the figures: %w", err)
	}
	return &out, nil
}

// Close gives back what the SDK holds.
func (s *Set) Close(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = s.provider.Shutdown(ctx) // it holds no file or socket
}
