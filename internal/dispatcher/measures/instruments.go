package measures

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// addInstruments creates the instruments. Their names, units and descriptions are documented in
// docs/telemetry.md.
func (s *Set) addInstruments(meter metric.Meter) error {
	if err := s.addRequestInstruments(meter); err != nil {
		return err
	}
	if err := s.addBackendGauges(meter); err != nil {
		return err
	}
	return s.addExporterInstruments(meter)
}

// addRequestInstruments creates the instruments that Add records to.
func (s *Set) addRequestInstruments(meter metric.Meter) (err error) {
	s.duration, err = meter.Float64Histogram("http.server.request.duration", metric.WithUnit("s"),
		metric.WithDescription("From a request's coming to its one final answer."))
	if err != nil {
		return err
	}
	s.requests, err = meter.Int64Counter("frosttide.requests", metric.WithUnit("{request}"),
		metric.WithDescription("Requests that have ended, by answer and reason."))
	if err != nil {
		return err
	}
	s.overdue, err = meter.Int64Counter("frosttide.requests.late", metric.WithUnit("{request}"),
		metric.WithDescription("Requests served after the wanted time."))
	if err != nil {
		return err
	}
	s.attempts, err = meter.Int64Counter("frosttide.hops", metric.WithUnit("{hop}"),
		metric.WithDescription("Hops that have ended, by target and outcome."))
	if err != nil {
		return err
	}
	s.startDelay, err = meter.Float64Histogram("frosttide.hop.start", metric.WithUnit("s"),
		metric.WithDescription("From a hop's sending to the runner's word that the job runs."))
	return err
}

// addBackendGauges creates the gauges of the backends' loads.
func (s *Set) addBackendGauges(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("frosttide.tokens.held", metric.WithUnit("{token}"),
		metric.WithDescription("Tokens of a target that are out."),
		metric.WithInt64Callback(s.observeLoads(func(l Load) int { return l.InUse })))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableGauge("frosttide.tokens.limit", metric.WithUnit("{token}"),
		metric.WithDescription("Tokens of a target that may be out."),
		metric.WithInt64Callback(s.observeLoads(func(l Load) int { return l.Limit })))
	return err
}

// observeLoads returns a callback that observes one value of each backend's load.
func (s *Set) observeLoads(value func(Load) int) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for _, l := range s.loads {
			o.Observe(int64(value(l)), s.option(series{byBackend, l.Backend, "", ""}).(metric.ObserveOption))
		}
		return nil
	}
}

// addExporterInstruments creates the instruments of the export itself.
func (s *Set) addExporterInstruments(meter metric.Meter) error {
	_, err := meter.Int64ObservableGauge("frosttide.export.queued", metric.WithUnit("{story}"),
		metric.WithDescription("Stories that wait for their export."),
		metric.WithInt64Callback(observe(func() int { return s.exporter.Queued })))
	if err != nil {
		return err
	}
	_, err = meter.Int64ObservableGauge("frosttide.export.queued.size", metric.WithUnit("By"),
		metric.WithDescription("Memory that they take."),
		metric.WithInt64Callback(observe(func() int { return s.exporter.QueuedBytes })))
	if err != nil {
		return err
	}
	for _, c := range []struct {
		name, unit, text, label string
		counts                  func() map[string]int64
	}{
		{"frosttide.export.sent", "{item}", "Spans and points that a collector took.", "signal",
			func() map[string]int64 { return s.exporter.Sent }},
		{"frosttide.export.retried", "{call}", "Calls to a collector that were made again.", "signal",
			func() map[string]int64 { return s.exporter.Retried }},
		{"frosttide.export.dropped", "{item}", "Stories and batches that were let go, by reason.", "reason",
			func() map[string]int64 { return s.exporter.Dropped }},
	} {
		_, err = meter.Int64ObservableCounter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.text),
			metric.WithInt64Callback(observeCounts(c.label, c.counts)))
		if err != nil {
			return err
		}
	}
	return nil
}

// observe returns a callback that observes a single value.
func observe(value func() int) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		o.Observe(int64(value()))
		return nil
	}
}

// observeCounts returns a callback that observes counts by the value of an attribute.
func observeCounts(label string, counts func() map[string]int64) metric.Int64Callback {
	return func(_ context.Context, o metric.Int64Observer) error {
		for value, n := range counts() {
			o.Observe(n, metric.WithAttributes(attribute.String(label, value)))
		}
		return nil
	}
}

// series identifies an attribute set by its kind and up to three values. It is a cache key, as
// building the set costs more than looking it up.
type series struct {
	kind    seriesKind
	a, b, c string
}

// seriesKind tells which attributes the values of a series belong to.
type seriesKind uint8

// The kinds of series.
const (
	byRequest seriesKind = iota // class, result, HTTP method
	byResult                    // class, result, reason
	byClass                     // class
	byAttempt                   // backend, outcome
	byBackend                   // backend
)

// option returns the attribute set of a series as a measurement option. Sets are cached up to a
// bound and the cache is then cleared, as the number of backend names over time is unbounded.
func (s *Set) option(key series) metric.MeasurementOption {
	if option := s.attributeSets[key]; option != nil {
		return option
	}
	if len(s.attributeSets) >= 2*maxSeries {
		clear(s.attributeSets)
	}
	option := metric.WithAttributeSet(attribute.NewSet(key.attributes()...))
	s.attributeSets[key] = option
	return option
}

// attributes returns the attributes of a series under their exported names.
func (k series) attributes() []attribute.KeyValue {
	switch k.kind {
	case byRequest:
		return []attribute.KeyValue{attribute.String("frosttide.class", k.a), attribute.String("frosttide.answer", k.b),
			attribute.String("http.request.method", k.c)}
	case byResult:
		return []attribute.KeyValue{attribute.String("frosttide.class", k.a), attribute.String("frosttide.answer", k.b),
			attribute.String("frosttide.answer.why", k.c)}
	case byClass:
		return []attribute.KeyValue{attribute.String("frosttide.class", k.a)}
	case byAttempt:
		return []attribute.KeyValue{attribute.String("frosttide.target", k.a), attribute.String("frosttide.outcome", k.b)}
	case byBackend:
		return []attribute.KeyValue{attribute.String("frosttide.target", k.a)}
	}
	return nil
}
