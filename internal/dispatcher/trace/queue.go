package trace

// Queue holds the stories that wait for their export, within a bound of bytes. Past it
// plain ones go, the oldest first, then notable ones, the oldest first: what was lost
// to trouble is worth more than what went well, and the newest trouble the most.
type Queue struct {
	most           int
	bytes          int
	plain, notable line
}

// NewQueue makes a queue that holds at most so many bytes, by Story.Size.
func NewQueue(most int) *Queue { return &Queue{most: most} }

// line is a queue in the order of coming.
type line struct {
	items []*Story
	first int
}

func (l *line) len() int { return len(l.items) - l.first }

func (l *line) pop() *Story {
	s := l.items[l.first]
	l.items[l.first] = nil
	l.first++
	if 2*l.first >= len(l.items) { // guards the memory of what has been taken out
		n := copy(l.items, l.items[l.first:])
		clear(l.items[n:])
		l.items, l.first = l.items[:n], 0
	}
	return s
}

// Put adds a story and returns how many plain and notable ones had to go for it.
func (q *Queue) Put(s *Story) (plain, notable int) {
	to := &q.plain
	// Guards notable stories against clients that send what can't be read, at full speed.
	junk := s.By == ByDoor && s.Answer == Unusable
	if Notable(s) != "" && !junk {
		to = &q.notable
	}
	to.items = append(to.items, s)
	q.bytes += s.Size()
	for q.bytes > q.most {
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
func (q *Queue) Take(n int) []*Story {
	out := make([]*Story, 0, min(n, q.Len()))
	for len(out) < n && q.Len() > 0 {
		from := &q.notable
		if from.len() == 0 {
			from = &q.plain
		}
		s := from.pop()
		q.bytes -= s.Size()
		out = append(out, s)
	}
	return out
}

// Len returns how many stories wait.
func (q *Queue) Len() int { return q.plain.len() + q.notable.len() }

// Bytes returns how much of the bound they take.
func (q *Queue) Bytes() int { return q.bytes }
