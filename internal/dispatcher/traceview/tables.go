package traceview

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Write writes the tables of groups, causes of lost value and backends, and the worst requests.
func (s *Summary) Write(out io.Writer) error {
	if s.total.requests == 0 {
		_, err := fmt.Fprintln(out, "no requests")
		return err
	}
	fmt.Fprintf(out, "%d requests from %s to %s: %.1f%% of their worth served in time\n\n", s.total.requests,
		s.first.Format(time.RFC3339), s.last.Format(time.RFC3339), 100*s.total.onTimeValue/max(s.total.value, 1e-9))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	s.writeGroups(w)
	s.writeCauses(w)
	s.writeBackends(w)
	if err := w.Flush(); err != nil {
		return err
	}
	s.writeWorst(out)
	return nil
}

// writeGroups writes the table of groups, sorted by name.
func (s *Summary) writeGroups(w io.Writer) {
	fmt.Fprintf(w, "%s\trequests\tserved\tlate\trefused\tfailed\texpired\tgone\tunusable\tworth lost\tp50\tp99\t\n", cmp.Or(s.query.GroupBy, "class"))
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%g\t%s\t%s\t\n", name, g.requests, g.served, g.overdue, g.refused,
			g.failed, g.expired, g.abandoned, g.invalid, roundHundredths(g.value-g.onTimeValue), g.quantile(50), g.quantile(99))
	}
	fmt.Fprintf(w, "\t\t\t\t\t\t\t\t\t\t\t\t\n")
}

// writeCauses writes the causes of lost value in descending order of that value.
func (s *Summary) writeCauses(w io.Writer) {
	if len(s.causes) > 0 {
		fmt.Fprintf(w, "lost to\trequests\tworth lost\t\n")
	}
	for _, name := range slices.SortedFunc(maps.Keys(s.causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.causes[b].value, s.causes[a].value), cmp.Compare(a, b))
	}) {
		fmt.Fprintf(w, "%s\t%d\t%g\t\n", name, s.causes[name].requests, roundHundredths(s.causes[name].value))
	}
	fmt.Fprintf(w, "\t\t\t\n")
}

// writeBackends writes the backends with failed attempts, that is, neither served nor given up, in
// descending order of their number.
func (s *Summary) writeBackends(w io.Writer) {
	failedAttempts := func(name string) int {
		counts := s.backends[name]
		return counts.attempts - counts.outcomes["served"] - counts.outcomes["given_up"]
	}
	headerWritten := false
	for _, name := range slices.SortedFunc(maps.Keys(s.backends), func(a, b string) int {
		return cmp.Or(cmp.Compare(failedAttempts(b), failedAttempts(a)), cmp.Compare(a, b))
	}) {
		if failedAttempts(name) == 0 {
			continue
		}
		if !headerWritten {
			headerWritten = true
			fmt.Fprintf(w, "target\thops\terrored\trejected\ttimed_out\tunconnected\treset\tnot_sent\t\n")
		}
		counts := s.backends[name]
		fmt.Fprintf(w, "%s\t%d", name, counts.attempts)
		for _, outcome := range []string{"errored", "rejected", "timed_out", "unconnected", "reset", "not_sent"} {
			fmt.Fprintf(w, "\t%d", counts.outcomes[outcome])
		}
		fmt.Fprintf(w, "\t\n")
	}
}

// writeWorst writes the worst requests, one per line.
func (s *Summary) writeWorst(out io.Writer) {
	s.rank()
	if len(s.worst) > 0 {
		fmt.Fprintf(out, "\nworst requests\n")
	}
	for _, r := range s.worst {
		fmt.Fprintf(out, "  %s  %s %s: %s, %s, after %s, %d hops, worth %g\n", r.Trace, cmp.Or(r.Class, "(none)"), r.ID, r.Result,
			r.Reason, formatDuration(r.Ended.Sub(r.Received)), len(r.Attempts), r.Value)
	}
}

// quantile returns a percentile of the group's durations.
func (g *group) quantile(percent float64) string {
	return formatDuration(time.Duration(g.durations.ValueAtQuantile(percent)) * time.Microsecond)
}

// roundHundredths rounds a non-negative number to two decimal places.
func roundHundredths(x float64) float64 { return float64(int64(x*100+0.5)) / 100 }
