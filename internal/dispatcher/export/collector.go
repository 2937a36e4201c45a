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
	"time"

	"connectrpc.com/connect"

	"frosttide/internal/dispatcher/otlp"
)

// The gRPC methods of the OTLP services. Source: opentelemetry/proto/collector.
const (
	tracesMethod  = "/opentelemetry.proto.collector.trace.v1.TraceService/Export"
	metricsMethod = "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"
)

// maxResponseBytes bounds the memory and time spent on reading a response, whose relevant fields
// are in its first bytes.
const maxResponseBytes = 64 << 10

// collector is a sink that sends OTLP over HTTP or gRPC, over at most one connection.
type collector struct {
	endpoint  Endpoint
	transport *http.Transport
	grpc      *connect.Client[otlp.Message, otlp.Message]
}

// newCollector returns a sink for an endpoint. Method is the path of the gRPC method and is not
// used with HTTP.
func newCollector(endpoint Endpoint, method string) *collector {
	c := &collector{endpoint: endpoint}
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, addr) // bounded by the call's deadline
		},
		TLSClientConfig:        endpoint.TLS,
		DisableCompression:     true, // a small compressed response could expand to a large one
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        90 * time.Second,
		MaxResponseHeaderBytes: 16 << 10,
		Protocols:              new(http.Protocols),
	}
	if !endpoint.GRPC {
		c.transport.Protocols.SetHTTP1(true)
		return c
	}
	c.transport.Protocols.SetHTTP2(true)
	c.transport.Protocols.SetUnencryptedHTTP2(true)
	options := []connect.ClientOption{connect.WithGRPC(), connect.WithCodec(otlp.Codec{}), connect.WithReadMaxBytes(maxResponseBytes)}
	if endpoint.Gzip {
		options = append(options, connect.WithSendGzip())
	}
	client := &http.Client{Transport: c.transport, CheckRedirect: noRedirect}
	c.grpc = connect.NewClient[otlp.Message, otlp.Message](client, endpoint.URL+method, options...)
	return c
}

// noRedirect disables redirects: only the configuration decides where data is sent.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// close implements sink.
func (c *collector) close() { c.transport.CloseIdleConnections() }

// write implements sink.
func (c *collector) write(p otlp.Payload) ([]byte, error) { return p.Proto() }

// send implements sink. The call is bounded by the endpoint's timeout.
func (c *collector) send(ctx context.Context, body []byte) sendResult {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(c.endpoint.Timeout))
	defer cancel()
	if c.endpoint.GRPC {
		return c.call(ctx, body)
	}
	return c.post(ctx, body)
}

// post sends a batch over OTLP/HTTP. Source: OTLP 1.x, "OTLP/HTTP".
func (c *collector) post(ctx context.Context, body []byte) sendResult {
	request, err := c.newRequest(ctx, body)
	if err != nil {
		return sendResult{err: err, reason: droppedRefused}
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return sendResult{err: err, retryable: !isCertificateError(err), reason: droppedRefused}
	}
	defer response.Body.Close()
	return httpResult(response)
}

// newRequest returns the HTTP request that carries a batch, compressed if the endpoint asks for it.
func (c *collector) newRequest(ctx context.Context, body []byte) (*http.Request, error) {
	encoding := ""
	if c.endpoint.Gzip {
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		_, _ = writer.Write(body) // writing to memory can't fail
		_ = writer.Close()
		body, encoding = compressed.Bytes(), "gzip"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.endpoint.URL, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, value := range c.endpoint.Headers {
		request.Header.Set(name, value)
	}
	request.Header.Set("Content-Type", "application/x-protobuf")
	request.Header.Set("User-Agent", "frosttide")
	if encoding != "" {
		request.Header.Set("Content-Encoding", encoding)
	}
	return request, nil
}

// httpResult converts an HTTP response to the result of a call.
func httpResult(response *http.Response) sendResult {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	switch code := response.StatusCode; {
	case code/100 == 2 && err != nil:
		// The collector may have accepted the batch; a retry could deliver it twice.
		return sendResult{err: fmt.Errorf("reading the collector's response: %w", err), reason: droppedRefused}
	case code/100 == 2:
		rejected, _, err := parsePartialSuccess(body)
		if err != nil || len(body) > maxResponseBytes {
			return sendResult{} // the batch was accepted; the rest of the response is unreadable
		}
		return acceptedResult(rejected)
	case code == http.StatusTooManyRequests, code == http.StatusBadGateway, code == http.StatusServiceUnavailable,
		code == http.StatusGatewayTimeout:
		return sendResult{err: fmt.Errorf("the collector returned HTTP status %d", code), retryable: true,
			retryAfter: retryAfter(response.Header.Get("Retry-After"), time.Now()), reason: droppedRefused}
	default:
		return sendResult{err: fmt.Errorf("the collector returned HTTP status %d", code), reason: droppedRefused}
	}
}

// acceptedResult returns the result of a successful call. Items that the collector rejected are
// lost: the specification forbids resending them.
func acceptedResult(rejected int64) sendResult {
	if rejected <= 0 {
		return sendResult{}
	}
	return sendResult{rejected: int(min(rejected, 1<<30)), reason: droppedRefused}
}

// isCertificateError reports whether the collector's certificate failed verification, which a retry
// does not fix.
func isCertificateError(err error) bool {
	var certificateError *tls.CertificateVerificationError
	return errors.As(err, &certificateError)
}

// call sends a batch over OTLP/gRPC. Source: OTLP 1.x, "OTLP/gRPC" and its table of retryable
// codes.
func (c *collector) call(ctx context.Context, body []byte) sendResult {
	request := connect.NewRequest(&otlp.Message{Bytes: body})
	for name, value := range c.endpoint.Headers {
		request.Header().Set(name, value)
	}
	response, err := c.grpc.CallUnary(ctx, request)
	if err == nil {
		rejected, _, err := parsePartialSuccess(response.Msg.Bytes)
		if err != nil {
			return sendResult{}
		}
		return acceptedResult(rejected)
	}
	delay, delayRequested := retryInfo(err)
	result := sendResult{err: err, retryAfter: delay, reason: droppedRefused}
	switch connect.CodeOf(err) {
	case connect.CodeCanceled, connect.CodeDeadlineExceeded, connect.CodeAborted, connect.CodeOutOfRange,
		connect.CodeUnavailable, connect.CodeDataLoss:
		result.retryable = !isCertificateError(err)
	case connect.CodeResourceExhausted:
		result.retryable = delayRequested
	}
	return result
}
