package otlp

import (
	"fmt"
	"time"

	"go.opentelemetry.io/collector/pdata/pcommon"
	"go.opentelemetry.io/collector/pdata/pmetric"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
)

// Metrics writes the figures that the SDK has gathered.
func Metrics(resource map[string]string, from *metricdata.ResourceMetrics) (pmetric.Metrics, error) {
	m := pmetric.NewMetrics()
	of := m.ResourceMetrics().AppendEmpty()
	putAttributes(of.Resource().Attributes(), resource)
	for _, s := range from.ScopeMetrics {
		in := of.ScopeMetrics().AppendEmpty()
		in.Scope().SetName(s.Scope.Name)
		for _, f := range s.Metrics {
			to := in.Metrics().AppendEmpty()
			to.SetName(f.Name)
			to.SetDescription(f.Description)
			to.SetUnit(f.Unit)
			switch data := f.Data.(type) {
			case metricdata.Sum[int64]:
				sum := to.SetEmptySum()
				sum.SetIsMonotonic(data.IsMonotonic)
				sum.SetAggregationTemporality(temporality(data.Temporality))
				putNumbers(sum.DataPoints(), data.DataPoints)
			case metricdata.Gauge[int64]:
				putNumbers(to.SetEmptyGauge().DataPoints(), data.DataPoints)
			case metricdata.ExponentialHistogram[float64]:
				h := to.SetEmptyExponentialHistogram()
				h.SetAggregationTemporality(temporality(data.Temporality))
				for i := range data.DataPoints {
					putHistogram(h.DataPoints().AppendEmpty(), &data.DataPoints[i])
				}
			default:
				return m, fmt.Errorf("figure %s is of the unforeseen form %T", f.Name, f.Data)
			}
		}
	}
	return m, nil
}

func temporality(t metricdata.Temporality) pmetric.AggregationTemporality {
	if t == metricdata.DeltaTemporality {
		return pmetric.AggregationTemporalityDelta
	}
	return pmetric.AggregationTemporalityCumulative
}

func timestamp(t time.Time) pcommon.Timestamp {
	if t.IsZero() {
		return 0
	}
	return pcommon.NewTimestampFromTime(t)
}

func putLabels(to pcommon.Map, from attribute.Set) {
	for it := from.Iter(); it.Next(); {
		kv := it.Attribute()
		if kv.Value.Type() == attribute.BOOL {
			to.PutBool(string(kv.Key), kv.Value.AsBool())
			continue
		}
		to.PutStr(string(kv.Key), kv.Value.String())
	}
}

func putNumbers(to pmetric.NumberDataPointSlice, from []metricdata.DataPoint[int64]) {
	for _, p := range from {
		n := to.AppendEmpty()
		putLabels(n.Attributes(), p.Attributes)
		n.SetStartTimestamp(timestamp(p.StartTime))
		n.SetTimestamp(timestamp(p.Time))
		n.SetIntValue(p.Value)
	}
}

func putHistogram(to pmetric.ExponentialHistogramDataPoint, from *metricdata.ExponentialHistogramDataPoint[float64]) {
	putLabels(to.Attributes(), from.Attributes)
	to.SetStartTimestamp(timestamp(from.StartTime))
	to.SetTimestamp(timestamp(from.Time))
	to.SetCount(from.Count)
	to.SetSum(from.Sum)
	to.SetScale(from.Scale)
	to.SetZeroCount(from.ZeroCount)
	to.SetZeroThreshold(from.ZeroThreshold)
	if v, ok := from.Min.Value(); ok {
		to.SetMin(v)
	}
	if v, ok := from.Max.Value(); ok {
		to.SetMax(v)
	}
	to.Positive().SetOffset(from.PositiveBucket.Offset)
	to.Positive().BucketCounts().FromRaw(from.PositiveBucket.Counts)
	to.Negative().SetOffset(from.NegativeBucket.Offset)
	to.Negative().BucketCounts().FromRaw(from.NegativeBucket.Counts)
	for _, e := range from.Exemplars {
		x := to.Exemplars().AppendEmpty()
		x.SetDoubleValue(e.Value)
		x.SetTimestamp(timestamp(e.Time))
		x.SetTraceID(pcommon.TraceID(e.TraceID))
		x.SetSpanID(pcommon.SpanID(e.SpanID))
	}
}
