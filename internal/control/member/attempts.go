package member

// maxRecentAttempts bounds the attempts of requests that are remembered: some seconds' worth.
const maxRecentAttempts = 4096

// attempt is one sending of a client's request.
type attempt struct {
	id     uint64
	number uint32
}

// recentAttempts remembers the newest attempts that came, so that one that comes twice is not both refused and taken. The
// zero value remembers none.
type recentAttempts struct {
	entries map[attempt]struct{}
	ring    []attempt // a ring once it is full
	next    int
}

// record notes an attempt and tells whether it came before.
func (r *recentAttempts) record(a attempt) bool {
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
