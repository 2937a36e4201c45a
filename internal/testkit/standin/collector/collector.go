// Package collector implements a fake OpenTelemetry collector for tests and measurements. It serves
// OTLP/HTTP and OTLP/gRPC at one address, checks each payload against the rules of the protocol,
// keeps the calls that it receives, and injects faults into its responses.
//
// The rules follow OTLP 1.x and the OpenTelemetry data models of traces and metrics.
package collector

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
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/collector/pdata/pmetric"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"frosttide/internal/dispatcher/otlp"
)

// Fault describes the response to an export call. The zero value accepts the call.
type Fault struct {
	Status     int    // HTTP status or gRPC code; 0 for success
	RetryAfter string // HTTP: Retry-After header; gRPC: whole seconds, sent as RetryInfo
	Body       []byte // response body or gRPC message, instead of an empty one
	Rejected   int64  // partial success: number of items reported as rejected; replaces Body
	Hang       bool   // reads the call and never responds
	Drip       bool   // HTTP: sends one byte of the response per second; gRPC: like Hang
	Reset      bool   // HTTP: closes the connection in the middle of the response; gRPC: DataLoss
}

// Spans and Points are the decoded payloads of calls that export traces and metrics.
type (
	Spans  = tracepb.TracesData
	Points = pmetric.Metrics
)

// Call is a received export call.
type Call struct {
	At       time.Time // when the payload had been read and checked
	Path     string
	Header   http.Header
	GRPC     bool
	Traces   *Spans  // nil for metrics, and if the payload can't be decoded
	Measures *Points // nil for traces, and if the payload can't be decoded
	Taken    bool    // whether no fault made the call fail; a partial success counts
}

// Collector is a running fake collector. Start creates it. It is safe for concurrent use.
type Collector struct {
	Addr string // host:port

	server   *http.Server
	received chan Call

	mu         sync.Mutex // guards the fields below, up to maxConns
	faults     []Fault    // of the next calls, in order; the last one applies to all further calls
	violations []error
	calls      []Call
	conns      int           // open connections
	maxConns   int           // maximum of conns so far
	stop       chan struct{} // closed by Kill
	stopOnce   sync.Once
}

// maxCalls bounds the calls that a collector keeps; older ones are dropped.
const maxCalls = 4096

// Start starts a collector at an address (host:port). With a certificate it serves TLS. It returns
// an error if the address can't be listened on.
func Start(addr string, cert *tls.Certificate) (*Collector, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("collector: %w", err)
	}
	c := &Collector{Addr: l.Addr().String(), received: make(chan Call, maxCalls), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", func(w http.ResponseWriter, r *http.Request) { c.serveHTTPExport(w, r, true) })
	mux.HandleFunc("POST /v1/metrics", func(w http.ResponseWriter, r *http.Request) { c.serveHTTPExport(w, r, false) })
	for path, traces := range map[string]bool{
		"/opentelemetry.proto.collector.trace.v1.TraceService/Export":     true,
		"/opentelemetry.proto.collector.metrics.v1.MetricsService/Export": false} {
		mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, r *connect.Request[otlp.Message]) (*connect.Response[otlp.Message], error) {
			return c.serveGRPCExport(ctx, r, path, traces)
		}, connect.WithCodec(otlp.Codec{})))
	}
	c.server = &http.Server{Handler: mux, Protocols: new(http.Protocols), ConnState: c.countConnection}
	c.server.Protocols.SetHTTP1(true)
	if cert != nil {
		c.server.Protocols.SetHTTP2(true)
		c.server.TLSConfig = &tls.Config{Certificates: []tls.Certificate{*cert}}
		go func() { _ = c.server.ServeTLS(l, "", "") }()
	} else {
		c.server.Protocols.SetUnencryptedHTTP2(true)
		go func() { _ = c.server.Serve(l) }()
	}
	return c, nil
}

// Kill closes the collector at once, with all connections and open calls, like a killed process.
func (c *Collector) Kill() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.server.Close()
}

// Script sets the faults of the next calls, one each. The last one applies to all further calls.
func (c *Collector) Script(faults ...Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// Calls returns a channel of all calls, sent once they have been read, whatever their response.
// Calls are dropped while the channel is full.
func (c *Collector) Calls() <-chan Call { return c.received }

// Taken returns the kept calls whose Taken is set, oldest first.
func (c *Collector) Taken() (out []Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		if call.Taken {
			out = append(out, call)
		}
	}
	return out
}

// Broken returns all violations of the protocol found so far as one error, nil if there are none.
func (c *Collector) Broken() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(c.violations...)
}

// Connections returns the number of open connections and its maximum so far.
func (c *Collector) Connections() (open, peak int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns, c.maxConns
}

// countConnection tracks the number of open connections, as the server's ConnState hook.
func (c *Collector) countConnection(_ net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.conns++
		c.maxConns = max(c.maxConns, c.conns)
	case http.StateClosed, http.StateHijacked:
		c.conns--
	}
}

// record decodes and checks a payload, keeps the call and returns the fault that applies to it.
func (c *Collector) record(call Call, traces bool, body []byte) Fault {
	var violations []error
	if traces {
		t := &tracepb.TracesData{}
		if err := proto.Unmarshal(body, t); err != nil {
			violations = append(violations, err)
		} else {
			call.Traces = t
			violations = CheckTraces(t)
		}
	} else {
		m, err := (&pmetric.ProtoUnmarshaler{}).UnmarshalMetrics(body)
		if err != nil {
			violations = append(violations, err)
		} else {
			call.Measures = &m
			violations = CheckMetrics(m)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, violations...)
	var f Fault
	if len(c.faults) > 0 {
		f = c.faults[0]
		if len(c.faults) > 1 {
			c.faults = c.faults[1:]
		}
	}
	call.At = time.Now()
	call.Taken = f.Status == 0 && !f.Hang && !f.Drip && !f.Reset
	if len(c.calls) >= maxCalls {
		c.calls = c.calls[1:]
	}
	c.calls = append(c.calls, call)
	select {
	case c.received <- call:
	default: // the channel is full: nobody reads it
	}
	return f
}

// hang waits until the request is canceled or the collector is killed.
func (c *Collector) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.stop:
	}
}

// serveHTTPExport serves an export call over OTLP/HTTP, of traces or else of metrics.
func (c *Collector) serveHTTPExport(w http.ResponseWriter, r *http.Request, traces bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(bytes.NewReader(body))
		if err == nil {
			body, err = io.ReadAll(z)
		}
		if err != nil {
			http.Error(w, "gzip", http.StatusBadRequest)
			return
		}
	}
	f := c.record(Call{Path: r.URL.Path, Header: r.Header}, traces, body)
	if f.Hang {
		c.hang(r.Context())
		return
	}
	if r.Header.Get("Content-Type") != "application/x-protobuf" {
		f = Fault{Status: http.StatusUnsupportedMediaType}
	}
	response := f.Body
	if f.Rejected > 0 {
		response = partialSuccess(f.Rejected)
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	if f.RetryAfter != "" {
		w.Header().Set("Retry-After", f.RetryAfter)
	}
	switch {
	case f.Drip, f.Reset:
		w.Header().Set("Content-Length", "1000")
		w.WriteHeader(http.StatusOK)
		out := http.NewResponseController(w)
		_, _ = w.Write([]byte{0})
		_ = out.Flush()
		if f.Reset {
			panic(http.ErrAbortHandler) // closes the connection before the promised length is sent
		}
		second := time.NewTicker(time.Second)
		defer second.Stop()
		for {
			select {
			case <-second.C:
			case <-r.Context().Done():
				return
			case <-c.stop:
				return
			}
			_, _ = w.Write([]byte{0})
			_ = out.Flush()
		}
	case f.Status != 0:
		w.WriteHeader(f.Status)
	}
	_, _ = w.Write(response)
}

// partialSuccess returns an encoded export response that reports rejected items. In OTLP its field
// 1 is partial_success, a message with the number of rejected items in field 1 and error_message in
// field 2.
func partialSuccess(rejected int64) []byte {
	var details []byte
	details = protowire.AppendTag(details, 1, protowire.VarintType)
	details = protowire.AppendVarint(details, uint64(rejected))
	details = protowire.AppendTag(details, 2, protowire.BytesType)
	details = protowire.AppendString(details, "some are left out")
	out := protowire.AppendTag(nil, 1, protowire.BytesType)
	return protowire.AppendBytes(out, details)
}

// serveGRPCExport serves an export call over OTLP/gRPC, of traces or else of metrics.
func (c *Collector) serveGRPCExport(ctx context.Context, r *connect.Request[otlp.Message], path string, traces bool) (*connect.Response[otlp.Message], error) {
	f := c.record(Call{Path: path, Header: r.Header(), GRPC: true}, traces, r.Msg.Bytes)
	if f.Hang || f.Drip {
		c.hang(ctx)
		return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
	}
	if f.Status != 0 || f.Reset {
		code := connect.Code(f.Status)
		if f.Reset {
			code = connect.CodeDataLoss
		}
		err := connect.NewError(code, errors.New("scripted"))
		if seconds, parseErr := strconv.Atoi(f.RetryAfter); parseErr == nil {
			// Field 1 of RetryInfo is retry_delay, a Duration whose field 1 is the seconds.
			wait := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(seconds))
			info := protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), wait)
			if detail, detailErr := connect.NewErrorDetail(&anypb.Any{TypeUrl: "type.googleapis.com/google.rpc.RetryInfo", Value: info}); detailErr == nil {
				err.AddDetail(detail)
			}
		}
		return nil, err
	}
	response := f.Body
	if f.Rejected > 0 {
		response = partialSuccess(f.Rejected)
	}
	return connect.NewResponse(&otlp.Message{Bytes: response}), nil
}
