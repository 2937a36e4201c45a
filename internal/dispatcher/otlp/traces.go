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
	sampled     = 1
	remoteKnown = 1 << 8
	isRemote    = 1 << 9
)

// Traces writes stories: a span of kind SERVER for each, and below it one of kind CLIENT
// for each hop.
func Traces(resource map[string]string, records []*trace.Record) *tracepb.TracesData {
	in := &tracepb.ScopeSpans{Scope: &commonpb.InstrumentationScope{Name: scope}}
	for _, record := range records {
		in.Spans = append(in.Spans, requestSpan(record))
		for i := range record.Attempts {
			in.Spans = append(in.Spans, attemptSpan(record, i))
		}
	}
	of := &tracepb.ResourceSpans{Resource: &resourcepb.Resource{Attributes: stringAttributes(resource)}, ScopeSpans: []*tracepb.ScopeSpans{in}}
	return &tracepb.TracesData{ResourceSpans: []*tracepb.ResourceSpans{of}}
}

// putAttributes is for figures, which are written by another library than spans.
func putAttributes(to pcommon.Map, from map[string]string) {
	for _, key := range slices.Sorted(maps.Keys(from)) {
		to.PutStr(key, from[key])
	}
}

// unixNanos returns a moment as spans have it.
func unixNanos(at time.Duration) uint64 { return uint64(max(at, 0)) }

// nonZeroID returns an id as spans have it: an empty one is left out.
func nonZeroID(id []byte) []byte {
	for _, b := range id {
		if b != 0 {
			return id
		}
	}
	return nil
}

// httpStatus is what a client was told, where the front has not said it.
func httpStatus(record *trace.Record) int {
	switch {
	case record.Status != 0:
		return record.Status
	case record.Result == trace.Served:
		return 200
	case record.Result == trace.Abandoned:
		return 0
	case record.Result == trace.Invalid:
		return 400
	case record.Retryable:
		return 503
	}
	return 502
}

func requestSpan(record *trace.Record) *tracepb.Span {
	flags := uint32(sampled)
	if record.Parent != (trace.SpanID{}) {
		flags |= remoteKnown | isRemote
	}
	name := record.Method
	if record.Class != "" {
		name += " /" + record.Class
	}
	to := &tracepb.Span{TraceId: nonZeroID(record.Trace[:]), SpanId: nonZeroID(record.Span[:]), ParentSpanId: nonZeroID(record.Parent[:]), TraceState: record.TraceState, Flags: flags,
		Name: name, Kind: tracepb.Span_SPAN_KIND_SERVER, StartTimeUnixNano: unixNanos(record.Received), EndTimeUnixNano: unixNanos(max(record.Ended, record.Received)), Status: &tracepb.Status{}}
	var a Attributes
	a.PutStr("http.request.method", record.Method)
	a.PutStr("url.scheme", "http")
	if record.Class != "" {
		a.PutStr("http.route", "/"+record.Class)
		a.PutStr("frosttide.class", record.Class)
	}
	code := httpStatus(record)
	if code != 0 {
		a.PutInt("http.response.status_code", int64(code))
	}
	a.PutStr("frosttide.request", record.Request)
	a.PutDouble("frosttide.worth", record.Value)
	a.PutDouble("frosttide.slots", record.Slots)
	a.PutBool("frosttide.keyed", record.Keyed)
	a.PutBool("frosttide.repeat", record.ClientRetry)
	if record.Deadline != 0 {
		a.PutInt("frosttide.deadline.ms", int64((record.Deadline-record.Received)/time.Millisecond))
	}
	a.PutStr("frosttide.answer", string(record.Result))
	a.PutStr("frosttide.answer.by", record.AnsweredBy)
	a.PutStr("frosttide.answer.why", record.Reason)
	if record.Backend != "" {
		a.PutStr("frosttide.target", record.Backend)
	}
	if record.Overdue {
		a.PutBool("frosttide.late", true)
	}
	if record.HandedOver {
		a.PutBool("frosttide.moved", true)
	}
	if code >= 500 { // source: semantic conventions, the status of HTTP server spans
		to.Status.Code = tracepb.Status_STATUS_CODE_ERROR
		a.PutStr("error.type", record.Reason)
	}
	for _, l := range record.Links {
		addLink(to, l.Trace, l.Span, "previous_try")
	}
	to.Attributes = a
	return to
}

func addLink(to *tracepb.Span, t trace.ID, span trace.SpanID, kind string) {
	var a Attributes
	a.PutStr("frosttide.link", kind)
	to.Links = append(to.Links, &tracepb.Span_Link{TraceId: nonZeroID(t[:]), SpanId: nonZeroID(span[:]), Attributes: a})
}

func attemptSpan(record *trace.Record, i int) *tracepb.Span {
	attempt := &record.Attempts[i]
	to := &tracepb.Span{TraceId: nonZeroID(record.Trace[:]), SpanId: nonZeroID(attempt.Span[:]), ParentSpanId: nonZeroID(record.Span[:]), TraceState: record.TraceState, Flags: sampled | remoteKnown,
		Name: record.Method + " " + string(attempt.Kind), Kind: tracepb.Span_SPAN_KIND_CLIENT, StartTimeUnixNano: unixNanos(attempt.Sent), EndTimeUnixNano: unixNanos(max(attempt.Ended, attempt.Sent)),
		Status: &tracepb.Status{}, DroppedEventsCount: uint32(attempt.DroppedEvents)}
	var a Attributes
	a.PutStr("http.request.method", record.Method)
	if host, port, err := net.SplitHostPort(attempt.Addr); err == nil {
		a.PutStr("server.address", host)
		if n, err := strconv.Atoi(port); err == nil {
			a.PutInt("server.port", int64(n))
		}
	}
	if i > 0 {
		a.PutInt("http.request.resend_count", int64(i))
	}
	a.PutInt("http.request.body.size", int64(attempt.Bytes))
	a.PutStr("frosttide.target", attempt.Backend)
	a.PutStr("frosttide.zone", attempt.Zone)
	a.PutInt("frosttide.hop", int64(i+1))
	a.PutStr("frosttide.hop.kind", string(attempt.Kind))
	a.PutBool("frosttide.hop.cold", attempt.WarmingUp)
	a.PutStr("frosttide.outcome", attempt.Outcome)
	a.PutBool("frosttide.may_have_run", attempt.MayHaveRun)
	connection := "new"
	if attempt.ReusedConnection {
		connection = "kept"
	}
	a.PutStr("frosttide.connection", connection)
	if attempt.Outcome != "served" && attempt.Outcome != "given_up" {
		to.Status.Code = tracepb.Status_STATUS_CODE_ERROR
		a.PutStr("error.type", attempt.Outcome)
	}
	if attempt.Kind == trace.Hedge {
		addLink(to, record.Trace, record.Attempts[attempt.HedgeOf].Span, "copy_of")
	}
	if attempt.Accepted != 0 {
		addEvent(to, attempt.Accepted, "taken")
	}
	for _, n := range attempt.Events {
		e := addEvent(to, n.At, n.Name)
		if n.Name == "running" {
			var progress Attributes
			progress.PutDouble("frosttide.share", n.Progress)
			e.Attributes = progress
		}
	}
	if attempt.Cancelled != 0 {
		addEvent(to, attempt.Cancelled, "recalled")
	}
	to.Attributes = a
	return to
}

func addEvent(to *tracepb.Span, at time.Duration, name string) *tracepb.Span_Event {
	e := &tracepb.Span_Event{Name: name, TimeUnixNano: unixNanos(at)}
	to.Events = append(to.Events, e)
	return e
}
