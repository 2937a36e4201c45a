package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"

	"frosttide/internal/testkit/lab/size"
)

// Quantity is a resource that a role uses, with its unit.
type Quantity struct {
	Name    string
	Unit    string  // empty for a plain number
	Budget  float64 // the operators' limit for a dispatcher with all its functions; 0 for none
	members bool    // measured only for cluster members
	of      func(size.Need) float64
}

// quantities lists the resources to which lines are fitted.
var quantities = []Quantity{
	{"processor", "% of a core", 1.4, false, func(n size.Need) float64 { return 100 * (n.CPU - n.StartCPU) / n.Seconds }},
	{"peak memory", "MB", 32, false, func(n size.Need) float64 { return float64(n.PeakKiB) * 1024 / 1e6 }},
	{"lists", "KB/s", 19, false, func(n size.Need) float64 { return float64(n.ListBytes-n.StartList) / 1000 / n.Seconds }},
	{"descriptors", "", 0, false, func(n size.Need) float64 { return float64(n.Descriptors) }},
	{"packets", "KB/s", 0, true, func(n size.Need) float64 { return float64(n.Packets) / 1000 / n.Seconds }},
	{"written", "KB/s", 0, true, func(n size.Need) float64 { return float64(n.Written) / 1000 / n.Seconds }},
	{"disk", "KB/s", 0, true, func(n size.Need) float64 { return float64(n.Disk) / 1000 / n.Seconds }},
}

// Quantities returns the resources that are measured for a role.
func Quantities(r Role) (out []Quantity) {
	for _, q := range quantities {
		if r != Dispatcher || !q.members {
			out = append(out, q)
		}
	}
	return out
}

// Value returns the value of a quantity in a measurement, 0 if there is no such quantity.
func Value(quantity string, n size.Need) float64 {
	for _, q := range quantities {
		if q.Name == quantity {
			return q.of(n)
		}
	}
	return 0
}

// Line is the linear model of a quantity along an axis: base + slope*x.
type Line struct {
	Axis     Axis    `json:"axis"`
	Quantity string  `json:"quantity"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Spread   float64 `json:"spread"` // standard deviation of the residuals, in the quantity's unit
	Explains float64 `json:"r2"`     // coefficient of determination
	Points   int     `json:"points"`
}

// Fit returns the lines of a role's quantities along all axes with at least two points.
func Fit(r Role, points []Point) (out []Line) {
	for _, of := range axes {
		var x []float64
		var needs []size.Need
		for _, p := range points {
			if p.Axis == of.axis {
				x, needs = append(x, p.X), append(needs, p.Need)
			}
		}
		if len(x) < 2 {
			continue
		}
		for _, q := range Quantities(r) {
			y := make([]float64, len(needs))
			for i, n := range needs {
				y[i] = q.of(n)
			}
			out = append(out, fit(of.axis, q.Name, x, y))
		}
	}
	return out
}

// fit fits one line by least squares.
func fit(a Axis, quantity string, x, y []float64) Line {
	base, slope := stat.LinearRegression(x, y, nil, false)
	var residuals float64 // sum of squares
	for i := range x {
		d := y[i] - base - slope*x[i]
		residuals += d * d
	}
	explains := stat.RSquared(x, y, nil, base, slope)
	if math.IsNaN(explains) { // all values are equal, so there is no variance
		explains = 1
	}
	return Line{Axis: a, Quantity: quantity, Base: base, Slope: slope,
		Spread: math.Sqrt(residuals / float64(max(len(x)-2, 1))), Explains: explains, Points: len(x)}
}

// Size describes a fleet by the quantities that its dispatchers' needs depend on.
type Size struct {
	Dispatchers int
	Workers     float64
	Starts      float64 // task starts per second in the fleet
	Running     float64 // tasks that run at a time in the fleet
	Changes     float64 // changes of the list per second
	Writes      float64 // writes of the replicated log per second
}

// Fleet is the fleet of the capacity page. The operators specify no number of dispatchers, so it is
// that of their fleet test. Changes is the rate when one zone of five is lost, which brings an
// hour's worth of changes at once: 190 workers in ten seconds. One write per second is 160 times
// the mean of 540 a day, because operators' calls come in bursts.
var Fleet = Size{Dispatchers: 300, Workers: 950, Starts: 640, Running: 13_000, Changes: 19, Writes: 1}

// at returns the fleet's value on an axis as one of its dispatchers sees it. Starts and running
// tasks are divided by the number of dispatchers.
func (s Size) at(a Axis) float64 {
	dispatchers := float64(s.Dispatchers)
	switch a {
	case Workers:
		return s.Workers
	case Starts:
		return s.Starts / dispatchers
	case Running:
		return s.Running / dispatchers
	case Changes:
		return s.Changes
	case Members:
		return dispatchers
	case Writes:
		return s.Writes
	}
	return 0
}

// defaultAt returns the value of an axis while another axis is varied.
func defaultAt(a Axis) float64 {
	switch a {
	case Workers:
		return defaultWorkers
	case Starts:
		return defaultStarts
	case Running:
		return defaultStarts * size.ShortWork.Seconds()
	case Changes:
		return defaultChanges
	case Members:
		return defaultMembers
	case Writes:
		return defaultWrites
	}
	return 0
}

// Needs extrapolates how much of a quantity a dispatcher of a fleet uses, and the standard
// deviation of that: it starts from the mean of all lines at the default values of their axes and
// adds each line's slope from there. Negative slopes count as 0, because no need falls as the fleet
// grows.
func Needs(lines []Line, quantity string, s Size) (at float64, spread float64) {
	var atDefaults []float64
	for _, l := range lines {
		if l.Quantity != quantity {
			continue
		}
		atDefaults = append(atDefaults, l.Base+l.Slope*defaultAt(l.Axis))
		at += max(l.Slope, 0) * (s.at(l.Axis) - defaultAt(l.Axis))
		spread = math.Hypot(spread, l.Spread)
	}
	return at + stat.Mean(atDefaults, nil), spread
}
