// Package traceview reads trace files in OTLP JSON and shows what happened to one request, or
// summarizes all requests of a period. The trace commands of cmd/frosttide use it. It keeps only
// what it shows in memory, regardless of the size of a file.
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

// Request is one request, decoded from its spans. Ids are hexadecimal.
type Request struct {
	Trace, Span, Parent         string
	ID, Class, Node             string // Node names the process that dispatched it
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

// Attempt is one attempt to run a request on a runner.
type Attempt struct {
	Span, Backend, Zone, Addr               string
	Kind, Outcome                           string
	WarmingUp, MayHaveRun, ReusedConnection bool
	Bytes                                   int64
	Sent, Ended                             time.Time
	Events                                  []Event
	HedgeOf                                 string // span of the hedged attempt; empty for none
}

// Event is an event of an attempt, such as a status report of its runner.
type Event struct {
	At       time.Time
	Name     string
	Progress float64
}

// Link refers to a related span, such as that of the client's previous try.
type Link struct{ Trace, Span, Kind string }

// maxLine is the maximum length of a line in bytes; longer lines are skipped and counted as
// unreadable.
const maxLine = 64 << 20

// Open opens a file, or standard input if the path is "-". Files compressed by gzip are
// decompressed.
func Open(path string) (io.ReadCloser, error) {
	file := os.Stdin
	if path != "-" {
		var err error
		if file, err = os.Open(path); err != nil {
			return nil, err
		}
	}
	buffered := bufio.NewReaderSize(file, 1<<16)
	if magic, _ := buffered.Peek(2); !bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		return readCloser{buffered, file}, nil
	}
	decompressed, err := gzip.NewReader(buffered)
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return readCloser{decompressed, file}, nil
}

// readCloser reads from the buffered or decompressed stream and closes the underlying file.
type readCloser struct {
	io.Reader
	io.Closer
}

// Read calls visit for each request in a file, with its attempts in the order in which they were
// sent. The spans of a request are expected in one line, as this program writes them. It returns
// the number of unreadable lines, as a file may end within a line; lines of metrics are skipped and
// not counted.
func Read(input io.Reader, visit func(*Request)) (unreadable int, err error) {
	buffered := bufio.NewReaderSize(input, 1<<16)
	for {
		line, err := readLine(buffered)
		if len(bytes.TrimSpace(line)) > 0 && !bytes.HasPrefix(line, []byte(`{"resourceMetrics"`)) {
			traces, decodeErr := otlp.UnmarshalSpans(line)
			if decodeErr != nil {
				unreadable++
			} else {
				visitRequests(traces, visit)
			}
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF): // still being written
			return unreadable, nil
		case errors.Is(err, errLineTooLong):
			unreadable++
		case err != nil:
			return unreadable, err
		}
	}
}

// errLineTooLong is returned by readLine after it has skipped a line longer than maxLine.
var errLineTooLong = errors.New("line too long")

// readLine reads a line including its newline.
func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	tooLong := false
	for {
		chunk, err := in.ReadSlice('\n')
		if tooLong = tooLong || len(line)+len(chunk) > maxLine; !tooLong {
			line = append(line, chunk...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case tooLong:
			return nil, errLineTooLong
		}
		return line, err
	}
}

// visitRequests calls visit for each request in the spans of a line.
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

// parseSpans groups spans into requests with their attempts.
func parseSpans(spans []*tracepb.Span, node string) []*Request {
	attempts := map[string][]Attempt{} // by the span id of the request
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

// boolAttribute returns a Boolean attribute, false if there is none with the key.
func boolAttribute(a otlp.Attributes, key string) bool { return a.Text(key) == "true" }

// timestamp converts a span's timestamp, in nanoseconds since the Unix epoch, to UTC.
func timestamp(nanos uint64) time.Time { return time.Unix(0, int64(nanos)).UTC() }

// parseRequest decodes a SERVER span into a request without its attempts.
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

// parseAttempt decodes a CLIENT span into an attempt.
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
