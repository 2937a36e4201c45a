package export

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"
)

// maxRetryAfter bounds the wait that a collector may ask for.
const maxRetryAfter = 30 * time.Second

// retryAfter returns the wait that a Retry-After header asks for, in seconds or as a date; 0 if it asks for none.
func retryAfter(text string, now time.Time) time.Duration {
	if s, err := strconv.Atoi(text); err == nil && s >= 0 {
		return min(time.Duration(min(s, 1<<20))*time.Second, maxRetryAfter)
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), maxRetryAfter)
	}
	return 0
}

// parsePartialSuccess returns how many items a collector has rejected, and why. Source: ExportTracePartialSuccess, in the
// field partial_success = 1 of the response: rejected_spans = 1, error_message = 2; the response for metrics has the same
// numbers.
func parsePartialSuccess(response []byte) (rejected int64, text string, err error) {
	err = visitFields(response, func(n protowire.Number, _ uint64, of []byte) error {
		if n != 1 {
			return nil
		}
		return visitFields(of, func(n protowire.Number, v uint64, of []byte) error {
			switch n {
			case 1:
				rejected = int64(v)
			case 2:
				text = string(of)
			}
			return nil
		})
	})
	return rejected, text, err
}

// visitFields calls visit with the number of each field of a protobuf message and its value, if that is a varint or
// bytes.
func visitFields(message []byte, visit func(protowire.Number, uint64, []byte) error) error {
	for len(message) > 0 {
		n, kind, used := protowire.ConsumeTag(message)
		if used < 0 {
			return protowire.ParseError(used)
		}
		message = message[used:]
		var v uint64
		var of []byte
		switch kind {
		case protowire.VarintType:
			v, used = protowire.ConsumeVarint(message)
		case protowire.BytesType:
			of, used = protowire.ConsumeBytes(message)
		default:
			used = protowire.ConsumeFieldValue(n, kind, message)
		}
		if used < 0 {
			return protowire.ParseError(used)
		}
		message = message[used:]
		if err := visit(n, v, of); err != nil {
			return err
		}
	}
	return nil
}

// retryInfo returns the wait that a gRPC error asks for, and whether it asks for one. Source: google.rpc.RetryInfo,
// retry_delay = 1, a Duration of seconds = 1 and nanos = 2.
func retryInfo(err error) (wait time.Duration, requested bool) {
	var e *connect.Error
	if !errors.As(err, &e) {
		return 0, false
	}
	for _, d := range e.Details() {
		if d.Type() != "google.rpc.RetryInfo" {
			continue
		}
		requested = true
		_ = visitFields(d.Bytes(), func(n protowire.Number, _ uint64, of []byte) error {
			return visitFields(of, func(n protowire.Number, v uint64, _ []byte) error {
				switch n {
				case 1:
					wait += time.Duration(min(v, 1<<20)) * time.Second
				case 2:
					wait += time.Duration(min(v, 1e9))
				}
				return nil
			})
		})
	}
	return min(wait, maxRetryAfter), requested
}
