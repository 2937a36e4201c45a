// Package otlp writes stories and figures in OpenTelemetry's protocol. It sends nothing.
//
// Source: OTLP 1.x, and the semantic conventions for HTTP where they have a name; names
// that begin with frosttide are this project's own and stand in docs/telemetry.md.
package otlp

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"go.opentelemetry.io/collector/pdata/pcommon"
	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
	resourcepb "go.opentelemetry.io/proto/otlp/resource/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"frosttide/internal/dispatcher/trace"
)

// scope names who made the spans and figures.
const scope = "frosttide"

// sampled is the bit of a span's flags that says that its trace is recorded, and the two
// of whether its parent is another process's.
const (
	sampled    = 1
	knowRemote = 1 << 8
	remote     = 1 << 9
)

// Traces writes stories: a span of kind SERVER for each, and below it one of kind CLIENT
// for each hop.
func Traces(resource map[string]string, stories []*trace.Story) *tracepb.TracesData {
	in := &tracepb.ScopeSpans{Scope: &commonpb.InstrumentationScope{Name: scope}}
	for _, s := range stories {
		in.Spans = append(in.Spans, request(s))
		for i := range s.Hops {
			in.Spans = append(in.Spans, hop(s, i))
		}
	}
	of := &tracepb.ResourceSpans{Resource: &resourcepb.Resource{Attributes: texts(resource)}, ScopeSpans: []*tracepb.ScopeSpans{in}}
	return &tracepb.TracesData{ResourceSpans: []*tracepb.ResourceSpans{of}}
}

// attributes is for figures, which are written by another library than spans.
func attributes(to pcommon.Map, from map[string]string) {
	for _, key := range slices.Sorted(maps.Keys(from)) {
		to.PutStr(key, from[key])
	}
}

// spanNanos returns a moment as spans have it.
func spanNanos(at time.Duration) uint64 { return uint64(max(at, 0)) }

// idOf returns an id as spans have it: an empty one is left out.
func idOf(id []byte) []byte {
	for _, b := range id {
		if b != 0 {
			return id
		}
	}
	return nil
}

// status is what a client was told, where the front has not said it.
func status(s *trace.Story) int {
	switch {
	case s.Status != 0:
		return s.Status
	case s.Answer == trace.Served:
		return 200
	case s.Answer == trace.Gone:
		return 0
	case s.Answer == trace.Unusable:
		return 400
	case s.Refusal:
		return 503
	}
	return 502
}

func request(s *trace.Story) *tracepb.Span {
	flags := uint32(sampled)
	if s.Parent != (trace.SpanID{}) {
		flags |= knowRemote | remote
	}
	name := s.Method
	if s.Class != "" {
		name += " /" + s.Class
	}
	to := &tracepb.Span{TraceId: idOf(s.Trace[:]), SpanId: idOf(s.Span[:]), ParentSpanId: idOf(s.Parent[:]), TraceState: s.State, Flags: flags,
		Name: name, Kind: tracepb.Span_SPAN_KIND_SERVER, StartTimeUnixNano: spanNanos(s.Came), EndTimeUnixNano: spanNanos(max(s.Ended, s.Came)), Status: &tracepb.Status{}}
	var a Attributes
	a.PutStr("http.request.method", s.Method)
	a.PutStr("url.scheme", "http")
	if s.Class != "" {
		a.PutStr("http.route", "/"+s.Class)
		a.PutStr("frosttide.class", s.Class)
	}
	code := status(s)
	if code != 0 {
		a.PutInt("http.response.status_code", int64(code))
	}
	a.PutStr("frosttide.request", s.Request)
	a.PutDouble("frosttide.worth", s.Worth)
	a.PutDouble("frosttide.slots", s.Slots)
	a.PutBool("frosttide.keyed", s.Keyed)
	a.PutBool("frosttide.repeat", s.Repeat)
	if s.Deadline != 0 {
		a.PutInt("frosttide.deadline.ms", int64((s.Deadline-s.Came)/time.Millisecond))
	}
	a.PutStr("frosttide.answer", string(s.Answer))
	a.PutStr("frosttide.answer.by", s.By)
	a.PutStr("frosttide.answer.why", s.Why)
	if s.Target != "" {
		a.PutStr("frosttide.target", s.Target)
	}
	if s.Late {
		a.PutBool("frosttide.late", true)
	}
	if s.Moved {
		a.PutBool("frosttide.moved", true)
	}
	if code >= 500 { // source: semantic conventions, the status of HTTP server spans
		to.Status.Code = tracepb.Status_STATUS_CODE_ERROR
		a.PutStr("error.type", s.Why)
	}
	for _, l := range s.Links {
		link(to, l.Trace, l.Span, "previous_try")
	}
	to.Attributes = a
	return to
}

func link(to *tracepb.Span, t trace.ID, span trace.SpanID, what string) {
	var a Attributes
	a.PutStr("frosttide.link", what)
	to.Links = append(to.Links, &tracepb.Span_Link{TraceId: idOf(t[:]), SpanId: idOf(span[:]), Attributes: a})
}

func hop(s *trace.Story, i int) *tracepb.Span {
	h := &s.Hops[i]
	to := &tracepb.Span{TraceId: idOf(s.Trace[:]), SpanId: idOf(h.Span[:]), ParentSpanId: idOf(s.Span[:]), TraceState: s.State, Flags: sampled | knowRemote,
		Name: s.Method + " " + string(h.Kind), Kind: tracepb.Span_SPAN_KIND_CLIENT, StartTimeUnixNano: spanNanos(h.Began), EndTimeUnixNano: spanNanos(max(h.Ended, h.Began)),
		Status: &tracepb.Status{}, DroppedEventsCount: uint32(h.Unnoted)}
	var a Attributes
	a.PutStr("http.request.method", s.Method)
	if host, port, err := net.SplitHostPort(h.Addr); err == nil {
		a.PutStr("server.address", host)
		if n, err := strconv.Atoi(port); err == nil {
			a.PutInt("server.port", int64(n))
		}
	}
	if i > 0 {
		a.PutInt("http.request.resend_count", int64(i))
	}
	a.PutInt("http.request.body.size", int64(h.Bytes))
	a.PutStr("frosttide.target", h.Target)
	a.PutStr("frosttide.zone", h.Zone)
	a.PutInt("frosttide.hop", int64(i+1))
	a.PutStr("frosttide.hop.kind", string(h.Kind))
	a.PutBool("frosttide.hop.cold", h.Cold)
	a.PutStr("frosttide.outcome", h.Outcome)
	a.PutBool("frosttide.may_have_run", h.MayHaveRun)
	connection := "new"
	if h.Kept {
		connection = "kept"
	}
	a.PutStr("frosttide.connection", connection)
	if h.Outcome != "served" && h.Outcome != "given_up" {
		to.Status.Code = tracepb.Status_STATUS_CODE_ERROR
		a.PutStr("error.type", h.Outcome)
	}
	if h.Kind == trace.Copy {
		link(to, s.Trace, s.Hops[h.Of].Span, "copy_of")
	}
	if h.Taken != 0 {
		event(to, h.Taken, "taken")
	}
	for _, n := range h.Notes {
		e := event(to, n.At, n.What)
		if n.What == "running" {
			var share Attributes
			share.PutDouble("frosttide.share", n.Share)
			e.Attributes = share
		}
	}
	if h.Recalled != 0 {
		event(to, h.Recalled, "recalled")
	}
	to.Attributes = a
	return to
}

func event(to *tracepb.Span, at time.Duration, name string) *tracepb.Span_Event {
	e := &tracepb.Span_Event{Name: name, TimeUnixNano: spanNanos(at)}
	to.Events = append(to.Events, e)
	return e
}
