package member

// maxRecentAttempts is the number of attempts remembered, enough for several seconds.
const maxRecentAttempts = 4096

// attempt identifies one transmission of a client's request.
type attempt struct {
	id     uint64 // of the request
	number uint32 // from 1
}

// recentAttempts remembers the newest attempts, so that one that arrives twice is not both rejected
// and accepted. The zero value is ready for use.
type recentAttempts struct {
	entries map[attempt]struct{}
	ring    []attempt // in the order of arrival; a ring once it is full
	next    int       // index in the full ring of the oldest attempt, which is replaced next
}

// record adds an attempt and reports whether it was there already.
func (r *recentAttempts) record(a attempt) (duplicate bool) {
	if _, ok := r.entries[a]; ok {
		return true
	}
	if r.entries == nil {
		r.entries = make(map[attempt]struct{})
	}
	r.entries[a] = struct{}{}
	if len(r.ring) < maxRecentAttempts {
		r.ring = append(r.ring, a)
		return false
	}
	delete(r.entries, r.ring[r.next])
	r.ring[r.next] = a
	r.next = (r.next + 1) % maxRecentAttempts
	return false
}
