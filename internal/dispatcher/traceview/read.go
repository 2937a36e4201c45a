// Package traceview reads files of traces in OTLP's JSON and shows what happened to one request, or summarises all of a
// time. The program's trace commands use it. It keeps in memory what it shows, whatever the size of a file.
package traceview

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"frosttide/internal/dispatcher/otlp"
)

// Request is one request, read from its spans. Ids are hexadecimal.
type Request struct {
	Trace, Span, Parent         string
	ID, Class, Node             string // Node is the name of the process that dispatched it
	Result, AnsweredBy, Reason  string
	Backend                     string
	Status                      int64
	Value, Slots                float64
	Keyed, ClientRetry, Overdue bool
	HandedOver                  bool
	Received, Ended             time.Time
	Deadline                    time.Duration
	Attempts                    []Attempt
	Links                       []Link
}

// Attempt is one attempt at a runner.
type Attempt struct {
	Span, Backend, Zone, Addr               string
	Kind, Outcome                           string
	WarmingUp, MayHaveRun, ReusedConnection bool
	Bytes                                   int64
	Sent, Ended                             time.Time
	Events                                  []Event
	HedgeOf                                 string // the span of the attempt that a hedge duplicates; empty for none
}

// Event is an event of an attempt.
type Event struct {
	At       time.Time
	Name     string
	Progress float64
}

// Link refers to another span that belongs to a request.
type Link struct{ Trace, Span, Kind string }

// maxLine bounds a line in bytes; longer ones are skipped and counted.
const maxLine = 64 << 20

// Open opens a file, "-" for standard input. A file that is compressed by gzip is decompressed.
func Open(path string) (io.ReadCloser, error) {
	in := os.Stdin
	if path != "-" {
		var err error
		if in, err = os.Open(path); err != nil {
			return nil, err
		}
	}
	buffered := bufio.NewReaderSize(in, 1<<16)
	if magic, _ := buffered.Peek(2); !bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		return reader{buffered, in}, nil
	}
	z, err := gzip.NewReader(buffered)
	if err != nil {
		in.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return reader{z, in}, nil
}

// reader reads from one and closes another.
type reader struct {
	io.Reader
	io.Closer
}

// Read calls visit for each request of a file, with its attempts in the order in which they were sent. The spans of a
// request are in one line, as the program writes them. It returns how many lines could not be read, as a file may end
// within one; lines of figures are skipped and not counted.
func Read(from io.Reader, visit func(*Request)) (unread int, err error) {
	in := bufio.NewReaderSize(from, 1<<16)
	for {
		line, err := readLine(in)
		if len(bytes.TrimSpace(line)) > 0 && !bytes.HasPrefix(line, []byte(`{"resourceMetrics"`)) {
			traces, bad := otlp.UnmarshalSpans(line)
			if bad != nil {
				unread++
			} else {
				visitRequests(traces, visit)
			}
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF): // the file is still being written
			return unread, nil
		case errors.Is(err, errLineTooLong):
			unread++
		case err != nil:
			return unread, err
		}
	}
}

// errLineTooLong is returned by readLine for a line past maxLine, which it has skipped.
var errLineTooLong = errors.New("a line is too long")

// readLine reads a line with its end.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	long := false
	for {
		chunk, err := in.ReadSlice('\n')
		if long = long || len(line)+len(chunk) > maxLine; !long {
			line = append(line, chunk...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case long:
			return nil, errLineTooLong
		}
		return line, err
	}
}

// visitRequests calls visit for each request of a line.
func visitRequests(traces *tracepb.TracesData, visit func(*Request)) {
	for _, resource := range traces.GetResourceSpans() {
		node := otlp.Attributes(resource.GetResource().GetAttributes()).Text("service.instance.id")
		for _, scope := range resource.GetScopeSpans() {
			for _, r := range parseSpans(scope.GetSpans(), node) {
				visit(r)
			}
		}
	}
}

// parseSpans returns the requests of spans, with their attempts.
func parseSpans(spans []*tracepb.Span, node string) []*Request {
	attempts := map[string][]Attempt{} // by the request's span
	var requests []*Request
	for _, s := range spans {
		switch s.GetKind() {
		case tracepb.Span_SPAN_KIND_SERVER:
			requests = append(requests, parseRequest(s, node))
		case tracepb.Span_SPAN_KIND_CLIENT:
			parent := hex.EncodeToString(s.GetParentSpanId())
			attempts[parent] = append(attempts[parent], parseAttempt(s))
		}
	}
	for _, r := range requests {
		r.Attempts = attempts[r.Span]
	}
	return requests
}

// boolAttribute returns an attribute that is a Boolean, false if there is none.
func boolAttribute(a otlp.Attributes, key string) bool { return a.Text(key) == "true" }

// timestamp returns the time of a span's field.
func timestamp(nanos uint64) time.Time { return time.Unix(0, int64(nanos)).UTC() }

// parseRequest returns the request of a span of kind SERVER, without its attempts.
func parseRequest(s *tracepb.Span, node string) *Request {
	a := otlp.Attributes(s.GetAttributes())
	r := &Request{
		Trace:       hex.EncodeToString(s.GetTraceId()),
		Span:        hex.EncodeToString(s.GetSpanId()),
		Parent:      hex.EncodeToString(s.GetParentSpanId()),
		Node:        node,
		ID:          a.Text("frosttide.request"),
		Class:       a.Text("frosttide.class"),
		Result:      a.Text("frosttide.answer"),
		AnsweredBy:  a.Text("frosttide.answer.by"),
		Reason:      a.Text("frosttide.answer.why"),
		Backend:     a.Text("frosttide.target"),
		Status:      int64(a.Number("http.response.status_code")),
		Value:       a.Number("frosttide.worth"),
		Slots:       a.Number("frosttide.slots"),
		Keyed:       boolAttribute(a, "frosttide.keyed"),
		ClientRetry: boolAttribute(a, "frosttide.repeat"),
		Overdue:     boolAttribute(a, "frosttide.late"),
		HandedOver:  boolAttribute(a, "frosttide.moved"),
		Received:    timestamp(s.GetStartTimeUnixNano()),
		Ended:       timestamp(s.GetEndTimeUnixNano()),
		Deadline:    time.Duration(a.Number("frosttide.deadline.ms")) * time.Millisecond,
	}
	for _, l := range s.GetLinks() {
		r.Links = append(r.Links, Link{Trace: hex.EncodeToString(l.GetTraceId()), Span: hex.EncodeToString(l.GetSpanId()),
			Kind: otlp.Attributes(l.GetAttributes()).Text("frosttide.link")})
	}
	return r
}

// parseAttempt returns the attempt of a span of kind CLIENT.
func parseAttempt(s *tracepb.Span) Attempt {
	a := otlp.Attributes(s.GetAttributes())
	attempt := Attempt{
		Span:             hex.EncodeToString(s.GetSpanId()),
		Backend:          a.Text("frosttide.target"),
		Zone:             a.Text("frosttide.zone"),
		Addr:             a.Text("server.address") + ":" + a.Text("server.port"),
		Kind:             a.Text("frosttide.hop.kind"),
		Outcome:          a.Text("frosttide.outcome"),
		WarmingUp:        boolAttribute(a, "frosttide.hop.cold"),
		MayHaveRun:       boolAttribute(a, "frosttide.may_have_run"),
		ReusedConnection: a.Text("frosttide.connection") == "kept",
		Bytes:            int64(a.Number("http.request.body.size")),
		Sent:             timestamp(s.GetStartTimeUnixNano()),
		Ended:            timestamp(s.GetEndTimeUnixNano()),
	}
	for _, e := range s.GetEvents() {
		attempt.Events = append(attempt.Events, Event{At: timestamp(e.GetTimeUnixNano()), Name: e.GetName(),
			Progress: otlp.Attributes(e.GetAttributes()).Number("frosttide.share")})
	}
	for _, l := range s.GetLinks() {
		if otlp.Attributes(l.GetAttributes()).Text("frosttide.link") == "copy_of" {
			attempt.HedgeOf = hex.EncodeToString(l.GetSpanId())
		}
	}
	return attempt
}
