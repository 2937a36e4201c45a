package trace

import "time"

// SpanReference identifies a span of this or another trace.
type SpanReference struct {
	Trace ID     `json:"trace"`
	Span  SpanID `json:"span"`
}

// RetryTable finds the request that a client's retry repeats, by the key shared by all of the
// client's tries of one job. The number of keys is bounded; beyond it the key that was added first
// is evicted, and its retries are not linked. It is not safe for concurrent use.
type RetryTable struct {
	maxKeys int
	latest  map[uint64]latestSpan
	ring    []uint64 // keys in insertion order
	next    int      // index of the oldest key once the ring is full
}

// latestSpan is the most recently received request of a key.
type latestSpan struct {
	SpanReference
	received time.Duration
	expires  time.Duration // a request received later is not a retry of this one
}

// NewRetryTable returns a table that holds at most maxKeys keys.
func NewRetryTable(maxKeys int) *RetryTable {
	return &RetryTable{maxKeys: maxKeys, latest: map[uint64]latestSpan{}}
}

// Link adds to the record of a finished request a link to the request that it retries, and stores
// it as the latest of its key. Records may arrive in any order: only a request that was received
// earlier is linked.
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

// retriedBy reports whether a request with the same key is a retry of this one.
func (l *latestSpan) retriedBy(r *Record) bool {
	return (r.ClientRetry || r.Keyed) && l.received < r.Received && r.Received <= l.expires && l.Span != r.Span
}

// add inserts a new key into the ring, replacing the oldest one if the ring is full.
func (t *RetryTable) add(key uint64) {
	if len(t.ring) < t.maxKeys {
		t.ring = append(t.ring, key)
		return
	}
	delete(t.latest, t.ring[t.next])
	t.ring[t.next] = key
	t.next = (t.next + 1) % t.maxKeys
}

// Len returns the number of keys in the table.
func (t *RetryTable) Len() int { return len(t.latest) }
