package trace

// Queue holds the stories that wait for their export, within a bound of bytes. Past it
// plain ones go, the oldest first, then notable ones, the oldest first: what was lost
// to trouble is worth more than what went well, and the newest trouble the most.
type Queue struct {
	maxBytes       int
	bytes          int
	plain, notable fifo
}

// NewQueue makes a queue that holds at most so many bytes, by Story.Size.
func NewQueue(maxBytes int) *Queue { return &Queue{maxBytes: maxBytes} }

// fifo is a queue in the order of coming.
type fifo struct {
	items []*Record
	first int
}

func (l *fifo) len() int { return len(l.items) - l.first }

func (l *fifo) pop() *Record {
	record := l.items[l.first]
	l.items[l.first] = nil
	l.first++
	if 2*l.first >= len(l.items) { // guards the memory of what has been taken out
		n := copy(l.items, l.items[l.first:])
		clear(l.items[n:])
		l.items, l.first = l.items[:n], 0
	}
	return record
}

// Put adds a story and returns how many plain and notable ones had to go for it.
func (q *Queue) Put(record *Record) (plain, notable int) {
	to := &q.plain
	// Guards notable stories against clients that send what can't be read, at full speed.
	junk := record.AnsweredBy == ByIngress && record.Result == Invalid
	if NotableReason(record) != "" && !junk {
		to = &q.notable
	}
	to.items = append(to.items, record)
	q.bytes += record.Size()
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

// Take removes and returns at most n stories, notable ones first.
func (q *Queue) Take(n int) []*Record {
	out := make([]*Record, 0, min(n, q.Len()))
	for len(out) < n && q.Len() > 0 {
		from := &q.notable
		if from.len() == 0 {
			from = &q.plain
		}
		record := from.pop()
		q.bytes -= record.Size()
		out = append(out, record)
	}
	return out
}

// Len returns how many stories wait.
func (q *Queue) Len() int { return q.plain.len() + q.notable.len() }

// Bytes returns how much of the bound they take.
func (q *Queue) Bytes() int { return q.bytes }
