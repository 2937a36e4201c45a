package traceview

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxShown is the maximum number of requests that Show writes. It also writes the number of those
// left out.
const maxShown = 1000

// Show writes the requests that belong to a trace or span, or have the client's id, in order of
// arrival. Each is a tree of its attempts with times relative to its arrival. It returns the number
// of matching requests.
func Show(out io.Writer, from io.Reader, id string) (found int, err error) {
	var shown []*Request
	unreadable, err := Read(from, func(r *Request) {
		if r.Trace == id || r.ID == id || r.Span == id {
			if found++; found <= maxShown {
				shown = append(shown, r)
			}
		}
	})
	if err != nil {
		return found, err
	}
	slices.SortStableFunc(shown, func(a, b *Request) int { return a.Received.Compare(b.Received) })
	for _, r := range shown {
		r.write(out)
	}
	if found > maxShown {
		fmt.Fprintf(out, "%d more are not shown\n", found-maxShown)
	}
	if unreadable > 0 {
		fmt.Fprintf(out, "lines that could not be read: %d\n", unreadable)
	}
	return found, nil
}

// write writes a request with its attempts.
func (r *Request) write(out io.Writer) {
	fmt.Fprintf(out, "trace %s\n", r.Trace)
	fmt.Fprintf(out, "request %s of %s at %s by %s: %s by %s, %s, after %s%s\n", cmp.Or(r.ID, "without id"), cmp.Or(r.Class, "no class"),
		r.Received.Format(time.RFC3339Nano), cmp.Or(r.Node, "?"), r.Result, r.AnsweredBy, cmp.Or(r.Reason, "no reason"),
		formatDuration(r.Ended.Sub(r.Received)),
		joinFlags(flag{r.Overdue, "late"}, flag{r.HandedOver, "begun by an older process"}, flag{r.ClientRetry, "a client's repeat"}))
	fmt.Fprintf(out, "  worth %g, %g slots, time %s, status %d%s\n", r.Value, r.Slots, formatDuration(r.Deadline), r.Status,
		joinFlags(flag{r.Keyed, "keyed"}))
	for _, l := range r.Links {
		fmt.Fprintf(out, "  after the try of trace %s, span %s\n", l.Trace, l.Span)
	}
	for i := range r.Attempts {
		r.writeAttempt(out, i)
	}
}

// writeAttempt writes an attempt as a branch of the request's tree.
func (r *Request) writeAttempt(out io.Writer, index int) {
	a := &r.Attempts[index]
	branch, indent := "├─", "│ "
	if index == len(r.Attempts)-1 {
		branch, indent = "└─", "  "
	}
	fmt.Fprintf(out, "  %s +%s hop %d (%s) to %s %s in %s: %s after %s%s\n", branch, formatDuration(a.Sent.Sub(r.Received)), index+1,
		r.attemptKind(a), a.Backend, a.Addr, cmp.Or(a.Zone, "?"), a.Outcome, formatDuration(a.Ended.Sub(a.Sent)),
		joinFlags(flag{a.MayHaveRun, "may have run"}, flag{a.WarmingUp, "cold"}, flag{a.ReusedConnection, "kept connection"}))
	for _, e := range a.Events {
		progress := ""
		if e.Name == "running" {
			progress = fmt.Sprintf(" %.0f%%", e.Progress*100)
		}
		fmt.Fprintf(out, "  %s   +%s %s%s\n", indent, formatDuration(e.At.Sub(r.Received)), e.Name, progress)
	}
}

// attemptKind returns an attempt's kind or, for a hedge, the number of the attempt that it
// duplicates.
func (r *Request) attemptKind(a *Attempt) string {
	kind := a.Kind
	for i := range r.Attempts {
		if a.HedgeOf != "" && r.Attempts[i].Span == a.HedgeOf {
			kind = fmt.Sprintf("copy of hop %d", i+1)
		}
	}
	return kind
}

// formatDuration formats a duration in microseconds, milliseconds or seconds, depending on its
// size.
func formatDuration(d time.Duration) string {
	switch {
	case d < time.Millisecond:
		return fmt.Sprintf("%dµs", d.Microseconds())
	case d < 10*time.Second:
		return fmt.Sprintf("%dms", d.Milliseconds())
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

// flag is a property whose text is shown if it is set.
type flag struct {
	set  bool
	text string
}

// joinFlags concatenates the texts of the flags that are set, each preceded by a comma.
func joinFlags(flags ...flag) string {
	var out strings.Builder
	for _, f := range flags {
		if f.set {
			out.WriteString(", " + f.text)
		}
	}
	return out.String()
}
