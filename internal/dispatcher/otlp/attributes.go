package otlp

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
)

// Attributes is a list of attributes in the form that OTLP messages use. Keys are not checked for
// duplicates.
type Attributes []*commonpb.KeyValue

// PutStr appends a string attribute.
func (a *Attributes) PutStr(key, value string) {
	*a = append(*a, stringAttribute(key, value))
}

// PutInt appends an integer attribute.
func (a *Attributes) PutInt(key string, value int64) {
	a.put(key, &commonpb.AnyValue{Value: &commonpb.AnyValue_IntValue{IntValue: value}})
}

// PutDouble appends a floating-point attribute.
func (a *Attributes) PutDouble(key string, value float64) {
	a.put(key, &commonpb.AnyValue{Value: &commonpb.AnyValue_DoubleValue{DoubleValue: value}})
}

// PutBool appends a Boolean attribute.
func (a *Attributes) PutBool(key string, value bool) {
	a.put(key, &commonpb.AnyValue{Value: &commonpb.AnyValue_BoolValue{BoolValue: value}})
}

// put appends an attribute with an encoded value.
func (a *Attributes) put(key string, value *commonpb.AnyValue) {
	*a = append(*a, &commonpb.KeyValue{Key: key, Value: value})
}

// Get returns the value of the first attribute with the key, or nil if there is none.
func (a Attributes) Get(key string) *commonpb.AnyValue {
	for _, kv := range a {
		if kv.GetKey() == key {
			return kv.GetValue()
		}
	}
	return nil
}

// Text returns a scalar attribute formatted as a string, empty if there is none with the key.
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

// Number returns a numeric attribute, 0 if it is not numeric or there is none with the key.
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

// stringAttribute returns a single string attribute. Bytes that are not UTF-8 are replaced by U+FFFD, as
// protobuf would encode none of the message.
func stringAttribute(key, value string) *commonpb.KeyValue {
	return &commonpb.KeyValue{Key: key, Value: &commonpb.AnyValue{Value: &commonpb.AnyValue_StringValue{StringValue: strings.ToValidUTF8(value, "\ufffd")}}}
}

// stringAttributes returns string attributes sorted by key.
func stringAttributes(values map[string]string) (a Attributes) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		a.PutStr(key, values[key])
	}
	return a
}
