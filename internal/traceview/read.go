// Package traceview reads files of traces in OTLP's JSON and tells what happened: to one
// request, or to all of a time.
package traceview

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"go.opentelemetry.io/collector/pdata/pcommon"
	"go.opentelemetry.io/collector/pdata/ptrace"
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
			traces, bad := (&ptrace.JSONUnmarshaler{}).UnmarshalTraces(line)
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

func spans(traces ptrace.Traces, visit func(*Request)) {
	for _, of := range traces.ResourceSpans().All() {
		node := text(of.Resource().Attributes(), "service.instance.id")
		for _, in := range of.ScopeSpans().All() {
			hops := map[string][]Hop{}
			var requests []*Request
			for _, s := range in.Spans().All() {
				if s.Kind() == ptrace.SpanKindServer {
					requests = append(requests, request(s, node))
				} else if s.Kind() == ptrace.SpanKindClient {
					parent := s.ParentSpanID().String()
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

func text(m pcommon.Map, key string) string {
	v, ok := m.Get(key)
	if !ok {
		return ""
	}
	return v.AsString()
}

func truth(m pcommon.Map, key string) bool { return text(m, key) == "true" }

func figure(m pcommon.Map, key string) float64 {
	v, ok := m.Get(key)
	switch {
	case ok && v.Type() == pcommon.ValueTypeDouble:
		return v.Double()
	case ok && v.Type() == pcommon.ValueTypeInt:
		return float64(v.Int())
	}
	return 0
}

func request(s ptrace.Span, node string) *Request {
	a := s.Attributes()
	r := &Request{Trace: s.TraceID().String(), Span: s.SpanID().String(), Parent: s.ParentSpanID().String(), Node: node,
		ID: text(a, "frosttide.request"), Class: text(a, "frosttide.class"), Answer: text(a, "frosttide.answer"),
		By: text(a, "frosttide.answer.by"), Why: text(a, "frosttide.answer.why"), Target: text(a, "frosttide.target"),
		Status: int64(figure(a, "http.response.status_code")), Worth: figure(a, "frosttide.worth"), Slots: figure(a, "frosttide.slots"),
		Keyed: truth(a, "frosttide.keyed"), Repeat: truth(a, "frosttide.repeat"), Late: truth(a, "frosttide.late"),
		Moved: truth(a, "frosttide.moved"), Came: s.StartTimestamp().AsTime(), Ended: s.EndTimestamp().AsTime(),
		Deadline: time.Duration(figure(a, "frosttide.deadline.ms")) * time.Millisecond}
	for _, l := range s.Links().All() {
		r.Links = append(r.Links, Link{Trace: l.TraceID().String(), Span: l.SpanID().String(), What: text(l.Attributes(), "frosttide.link")})
	}
	return r
}

func hop(s ptrace.Span) Hop {
	a := s.Attributes()
	h := Hop{Span: s.SpanID().String(), Target: text(a, "frosttide.target"), Zone: text(a, "frosttide.zone"),
		Addr: text(a, "server.address") + ":" + text(a, "server.port"), Kind: text(a, "frosttide.hop.kind"),
		Outcome: text(a, "frosttide.outcome"), Cold: truth(a, "frosttide.hop.cold"), MayHaveRun: truth(a, "frosttide.may_have_run"),
		Kept: text(a, "frosttide.connection") == "kept", Bytes: int64(figure(a, "http.request.body.size")),
		Began: s.StartTimestamp().AsTime(), Ended: s.EndTimestamp().AsTime()}
	for _, e := range s.Events().All() {
		h.Events = append(h.Events, Event{At: e.Timestamp().AsTime(), What: e.Name(), Share: figure(e.Attributes(), "frosttide.share")})
	}
	for _, l := range s.Links().All() {
		if text(l.Attributes(), "frosttide.link") == "copy_of" {
			h.CopyOf = l.SpanID().String()
		}
	}
	return h
}
