package otlp

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"

	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protojson"
)

// idFields are the members of OTLP's JSON that hold ids, which are hexadecimal there, not base64 as the bytes of
// protobuf's own JSON. Source: OTLP 1.x, JSON Protobuf Encoding.
var idFields = map[string]bool{"traceId": true, "spanId": true, "parentSpanId": true}

// errInvalidID is wrapped by the error of an id that is no string in the right encoding.
var errInvalidID = errors.New("otlp: an id can't be read")

// MarshalSpans encodes spans as one line of OTLP's JSON.
func MarshalSpans(t *tracepb.TracesData) ([]byte, error) {
	line, err := protojson.MarshalOptions{UseEnumNumbers: true}.Marshal(t)
	if err != nil {
		return nil, err
	}
	return recodeDocument(line, func(id string) (string, error) {
		raw, err := base64.StdEncoding.DecodeString(id)
		return hex.EncodeToString(raw), err
	})
}

// UnmarshalSpans decodes spans from a line of OTLP's JSON.
func UnmarshalSpans(line []byte) (*tracepb.TracesData, error) {
	line, err := recodeDocument(line, func(id string) (string, error) {
		raw, err := hex.DecodeString(id)
		return base64.StdEncoding.EncodeToString(raw), err
	})
	if err != nil {
		return nil, err
	}
	t := &tracepb.TracesData{}
	return t, protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(line, t)
}

// recodeDocument returns a line with its ids in another encoding.
func recodeDocument(line []byte, recodeID func(id string) (string, error)) ([]byte, error) {
	in := json.NewDecoder(bytes.NewReader(line))
	in.UseNumber()
	var document any
	if err := in.Decode(&document); err != nil {
		return nil, err
	}
	if err := recodeIDs(document, recodeID); err != nil {
		return nil, err
	}
	return json.Marshal(document)
}

// recodeIDs replaces the ids in a decoded JSON value.
func recodeIDs(value any, recodeID func(id string) (string, error)) error {
	switch v := value.(type) {
	case []any:
		for _, entry := range v {
			if err := recodeIDs(entry, recodeID); err != nil {
				return err
			}
		}
	case map[string]any:
		for name, member := range v {
			if !idFields[name] {
				if err := recodeIDs(member, recodeID); err != nil {
					return err
				}
				continue
			}
			id, ok := member.(string)
			if !ok {
				return errInvalidID
			}
			changed, err := recodeID(id)
			if err != nil {
				return errors.Join(errInvalidID, err)
			}
			v[name] = changed
		}
	}
	return nil
}
