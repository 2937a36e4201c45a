package traceview

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxShown bounds what one call shows; a trace with more requests is cut, and says so.
const maxShown = 1000

// Show writes the requests of a trace, or those with a client's id, each as a tree with
// times from its coming. It returns how many there were.
func Show(out io.Writer, from io.Reader, id string) (found int, err error) {
	var all []*Request
	unread, err := Read(from, func(r *Request) {
		if r.Trace == id || r.ID == id || r.Span == id {
			if found++; found <= maxShown {
				all = append(all, r)
			}
		}
	})
	if err != nil {
		return found, err
	}
	slices.SortStableFunc(all, func(a, b *Request) int { return a.Received.Compare(b.Received) })
	for _, r := range all {
		r.write(out)
	}
	if found > maxShown {
		fmt.Fprintf(out, "%d more are not shown\n", found-maxShown)
	}
	warnUnread(out, unread)
	return found, nil
}

func warnUnread(out io.Writer, unread int) {
	if unread > 0 {
		fmt.Fprintf(out, "lines that could not be read: %d\n", unread)
	}
}

// formatDuration writes a time as an operator reads it.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Millisecond:
		return fmt.Sprintf("%dµs", d.Microseconds())
	case d < 10*time.Second:
		return fmt.Sprintf("%dms", d.Milliseconds())
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

// joinFlags writes the words that hold.
func joinFlags(pairs ...any) string {
	var set []string
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i].(bool) {
			set = append(set, pairs[i+1].(string))
		}
	}
	if len(set) == 0 {
		return ""
	}
	return ", " + strings.Join(set, ", ")
}

func (r *Request) write(out io.Writer) {
	fmt.Fprintf(out, "trace %s\n", r.Trace)
	fmt.Fprintf(out, "request %s of %s at %s by %s: %s by %s, %s, after %s%s\n", cmp.Or(r.ID, "without id"), cmp.Or(r.Class, "no class"),
		r.Received.Format(time.RFC3339Nano), cmp.Or(r.Node, "?"), r.Result, r.AnsweredBy, cmp.Or(r.Reason, "no reason"), formatDuration(r.Ended.Sub(r.Received)),
		joinFlags(r.Overdue, "late", r.HandedOver, "begun by an older process", r.ClientRetry, "a client's repeat"))
	fmt.Fprintf(out, "  worth %g, %g slots, time %s, status %d%s\n", r.Value, r.Slots, formatDuration(r.Deadline), r.Status, joinFlags(r.Keyed, "keyed"))
	for _, l := range r.Links {
		fmt.Fprintf(out, "  after the try of trace %s, span %s\n", l.Trace, l.Span)
	}
	for i, attempt := range r.Attempts {
		branch, bar := "├─", "│ "
		if i == len(r.Attempts)-1 {
			branch, bar = "└─", "  "
		}
		kind := attempt.Kind
		for j := range r.Attempts {
			if attempt.HedgeOf != "" && r.Attempts[j].Span == attempt.HedgeOf {
				kind = fmt.Sprintf("copy of hop %d", j+1)
			}
		}
		fmt.Fprintf(out, "  %s +%s hop %d (%s) to %s %s in %s: %s after %s%s\n", branch, formatDuration(attempt.Sent.Sub(r.Received)), i+1, kind, attempt.Backend,
			attempt.Addr, cmp.Or(attempt.Zone, "?"), attempt.Outcome, formatDuration(attempt.Ended.Sub(attempt.Sent)),
			joinFlags(attempt.MayHaveRun, "may have run", attempt.WarmingUp, "cold", attempt.ReusedConnection, "kept connection"))
		for _, e := range attempt.Events {
			progress := ""
			if e.Name == "running" {
				progress = fmt.Sprintf(" %.0f%%", e.Progress*100)
			}
			fmt.Fprintf(out, "  %s   +%s %s%s\n", bar, formatDuration(e.At.Sub(r.Received)), e.Name, progress)
		}
	}
}
