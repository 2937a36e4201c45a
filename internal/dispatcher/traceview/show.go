package traceview

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// mostShown bounds what one call shows; a trace with more requests is cut, and says so.
const mostShown = 1000

// Show writes the requests of a trace, or those with a client's id, each as a tree with
// times from its coming. It returns how many there were.
func Show(out io.Writer, from io.Reader, id string) (found int, err error) {
	var all []*Request
	unread, err := Read(from, func(r *Request) {
		if r.Trace == id || r.ID == id || r.Span == id {
			if found++; found <= mostShown {
				all = append(all, r)
			}
		}
	})
	if err != nil {
		return found, err
	}
	slices.SortStableFunc(all, func(a, b *Request) int { return a.Came.Compare(b.Came) })
	for _, r := range all {
		r.write(out)
	}
	if found > mostShown {
		fmt.Fprintf(out, "%d more are not shown\n", found-mostShown)
	}
	warn(out, unread)
	return found, nil
}

func warn(out io.Writer, unread int) {
	if unread > 0 {
		fmt.Fprintf(out, "lines that could not be read: %d\n", unread)
	}
}

// span writes a time as an operator reads it.
func span(d time.Duration) string {
	switch {
	case d < time.Millisecond:
		return fmt.Sprintf("%dµs", d.Microseconds())
	case d < 10*time.Second:
		return fmt.Sprintf("%dms", d.Milliseconds())
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

// flags writes the words that hold.
func flags(pairs ...any) string {
	var words []string
	for i := 0; i < len(pairs); i += 2 {
		if pairs[i].(bool) {
			words = append(words, pairs[i+1].(string))
		}
	}
	if len(words) == 0 {
		return ""
	}
	return ", " + strings.Join(words, ", ")
}

func (r *Request) write(out io.Writer) {
	fmt.Fprintf(out, "trace %s\n", r.Trace)
	fmt.Fprintf(out, "request %s of %s at %s by %s: %s by %s, %s, after %s%s\n", cmp.Or(r.ID, "without id"), cmp.Or(r.Class, "no class"),
		r.Came.Format(time.RFC3339Nano), cmp.Or(r.Node, "?"), r.Answer, r.By, cmp.Or(r.Why, "no reason"), span(r.Ended.Sub(r.Came)),
		flags(r.Late, "late", r.Moved, "begun by an older process", r.Repeat, "a client's repeat"))
	fmt.Fprintf(out, "  worth %g, %g slots, time %s, status %d%s\n", r.Worth, r.Slots, span(r.Deadline), r.Status, flags(r.Keyed, "keyed"))
	for _, l := range r.Links {
		fmt.Fprintf(out, "  after the try of trace %s, span %s\n", l.Trace, l.Span)
	}
	for i, h := range r.Hops {
		branch, bar := "├─", "│ "
		if i == len(r.Hops)-1 {
			branch, bar = "└─", "  "
		}
		kind := h.Kind
		for j := range r.Hops {
			if h.CopyOf != "" && r.Hops[j].Span == h.CopyOf {
				kind = fmt.Sprintf("copy of hop %d", j+1)
			}
		}
		fmt.Fprintf(out, "  %s +%s hop %d (%s) to %s %s in %s: %s after %s%s\n", branch, span(h.Began.Sub(r.Came)), i+1, kind, h.Target,
			h.Addr, cmp.Or(h.Zone, "?"), h.Outcome, span(h.Ended.Sub(h.Began)),
			flags(h.MayHaveRun, "may have run", h.Cold, "cold", h.Kept, "kept connection"))
		for _, e := range h.Events {
			share := ""
			if e.What == "running" {
				share = fmt.Sprintf(" %.0f%%", e.Share*100)
			}
			fmt.Fprintf(out, "  %s   +%s %s%s\n", bar, span(e.At.Sub(r.Came)), e.What, share)
		}
	}
}
