// Package measures makes figures of the records of requests: how long requests took and how they ended, by class and
// result, and how attempts went, by backend. Package export's actor calls it and exports what Collect returns. The
// histograms and their exemplars are those of OpenTelemetry's SDK; the figures that the console shows are package
// telemetry's.
//
// A Set bounds its memory whatever names of classes and backends come. It is for one goroutine.
package measures

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/exemplar"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
	"go.opentelemetry.io/otel/sdk/resource"
	oteltrace "go.opentelemetry.io/otel/trace"

	"frosttide/internal/dispatcher/trace"
)

const (
	// maxSeries bounds the series of each figure. All others past it are one, marked otel.metric.overflow.
	maxSeries = 2500
	// requestBuckets and backendBuckets bound the memory of a histogram. Over values of which the highest is a
	// thousand times the lowest, 160 buckets have an error of 4 %, and 24 of 25 %.
	requestBuckets = 160
	backendBuckets = 24
)

// Load is how much of a backend this process uses.
type Load struct {
	Backend      string
	InUse, Limit int // tokens
}

// Exporter holds the export's figures of itself.
type Exporter struct {
	Queued, QueuedBytes int              // records that wait
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

	loads         []Load   // of the current Collect
	exporter      Exporter // of the current Collect
	attributeSets map[series]metric.MeasurementOption
}

// New makes a set. With delta each Collect returns what has been added since the one before, else since New.
func New(delta bool) (*Set, error) {
	s := &Set{
		reader:        sdk.NewManualReader(sdk.WithTemporalitySelector(temporalityOf(delta))),
		attributeSets: map[series]metric.MeasurementOption{},
	}
	s.provider = sdk.NewMeterProvider(sdk.WithReader(s.reader), sdk.WithResource(resource.Empty()),
		sdk.WithExemplarFilter(exemplar.TraceBasedFilter), sdk.WithCardinalityLimit(maxSeries),
		sdk.WithView(histogramView("http.server.request.duration", requestBuckets), histogramView("frosttide.hop.start", backendBuckets)))
	if err := s.addInstruments(s.provider.Meter("frosttide")); err != nil {
		return nil, fmt.Errorf("making the figures: %w", err)
	}
	return s, nil
}

// temporalityOf returns which figures Collect returns as changes. Gauges and up-down counters are always totals.
func temporalityOf(delta bool) sdk.TemporalitySelector {
	return func(kind sdk.InstrumentKind) metricdata.Temporality {
		if delta && kind != sdk.InstrumentKindObservableUpDownCounter && kind != sdk.InstrumentKindUpDownCounter {
			return metricdata.DeltaTemporality
		}
		return metricdata.CumulativeTemporality
	}
}

// histogramView has a histogram use exponential buckets.
func histogramView(name string, buckets int32) sdk.View {
	return sdk.NewView(sdk.Instrument{Name: name}, sdk.Stream{
		Aggregation: sdk.AggregationBase2ExponentialHistogram{MaxSize: buckets, MaxScale: 20}})
}

// Add counts a request that has ended. Kept says whether its trace is exported, so that a histogram may refer to it.
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

// Collect returns all figures, with those of the backends and the export as they are now.
func (s *Set) Collect(loads []Load, e Exporter) (*metricdata.ResourceMetrics, error) {
	s.loads, s.exporter = loads, e
	var out metricdata.ResourceMetrics
	if err := s.reader.Collect(context.Background(), &out); err != nil {
		return nil, fmt.Errorf("collecting the figures: %w", err)
	}
	return &out, nil
}

// Close releases the SDK's resources by the deadline. The set must not be used any more.
func (s *Set) Close(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = s.provider.Shutdown(ctx) // it holds no file or socket
}
