package scale

import (
	"errors"
	"fmt"
	"strings"

	"frosttide/internal/testkit/lab/size"
)

// UrgentRuns are the loads under which the start of urgent work is measured: calm, near capacity, over
// it, and near it with a tenth of the workers standing still from the middle on.
var UrgentRuns = []size.Urgent{{Load: 0.6}, {Load: 0.9}, {Load: 1.2}, {Load: 0.9, Hang: true}}

// urgentFrom begins the page's part on urgent work.
const urgentFrom = "<!-- written by frosttide-lab urgent -->"

// EmptyUrgent is a page with a part on urgent work alone.
const EmptyUrgent = urgentFrom + pageTo

// PutUrgent returns a page with its part on urgent work as a run found it.
func PutUrgent(page string, found []size.Urgent, at Where) (string, error) {
	before, rest, ok := strings.Cut(page, urgentFrom)
	_, after, ends := strings.Cut(rest, pageTo)
	if !ok || !ends {
		return "", errors.New("the page has no part for urgent work")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\nOn %s, commit %s, seed %d, %g s each. Seconds from the client's first call to the start; those that never started count as the bound.\n\n",
		at.Machine, at.Commit, at.Seed, at.Seconds)
	b.WriteString("| other work | fault | asked for | started in time | p50 | p99 | longest |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, u := range found {
		fault := "none"
		if u.Hang {
			fault = "a tenth of the workers stand still from the middle on"
		}
		fmt.Fprintf(&b, "| %g of capacity | %s | %d | %.3f | %.3g | %.3g | %.3g |\n", u.Load, fault, u.Asked, float64(u.Started)/float64(max(u.Asked, 1)), u.P50, u.P99, u.Most)
	}
	return before + urgentFrom + "\n" + b.String() + pageTo + after, nil
}
