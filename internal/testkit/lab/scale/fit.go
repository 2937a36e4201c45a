package scale

import (
	"math"

	"gonum.org/v1/gonum/stat"

	"frosttide/internal/testkit/lab/size"
)

// Quantity is one need of a role.
type Quantity struct {
	Name    string
	Unit    string
	Budget  float64 // of the operators, for a dispatcher with all that it does; 0 for none
	members bool    // only members have it
	of      func(size.Need) float64
}

// quantities are the needs to which lines are fitted.
var quantities = []Quantity{
	{"processor", "% of a core", 1.4, false, func(n size.Need) float64 { return 100 * (n.CPU - n.StartCPU) / n.Seconds }},
	{"peak memory", "MB", 32, false, func(n size.Need) float64 { return float64(n.PeakKiB) * 1024 / 1e6 }},
	{"lists", "KB/s", 19, false, func(n size.Need) float64 { return float64(n.ListBytes-n.StartList) / 1000 / n.Seconds }},
	{"descriptors", "", 0, false, func(n size.Need) float64 { return float64(n.Descriptors) }},
	{"packets", "KB/s", 0, true, func(n size.Need) float64 { return float64(n.Packets) / 1000 / n.Seconds }},
	{"written", "KB/s", 0, true, func(n size.Need) float64 { return float64(n.Written) / 1000 / n.Seconds }},
	{"disk", "KB/s", 0, true, func(n size.Need) float64 { return float64(n.Disk) / 1000 / n.Seconds }},
}

// Quantities returns a role's.
func Quantities(r Role) (out []Quantity) {
	for _, q := range quantities {
		if r != Dispatcher || !q.members {
			out = append(out, q)
		}
	}
	return out
}

// Value returns what a measurement found of a quantity, 0 for one that there is not.
func Value(quantity string, n size.Need) float64 {
	for _, q := range quantities {
		if q.Name == quantity {
			return q.of(n)
		}
	}
	return 0
}

// Line is a need along an axis: base plus slope times x.
type Line struct {
	Axis     Axis    `json:"axis"`
	Quantity string  `json:"quantity"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Spread   float64 `json:"spread"` // the standard deviation of what is left, in the quantity's unit
	Explains float64 `json:"r2"`     // the share of the variance that the line explains
	Points   int     `json:"points"`
}

// Fit returns a role's lines along all axes that have points.
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

func fit(a Axis, quantity string, x, y []float64) Line {
	base, slope := stat.LinearRegression(x, y, nil, false)
	var left float64
	for i := range x {
		d := y[i] - base - slope*x[i]
		left += d * d
	}
	explains := stat.RSquared(x, y, nil, base, slope)
	if math.IsNaN(explains) { // all values are equal: there is nothing to explain
		explains = 1
	}
	return Line{Axis: a, Quantity: quantity, Base: base, Slope: slope,
		Spread: math.Sqrt(left / float64(max(len(x)-2, 1))), Explains: explains, Points: len(x)}
}

// Size is that of a fleet.
type Size struct {
	Dispatchers int
	Workers     float64
	Starts      float64 // of tasks, a second, in the fleet
	Running     float64 // tasks, in the fleet
	Changes     float64 // of the list, a second
	Writes      float64 // of the agreed log, a second
}

// Fleet is the capacity page's. The operators name no number of dispatchers: it is that of their fleet
// test. Of changes an hour's worth comes at once when a zone of five is lost: 190 workers in ten seconds. A
// write a second is 160 times the mean of 540 a day: operators come in bursts.
var Fleet = Size{Dispatchers: 300, Workers: 950, Starts: 640, Running: 13_000, Changes: 19, Writes: 1}

// at returns where one of its dispatchers stands on an axis.
func (s Size) at(a Axis) float64 {
	each := float64(s.Dispatchers)
	switch a {
	case Workers:
		return s.Workers
	case Starts:
		return s.Starts / each
	case Running:
		return s.Running / each
	case Changes:
		return s.Changes
	case Members:
		return each
	case Writes:
		return s.Writes
	}
	return 0
}

// usual is where the points of other axes stand on one.
func usual(a Axis) float64 {
	switch a {
	case Workers:
		return usualWorkers
	case Starts:
		return usualStarts
	case Running:
		return usualStarts * size.ShortWork.Seconds()
	case Changes:
		return usualChanges
	case Members:
		return usualMembers
	case Writes:
		return usualWrites
	}
	return 0
}

// Needs returns what a dispatcher of a fleet would need of a quantity: what it does where the axes
// cross, and from there along each line. Slopes below 0 count as none: nothing gets cheaper as it grows.
func Needs(lines []Line, quantity string, s Size) (at float64, spread float64) {
	var crossing []float64
	for _, l := range lines {
		if l.Quantity != quantity {
			continue
		}
		crossing = append(crossing, l.Base+l.Slope*usual(l.Axis))
		at += max(l.Slope, 0) * (s.at(l.Axis) - usual(l.Axis))
		spread = math.Hypot(spread, l.Spread)
	}
	return at + stat.Mean(crossing, nil), spread
}
