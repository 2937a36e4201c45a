// Package collector plays an OpenTelemetry collector on loopback, over OTLP/HTTP and
// OTLP/gRPC at one address, for tests and rigs. It checks each payload against what the
// protocol asks for, keeps what it was sent, and misbehaves as it is told.
//
// Source: OTLP 1.x; the OpenTelemetry trace and metrics data models.
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

// Fault is how a collector answers a call.
type Fault struct {
	Status     int    // of HTTP, or the code of gRPC; 0 takes the call
	RetryAfter string // header of HTTP; RetryInfo in whole seconds of gRPC
	Body       []byte // in the place of an answer, of HTTP
	Rejected   int64  // a partial success: so many items are not taken
	Hang       bool   // takes the call and never answers
	Drip       bool   // answers one byte a second
	Reset      bool   // breaks the connection in the middle of the answer
}

// Spans and Points are what came in one call.
type (
	Spans  = tracepb.TracesData
	Points = pmetric.Metrics
)

// Call is one call as it came.
type Call struct {
	At       time.Time
	Path     string
	Header   http.Header
	GRPC     bool
	Traces   *Spans  // one of these two
	Measures *Points // is there
	Taken    bool    // the caller was told that it was
}

// Collector is the stand-in. Make it with Start.
type Collector struct {
	Addr string

	server *http.Server
	seen   chan Call

	mu     sync.Mutex
	faults []Fault // of the next calls, in their order; the last one stays
	broken []error
	calls  []Call
	conns  int
	most   int
	stop   chan struct{}
	once   sync.Once
}

// mostKept bounds what a collector keeps; older calls are forgotten.
const mostKept = 4096

// Start opens a collector at an address of loopback; with a certificate it speaks TLS.
func Start(addr string, cert *tls.Certificate) (*Collector, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("collector: %w", err)
	}
	c := &Collector{Addr: l.Addr().String(), seen: make(chan Call, mostKept), stop: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/traces", func(w http.ResponseWriter, r *http.Request) { c.post(w, r, true) })
	mux.HandleFunc("POST /v1/metrics", func(w http.ResponseWriter, r *http.Request) { c.post(w, r, false) })
	for path, traces := range map[string]bool{
		"/opentelemetry.proto.collector.trace.v1.TraceService/Export":     true,
		"/opentelemetry.proto.collector.metrics.v1.MetricsService/Export": false} {
		mux.Handle(path, connect.NewUnaryHandler(path, func(ctx context.Context, r *connect.Request[otlp.Message]) (*connect.Response[otlp.Message], error) {
			return c.call(ctx, r, path, traces)
		}, connect.WithCodec(otlp.Codec{})))
	}
	c.server = &http.Server{Handler: mux, Protocols: new(http.Protocols), ConnState: c.count}
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

// Kill ends the collector at once, as a process that is killed.
func (c *Collector) Kill() {
	c.once.Do(func() { close(c.stop) })
	c.server.Close()
}

// Script sets how the next calls are answered; the last fault stays in force.
func (c *Collector) Script(faults ...Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// Calls yields each call when it has been read, faulty answers or not.
func (c *Collector) Calls() <-chan Call { return c.seen }

// Taken returns what the callers believe to be taken.
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

// Broken returns the rules that payloads have broken.
func (c *Collector) Broken() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(c.broken...)
}

// Connections returns how many are open, and how many were at most.
func (c *Collector) Connections() (now, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns, c.most
}

func (c *Collector) count(_ net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew:
		c.conns++
		c.most = max(c.most, c.conns)
	case http.StateClosed, http.StateHijacked:
		c.conns--
	}
}

// take reads and checks a payload and returns what is to be done about the call.
func (c *Collector) take(call Call, traces bool, body []byte) Fault {
	var rules []error
	if traces {
		t := &tracepb.TracesData{}
		if err := proto.Unmarshal(body, t); err != nil {
			rules = append(rules, err)
		} else {
			call.Traces = t
			rules = CheckTraces(t)
		}
	} else {
		m, err := (&pmetric.ProtoUnmarshaler{}).UnmarshalMetrics(body)
		if err != nil {
			rules = append(rules, err)
		} else {
			call.Measures = &m
			rules = CheckMeasures(m)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, rules...)
	var f Fault
	if len(c.faults) > 0 {
		f = c.faults[0]
		if len(c.faults) > 1 {
			c.faults = c.faults[1:]
		}
	}
	call.At = time.Now()
	call.Taken = f.Status == 0 && !f.Hang && !f.Drip && !f.Reset
	if len(c.calls) >= mostKept {
		c.calls = c.calls[1:]
	}
	c.calls = append(c.calls, call)
	select {
	case c.seen <- call:
	default: // nobody follows
	}
	return f
}

// hang waits until the caller or the collector has gone.
func (c *Collector) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.stop:
	}
}

func (c *Collector) post(w http.ResponseWriter, r *http.Request, traces bool) {
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
	f := c.take(Call{Path: r.URL.Path, Header: r.Header}, traces, body)
	if f.Hang {
		c.hang(r.Context())
		return
	}
	if r.Header.Get("Content-Type") != "application/x-protobuf" {
		f = Fault{Status: http.StatusUnsupportedMediaType}
	}
	answer := f.Body
	if f.Rejected > 0 {
		answer = partial(f.Rejected)
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
			panic(http.ErrAbortHandler) // closes the connection in the middle
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
	_, _ = w.Write(answer)
}

// partial writes an answer that leaves items out: partial_success = 1 of rejected = 1 and
// error_message = 2.
func partial(rejected int64) []byte {
	var inner []byte
	inner = protowire.AppendTag(inner, 1, protowire.VarintType)
	inner = protowire.AppendVarint(inner, uint64(rejected))
	inner = protowire.AppendTag(inner, 2, protowire.BytesType)
	inner = protowire.AppendString(inner, "some are left out")
	out := protowire.AppendTag(nil, 1, protowire.BytesType)
	return protowire.AppendBytes(out, inner)
}

func (c *Collector) call(ctx context.Context, r *connect.Request[otlp.Message], path string, traces bool) (*connect.Response[otlp.Message], error) {
	f := c.take(Call{Path: path, Header: r.Header(), GRPC: true}, traces, r.Msg.Bytes)
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
		if s, bad := strconv.Atoi(f.RetryAfter); bad == nil {
			// RetryInfo: retry_delay = 1, a Duration of seconds = 1.
			wait := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), uint64(s))
			info := protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), wait)
			if d, bad := connect.NewErrorDetail(&anypb.Any{TypeUrl: "type.googleapis.com/google.rpc.RetryInfo", Value: info}); bad == nil {
				err.AddDetail(d)
			}
		}
		return nil, err
	}
	answer := f.Body
	if f.Rejected > 0 {
		answer = partial(f.Rejected)
	}
	return connect.NewResponse(&otlp.Message{Bytes: answer}), nil
}
