// Package traceview reads files of traces in OTLP's JSON and tells what happened: to one
// request, or to all of a time.
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

// Request is one request as its spans tell it.
type Request struct {
	Trace, Span, Parent string
	ID, Class, Node     string // Node is the process that dispatched it
	Answer, By, Why     string
	Target              string
	Status              int64
	Worth, Slots        float64
	Keyed, Repeat, Late bool
	Moved               bool
	Came, Ended         time.Time
	Deadline            time.Duration
	Hops                []Hop
	Links               []Link
}

// Hop is one attempt.
type Hop struct {
	Span, Target, Zone, Addr string
	Kind, Outcome            string
	Cold, MayHaveRun, Kept   bool
	Bytes                    int64
	Began, Ended             time.Time
	Events                   []Event
	CopyOf                   string // the span of the hop that it copies
}

// Event is a moment of a hop.
type Event struct {
	At    time.Time
	What  string
	Share float64
}

// Link names another span that belongs to this one.
type Link struct{ Trace, Span, What string }

// maxLine bounds a line of a file; longer ones are passed over and counted.
const maxLine = 64 << 20

// Open opens a file, "-" for standard input; what is packed by gzip is unpacked.
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

type reader struct {
	io.Reader
	io.Closer
}

// Read visits each request of a file, with its hops in the order of their sending; spans
// of one request stand in one line, as the program writes them. It returns how many lines
// it could not read: a file may end in the middle of one, or hold other signals, which
// are passed over without a word.
func Read(from io.Reader, visit func(*Request)) (unread int, err error) {
	in := bufio.NewReaderSize(from, 1<<16)
	for {
		line, err := readLine(in)
		if len(bytes.TrimSpace(line)) > 0 && !bytes.HasPrefix(line, []byte(`{"resourceMetrics"`)) {
			traces, bad := otlp.UnmarshalSpans(line)
			if bad != nil {
				unread++
			} else {
				spans(traces, visit)
			}
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF): // cut short while it is written
			return unread, nil
		case errors.Is(err, errLong):
			unread++
		case err != nil:
			return unread, err
		}
	}
}

var errLong = errors.New("a line is too long")

func readLine(in *bufio.Reader) ([]byte, error) {
	var line []byte
	long := false
	for {
		part, err := in.ReadSlice('\n')
		if long = long || len(line)+len(part) > maxLine; !long {
			line = append(line, part...)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case long:
			return nil, errLong
		}
		return line, err
	}
}

func spans(traces *tracepb.TracesData, visit func(*Request)) {
	for _, of := range traces.GetResourceSpans() {
		node := otlp.Attributes(of.GetResource().GetAttributes()).Text("service.instance.id")
		for _, in := range of.GetScopeSpans() {
			hops := map[string][]Hop{}
			var requests []*Request
			for _, s := range in.GetSpans() {
				switch s.GetKind() {
				case tracepb.Span_SPAN_KIND_SERVER:
					requests = append(requests, request(s, node))
				case tracepb.Span_SPAN_KIND_CLIENT:
					parent := hex.EncodeToString(s.GetParentSpanId())
					hops[parent] = append(hops[parent], hop(s))
				}
			}
			for _, r := range requests {
				r.Hops = hops[r.Span]
				visit(r)
			}
		}
	}
}

func truth(a otlp.Attributes, key string) bool { return a.Text(key) == "true" }

// moment returns the time of a stamp.
func moment(nanos uint64) time.Time { return time.Unix(0, int64(nanos)).UTC() }

func request(s *tracepb.Span, node string) *Request {
	a := otlp.Attributes(s.GetAttributes())
	r := &Request{Trace: hex.EncodeToString(s.GetTraceId()), Span: hex.EncodeToString(s.GetSpanId()), Parent: hex.EncodeToString(s.GetParentSpanId()), Node: node,
		ID: a.Text("frosttide.request"), Class: a.Text("frosttide.class"), Answer: a.Text("frosttide.answer"),
		By: a.Text("frosttide.answer.by"), Why: a.Text("frosttide.answer.why"), Target: a.Text("frosttide.target"),
		Status: int64(a.Number("http.response.status_code")), Worth: a.Number("frosttide.worth"), Slots: a.Number("frosttide.slots"),
		Keyed: truth(a, "frosttide.keyed"), Repeat: truth(a, "frosttide.repeat"), Late: truth(a, "frosttide.late"),
		Moved: truth(a, "frosttide.moved"), Came: moment(s.GetStartTimeUnixNano()), Ended: moment(s.GetEndTimeUnixNano()),
		Deadline: time.Duration(a.Number("frosttide.deadline.ms")) * time.Millisecond}
	for _, l := range s.GetLinks() {
		r.Links = append(r.Links, Link{Trace: hex.EncodeToString(l.GetTraceId()), Span: hex.EncodeToString(l.GetSpanId()),
			What: otlp.Attributes(l.GetAttributes()).Text("frosttide.link")})
	}
	return r
}

func hop(s *tracepb.Span) Hop {
	a := otlp.Attributes(s.GetAttributes())
	h := Hop{Span: hex.EncodeToString(s.GetSpanId()), Target: a.Text("frosttide.target"), Zone: a.Text("frosttide.zone"),
		Addr: a.Text("server.address") + ":" + a.Text("server.port"), Kind: a.Text("frosttide.hop.kind"),
		Outcome: a.Text("frosttide.outcome"), Cold: truth(a, "frosttide.hop.cold"), MayHaveRun: truth(a, "frosttide.may_have_run"),
		Kept: a.Text("frosttide.connection") == "kept", Bytes: int64(a.Number("http.request.body.size")),
		Began: moment(s.GetStartTimeUnixNano()), Ended: moment(s.GetEndTimeUnixNano())}
	for _, e := range s.GetEvents() {
		h.Events = append(h.Events, Event{At: moment(e.GetTimeUnixNano()), What: e.GetName(), Share: otlp.Attributes(e.GetAttributes()).Number("frosttide.share")})
	}
	for _, l := range s.GetLinks() {
		if otlp.Attributes(l.GetAttributes()).Text("frosttide.link") == "copy_of" {
			h.CopyOf = hex.EncodeToString(l.GetSpanId())
		}
	}
	return h
}
