package traceview

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Query says what a summary is of.
type Query struct {
	GroupBy  string    // "class", "target" or "answer"
	From, To time.Time // of a request's coming; zero for no bound
	MaxWorst int       // how many of the worst requests are named
}

// Groups are the words that Query.By may hold.
var Groups = []string{"class", "target", "answer"}

// maxGroups bounds the rows of a table; what comes past it is one row.
const maxGroups = 5000

// otherGroups is the name of that row.
const otherGroups = "(others)"

// group is a row of the first table.
type group struct {
	requests, served, overdue, refused, failed, expired, abandoned, invalid int
	value, onTimeValue                                                      float64
	durations                                                               *hdrhistogram.Histogram // microseconds
}

// backendCounts is a row of the table of targets.
type backendCounts struct {
	attempts int
	outcomes map[string]int
}

// Summary gathers what a time's requests went through.
type Summary struct {
	query       Query
	groups      map[string]*group
	all         *group
	causes      map[string]*group
	backends    map[string]*backendCounts
	worst       []*Request
	first, last time.Time
}

// NewSummary makes an empty one.
func NewSummary(q Query) *Summary {
	return &Summary{query: q, groups: map[string]*group{}, all: newGroup(), causes: map[string]*group{}, backends: map[string]*backendCounts{}}
}

func newGroup() *group {
	return &group{durations: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

// groupFor returns a row, the common one where there are too many.
func groupFor(m map[string]*group, name string) *group {
	if m[name] == nil && len(m) >= maxGroups {
		name = otherGroups
	}
	if m[name] == nil {
		m[name] = newGroup()
	}
	return m[name]
}

// Add takes in a request.
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
	name := cmp.Or(r.Class, "(none)")
	switch s.query.GroupBy {
	case "answer":
		name = r.Result
	case "target":
		name = cmp.Or(r.Backend, "(none)")
	}
	rows := []*group{s.all, groupFor(s.groups, name)}
	if lostValue(r) > 0 {
		cause := r.Result + ": " + r.Reason
		if r.Result == "served" {
			cause = "served: late"
		}
		rows = append(rows, groupFor(s.causes, cause))
	}
	for _, g := range rows {
		g.add(r)
	}
	for _, attempt := range r.Attempts {
		target := attempt.Backend
		if s.backends[target] == nil && len(s.backends) >= maxGroups {
			target = otherGroups
		}
		counts := s.backends[target]
		if counts == nil {
			counts = &backendCounts{outcomes: map[string]int{}}
			s.backends[target] = counts
		}
		counts.attempts++
		counts.outcomes[attempt.Outcome]++
	}
	if lostValue(r) > 0 {
		s.worst = append(s.worst, r)
		if len(s.worst) >= 2*s.query.MaxWorst+64 {
			s.rank()
		}
	}
}

func (g *group) add(r *Request) {
	g.requests++
	g.value += r.Value
	_ = g.durations.RecordValue(max(r.Ended.Sub(r.Received).Microseconds(), 1)) // longer ones than its range count for nothing
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

// lostValue returns the worth that a request did not bring. What nobody could use brought no
// loss of ours.
func lostValue(r *Request) float64 {
	if r.Result == "unusable" || r.Result == "served" && !r.Overdue {
		return 0
	}
	return max(r.Value, 1e-9)
}

// rank keeps the worst requests: by the worth lost, then by the time taken.
func (s *Summary) rank() {
	slices.SortStableFunc(s.worst, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(lostValue(b), lostValue(a)), cmp.Compare(b.Ended.Sub(b.Received), a.Ended.Sub(a.Received)), a.Received.Compare(b.Received))
	})
	s.worst = s.worst[:min(len(s.worst), s.query.MaxWorst)]
}

// Write writes the tables.
func (s *Summary) Write(out io.Writer) error {
	if s.all.requests == 0 {
		_, err := fmt.Fprintln(out, "no requests")
		return err
	}
	fmt.Fprintf(out, "%d requests from %s to %s: %.1f%% of their worth served in time\n\n", s.all.requests,
		s.first.Format(time.RFC3339), s.last.Format(time.RFC3339), 100*s.all.onTimeValue/max(s.all.value, 1e-9))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\trequests\tserved\tlate\trefused\tfailed\texpired\tgone\tunusable\tworth lost\tp50\tp99\t\n", cmp.Or(s.query.GroupBy, "class"))
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%g\t%s\t%s\t\n", name, g.requests, g.served, g.overdue, g.refused,
			g.failed, g.expired, g.abandoned, g.invalid, roundHundredths(g.value-g.onTimeValue), g.quantile(50), g.quantile(99))
	}
	fmt.Fprintf(w, "\t\t\t\t\t\t\t\t\t\t\t\t\n")
	if len(s.causes) > 0 {
		fmt.Fprintf(w, "lost to\trequests\tworth lost\t\n")
	}
	for _, name := range slices.SortedFunc(maps.Keys(s.causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.causes[b].value, s.causes[a].value), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(w, "%s\t%d\t%g\t\n", name, s.causes[name].requests, roundHundredths(s.causes[name].value))
	}
	fmt.Fprintf(w, "\t\t\t\n")
	if err := s.writeBackends(w); err != nil {
		return err
	}
	s.rank()
	if len(s.worst) > 0 {
		fmt.Fprintf(out, "\nworst requests\n")
	}
	for _, r := range s.worst {
		fmt.Fprintf(out, "  %s  %s %s: %s, %s, after %s, %d hops, worth %g\n", r.Trace, cmp.Or(r.Class, "(none)"), r.ID, r.Result,
			r.Reason, formatDuration(r.Ended.Sub(r.Received)), len(r.Attempts), r.Value)
	}
	return nil
}

// writeBackends writes the targets whose hops ended otherwise than served, the worst first.
func (s *Summary) writeBackends(w *tabwriter.Writer) error {
	bad := func(name string) int {
		counts := s.backends[name]
		return counts.attempts - counts.outcomes["served"] - counts.outcomes["given_up"]
	}
	titled := false
	for _, name := range slices.SortedFunc(maps.Keys(s.backends), func(a, b string) int {
		return cmp.Or(cmp.Compare(bad(b), bad(a)), cmp.Compare(a, b))
	}) {
		if bad(name) == 0 {
			continue
		}
		if !titled {
			titled = true
			fmt.Fprintf(w, "target\thops\terrored\trejected\ttimed_out\tunconnected\treset\tnot_sent\t\n")
		}
		counts := s.backends[name]
		fmt.Fprintf(w, "%s\t%d", name, counts.attempts)
		for _, o := range []string{"errored", "rejected", "timed_out", "unconnected", "reset", "not_sent"} {
			fmt.Fprintf(w, "\t%d", counts.outcomes[o])
		}
		fmt.Fprintf(w, "\t\n")
	}
	return w.Flush()
}

func (g *group) quantile(q float64) string {
	return formatDuration(time.Duration(g.durations.ValueAtQuantile(q)) * time.Microsecond)
}

func roundHundredths(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }
