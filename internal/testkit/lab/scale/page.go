package scale

import (
	"fmt"
	"strings"

	"frosttide/internal/testkit/lab"
)

// pageEnd is the marker at the end of each generated section of the capacity page.
const pageEnd = "<!-- to here -->"

// pageStart returns the marker at the start of a role's section of the page.
func pageStart(r Role) string {
	return fmt.Sprintf("<!-- written by frosttide-lab scale --role %s -->", r)
}

// EmptyPage returns a page that holds only an empty section for a role.
func EmptyPage(r Role) string { return pageStart(r) + pageEnd }

// Where says of which commit, on which machine and with which parameters results were measured.
type Where struct {
	Role    Role    `json:"role"`
	Commit  string  `json:"commit"`
	Machine string  `json:"machine"`
	Seed    uint64  `json:"seed"`
	Repeats int     `json:"repeats"`
	Seconds float64 `json:"seconds"` // of each point or run
}

// Put returns the page with the section of a role replaced by the results of a run. It returns an
// error if the page has no such section.
func Put(page string, points []Point, lines []Line, at Where) (string, error) {
	before, rest, ok := strings.Cut(page, pageStart(at.Role))
	_, after, ends := strings.Cut(rest, pageEnd)
	if !ok || !ends {
		return "", fmt.Errorf("the page has no section for the figures of a %s", at.Role)
	}
	return before + pageStart(at.Role) + "\n" + tables(points, lines, at) + pageEnd + after, nil
}

// tables returns the text of a role's section in Markdown.
func tables(points []Point, lines []Line, at Where) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nOn %s, commit %s: seed %d, %d runs of %g s a point.\n", at.Machine, at.Commit, at.Seed, at.Repeats, at.Seconds)
	writeMedians(&b, at.Role, points)
	if at.Role != Dispatcher {
		writePeerTraffic(&b, points)
	}
	writeLines(&b, at.Role, lines)
	writeBudgets(&b, at.Role, lines)
	return b.String()
}

// writeMedians writes a table of the medians measured at each point.
func writeMedians(b *strings.Builder, r Role, points []Point) {
	of := Quantities(r)
	b.WriteString("\n| axis | at |")
	for _, q := range of {
		fmt.Fprintf(b, " %s |", heading(q))
	}
	b.WriteString(" served |\n|" + strings.Repeat(" --- |", len(of)+3) + "\n")
	for _, along := range axes {
		for _, x := range along.points {
			values := make([][]float64, len(of)+1)
			for _, p := range points {
				if p.Axis != along.axis || p.X != x {
					continue
				}
				for i, q := range of {
					values[i] = append(values[i], q.of(p.Need))
				}
				values[len(of)] = append(values[len(of)], p.Need.Served)
			}
			if len(values[0]) == 0 {
				continue
			}
			fmt.Fprintf(b, "| %s | %g |", along.axis, x)
			for _, v := range values {
				fmt.Fprintf(b, " %.3g |", lab.Median(v))
			}
			b.WriteString("\n")
		}
	}
}

// writePeerTraffic writes how the simulated members' traffic compares with the real one's, and the
// log's writes.
func writePeerTraffic(b *strings.Builder, points []Point) {
	var hollow []float64
	wrote, failed := int64(0), int64(0)
	for _, p := range points {
		hollow = append(hollow, p.Hollow)
		wrote, failed = wrote+p.Wrote, failed+p.Failed
	}
	fmt.Fprintf(b, "\nA hollow member sent %.2f times what the real one did by UDP (median of all points); of the log's writes %d were acknowledged, %d not.\n",
		lab.Median(hollow), wrote, failed)
}

// heading returns the heading of a quantity with its unit.
func heading(q Quantity) string {
	if q.Unit == "" {
		return q.Name
	}
	return q.Name + ", " + q.Unit
}

// writeLines writes a table of the fitted lines.
func writeLines(b *strings.Builder, r Role, lines []Line) {
	b.WriteString("\n| need | by | base | slope | spread | r² |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, q := range Quantities(r) {
		for _, l := range lines {
			if l.Quantity == q.Name {
				fmt.Fprintf(b, "| %s | %s | %.3g | %.3g | %.2g | %.2f |\n", heading(q), l.Axis, l.Base, l.Slope, l.Spread, l.Explains)
			}
		}
	}
}

// writeBudgets writes a table of the extrapolated needs in Fleet, compared with the operators'
// budgets.
func writeBudgets(b *strings.Builder, r Role, lines []Line) {
	fmt.Fprintf(b, "\nOne %s of %d of the whole fleet, extrapolated:\n\n| need | at this size | spread | allowed | margin |\n| --- | --- | --- | --- | --- |\n",
		r, Fleet.Dispatchers)
	for _, q := range Quantities(r) {
		need, spread := Needs(lines, q.Name, Fleet)
		if q.Budget == 0 {
			fmt.Fprintf(b, "| %s | %.3g | %.2g | | |\n", heading(q), need, spread)
			continue
		}
		fmt.Fprintf(b, "| %s | %.3g | %.2g | %g | %.0f%% |\n", heading(q), need, spread, q.Budget, 100*(1-need/q.Budget))
	}
}
