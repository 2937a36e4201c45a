package otlp

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.opentelemetry.io/collector/pdata/pcommon"
	"go.opentelemetry.io/collector/pdata/pmetric"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"
)

// Metrics returns figures that the SDK has collected in OTLP's form. It fails for an aggregation that package measures
// does not use.
func Metrics(resource map[string]string, from *metricdata.ResourceMetrics) (pmetric.Metrics, error) {
	metrics := pmetric.NewMetrics()
	resourceMetrics := metrics.ResourceMetrics().AppendEmpty()
	attributes := resourceMetrics.Resource().Attributes()
	for _, key := range slices.Sorted(maps.Keys(resource)) {
		attributes.PutStr(key, resource[key])
	}
	for _, scopeMetrics := range from.ScopeMetrics {
		to := resourceMetrics.ScopeMetrics().AppendEmpty()
		to.Scope().SetName(scopeMetrics.Scope.Name)
		for _, m := range scopeMetrics.Metrics {
			if err := putMetric(to.Metrics().AppendEmpty(), m); err != nil {
				return metrics, err
			}
		}
	}
	return metrics, nil
}

// putMetric sets a figure.
func putMetric(to pmetric.Metric, from metricdata.Metrics) error {
	to.SetName(from.Name)
	to.SetDescription(from.Description)
	to.SetUnit(from.Unit)
	switch data := from.Data.(type) {
	case metricdata.Sum[int64]:
		sum := to.SetEmptySum()
		sum.SetIsMonotonic(data.IsMonotonic)
		sum.SetAggregationTemporality(temporality(data.Temporality))
		putNumbers(sum.DataPoints(), data.DataPoints)
	case metricdata.Gauge[int64]:
		putNumbers(to.SetEmptyGauge().DataPoints(), data.DataPoints)
	case metricdata.ExponentialHistogram[float64]:
		histogram := to.SetEmptyExponentialHistogram()
		histogram.SetAggregationTemporality(temporality(data.Temporality))
		for i := range data.DataPoints {
			putHistogram(histogram.DataPoints().AppendEmpty(), &data.DataPoints[i])
		}
	default:
		return fmt.Errorf("figure %s is of the unforeseen form %T", from.Name, from.Data)
	}
	return nil
}

func temporality(t metricdata.Temporality) pmetric.AggregationTemporality {
	if t == metricdata.DeltaTemporality {
		return pmetric.AggregationTemporalityDelta
	}
	return pmetric.AggregationTemporalityCumulative
}

// timestamp returns a time as figures hold it, 0 for none.
func timestamp(t time.Time) pcommon.Timestamp {
	if t.IsZero() {
		return 0
	}
	return pcommon.NewTimestampFromTime(t)
}

// putLabels sets the attributes of a data point.
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

// putNumbers adds the data points of a sum or gauge.
func putNumbers(to pmetric.NumberDataPointSlice, from []metricdata.DataPoint[int64]) {
	for _, p := range from {
		n := to.AppendEmpty()
		putLabels(n.Attributes(), p.Attributes)
		n.SetStartTimestamp(timestamp(p.StartTime))
		n.SetTimestamp(timestamp(p.Time))
		n.SetIntValue(p.Value)
	}
}

// putHistogram sets a data point of a histogram.
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
