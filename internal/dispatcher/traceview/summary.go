package traceview

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Query selects the requests of a summary and how they are grouped.
type Query struct {
	GroupBy  string    // one of Groups
	From, To time.Time // bounds of the arrival time, To exclusive; zero for none
	MaxWorst int       // maximum number of worst requests that are listed
}

// Groups are the valid values of Query.GroupBy.
var Groups = []string{"class", "target", "answer"}

// maxGroups bounds the rows of a table; all further groups are counted in the row otherGroups.
const (
	maxGroups   = 5000
	otherGroups = "(others)"
)

// group holds the counts of a row in the table of requests.
type group struct {
	requests, served, overdue, refused, failed, expired, abandoned, invalid int
	value, onTimeValue                                                      float64
	durations                                                               *hdrhistogram.Histogram // microseconds
}

// newGroup returns an empty group whose histogram covers 1 µs to 10 minutes with 3 significant
// digits.
func newGroup() *group {
	return &group{durations: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

// backendCounts holds the counts of a row in the table of backends.
type backendCounts struct {
	attempts int
	outcomes map[string]int
}

// Summary aggregates the requests of a period. It is not safe for concurrent use.
type Summary struct {
	query       Query
	groups      map[string]*group
	total       *group
	causes      map[string]*group // by cause of the lost value
	backends    map[string]*backendCounts
	worst       []*Request
	first, last time.Time // earliest and latest arrival
}

// NewSummary returns an empty summary for a query.
func NewSummary(q Query) *Summary {
	return &Summary{query: q, groups: map[string]*group{}, total: newGroup(), causes: map[string]*group{}, backends: map[string]*backendCounts{}}
}

// Add adds a request, unless it arrived outside the query's time bounds.
func (s *Summary) Add(r *Request) {
	if !s.query.From.IsZero() && r.Received.Before(s.query.From) || !s.query.To.IsZero() && !r.Received.Before(s.query.To) {
		return
	}
	if s.first.IsZero() || r.Received.Before(s.first) {
		s.first = r.Received
	}
	if r.Received.After(s.last) {
		s.last = r.Received
	}
	rows := []*group{s.total, groupFor(s.groups, s.groupName(r))}
	if lostValue(r) > 0 {
		rows = append(rows, groupFor(s.causes, cause(r)))
	}
	for _, g := range rows {
		g.add(r)
	}
	for i := range r.Attempts {
		s.addAttempt(&r.Attempts[i])
	}
	if lostValue(r) > 0 {
		s.worst = append(s.worst, r)
		if len(s.worst) >= 2*s.query.MaxWorst+64 { // bounds the memory use
			s.rank()
		}
	}
}

// groupName returns the name of the group that a request belongs to.
func (s *Summary) groupName(r *Request) string {
	switch s.query.GroupBy {
	case "answer":
		return r.Result
	case "target":
		return cmp.Or(r.Backend, "(none)")
	}
	return cmp.Or(r.Class, "(none)")
}

// cause returns the cause that a request's lost value is attributed to.
func cause(r *Request) string {
	if r.Result == "served" {
		return "served: late"
	}
	return r.Result + ": " + r.Reason
}

// groupFor returns the group with a name, creating it if needed, or otherGroups once there are
// maxGroups.
func groupFor(groups map[string]*group, name string) *group {
	if groups[name] == nil && len(groups) >= maxGroups {
		name = otherGroups
	}
	if groups[name] == nil {
		groups[name] = newGroup()
	}
	return groups[name]
}

// addAttempt counts an attempt for its backend, or for otherGroups once there are maxGroups.
func (s *Summary) addAttempt(a *Attempt) {
	backend := a.Backend
	if s.backends[backend] == nil && len(s.backends) >= maxGroups {
		backend = otherGroups
	}
	counts := s.backends[backend]
	if counts == nil {
		counts = &backendCounts{outcomes: map[string]int{}}
		s.backends[backend] = counts
	}
	counts.attempts++
	counts.outcomes[a.Outcome]++
}

// add counts a request in the group.
func (g *group) add(r *Request) {
	g.requests++
	g.value += r.Value
	// RecordValue fails for a duration beyond its range, which is then left out.
	_ = g.durations.RecordValue(max(r.Ended.Sub(r.Received).Microseconds(), 1))
	switch r.Result {
	case "served":
		g.served++
		if r.Overdue {
			g.overdue++
		} else {
			g.onTimeValue += r.Value
		}
	case "refused":
		g.refused++
	case "failed":
		g.failed++
	case "expired":
		g.expired++
	case "gone":
		g.abandoned++
	default:
		g.invalid++
	}
}

// lostValue returns the value that a request has lost: 0 if it was served on time or malformed;
// otherwise more than 0 even if its value is 0, so that it is listed.
func lostValue(r *Request) float64 {
	if r.Result == "unusable" || r.Result == "served" && !r.Overdue {
		return 0
	}
	return max(r.Value, 1e-9)
}

// rank sorts the worst requests by lost value, then by duration, and drops those beyond MaxWorst.
func (s *Summary) rank() {
	slices.SortStableFunc(s.worst, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(lostValue(b), lostValue(a)), cmp.Compare(b.Ended.Sub(b.Received), a.Ended.Sub(a.Received)),
			a.Received.Compare(b.Received))
	})
	s.worst = s.worst[:min(len(s.worst), s.query.MaxWorst)]
}
