package scale

import (
	"fmt"
	"strings"

	"frosttide/internal/testkit/lab"
)

// pageTo ends the page's part that a run writes.
const pageTo = "<!-- to here -->"

// pageFrom begins a role's part of the page.
func pageFrom(r Role) string {
	return fmt.Sprintf("<!-- written by frosttide-lab scale --role %s -->", r)
}

// EmptyPage returns a page of a role's figures alone.
func EmptyPage(r Role) string { return pageFrom(r) + pageTo }

// Where names a run.
type Where struct {
	Role    Role    `json:"role"`
	Commit  string  `json:"commit"`
	Machine string  `json:"machine"`
	Seed    uint64  `json:"seed"`
	Repeats int     `json:"repeats"`
	Seconds float64 `json:"seconds"`
}

// Put returns a page with its written part as a run found it.
func Put(page string, points []Point, lines []Line, at Where) (string, error) {
	before, rest, ok := strings.Cut(page, pageFrom(at.Role))
	_, after, ends := strings.Cut(rest, pageTo)
	if !ok || !ends {
		return "", fmt.Errorf("the page has no part for the figures of a %s", at.Role)
	}
	return before + pageFrom(at.Role) + "\n" + tables(points, lines, at) + pageTo + after, nil
}

func tables(points []Point, lines []Line, at Where) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nOn %s, commit %s: seed %d, %d runs of %g s a point.\n", at.Machine, at.Commit, at.Seed, at.Repeats, at.Seconds)
	medians(&b, at.Role, points)
	if at.Role != Dispatcher {
		besidesOf(&b, points)
	}
	slopes(&b, at.Role, lines)
	budgets(&b, at.Role, lines)
	return b.String()
}

// medians writes what was measured at each point.
func medians(b *strings.Builder, r Role, points []Point) {
	of := Quantities(r)
	b.WriteString("\n| axis | at |")
	for _, q := range of {
		fmt.Fprintf(b, " %s |", named(q))
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

// besidesOf writes how hollow members stood beside the real one.
func besidesOf(b *strings.Builder, points []Point) {
	var hollow []float64
	wrote, failed := int64(0), int64(0)
	for _, p := range points {
		hollow = append(hollow, p.Hollow)
		wrote, failed = wrote+p.Wrote, failed+p.Failed
	}
	fmt.Fprintf(b, "\nA hollow member sent %.2f times what the real one did by UDP (median of all points); of the log's writes %d were acknowledged, %d not.\n",
		lab.Median(hollow), wrote, failed)
}

func named(q Quantity) string {
	if q.Unit == "" {
		return q.Name
	}
	return q.Name + ", " + q.Unit
}

// slopes writes the lines.
func slopes(b *strings.Builder, r Role, lines []Line) {
	b.WriteString("\n| need | by | base | slope | spread | r² |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, q := range Quantities(r) {
		for _, l := range lines {
			if l.Quantity == q.Name {
				fmt.Fprintf(b, "| %s | %s | %.3g | %.3g | %.2g | %.2f |\n", named(q), l.Axis, l.Base, l.Slope, l.Spread, l.Explains)
			}
		}
	}
}

// budgets writes what the fleet of the page needs, against what the operators allow.
func budgets(b *strings.Builder, r Role, lines []Line) {
	fmt.Fprintf(b, "\nOne %s of %d of the whole fleet, extrapolated:\n\n| need | at this size | spread | allowed | margin |\n| --- | --- | --- | --- | --- |\n",
		r, Fleet.Dispatchers)
	for _, q := range Quantities(r) {
		need, spread := Needs(lines, q.Name, Fleet)
		if q.Budget == 0 {
			fmt.Fprintf(b, "| %s | %.3g | %.2g | | |\n", named(q), need, spread)
			continue
		}
		fmt.Fprintf(b, "| %s | %.3g | %.2g | %g | %.0f%% |\n", named(q), need, spread, q.Budget, 100*(1-need/q.Budget))
	}
}
