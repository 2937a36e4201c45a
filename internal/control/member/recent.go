package member

// recentAttempts bounds the attempts of requests that are remembered: some seconds' worth.
const recentAttempts = 4096

// attempt is one sending of a client's request.
type attempt struct {
	id     uint64
	number uint32
}

// recent remembers the newest attempts that came, so that one that comes twice is not both refused and taken. The
// zero value remembers none.
type recent struct {
	known map[attempt]struct{}
	order []attempt // a ring once it is full
	next  int
}

// seen notes an attempt and tells whether it came before.
func (r *recent) seen(a attempt) bool {
	if _, ok := r.known[a]; ok {
		return true
	}
	if r.known == nil {
		r.known = make(map[attempt]struct{})
	}
	r.known[a] = struct{}{}
	if len(r.order) < recentAttempts {
		r.order = append(r.order, a)
		return false
	}
	delete(r.known, r.order[r.next])
	r.order[r.next] = a
	r.next = (r.next + 1) % recentAttempts
	return false
}
