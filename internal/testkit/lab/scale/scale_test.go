package scale

import (
	"math"
	"strings"
	"testing"
	"time"

	"frosttide/internal/testkit/lab/size"
)

// TestPlans has mistakes in a plan told by what is wrong.
func TestPlans(t *testing.T) {
	good := Plan{Role: Dispatcher, Repeats: 1, For: time.Second, AtOnce: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for word, edit := range map[string]func(*Plan){
		"role":      func(p *Plan) { p.Role = "discovery" },
		"repeats":   func(p *Plan) { p.Repeats = 0 },
		"seconds":   func(p *Plan) { p.For = time.Hour },
		"at once":   func(p *Plan) { p.AtOnce = mostAtOnce + 1 },
		"axes":      func(p *Plan) { p.Axes = []Axis{"teams"} },
		"axes: ":    func(p *Plan) { p.Axes = []Axis{Members} }, // of a dispatcher on its own
		"at once: ": func(p *Plan) { p.Role, p.AtOnce = Member, 2 },
	} {
		p := good
		edit(&p)
		if err := p.Check(); err == nil || !strings.HasPrefix(err.Error(), word) {
			t.Errorf("%s: %v", word, err)
		}
	}
}

// TestFit has a line found through points that lie on it, and what is left where they do not; and what a
// fleet needs follow from lines that cross.
func TestFit(t *testing.T) {
	var points []Point
	for _, of := range axes {
		if !of.alone {
			continue
		}
		for i, x := range of.points {
			n := size.Need{Seconds: 1, CPU: 0.02, PeakKiB: 20 << 10, Descriptors: 18}
			if of.axis == Workers {
				n.PeakKiB += int64(8 * x)                        // 8 KiB a worker
				n.CPU += 0.001 * float64(1-2*(i%2)) * float64(i) // off the line
			}
			points = append(points, Point{Axis: of.axis, X: x, Need: n})
		}
	}
	lines := Fit(Dispatcher, points)
	if want := 4 * len(Quantities(Dispatcher)); len(lines) != want {
		t.Fatalf("%d lines, want %d", len(lines), want)
	}
	for _, l := range lines {
		switch {
		case l.Axis == Workers && l.Quantity == "peak memory":
			if math.Abs(l.Slope-8.0*1024/1e6) > 1e-9 || math.Abs(l.Base-20*1024*1024/1e6) > 1e-9 || l.Spread > 1e-9 {
				t.Errorf("memory by workers: %+v", l)
			}
		case l.Axis == Workers && l.Quantity == "processor":
			if l.Spread < 0.05 || l.Explains > 0.9 {
				t.Errorf("points that lie off a line are taken for on it: %+v", l)
			}
		case math.Abs(l.Slope) > 1e-9:
			t.Errorf("what does not grow has a slope: %+v", l)
		}
	}
	at, _ := Needs(lines, "peak memory", Size{Dispatchers: 1, Workers: 1024})
	const each = 8.0 * 1024 / 1e6                      // MB a worker
	crossing := 20*1024*1024/1e6 + each*usualWorkers/4 // the other three axes know nothing of the workers' slope
	if want := crossing + each*(1024-usualWorkers); math.Abs(at-want) > 1e-6 {
		t.Errorf("1,024 workers need %.3f MB, want %.3f", at, want)
	}
}
