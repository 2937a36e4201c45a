package otlp

import (
	"go.opentelemetry.io/collector/pdata/pmetric"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// Payload is a message that can be written either way.
type Payload struct {
	proto, json func() ([]byte, error)
}

// TracesPayload returns the payload of spans. Its protobuf form is that of
// ExportTraceServiceRequest, which has the fields of TracesData.
func TracesPayload(t *tracepb.TracesData) Payload {
	return Payload{
		proto: func() ([]byte, error) { return proto.Marshal(t) },
		json:  func() ([]byte, error) { return MarshalSpans(t) },
	}
}

// MetricsPayload returns the payload of figures.
func MetricsPayload(m pmetric.Metrics) Payload {
	return Payload{
		proto: func() ([]byte, error) { return (&pmetric.ProtoMarshaler{}).MarshalMetrics(m) },
		json:  func() ([]byte, error) { return (&pmetric.JSONMarshaler{}).MarshalMetrics(m) },
	}
}

// Proto writes the message as protobuf.
func (p Payload) Proto() ([]byte, error) { return p.proto() }

// JSON writes it as one line of JSON, as the file exporter's specification has it.
func (p Payload) JSON() ([]byte, error) { return p.json() }
