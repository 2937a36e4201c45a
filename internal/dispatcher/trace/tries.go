package trace

import "time"

// SpanReference is a try of a client, as a later one refers to it.
type SpanReference struct {
	Trace ID     `json:"trace"`
	Span  SpanID `json:"span"`
}

// RetryTable knows the last try of each thing that clients may ask for again. It holds a
// bounded number; past it the one that was noted first is forgotten, and its repeats
// go without a link.
type RetryTable struct {
	maxKeys int
	latest  map[uint64]latestSpan
	ring    []uint64 // in the order of noting
	next    int
}

type latestSpan struct {
	SpanReference
	received time.Duration
	expires  time.Duration
}

// NewRetryTable makes a table of at most so many.
func NewRetryTable(maxKeys int) *RetryTable {
	return &RetryTable{maxKeys: maxKeys, latest: map[uint64]latestSpan{}}
}

// Link ties a story that has ended to the try before it, and notes it as the last one.
// Stories may come in any order: only one that came earlier is the try before.
func (t *RetryTable) Link(record *Record) {
	if record.RetryKey == 0 {
		return
	}
	previous, known := t.latest[record.RetryKey]
	if known && (record.ClientRetry || record.Keyed) && previous.received < record.Received && record.Received <= previous.expires && previous.Span != record.Span {
		record.Links = append(record.Links, previous.SpanReference)
	}
	if known && previous.received > record.Received {
		return
	}
	t.latest[record.RetryKey] = latestSpan{SpanReference: SpanReference{Trace: record.Trace, Span: record.Span}, received: record.Received, expires: record.Received + record.RetryWindow}
	if known {
		return
	}
	if len(t.ring) < t.maxKeys {
		t.ring = append(t.ring, record.RetryKey)
		return
	}
	delete(t.latest, t.ring[t.next])
	t.ring[t.next] = record.RetryKey
	t.next = (t.next + 1) % t.maxKeys
}

// Len returns how many things are known.
func (t *RetryTable) Len() int { return len(t.latest) }
