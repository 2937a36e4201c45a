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

// Metrics converts metrics collected by the SDK to OTLP. It returns an error for an aggregation
// that package measures does not use.
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

// putMetric converts a metric with all of its data points.
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
		return fmt.Errorf("metric %s has the unsupported aggregation %T", from.Name, from.Data)
	}
	return nil
}

// temporality converts the SDK's temporality to that of OTLP.
func temporality(t metricdata.Temporality) pmetric.AggregationTemporality {
	if t == metricdata.DeltaTemporality {
		return pmetric.AggregationTemporalityDelta
	}
	return pmetric.AggregationTemporalityCumulative
}

// timestamp converts a time to an OTLP timestamp, 0 for the zero time.
func timestamp(t time.Time) pcommon.Timestamp {
	if t.IsZero() {
		return 0
	}
	return pcommon.NewTimestampFromTime(t)
}

// putAttributes converts the attributes of a data point.
func putAttributes(to pcommon.Map, from attribute.Set) {
	for it := from.Iter(); it.Next(); {
		kv := it.Attribute()
		if kv.Value.Type() == attribute.BOOL {
			to.PutBool(string(kv.Key), kv.Value.AsBool())
			continue
		}
		to.PutStr(string(kv.Key), kv.Value.String())
	}
}

// putNumbers converts the data points of a sum or gauge.
func putNumbers(to pmetric.NumberDataPointSlice, from []metricdata.DataPoint[int64]) {
	for _, source := range from {
		point := to.AppendEmpty()
		putAttributes(point.Attributes(), source.Attributes)
		point.SetStartTimestamp(timestamp(source.StartTime))
		point.SetTimestamp(timestamp(source.Time))
		point.SetIntValue(source.Value)
	}
}

// putHistogram converts a data point of an exponential histogram.
func putHistogram(to pmetric.ExponentialHistogramDataPoint, from *metricdata.ExponentialHistogramDataPoint[float64]) {
	putAttributes(to.Attributes(), from.Attributes)
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
	for _, exemplar := range from.Exemplars {
		target := to.Exemplars().AppendEmpty()
		target.SetDoubleValue(exemplar.Value)
		target.SetTimestamp(timestamp(exemplar.Time))
		target.SetTraceID(pcommon.TraceID(exemplar.TraceID))
		target.SetSpanID(pcommon.SpanID(exemplar.SpanID))
	}
}
