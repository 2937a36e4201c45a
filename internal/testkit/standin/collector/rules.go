package collector

import (
	"fmt"

	"go.opentelemetry.io/collector/pdata/pcommon"
	"go.opentelemetry.io/collector/pdata/pmetric"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"frosttide/internal/dispatcher/otlp"
)

// CheckTraces returns the rules that spans break: ids that name nothing or are there
// twice, spans that end before they begin, events outside of their span, parents that are
// not sent along though they are of the same process, links to nothing.
func CheckTraces(t *tracepb.TracesData) (broken []error) {
	for _, of := range t.GetResourceSpans() {
		if otlp.Attributes(of.GetResource().GetAttributes()).Text("service.name") == "" {
			broken = append(broken, fmt.Errorf("a resource without service.name"))
		}
		for _, in := range of.GetScopeSpans() {
			broken = append(broken, checkScope(in.GetSpans())...)
		}
	}
	return broken
}

// spanID names a span among all.
type spanID struct{ trace, span string }

func checkScope(spans []*tracepb.Span) (broken []error) {
	wrong := func(s *tracepb.Span, text string, more ...any) {
		broken = append(broken, fmt.Errorf("span %x %s of trace %x: %s", s.GetSpanId(), s.GetName(), s.GetTraceId(), fmt.Sprintf(text, more...)))
	}
	ids := map[spanID]*tracepb.Span{}
	for _, s := range spans {
		key := spanID{string(s.GetTraceId()), string(s.GetSpanId())}
		if empty(s.GetTraceId()) || empty(s.GetSpanId()) {
			wrong(s, "an id is empty")
		}
		if _, twice := ids[key]; twice {
			wrong(s, "its id is there twice")
		}
		ids[key] = s
	}
	for _, s := range spans {
		start, end := s.GetStartTimeUnixNano(), s.GetEndTimeUnixNano()
		if s.GetName() == "" {
			wrong(s, "it has no name")
		}
		if start == 0 || end < start {
			wrong(s, "it runs from %d to %d", start, end)
		}
		for _, e := range s.GetEvents() {
			if e.GetTimeUnixNano() < start || e.GetTimeUnixNano() > end {
				wrong(s, "event %s is %d ns off", e.GetName(), int64(e.GetTimeUnixNano())-int64(end))
			}
		}
		for _, l := range s.GetLinks() {
			if empty(l.GetTraceId()) || empty(l.GetSpanId()) {
				wrong(s, "a link names nothing")
			}
		}
		if s.GetKind() != tracepb.Span_SPAN_KIND_CLIENT {
			continue
		}
		parent, ok := ids[spanID{string(s.GetTraceId()), string(s.GetParentSpanId())}]
		switch {
		case !ok:
			wrong(s, "its parent is not there")
		case parent.GetKind() != tracepb.Span_SPAN_KIND_SERVER:
			wrong(s, "its parent is no request")
		case start < parent.GetStartTimeUnixNano():
			wrong(s, "it begins before its request")
		}
	}
	return broken
}

// empty tells whether an id names nothing.
func empty(id []byte) bool {
	for _, b := range id {
		if b != 0 {
			return false
		}
	}
	return true
}

// CheckMeasures returns the rules that figures break: no name, no temporality, points
// that have no time or end before they begin, sums that fall though they never may,
// histograms whose buckets don't add up, exemplars without a trace.
func CheckMeasures(m pmetric.Metrics) (broken []error) {
	for _, of := range m.ResourceMetrics().All() {
		for _, in := range of.ScopeMetrics().All() {
			for _, f := range in.Metrics().All() {
				wrong := func(text string, more ...any) {
					broken = append(broken, fmt.Errorf("figure %q: %s", f.Name(), fmt.Sprintf(text, more...)))
				}
				if f.Name() == "" {
					wrong("it has no name")
				}
				times := func(start, end pcommon.Timestamp, needsStart bool) {
					if end == 0 || start > end || needsStart && start == 0 {
						wrong("a point runs from %d to %d", start, end)
					}
				}
				switch f.Type() {
				case pmetric.MetricTypeSum:
					if f.Sum().AggregationTemporality() == pmetric.AggregationTemporalityUnspecified {
						wrong("it has no temporality")
					}
					for _, p := range f.Sum().DataPoints().All() {
						times(p.StartTimestamp(), p.Timestamp(), true)
						if f.Sum().IsMonotonic() && p.IntValue() < 0 {
							wrong("a sum that never falls is %d", p.IntValue())
						}
					}
				case pmetric.MetricTypeGauge:
					for _, p := range f.Gauge().DataPoints().All() {
						times(p.StartTimestamp(), p.Timestamp(), false)
					}
				case pmetric.MetricTypeExponentialHistogram:
					h := f.ExponentialHistogram()
					if h.AggregationTemporality() == pmetric.AggregationTemporalityUnspecified {
						wrong("it has no temporality")
					}
					for _, p := range h.DataPoints().All() {
						times(p.StartTimestamp(), p.Timestamp(), true)
						sum := p.ZeroCount()
						for _, n := range p.Positive().BucketCounts().AsRaw() {
							sum += n
						}
						for _, n := range p.Negative().BucketCounts().AsRaw() {
							sum += n
						}
						if sum != p.Count() {
							wrong("its buckets hold %d of %d", sum, p.Count())
						}
						for _, e := range p.Exemplars().All() {
							if e.TraceID().IsEmpty() || e.SpanID().IsEmpty() {
								wrong("an exemplar names no span")
							}
						}
					}
				default:
					wrong("it has the form %s", f.Type())
				}
			}
		}
	}
	return broken
}
