// Package otlp encodes records of requests and metrics in the OpenTelemetry protocol (OTLP), and
// decodes spans. Package export sends the encoded messages, and package traceview reads files of
// them. The package does no I/O, and its functions are safe for concurrent use on different
// arguments.
//
// Source: OTLP 1.x, and the semantic conventions for HTTP where they define a name. Names that
// begin with frosttide are specific to this project and are listed in docs/telemetry.md.
package otlp

import (
	"net"
	"strconv"
	"time"

	commonpb "go.opentelemetry.io/proto/otlp/common/v1"
	resourcepb "go.opentelemetry.io/proto/otlp/resource/v1"
	tracepb "go.opentelemetry.io/proto/otlp/trace/v1"

	"frosttide/internal/dispatcher/trace"
)

// scope is the name of the instrumentation scope of all spans.
const scope = "frosttide"

// Bits of a span's flags field. Source: OTLP 1.x, SpanFlags.
const (
	flagSampled     = 1      // the trace is sampled
	flagHasIsRemote = 1 << 8 // flagIsRemote is valid
	flagIsRemote    = 1 << 9 // the parent span is in another process
)

// Traces returns the spans of records: a SERVER span for each request and, as its children, a
// CLIENT span for each attempt, in the order in which the attempts were sent.
func Traces(resource map[string]string, records []*trace.Record) *tracepb.TracesData {
	spans := &tracepb.ScopeSpans{Scope: &commonpb.InstrumentationScope{Name: scope}}
	for _, record := range records {
		spans.Spans = append(spans.Spans, requestSpan(record))
		for i := range record.Attempts {
			spans.Spans = append(spans.Spans, attemptSpan(record, i))
		}
	}
	return &tracepb.TracesData{ResourceSpans: []*tracepb.ResourceSpans{{
		Resource:   &resourcepb.Resource{Attributes: stringAttributes(resource)},
		ScopeSpans: []*tracepb.ScopeSpans{spans},
	}}}
}

// requestSpan returns the SERVER span of a request.
func requestSpan(record *trace.Record) *tracepb.Span {
	flags := uint32(flagSampled)
	if record.Parent != (trace.SpanID{}) {
		flags |= flagHasIsRemote | flagIsRemote
	}
	name := record.Method
	if record.Class != "" {
		name += " /" + record.Class
	}
	span := &tracepb.Span{
		TraceId:           nonZeroID(record.Trace[:]),
		SpanId:            nonZeroID(record.Span[:]),
		ParentSpanId:      nonZeroID(record.Parent[:]),
		TraceState:        record.TraceState,
		Flags:             flags,
		Name:              name,
		Kind:              tracepb.Span_SPAN_KIND_SERVER,
		StartTimeUnixNano: unixNanos(record.Received),
		EndTimeUnixNano:   unixNanos(max(record.Ended, record.Received)),
		Status:            &tracepb.Status{},
	}
	code := httpStatus(record)
	span.Attributes = requestAttributes(record, code)
	if code >= 500 { // source: semantic conventions, status of HTTP server spans
		span.Status.Code = tracepb.Status_STATUS_CODE_ERROR
		span.Attributes = append(span.Attributes, stringAttribute("error.type", record.Reason))
	}
	for _, l := range record.Links {
		addLink(span, l.Trace, l.Span, "previous_try")
	}
	return span
}

// requestAttributes returns the attributes of a request's span. Code is the HTTP status of its
// response, 0 for none.
func requestAttributes(record *trace.Record, code int) Attributes {
	var a Attributes
	a.PutStr("http.request.method", record.Method)
	a.PutStr("url.scheme", "http")
	if record.Class != "" {
		a.PutStr("http.route", "/"+record.Class)
		a.PutStr("frosttide.class", record.Class)
	}
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
	return a
}

// httpStatus returns the HTTP status of the client's response, derived from the result if the
// ingress has not recorded one; 0 if the client disconnected.
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

// attemptSpan returns the CLIENT span of an attempt.
func attemptSpan(record *trace.Record, index int) *tracepb.Span {
	attempt := &record.Attempts[index]
	span := &tracepb.Span{
		TraceId:            nonZeroID(record.Trace[:]),
		SpanId:             nonZeroID(attempt.Span[:]),
		ParentSpanId:       nonZeroID(record.Span[:]),
		TraceState:         record.TraceState,
		Flags:              flagSampled | flagHasIsRemote,
		Name:               record.Method + " " + string(attempt.Kind),
		Kind:               tracepb.Span_SPAN_KIND_CLIENT,
		StartTimeUnixNano:  unixNanos(attempt.Sent),
		EndTimeUnixNano:    unixNanos(max(attempt.Ended, attempt.Sent)),
		Status:             &tracepb.Status{},
		DroppedEventsCount: uint32(attempt.DroppedEvents),
		Attributes:         attemptAttributes(record, index),
	}
	if attempt.Outcome != "served" && attempt.Outcome != "given_up" {
		span.Status.Code = tracepb.Status_STATUS_CODE_ERROR
		span.Attributes = append(span.Attributes, stringAttribute("error.type", attempt.Outcome))
	}
	if attempt.Kind == trace.Hedge {
		addLink(span, record.Trace, record.Attempts[attempt.HedgeOf].Span, "copy_of")
	}
	addAttemptEvents(span, attempt)
	return span
}

// attemptAttributes returns the attributes of an attempt's span.
func attemptAttributes(record *trace.Record, index int) Attributes {
	attempt := &record.Attempts[index]
	var a Attributes
	a.PutStr("http.request.method", record.Method)
	if host, port, err := net.SplitHostPort(attempt.Addr); err == nil {
		a.PutStr("server.address", host)
		if n, err := strconv.Atoi(port); err == nil {
			a.PutInt("server.port", int64(n))
		}
	}
	if index > 0 {
		a.PutInt("http.request.resend_count", int64(index))
	}
	a.PutInt("http.request.body.size", int64(attempt.Bytes))
	a.PutStr("frosttide.target", attempt.Backend)
	a.PutStr("frosttide.zone", attempt.Zone)
	a.PutInt("frosttide.hop", int64(index+1))
	a.PutStr("frosttide.hop.kind", string(attempt.Kind))
	a.PutBool("frosttide.hop.cold", attempt.WarmingUp)
	a.PutStr("frosttide.outcome", attempt.Outcome)
	a.PutBool("frosttide.may_have_run", attempt.MayHaveRun)
	connection := "new"
	if attempt.ReusedConnection {
		connection = "kept"
	}
	a.PutStr("frosttide.connection", connection)
	return a
}

// addAttemptEvents adds an attempt's acceptance, its runner's reports and its cancellation as span
// events.
func addAttemptEvents(span *tracepb.Span, attempt *trace.Attempt) {
	if attempt.Accepted != 0 {
		addEvent(span, attempt.Accepted, "taken")
	}
	for _, e := range attempt.Events {
		event := addEvent(span, e.At, e.Name)
		if e.Name == "running" {
			var progress Attributes
			progress.PutDouble("frosttide.share", e.Progress)
			event.Attributes = progress
		}
	}
	if attempt.Cancelled != 0 {
		addEvent(span, attempt.Cancelled, "recalled")
	}
}

// addEvent appends an event to a span and returns it.
func addEvent(span *tracepb.Span, at time.Duration, name string) *tracepb.Span_Event {
	event := &tracepb.Span_Event{Name: name, TimeUnixNano: unixNanos(at)}
	span.Events = append(span.Events, event)
	return event
}

// addLink appends a link of the given kind to a span.
func addLink(span *tracepb.Span, toTrace trace.ID, toSpan trace.SpanID, kind string) {
	var a Attributes
	a.PutStr("frosttide.link", kind)
	span.Links = append(span.Links, &tracepb.Span_Link{TraceId: nonZeroID(toTrace[:]), SpanId: nonZeroID(toSpan[:]), Attributes: a})
}

// unixNanos converts a time since the Unix epoch to a span's timestamp, 0 for a negative one.
func unixNanos(at time.Duration) uint64 { return uint64(max(at, 0)) }

// nonZeroID returns the id, or nil if it is zero, as an absent id is represented in a span.
func nonZeroID(id []byte) []byte {
	for _, b := range id {
		if b != 0 {
			return id
		}
	}
	return nil
}
