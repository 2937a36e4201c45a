package export

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"
)

// maxRetryAfter bounds the wait that a collector may request.
const maxRetryAfter = 30 * time.Second

// retryAfter parses a Retry-After header, in seconds or as an HTTP date. It returns 0 if the header
// is empty or malformed.
func retryAfter(text string, now time.Time) time.Duration {
	if s, err := strconv.Atoi(text); err == nil && s >= 0 {
		return min(time.Duration(min(s, 1<<20))*time.Second, maxRetryAfter)
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), maxRetryAfter)
	}
	return 0
}

// parsePartialSuccess returns how many items a collector rejected, and its error message. Source:
// ExportTracePartialSuccess, in the field partial_success = 1 of the response: rejected_spans = 1,
// error_message = 2; the response for metrics uses the same field numbers.
func parsePartialSuccess(response []byte) (rejected int64, message string, err error) {
	err = visitFields(response, func(number protowire.Number, _ uint64, value []byte) error {
		if number != 1 {
			return nil
		}
		return visitFields(value, func(number protowire.Number, varint uint64, value []byte) error {
			switch number {
			case 1:
				rejected = int64(varint)
			case 2:
				message = string(value)
			}
			return nil
		})
	})
	return rejected, message, err
}

// visitFields calls visit for each field of a protobuf message with its number and its varint or
// length-delimited value. Values of other wire types are passed as zero.
func visitFields(message []byte, visit func(protowire.Number, uint64, []byte) error) error {
	for len(message) > 0 {
		number, wireType, length := protowire.ConsumeTag(message)
		if length < 0 {
			return protowire.ParseError(length)
		}
		message = message[length:]
		var varint uint64
		var value []byte
		switch wireType {
		case protowire.VarintType:
			varint, length = protowire.ConsumeVarint(message)
		case protowire.BytesType:
			value, length = protowire.ConsumeBytes(message)
		default:
			length = protowire.ConsumeFieldValue(number, wireType, message)
		}
		if length < 0 {
			return protowire.ParseError(length)
		}
		message = message[length:]
		if err := visit(number, varint, value); err != nil {
			return err
		}
	}
	return nil
}

// retryInfo returns the delay that a gRPC error requests, and whether it requests one. Source:
// google.rpc.RetryInfo, retry_delay = 1, a Duration of seconds = 1 and nanos = 2.
func retryInfo(err error) (wait time.Duration, requested bool) {
	var connectErr *connect.Error
	if !errors.As(err, &connectErr) {
		return 0, false
	}
	for _, detail := range connectErr.Details() {
		if detail.Type() != "google.rpc.RetryInfo" {
			continue
		}
		requested = true
		_ = visitFields(detail.Bytes(), func(number protowire.Number, _ uint64, value []byte) error {
			return visitFields(value, func(number protowire.Number, varint uint64, _ []byte) error {
				switch number {
				case 1:
					wait += time.Duration(min(varint, 1<<20)) * time.Second
				case 2:
					wait += time.Duration(min(varint, 1e9))
				}
				return nil
			})
		})
	}
	return min(wait, maxRetryAfter), requested
}
