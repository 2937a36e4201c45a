package trace

import "time"

// SpanReference names a span of this or another trace.
type SpanReference struct {
	Trace ID     `json:"trace"`
	Span  SpanID `json:"span"`
}

// RetryTable finds the request that a client's retry repeats, by the key that all attempts of a client at one job have.
// It holds a bounded number of keys; past it the key that was added first is dropped, and its retries are not linked. It
// is not safe for concurrent use.
type RetryTable struct {
	maxKeys int
	latest  map[uint64]latestSpan
	ring    []uint64 // keys in the order in which they were added
	next    int      // the index of the oldest key, once the ring is full
}

// latestSpan is the request of a key that was received last.
type latestSpan struct {
	SpanReference
	received time.Duration
	expires  time.Duration // a request received later is no retry of this one
}

// NewRetryTable makes a table of at most maxKeys keys.
func NewRetryTable(maxKeys int) *RetryTable {
	return &RetryTable{maxKeys: maxKeys, latest: map[uint64]latestSpan{}}
}

// Link adds to a record of a request that has ended a link to the request that it retries, and remembers it as the
// latest of its key. Records may come in any order: only a request that was received earlier is linked.
func (t *RetryTable) Link(r *Record) {
	if r.RetryKey == 0 {
		return
	}
	previous, known := t.latest[r.RetryKey]
	if known && previous.retriedBy(r) {
		r.Links = append(r.Links, previous.SpanReference)
	}
	if known && previous.received > r.Received {
		return
	}
	t.latest[r.RetryKey] = latestSpan{
		SpanReference: SpanReference{Trace: r.Trace, Span: r.Span},
		received:      r.Received,
		expires:       r.Received + r.RetryWindow,
	}
	if !known {
		t.add(r.RetryKey)
	}
}

// retriedBy reports whether a request of the same key is a retry of this one.
func (l *latestSpan) retriedBy(r *Record) bool {
	return (r.ClientRetry || r.Keyed) && l.received < r.Received && r.Received <= l.expires && l.Span != r.Span
}

// add puts a new key into the ring, in place of the oldest one if it is full.
func (t *RetryTable) add(key uint64) {
	if len(t.ring) < t.maxKeys {
		t.ring = append(t.ring, key)
		return
	}
	delete(t.latest, t.ring[t.next])
	t.ring[t.next] = key
	t.next = (t.next + 1) % t.maxKeys
}

// Len returns how many keys the table holds.
func (t *RetryTable) Len() int { return len(t.latest) }
