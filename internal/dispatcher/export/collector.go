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
	tracesMethod   = "/opentelemetry.proto.collector.trace.v1.TraceService/Export"
	measuresMethod = "/opentelemetry.proto.collector.metrics.v1.MetricsService/Export"
)

// mostAnswer bounds what is read of an answer. Guards memory and time against a
// collector that answers without end: what matters stands in the first bytes.
const mostAnswer = 64 << 10

// collector is a sink that speaks OTLP, over HTTP or gRPC. It has at most one connection.
type collector struct {
	to        Endpoint
	transport *http.Transport
	grpc      *connect.Client[otlp.Message, otlp.Message]
}

func newCollector(to Endpoint, method string) *collector {
	c := &collector{to: to}
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
	options := []connect.ClientOption{connect.WithGRPC(), connect.WithCodec(otlp.Codec{}), connect.WithReadMaxBytes(mostAnswer)}
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

func (c *collector) send(ctx context.Context, body []byte) outcome {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(c.to.Timeout))
	defer cancel()
	if c.to.GRPC {
		return c.call(ctx, body)
	}
	return c.post(ctx, body)
}

// post speaks OTLP/HTTP. Source: OTLP 1.x, "OTLP/HTTP".
func (c *collector) post(ctx context.Context, body []byte) outcome {
	encoding := ""
	if c.to.Gzip {
		var small bytes.Buffer
		z := gzip.NewWriter(&small)
		_, _ = z.Write(body) // to memory
		_ = z.Close()
		body, encoding = small.Bytes(), "gzip"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.to.URL, bytes.NewReader(body))
	if err != nil {
		return outcome{err: err, why: lostRefused}
	}
	for k, v := range c.to.Headers {
		req.Header.Set(k, v)
	}
	req.Header.Set("Content-Type", "application/x-protobuf")
	req.Header.Set("User-Agent", "frosttide")
	if encoding != "" {
		req.Header.Set("Content-Encoding", encoding)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return outcome{err: err, again: !wrongCertificate(err), why: lostRefused}
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer+1))
	switch code := resp.StatusCode; {
	case code/100 == 2 && err != nil:
		// The collector may have it: a second time would count twice, so it is not tried.
		return outcome{err: fmt.Errorf("reading the answer: %w", err), why: lostRefused}
	case code/100 == 2:
		n, text, err := partial(answer)
		if err != nil || len(answer) > mostAnswer {
			return outcome{} // taken; what else the answer says can't be read
		}
		return taken(n, text)
	case code == http.StatusTooManyRequests, code == http.StatusBadGateway, code == http.StatusServiceUnavailable,
		code == http.StatusGatewayTimeout:
		return outcome{err: fmt.Errorf("the collector answers %d", code), again: true,
			after: retryAfter(resp.Header.Get("Retry-After"), time.Now()), why: lostRefused}
	default:
		return outcome{err: fmt.Errorf("the collector answers %d", code), why: lostRefused}
	}
}

// taken is the outcome of a call that was answered well; items that the collector left
// out are lost, as the specification forbids to send them again.
func taken(rejected int64, text string) outcome {
	if rejected <= 0 {
		return outcome{}
	}
	return outcome{rejected: int(min(rejected, 1<<30)), why: lostRefused}
}

// wrongCertificate tells whether trying again can't help.
func wrongCertificate(err error) bool {
	var wrong *tls.CertificateVerificationError
	return errors.As(err, &wrong)
}

// mostPause bounds what a collector may ask to wait.
const mostPause = 30 * time.Second

// retryAfter reads a time to wait, in seconds or as a date.
func retryAfter(text string, now time.Time) time.Duration {
	if s, err := strconv.Atoi(text); err == nil && s >= 0 {
		return min(time.Duration(min(s, 1<<20))*time.Second, mostPause)
	}
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), mostPause)
	}
	return 0
}

// partial reads what a collector did not take. Source: ExportTracePartialSuccess, in the
// field partial_success = 1 of the answer: rejected_spans = 1, error_message = 2; the
// answer for metrics has the same numbers.
func partial(answer []byte) (rejected int64, text string, err error) {
	err = fields(answer, func(n protowire.Number, _ uint64, of []byte) error {
		if n != 1 {
			return nil
		}
		return fields(of, func(n protowire.Number, v uint64, of []byte) error {
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

// fields visits the fields of a message.
func fields(message []byte, visit func(protowire.Number, uint64, []byte) error) error {
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
func (c *collector) call(ctx context.Context, body []byte) outcome {
	req := connect.NewRequest(&otlp.Message{Bytes: body})
	for k, v := range c.to.Headers {
		req.Header().Set(k, v)
	}
	resp, err := c.grpc.CallUnary(ctx, req)
	if err == nil {
		n, text, err := partial(resp.Msg.Bytes)
		if err != nil {
			return outcome{}
		}
		return taken(n, text)
	}
	o := outcome{err: err, why: lostRefused}
	after, asked := retryInfo(err)
	switch connect.CodeOf(err) {
	case connect.CodeCanceled, connect.CodeDeadlineExceeded, connect.CodeAborted, connect.CodeOutOfRange,
		connect.CodeUnavailable, connect.CodeDataLoss:
		o.again = !wrongCertificate(err)
	case connect.CodeResourceExhausted:
		o.again = asked
	}
	o.after = after
	return o
}

// retryInfo returns how long a gRPC error asks to wait. Source: google.rpc.RetryInfo,
// retry_delay = 1, a Duration of seconds = 1 and nanos = 2.
func retryInfo(err error) (wait time.Duration, asked bool) {
	var e *connect.Error
	if !errors.As(err, &e) {
		return 0, false
	}
	for _, d := range e.Details() {
		if d.Type() != "google.rpc.RetryInfo" {
			continue
		}
		asked = true
		_ = fields(d.Bytes(), func(n protowire.Number, _ uint64, of []byte) error {
			return fields(of, func(n protowire.Number, v uint64, _ []byte) error {
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
	return min(wait, mostPause), asked
}
