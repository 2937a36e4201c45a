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
	By       string    // "class", "target" or "answer"
	From, To time.Time // of a request's coming; zero for no bound
	Worst    int       // how many of the worst requests are named
}

// Groups are the words that Query.By may hold.
var Groups = []string{"class", "target", "answer"}

// mostGroups bounds the rows of a table; what comes past it is one row.
const mostGroups = 5000

// other is the name of that row.
const other = "(others)"

// group is a row of the first table.
type group struct {
	requests, served, late, refused, failed, expired, gone, unusable int
	worth, inTime                                                    float64
	times                                                            *hdrhistogram.Histogram // microseconds
}

// node is a row of the table of targets.
type node struct {
	hops     int
	outcomes map[string]int
}

// Summary gathers what a time's requests went through.
type Summary struct {
	query       Query
	groups      map[string]*group
	all         *group
	causes      map[string]*group
	nodes       map[string]*node
	worst       []*Request
	first, last time.Time
}

// NewSummary makes an empty one.
func NewSummary(q Query) *Summary {
	return &Summary{query: q, groups: map[string]*group{}, all: newGroup(), causes: map[string]*group{}, nodes: map[string]*node{}}
}

func newGroup() *group {
	return &group{times: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

// at returns a row, the common one where there are too many.
func at(m map[string]*group, name string) *group {
	if m[name] == nil && len(m) >= mostGroups {
		name = other
	}
	if m[name] == nil {
		m[name] = newGroup()
	}
	return m[name]
}

// Add takes in a request.
func (s *Summary) Add(r *Request) {
	if !s.query.From.IsZero() && r.Came.Before(s.query.From) || !s.query.To.IsZero() && !r.Came.Before(s.query.To) {
		return
	}
	if s.first.IsZero() || r.Came.Before(s.first) {
		s.first = r.Came
	}
	if r.Came.After(s.last) {
		s.last = r.Came
	}
	name := cmp.Or(r.Class, "(none)")
	switch s.query.By {
	case "answer":
		name = r.Answer
	case "target":
		name = cmp.Or(r.Target, "(none)")
	}
	rows := []*group{s.all, at(s.groups, name)}
	if lost(r) > 0 {
		why := r.Answer + ": " + r.Why
		if r.Answer == "served" {
			why = "served: late"
		}
		rows = append(rows, at(s.causes, why))
	}
	for _, g := range rows {
		g.add(r)
	}
	for _, h := range r.Hops {
		target := h.Target
		if s.nodes[target] == nil && len(s.nodes) >= mostGroups {
			target = other
		}
		n := s.nodes[target]
		if n == nil {
			n = &node{outcomes: map[string]int{}}
			s.nodes[target] = n
		}
		n.hops++
		n.outcomes[h.Outcome]++
	}
	if lost(r) > 0 {
		s.worst = append(s.worst, r)
		if len(s.worst) >= 2*s.query.Worst+64 {
			s.rank()
		}
	}
}

func (g *group) add(r *Request) {
	g.requests++
	g.worth += r.Worth
	_ = g.times.RecordValue(max(r.Ended.Sub(r.Came).Microseconds(), 1)) // longer ones than its range count for nothing
	switch r.Answer {
	case "served":
		g.served++
		if r.Late {
			g.late++
		} else {
			g.inTime += r.Worth
		}
	case "refused":
		g.refused++
	case "failed":
		g.failed++
	case "expired":
		g.expired++
	case "gone":
		g.gone++
	default:
		g.unusable++
	}
}

// lost returns the worth that a request did not bring. What nobody could use brought no
// loss of ours.
func lost(r *Request) float64 {
	if r.Answer == "unusable" || r.Answer == "served" && !r.Late {
		return 0
	}
	return max(r.Worth, 1e-9)
}

// rank keeps the worst requests: by the worth lost, then by the time taken.
func (s *Summary) rank() {
	slices.SortStableFunc(s.worst, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(lost(b), lost(a)), cmp.Compare(b.Ended.Sub(b.Came), a.Ended.Sub(a.Came)), a.Came.Compare(b.Came))
	})
	s.worst = s.worst[:min(len(s.worst), s.query.Worst)]
}

// Write writes the tables.
func (s *Summary) Write(out io.Writer) error {
	if s.all.requests == 0 {
		_, err := fmt.Fprintln(out, "no requests")
		return err
	}
	fmt.Fprintf(out, "%d requests from %s to %s: %.1f%% of their worth served in time\n\n", s.all.requests,
		s.first.Format(time.RFC3339), s.last.Format(time.RFC3339), 100*s.all.inTime/max(s.all.worth, 1e-9))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\trequests\tserved\tlate\trefused\tfailed\texpired\tgone\tunusable\tworth lost\tp50\tp99\t\n", cmp.Or(s.query.By, "class"))
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%g\t%s\t%s\t\n", name, g.requests, g.served, g.late, g.refused,
			g.failed, g.expired, g.gone, g.unusable, round(g.worth-g.inTime), g.quantile(50), g.quantile(99))
	}
	fmt.Fprintf(w, "\t\t\t\t\t\t\t\t\t\t\t\t\n")
	if len(s.causes) > 0 {
		fmt.Fprintf(w, "lost to\trequests\tworth lost\t\n")
	}
	for _, name := range slices.SortedFunc(maps.Keys(s.causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.causes[b].worth, s.causes[a].worth), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(w, "%s\t%d\t%g\t\n", name, s.causes[name].requests, round(s.causes[name].worth))
	}
	fmt.Fprintf(w, "\t\t\t\n")
	if err := s.writeNodes(w); err != nil {
		return err
	}
	s.rank()
	if len(s.worst) > 0 {
		fmt.Fprintf(out, "\nworst requests\n")
	}
	for _, r := range s.worst {
		fmt.Fprintf(out, "  %s  %s %s: %s, %s, after %s, %d hops, worth %g\n", r.Trace, cmp.Or(r.Class, "(none)"), r.ID, r.Answer,
			r.Why, span(r.Ended.Sub(r.Came)), len(r.Hops), r.Worth)
	}
	return nil
}

// writeNodes writes the targets whose hops ended otherwise than served, the worst first.
func (s *Summary) writeNodes(w *tabwriter.Writer) error {
	bad := func(name string) int {
		n := s.nodes[name]
		return n.hops - n.outcomes["served"] - n.outcomes["given_up"]
	}
	titled := false
	for _, name := range slices.SortedFunc(maps.Keys(s.nodes), func(a, b string) int {
		return cmp.Or(cmp.Compare(bad(b), bad(a)), cmp.Compare(a, b))
	}) {
		if bad(name) == 0 {
			continue
		}
		if !titled {
			titled = true
			fmt.Fprintf(w, "target\thops\terrored\trejected\ttimed_out\tunconnected\treset\tnot_sent\t\n")
		}
		n := s.nodes[name]
		fmt.Fprintf(w, "%s\t%d", name, n.hops)
		for _, o := range []string{"errored", "rejected", "timed_out", "unconnected", "reset", "not_sent"} {
			fmt.Fprintf(w, "\t%d", n.outcomes[o])
		}
		fmt.Fprintf(w, "\t\n")
	}
	return w.Flush()
}

func (g *group) quantile(q float64) string {
	return span(time.Duration(g.times.ValueAtQuantile(q)) * time.Microsecond)
}

func round(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }
