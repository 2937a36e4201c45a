package otlp

import (
	"testing"

	"frosttide/internal/dispatcher/trace"
)

// TestTextsThatAreNotUTF8 guards against a batch of spans that is lost as a whole because a text in
// one of its records can't be encoded.
func TestTextsThatAreNotUTF8(t *testing.T) {
	const bad = "repetici\xf3n"
	spans := Traces(map[string]string{"service.name": bad}, []*trace.Record{{Request: "a"}, {Request: bad}})
	encoded, err := TracesPayload(spans).Proto()
	if err != nil || len(encoded) == 0 {
		t.Errorf("got %d bytes, %v", len(encoded), err)
	}
}
