// Package measures derives metrics from the records of requests: durations and results by class,
// and outcomes of attempts by backend. The actor of package export records to it and exports what
// Collect returns. Histograms and exemplars are those of the OpenTelemetry SDK; the metrics that
// the console serves are in package telemetry.
//
// A Set bounds its memory regardless of the names of classes and backends. It is not safe for
// concurrent use.
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
	// maxSeries bounds the series of each metric. All further ones are merged into one series with
	// the attribute otel.metric.overflow.
	maxSeries = 2500
	// requestBuckets and backendBuckets bound the memory of a histogram. If the highest value is a
	// thousand times the lowest, 160 buckets have an error of 4 %, and 24 buckets one of 25 %.
	requestBuckets = 160
	backendBuckets = 24
)

// Load is the current use of a backend by this process.
type Load struct {
	Backend      string
	InUse, Limit int // in tokens
}

// Exporter holds the metrics of the export itself.
type Exporter struct {
	Queued, QueuedBytes int              // records that wait for export
	Sent, Retried       map[string]int64 // by signal
	Dropped             map[string]int64 // by reason
}

// Set holds the instruments of a process and their state.
type Set struct {
	reader     *sdk.ManualReader
	provider   *sdk.MeterProvider
	duration   metric.Float64Histogram
	requests   metric.Int64Counter
	overdue    metric.Int64Counter
	attempts   metric.Int64Counter
	startDelay metric.Float64Histogram

	loads         []Load                              // observed by the current Collect
	exporter      Exporter                            // observed by the current Collect
	attributeSets map[series]metric.MeasurementOption // cache, bounded by option
}

// New returns an empty set. If delta is true, each Collect returns the changes since the previous
// one, else the totals since New. It fails if an instrument can't be created.
func New(delta bool) (*Set, error) {
	s := &Set{
		reader:        sdk.NewManualReader(sdk.WithTemporalitySelector(temporalityOf(delta))),
		attributeSets: map[series]metric.MeasurementOption{},
	}
	s.provider = sdk.NewMeterProvider(sdk.WithReader(s.reader), sdk.WithResource(resource.Empty()),
		sdk.WithExemplarFilter(exemplar.TraceBasedFilter), sdk.WithCardinalityLimit(maxSeries),
		sdk.WithView(histogramView("http.server.request.duration", requestBuckets), histogramView("frosttide.hop.start", backendBuckets)))
	if err := s.addInstruments(s.provider.Meter("frosttide")); err != nil {
		return nil, fmt.Errorf("creating the metric instruments: %w", err)
	}
	return s, nil
}

// temporalityOf returns the temporality of each kind of instrument. Up-down counters are always
// cumulative, and gauges have no temporality.
func temporalityOf(delta bool) sdk.TemporalitySelector {
	return func(kind sdk.InstrumentKind) metricdata.Temporality {
		if delta && kind != sdk.InstrumentKindObservableUpDownCounter && kind != sdk.InstrumentKindUpDownCounter {
			return metricdata.DeltaTemporality
		}
		return metricdata.CumulativeTemporality
	}
}

// histogramView configures a histogram to use exponential buckets.
func histogramView(name string, buckets int32) sdk.View {
	return sdk.NewView(sdk.Instrument{Name: name}, sdk.Stream{
		Aggregation: sdk.AggregationBase2ExponentialHistogram{MaxSize: buckets, MaxScale: 20}})
}

// Add records a request that has ended. Kept tells whether its trace is exported, so that
// histograms can refer to it in an exemplar.
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

// Collect returns all metrics, including the given current loads of the backends and the metrics of
// the export.
func (s *Set) Collect(loads []Load, e Exporter) (*metricdata.ResourceMetrics, error) {
	s.loads, s.exporter = loads, e
	var out metricdata.ResourceMetrics
	if err := s.reader.Collect(context.Background(), &out); err != nil {
		return nil, fmt.Errorf("reading the metric instruments: %w", err)
	}
	return &out, nil
}

// Close releases the resources of the SDK by the deadline. The set must not be used afterwards.
func (s *Set) Close(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = s.provider.Shutdown(ctx) // nothing to handle: it holds no file or socket
}
