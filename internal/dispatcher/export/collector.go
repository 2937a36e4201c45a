package export

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protowire"

	"frosttide/internal/dispatcher/otlp"
)

// The methods of OTLP's services. Source: opentelemetry/proto/collector.
const (
	tracesMethod  = "/opentelemetry.proto.collector.trace.v1.TraceService/Export"
	metricsMethod = "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"
)

// maxResponseBytes bounds what is read of an answer. Guards memory and time against a
// collector that answers without end: what matters stands in the first bytes.
const maxResponseBytes = 64 << 10

// collector is a sink that speaks OTLP, over HTTP or gRPC. It has at most one connection.
type collector struct {
	endpoint  Endpoint
	transport *http.Transport
	grpc      *connect.Client[otlp.Message, otlp.Message]
}

func newCollector(to Endpoint, method string) *collector {
	c := &collector{endpoint: to}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, addr) // by the call's deadline
		},
		TLSClientConfig:        to.TLS,
		DisableCompression:     true, // guards memory against a small answer that unpacks to a large one
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        90 * time.Second,
		MaxResponseHeaderBytes: 16 << 10,
		Protocols:              new(http.Protocols),
	}
	if !to.GRPC {
		c.transport.Protocols.SetHTTP1(true)
		return c
	}
	c.transport.Protocols.SetHTTP2(true)
	c.transport.Protocols.SetUnencryptedHTTP2(true)
	options := []connect.ClientOption{connect.WithGRPC(), connect.WithCodec(otlp.Codec{}), connect.WithReadMaxBytes(maxResponseBytes)}
	if to.Gzip {
		options = append(options, connect.WithSendGzip())
	}
	c.grpc = connect.NewClient[otlp.Message, otlp.Message](&http.Client{Transport: c.transport, CheckRedirect: noRedirect}, to.URL+method, options...)
	return c
}

// noRedirect guards against a collector that sends its callers elsewhere: where data goes
// is the operators' word alone.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (c *collector) close() { c.transport.CloseIdleConnections() }

func (c *collector) write(p otlp.Payload) ([]byte, error) { return p.Proto() }

func (c *collector) send(ctx context.Context, body []byte) sendResult {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(c.endpoint.Timeout))
	defer cancel()
	if c.endpoint.GRPC {
		return c.call(ctx, body)
	}
	return c.post(ctx, body)
}

// post speaks OTLP/HTTP. Source: OTLP 1.x, "OTLP/HTTP".
func (c *collector) post(ctx context.Context, body []byte) sendResult {
	encoding := ""
	if c.endpoint.Gzip {
		var small bytes.Buffer
		z := gzip.NewWriter(&small)
		_, _ = z.Write(body) // to memory
		_ = z.Close()
		body, encoding = small.Bytes(), "gzip"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint.URL, bytes.NewReader(body))
	if err != nil {
		return sendResult{err: err, reason: droppedRefused}
	}
	for k, v := range c.endpoint.Headers {
		req.Header.Set(k, v)
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	req.Header.Set("User-Agent", "frosttide")
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return sendResult{err: err, retryable: !isCertificateError(err), reason: droppedRefused}
	}
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch code := resp.StatusCode; {
	case code/100 == 2 && err != nil:
		// The collector may have it: a second time would count twice, so it is not tried.
		return sendResult{err: fmt.Errorf("reading the answer: %w", err), reason: droppedRefused}
	case code/100 == 2:
		n, text, err := parsePartialSuccess(responseBody)
		if err != nil || len(responseBody) > maxResponseBytes {
			return sendResult{} // taken; what else the answer says can't be read
		}
		return acceptedResult(n, text)
	case code == http.StatusTooManyRequests, code == http.StatusBadGateway, code == http.StatusServiceUnavailable,
		code == http.StatusGatewayTimeout:
		return sendResult{err: fmt.Errorf("the collector answers %d", code), retryable: true,
			retryAfter: retryAfter(resp.Header.Get("Retry-After"), time.Now()), reason: droppedRefused}
	default:
		return sendResult{err: fmt.Errorf("the collector answers %d", code), reason: droppedRefused}
	}
}

// acceptedResult is the outcome of a call that was answered well; items that the collector left
// out are lost, as the specification forbids to send them again.
func acceptedResult(rejected int64, text string) sendResult {
	if rejected <= 0 {
		return sendResult{}
	}
	return sendResult{rejected: int(min(rejected, 1<<30)), reason: droppedRefused}
}

// isCertificateError tells whether trying again can't help.
func isCertificateError(err error) bool {
	var wrong *tls.CertificateVerificationError
	return errors.As(err, &wrong)
}

// maxRetryAfter bounds what a collector may ask to wait.
const maxRetryAfter = 30 * time.Second

// retryAfter reads a time to wait, in seconds or as a date.
func retryAfter(text string, now time.Time) time.Duration {
	if s, err := strconv.Atoi(text); err == nil && s >= 0 {
		return min(time.Duration(min(s, 1<<20))*time.Second, maxRetryAfter)
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), maxRetryAfter)
	}
	return 0
}

// parsePartialSuccess reads what a collector did not take. Source: ExportTracePartialSuccess, in the
// field partial_success = 1 of the answer: rejected_spans = 1, error_message = 2; the
// answer for metrics has the same numbers.
func parsePartialSuccess(responseBody []byte) (rejected int64, text string, err error) {
	err = visitFields(responseBody, func(n protowire.Number, _ uint64, of []byte) error {
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

// visitFields visits the fields of a message.
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

// call speaks OTLP/gRPC. Source: OTLP 1.x, "OTLP/gRPC" and its table of codes that may be
// tried again.
func (c *collector) call(ctx context.Context, body []byte) sendResult {
	req := connect.NewRequest(&otlp.Message{Bytes: body})
	for k, v := range c.endpoint.Headers {
		req.Header().Set(k, v)
	}
	resp, err := c.grpc.CallUnary(ctx, req)
	if err == nil {
		n, text, err := parsePartialSuccess(resp.Msg.Bytes)
		if err != nil {
			return sendResult{}
		}
		return acceptedResult(n, text)
	}
	o := sendResult{err: err, reason: droppedRefused}
	after, requested := retryInfo(err)
	switch connect.CodeOf(err) {
	case connect.CodeCanceled, connect.CodeDeadlineExceeded, connect.CodeAborted, connect.CodeOutOfRange,
		connect.CodeUnavailable, connect.CodeDataLoss:
		o.retryable = !isCertificateError(err)
	case connect.CodeResourceExhausted:
		o.retryable = requested
	}
	o.retryAfter = after
	return o
}

// retryInfo returns how long a gRPC error asks to wait. Source: google.rpc.RetryInfo,
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
