package collector

import (
	"fmt"

	"go.opentelemetry.io/collector/pdata/pcommon"
	"go.opentelemetry.io/collector/pdata/pmetric"
	"go.opentelemetry.io/collector/pdata/ptrace"
)

// CheckTraces returns the rules that spans break: ids that name nothing or are there
// twice, spans that end before they begin, events outside of their span, parents that are
// not sent along though they are of the same process, links to nothing.
func CheckTraces(t ptrace.Traces) (broken []error) {
	wrong := func(s ptrace.Span, text string, more ...any) {
		broken = append(broken, fmt.Errorf("span %s %s of trace %s: %s", s.SpanID(), s.Name(), s.TraceID(), fmt.Sprintf(text, more...)))
	}
	for _, of := range t.ResourceSpans().All() {
		if name, ok := of.Resource().Attributes().Get("service.name"); !ok || name.AsString() == "" {
			broken = append(broken, fmt.Errorf("a resource without service.name"))
		}
		type id struct {
			trace pcommon.TraceID
			span  pcommon.SpanID
		}
		for _, in := range of.ScopeSpans().All() {
			ids := map[id]ptrace.Span{}
			for _, s := range in.Spans().All() {
				key := id{s.TraceID(), s.SpanID()}
				if s.TraceID().IsEmpty() || s.SpanID().IsEmpty() {
					wrong(s, "an id is empty")
				}
				if _, twice := ids[key]; twice {
					wrong(s, "its id is there twice")
				}
				ids[key] = s
			}
			for _, s := range in.Spans().All() {
				if s.Name() == "" {
					wrong(s, "it has no name")
				}
				if s.StartTimestamp() == 0 || s.EndTimestamp() < s.StartTimestamp() {
					wrong(s, "it runs from %d to %d", s.StartTimestamp(), s.EndTimestamp())
				}
				for _, e := range s.Events().All() {
					if e.Timestamp() < s.StartTimestamp() || e.Timestamp() > s.EndTimestamp() {
						wrong(s, "event %s is %d ns off", e.Name(), int64(e.Timestamp())-int64(s.EndTimestamp()))
					}
				}
				for _, l := range s.Links().All() {
					if l.TraceID().IsEmpty() || l.SpanID().IsEmpty() {
						wrong(s, "a link names nothing")
					}
				}
				if s.Kind() != ptrace.SpanKindClient {
					continue
				}
				parent, ok := ids[id{s.TraceID(), s.ParentSpanID()}]
				switch {
				case !ok:
					wrong(s, "its parent is not there")
				case parent.Kind() != ptrace.SpanKindServer:
					wrong(s, "its parent is no request")
				case s.StartTimestamp() < parent.StartTimestamp():
					wrong(s, "it begins before its request")
				}
			}
		}
	}
	return broken
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
