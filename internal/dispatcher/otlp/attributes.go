package otlp

import (
	"maps"
	"slices"
	"strconv"

	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
)

// Attributes is a list of attributes as OTLP's messages hold it.
type Attributes []*commonpb.KeyValue

// PutStr adds an attribute that is a string.
func (a *Attributes) PutStr(key, value string) {
	*a = append(*a, stringAttribute(key, value))
}

// PutInt adds an attribute that is an integer.
func (a *Attributes) PutInt(key string, value int64) {
	a.put(key, &commonpb.AnyValue{Value: &commonpb.AnyValue_IntValue{IntValue: value}})
}

// PutDouble adds an attribute that is a floating-point number.
func (a *Attributes) PutDouble(key string, value float64) {
	a.put(key, &commonpb.AnyValue{Value: &commonpb.AnyValue_DoubleValue{DoubleValue: value}})
}

// PutBool adds an attribute that is a Boolean.
func (a *Attributes) PutBool(key string, value bool) {
	a.put(key, &commonpb.AnyValue{Value: &commonpb.AnyValue_BoolValue{BoolValue: value}})
}

func (a *Attributes) put(key string, value *commonpb.AnyValue) {
	*a = append(*a, &commonpb.KeyValue{Key: key, Value: value})
}

// Get returns the value of an attribute, nil if the list has none of the key.
func (a Attributes) Get(key string) *commonpb.AnyValue {
	for _, kv := range a {
		if kv.GetKey() == key {
			return kv.GetValue()
		}
	}
	return nil
}

// Text returns an attribute of any scalar type as a string, empty if the list has none of the key.
func (a Attributes) Text(key string) string {
	switch v := a.Get(key).GetValue().(type) {
	case *commonpb.AnyValue_StringValue:
		return v.StringValue
	case *commonpb.AnyValue_BoolValue:
		return strconv.FormatBool(v.BoolValue)
	case *commonpb.AnyValue_IntValue:
		return strconv.FormatInt(v.IntValue, 10)
	case *commonpb.AnyValue_DoubleValue:
		return strconv.FormatFloat(v.DoubleValue, 'f', -1, 64)
	default:
		return ""
	}
}

// Number returns an attribute as a number, 0 if it is none or the list has none of the key.
func (a Attributes) Number(key string) float64 {
	switch v := a.Get(key).GetValue().(type) {
	case *commonpb.AnyValue_IntValue:
		return float64(v.IntValue)
	case *commonpb.AnyValue_DoubleValue:
		return v.DoubleValue
	default:
		return 0
	}
}

// stringAttribute returns one attribute that is a string.
func stringAttribute(key, value string) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_StringValue{StringValue: value}}}
}

// stringAttributes returns attributes that are strings, sorted by key.
func stringAttributes(from map[string]string) (a Attributes) {
	for _, key := range slices.Sorted(maps.Keys(from)) {
		a.PutStr(key, from[key])
	}
	return a
}
