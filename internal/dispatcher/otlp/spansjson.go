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

// idFields are the fields of OTLP JSON that hold ids. They are hexadecimal, unlike other bytes
// fields, which are base64 as in the standard protobuf JSON mapping. Source: OTLP 1.x, JSON
// Protobuf Encoding.
var idFields = map[string]bool{"traceId": true, "spanId": true, "parentSpanId": true}

// errInvalidID is wrapped by the errors for an id that is not a string or has the wrong encoding.
var errInvalidID = errors.New("otlp: malformed id")

// MarshalSpans encodes spans as one line of OTLP JSON, without a newline.
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

// UnmarshalSpans decodes spans from a line of OTLP JSON. Unknown fields are ignored.
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

// recodeDocument returns a JSON document with its ids converted to another encoding.
func recodeDocument(line []byte, recodeID func(id string) (string, error)) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber()
	var document any
	if err := decoder.Decode(&document); err != nil {
		return nil, err
	}
	if err := recodeIDs(document, recodeID); err != nil {
		return nil, err
	}
	return json.Marshal(document)
}

// recodeIDs converts the ids in a decoded JSON value in place.
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
			recoded, err := recodeID(id)
			if err != nil {
				return errors.Join(errInvalidID, err)
			}
			v[name] = recoded
		}
	}
	return nil
}
