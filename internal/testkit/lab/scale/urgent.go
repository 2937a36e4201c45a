package scale

import (
	"errors"
	"fmt"
	"strings"

	"frosttide/internal/testkit/lab/size"
)

// UrgentRuns lists the conditions under which the start of urgent jobs is measured: low load, near
// capacity, above it, and near it with a tenth of the workers hanging from the middle of the run
// on.
var UrgentRuns = []size.Urgent{{Load: 0.6}, {Load: 0.9}, {Load: 1.2}, {Load: 0.9, Hang: true}}

// urgentStart is the marker at the start of the page's section on urgent jobs.
const urgentStart = "<!-- written by frosttide-lab urgent -->"

// EmptyUrgent is a page that holds only an empty section on urgent jobs.
const EmptyUrgent = urgentStart + pageEnd

// PutUrgent returns the page with its section on urgent jobs replaced by the results of a run. It
// returns an error if the page has no such section.
func PutUrgent(page string, found []size.Urgent, at Where) (string, error) {
	before, rest, ok := strings.Cut(page, urgentStart)
	_, after, ends := strings.Cut(rest, pageEnd)
	if !ok || !ends {
		return "", errors.New("the page has no section for urgent jobs")
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
	return before + urgentStart + "\n" + b.String() + pageEnd + after, nil
}
