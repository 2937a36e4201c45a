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
	"go.opentelemetry.io/collector/pdata/ptrace"

	"frosttide/internal/trace"
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
func Traces(resource map[string]string, stories []*trace.Story) ptrace.Traces {
	t := ptrace.NewTraces()
	of := t.ResourceSpans().AppendEmpty()
	attributes(of.Resource().Attributes(), resource)
	in := of.ScopeSpans().AppendEmpty()
	in.Scope().SetName(scope)
	n := 0
	for _, s := range stories {
		n += 1 + len(s.Hops)
	}
	in.Spans().EnsureCapacity(n)
	for _, s := range stories {
		request(in.Spans().AppendEmpty(), s)
		for i := range s.Hops {
			hop(in.Spans().AppendEmpty(), s, i)
		}
	}
	return t
}

func attributes(to pcommon.Map, from map[string]string) {
	for _, key := range slices.Sorted(maps.Keys(from)) {
		to.PutStr(key, from[key])
	}
}

func stamp(at time.Duration) pcommon.Timestamp { return pcommon.Timestamp(max(at, 0)) }

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

func request(to ptrace.Span, s *trace.Story) {
	to.SetTraceID(pcommon.TraceID(s.Trace))
	to.SetSpanID(pcommon.SpanID(s.Span))
	to.SetParentSpanID(pcommon.SpanID(s.Parent))
	to.TraceState().FromRaw(s.State)
	flags := uint32(sampled)
	if s.Parent != (trace.SpanID{}) {
		flags |= knowRemote | remote
	}
	to.SetFlags(flags)
	name := s.Method
	if s.Class != "" {
		name += " /" + s.Class
	}
	to.SetName(name)
	to.SetKind(ptrace.SpanKindServer)
	to.SetStartTimestamp(stamp(s.Came))
	to.SetEndTimestamp(stamp(max(s.Ended, s.Came)))
	a := to.Attributes()
	a.EnsureCapacity(18)
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
		to.Status().SetCode(ptrace.StatusCodeError)
		a.PutStr("error.type", s.Why)
	}
	for _, l := range s.Links {
		link(to, l.Trace, l.Span, "previous_try")
	}
}

func link(to ptrace.Span, t trace.ID, span trace.SpanID, what string) {
	l := to.Links().AppendEmpty()
	l.SetTraceID(pcommon.TraceID(t))
	l.SetSpanID(pcommon.SpanID(span))
	l.Attributes().PutStr("frosttide.link", what)
}

func hop(to ptrace.Span, s *trace.Story, i int) {
	h := &s.Hops[i]
	to.SetTraceID(pcommon.TraceID(s.Trace))
	to.SetSpanID(pcommon.SpanID(h.Span))
	to.SetParentSpanID(pcommon.SpanID(s.Span))
	to.TraceState().FromRaw(s.State)
	to.SetFlags(sampled | knowRemote)
	to.SetName(s.Method + " " + string(h.Kind))
	to.SetKind(ptrace.SpanKindClient)
	to.SetStartTimestamp(stamp(h.Began))
	to.SetEndTimestamp(stamp(max(h.Ended, h.Began)))
	a := to.Attributes()
	a.EnsureCapacity(14)
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
		to.Status().SetCode(ptrace.StatusCodeError)
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
			e.Attributes().PutDouble("frosttide.share", n.Share)
		}
	}
	if h.Recalled != 0 {
		event(to, h.Recalled, "recalled")
	}
	to.SetDroppedEventsCount(uint32(h.Unnoted))
}

func event(to ptrace.Span, at time.Duration, name string) ptrace.SpanEvent {
	e := to.Events().AppendEmpty()
	e.SetName(name)
	e.SetTimestamp(stamp(at))
	return e
}
