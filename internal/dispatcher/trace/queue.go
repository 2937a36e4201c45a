package trace

// Queue holds the records that wait for export, bounded in bytes. When it is full, the oldest plain
// records are dropped, and only if there are none the oldest notable ones: records of failures are
// worth more than others, and the newest failures the most. It is not safe for concurrent use.
type Queue struct {
	maxBytes       int
	bytes          int
	plain, notable fifo
}

// NewQueue returns a queue that holds at most maxBytes, by Record.Size.
func NewQueue(maxBytes int) *Queue { return &Queue{maxBytes: maxBytes} }

// fifo is a first-in, first-out queue. The items before index first have been removed.
type fifo struct {
	items []*Record
	first int
}

// len returns the number of records in the queue.
func (f *fifo) len() int { return len(f.items) - f.first }

// pop removes and returns the oldest record. Once half of the slice is unused, the rest is moved to
// its front, so that the slice does not grow with every record ever queued.
func (f *fifo) pop() *Record {
	r := f.items[f.first]
	f.items[f.first] = nil
	f.first++
	if 2*f.first >= len(f.items) {
		n := copy(f.items, f.items[f.first:])
		clear(f.items[n:])
		f.items, f.first = f.items[:n], 0
	}
	return r
}

// Put adds a record and returns how many plain and notable ones were dropped to make room. A
// malformed request counts as plain: clients can send those at full speed, and they would displace
// all notable records.
func (q *Queue) Put(r *Record) (plain, notable int) {
	to := &q.plain
	malformed := r.AnsweredBy == ByIngress && r.Result == Invalid
	if NotableReason(r) != "" && !malformed {
		to = &q.notable
	}
	to.items = append(to.items, r)
	q.bytes += r.Size()
	for q.bytes > q.maxBytes {
		if q.plain.len() > 0 {
			q.bytes -= q.plain.pop().Size()
			plain++
		} else {
			q.bytes -= q.notable.pop().Size()
			notable++
		}
	}
	return plain, notable
}

// Take removes and returns at most n records, notable ones first.
func (q *Queue) Take(n int) []*Record {
	out := make([]*Record, 0, min(n, q.Len()))
	for len(out) < n && q.Len() > 0 {
		from := &q.notable
		if from.len() == 0 {
			from = &q.plain
		}
		r := from.pop()
		q.bytes -= r.Size()
		out = append(out, r)
	}
	return out
}

// Len returns the number of queued records.
func (q *Queue) Len() int { return q.plain.len() + q.notable.len() }

// Bytes returns the approximate size of the queued records in bytes.
func (q *Queue) Bytes() int { return q.bytes }
