package collector

import (
	"fmt"

	"go.opentelemetry.io/collector/pdata/pcommon"
	"go.opentelemetry.io/collector/pdata/pmetric"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"frosttide/internal/dispatcher/otlp"
)

// CheckTraces returns the violations of the OTLP rules in a payload of traces: resources without a
// service name, empty or duplicate IDs, spans that end before they start, events outside of the
// time of their span, links without IDs, and client spans whose parent is not a server span of the
// same process that is sent in the same scope and starts no later.
func CheckTraces(t *tracepb.TracesData) (violations []error) {
	for _, resource := range t.GetResourceSpans() {
		if otlp.Attributes(resource.GetResource().GetAttributes()).Text("service.name") == "" {
			violations = append(violations, fmt.Errorf("resource without the attribute service.name"))
		}
		for _, scope := range resource.GetScopeSpans() {
			violations = append(violations, checkScope(scope.GetSpans())...)
		}
	}
	return violations
}

// spanID identifies a span: the bytes of its trace ID and its span ID.
type spanID struct{ trace, span string }

// checkScope returns the violations in the spans of one instrumentation scope.
func checkScope(spans []*tracepb.Span) (violations []error) {
	report := func(s *tracepb.Span, format string, args ...any) {
		violations = append(violations, fmt.Errorf("span %x %s of trace %x: %s", s.GetSpanId(), s.GetName(), s.GetTraceId(), fmt.Sprintf(format, args...)))
	}
	byID := map[spanID]*tracepb.Span{}
	for _, s := range spans {
		key := spanID{string(s.GetTraceId()), string(s.GetSpanId())}
		if empty(s.GetTraceId()) || empty(s.GetSpanId()) {
			report(s, "empty trace or span ID")
		}
		if _, duplicate := byID[key]; duplicate {
			report(s, "duplicate ID")
		}
		byID[key] = s
	}
	for _, s := range spans {
		start, end := s.GetStartTimeUnixNano(), s.GetEndTimeUnixNano()
		if s.GetName() == "" {
			report(s, "no name")
		}
		if start == 0 || end < start {
			report(s, "invalid times: start %d, end %d (ns since 1970)", start, end)
		}
		for _, e := range s.GetEvents() {
			if e.GetTimeUnixNano() < start || e.GetTimeUnixNano() > end {
				report(s, "event %s is outside of the span, at %d ns from its end", e.GetName(), int64(e.GetTimeUnixNano())-int64(end))
			}
		}
		for _, l := range s.GetLinks() {
			if empty(l.GetTraceId()) || empty(l.GetSpanId()) {
				report(s, "link with an empty trace or span ID")
			}
		}
		if s.GetKind() != tracepb.Span_SPAN_KIND_CLIENT {
			continue
		}
		parent, ok := byID[spanID{string(s.GetTraceId()), string(s.GetParentSpanId())}]
		switch {
		case !ok:
			report(s, "parent is not among the spans of the same scope")
		case parent.GetKind() != tracepb.Span_SPAN_KIND_SERVER:
			report(s, "parent is not a server span")
		case start < parent.GetStartTimeUnixNano():
			report(s, "starts before its parent")
		}
	}
	return violations
}

// empty reports whether an ID is missing or all zeros, which OTLP treats as invalid.
func empty(id []byte) bool {
	for _, b := range id {
		if b != 0 {
			return false
		}
	}
	return true
}

// CheckMetrics returns the violations of the OTLP rules in a payload of metrics: metrics without a
// name or a temporality or of an unexpected type, points without a time or that end before they
// start, negative monotonic sums, histograms whose buckets don't add up to their count, and
// exemplars without a trace or span.
func CheckMetrics(m pmetric.Metrics) (violations []error) {
	for _, resource := range m.ResourceMetrics().All() {
		for _, scope := range resource.ScopeMetrics().All() {
			for _, metric := range scope.Metrics().All() {
				report := func(format string, args ...any) {
					violations = append(violations, fmt.Errorf("metric %q: %s", metric.Name(), fmt.Sprintf(format, args...)))
				}
				if metric.Name() == "" {
					report("no name")
				}
				checkTimes := func(start, end pcommon.Timestamp, needsStart bool) {
					if end == 0 || start > end || needsStart && start == 0 {
						report("data point with invalid times: start %d, end %d (ns since 1970)", start, end)
					}
				}
				switch metric.Type() {
				case pmetric.MetricTypeSum:
					if metric.Sum().AggregationTemporality() == pmetric.AggregationTemporalityUnspecified {
						report("no aggregation temporality")
					}
					for _, p := range metric.Sum().DataPoints().All() {
						checkTimes(p.StartTimestamp(), p.Timestamp(), true)
						if metric.Sum().IsMonotonic() && p.IntValue() < 0 {
							report("monotonic sum is negative: %d", p.IntValue())
						}
					}
				case pmetric.MetricTypeGauge:
					for _, p := range metric.Gauge().DataPoints().All() {
						checkTimes(p.StartTimestamp(), p.Timestamp(), false)
					}
				case pmetric.MetricTypeExponentialHistogram:
					h := metric.ExponentialHistogram()
					if h.AggregationTemporality() == pmetric.AggregationTemporalityUnspecified {
						report("no aggregation temporality")
					}
					for _, p := range h.DataPoints().All() {
						checkTimes(p.StartTimestamp(), p.Timestamp(), true)
						sum := p.ZeroCount()
						for _, n := range p.Positive().BucketCounts().AsRaw() {
							sum += n
						}
						for _, n := range p.Negative().BucketCounts().AsRaw() {
							sum += n
						}
						if sum != p.Count() {
							report("buckets hold %d observations, count is %d", sum, p.Count())
						}
						for _, e := range p.Exemplars().All() {
							if e.TraceID().IsEmpty() || e.SpanID().IsEmpty() {
								report("exemplar without a trace or span ID")
							}
						}
					}
				default:
					report("unexpected type %s", metric.Type())
				}
			}
		}
	}
	return violations
}
