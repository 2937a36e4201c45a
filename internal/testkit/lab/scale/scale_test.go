package scale

import (
	"math"
	"strings"
	"testing"
	"time"

	"frosttide/internal/testkit/lab/size"
)

// TestPlans guards against wrong plans that are accepted, or rejected without the name of the
// parameter.
func TestPlans(t *testing.T) {
	good := Plan{Role: Dispatcher, Repeats: 1, For: time.Second, AtOnce: 1}
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for prefix, edit := range map[string]func(*Plan){
		"role":      func(p *Plan) { p.Role = "discovery" },
		"repeats":   func(p *Plan) { p.Repeats = 0 },
		"seconds":   func(p *Plan) { p.For = time.Hour },
		"at once":   func(p *Plan) { p.AtOnce = maxAtOnce + 1 },
		"axes":      func(p *Plan) { p.Axes = []Axis{"teams"} },
		"axes: ":    func(p *Plan) { p.Axes = []Axis{Members} }, // not of a dispatcher alone
		"at once: ": func(p *Plan) { p.Role, p.AtOnce = Member, 2 },
	} {
		p := good
		edit(&p)
		if err := p.Check(); err == nil || !strings.HasPrefix(err.Error(), prefix) {
			t.Errorf("got error %[2]v, want one that starts with %[1]q", prefix, err)
		}
	}
}

// TestFit guards against wrong fits: exact slopes and bases for points on a line, a residual spread
// for points off it, and the extrapolation from lines along several axes.
func TestFit(t *testing.T) {
	var points []Point
	for _, of := range axes {
		if !of.alone {
			continue
		}
		for i, x := range of.points {
			n := size.Need{Seconds: 1, CPU: 0.02, PeakKiB: 20 << 10, Descriptors: 18}
			if of.axis == Workers {
				n.PeakKiB += int64(8 * x)                        // 8 KiB per worker
				n.CPU += 0.001 * float64(1-2*(i%2)) * float64(i) // off the line
			}
			points = append(points, Point{Axis: of.axis, X: x, Need: n})
		}
	}
	lines := Fit(Dispatcher, points)
	if want := 4 * len(Quantities(Dispatcher)); len(lines) != want {
		t.Fatalf("got %d lines, want %d", len(lines), want)
	}
	for _, l := range lines {
		switch {
		case l.Axis == Workers && l.Quantity == "peak memory":
			if math.Abs(l.Slope-8.0*1024/1e6) > 1e-9 || math.Abs(l.Base-20*1024*1024/1e6) > 1e-9 || l.Spread > 1e-9 {
				t.Errorf("memory by workers: got %+v, want a slope of 8 KiB, a base of 20 MiB and no spread", l)
			}
		case l.Axis == Workers && l.Quantity == "processor":
			if l.Spread < 0.05 || l.Explains > 0.9 {
				t.Errorf("points off the line: got %+v, want a spread of at least 0.05 and r2 of at most 0.9", l)
			}
		case math.Abs(l.Slope) > 1e-9:
			t.Errorf("constant quantity: got %+v, want a slope of 0", l)
		}
	}
	at, _ := Needs(lines, "peak memory", Size{Dispatchers: 1, Workers: 1024})
	const each = 8.0 * 1024 / 1e6                          // MB per worker
	atDefaults := 20*1024*1024/1e6 + each*defaultWorkers/4 // one of four axes has the slope
	if want := atDefaults + each*(1024-defaultWorkers); math.Abs(at-want) > 1e-6 {
		t.Errorf("needs of 1,024 workers: got %.3f MB, want %.3f", at, want)
	}
}
