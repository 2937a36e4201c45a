package otlp

import (
	"go.opentelemetry.io/collector/pdata/pmetric"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// Payload is an OTLP message that can be encoded as protobuf or JSON.
type Payload struct {
	proto, json func() ([]byte, error)
}

// TracesPayload returns the payload for spans. Its protobuf encoding is also a valid
// ExportTraceServiceRequest, which has the same fields as TracesData.
func TracesPayload(t *tracepb.TracesData) Payload {
	return Payload{
		proto: func() ([]byte, error) { return proto.Marshal(t) },
		json:  func() ([]byte, error) { return MarshalSpans(t) },
	}
}

// MetricsPayload returns the payload for metrics.
func MetricsPayload(m pmetric.Metrics) Payload {
	return Payload{
		proto: func() ([]byte, error) { return (&pmetric.ProtoMarshaler{}).MarshalMetrics(m) },
		json:  func() ([]byte, error) { return (&pmetric.JSONMarshaler{}).MarshalMetrics(m) },
	}
}

// Proto encodes the message as protobuf.
func (p Payload) Proto() ([]byte, error) { return p.proto() }

// JSON encodes the message as one line of JSON without a newline, as the file exporter
// specification requires.
func (p Payload) JSON() ([]byte, error) { return p.json() }
