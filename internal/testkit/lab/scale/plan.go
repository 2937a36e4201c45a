// Package scale measures how what one role needs grows with each thing that grows in a fleet. A real
// dispatcher is played beside hollow workers and a discovery (package size), and as a member of a
// cluster or its log's leader beside hollow members too (package hollow), one axis at a time, and a
// line is fitted to each need. What the fleet of the capacity page would need follows from the lines.
package scale

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/testkit/lab/size"
)

// Axis is a thing that grows while all others stay.
type Axis string

// The axes.
const (
	Workers Axis = "workers"
	Starts  Axis = "starts"  // of tasks, a second
	Running Axis = "running" // tasks at a time
	Changes Axis = "changes" // of the list, a second
	Members Axis = "members" // of the cluster
	Writes  Axis = "writes"  // of the agreed log, a second
)

// axes are all of them, with the points that they are measured at, of a dispatcher on its own and of
// one that is a member.
var axes = []struct {
	axis          Axis
	points        []float64
	alone, member bool
}{
	{Workers, []float64{119, 238, 475, 950}, true, false},
	{Starts, []float64{2, 4, 8, 16}, true, false},
	{Running, []float64{2, 11, 22, 44}, true, false},
	{Changes, []float64{0.5, 2, 8, 32}, true, true},
	{Members, []float64{10, 38, 75, 150, 300}, false, true},
	{Writes, []float64{0.5, 2, 8, 32}, false, true},
}

// Role is what a plan measures.
type Role string

// The roles.
const (
	Dispatcher Role = "dispatcher"
	Member     Role = "member" // a dispatcher in a cluster, where another leads the agreed log
	Leader     Role = "leader" // one that leads it
)

// Roles are all of them.
var Roles = []Role{Dispatcher, Member, Leader}

// has tells whether an axis is measured of a role.
func (r Role) has(alone, member bool) bool {
	if r == Dispatcher {
		return alone
	}
	return member
}

// Plan is a scale run.
type Plan struct {
	Binary  string
	Role    Role
	Axes    []Axis // nil for all
	Repeats int
	For     time.Duration // of each point
	AtOnce  int           // points that are played at the same time
	Seed    uint64
	Short   bool // two points of each axis, and few members
}

const (
	mostRepeats = 20
	mostAtOnce  = 16
	// Where the other axes stand while one grows.
	usualWorkers = 238
	usualStarts  = 4
	usualChanges = 1
	usualMembers = 38
	usualWrites  = 1
	shortMembers = 8
	// What a run needs at the least: its own process, the dispatcher and, for each point that is
	// played at the same time, connections at both ends.
	descriptorsEach = 512
	memoryEachMiB   = 256
	// Beside that, where there are hollow members, for each of the most that are played.
	mostMembers       = 300
	descriptorsMember = 16
	memoryMembersMiB  = 2048
)

// Check tells what is wrong with a plan, or what the machine lacks for it.
func (p Plan) Check() error {
	switch {
	case !slices.Contains(Roles, p.Role):
		return fmt.Errorf("role: there is no %q, want one of %v", p.Role, Roles)
	case p.Role != Dispatcher && p.AtOnce != 1:
		return fmt.Errorf("at once: %d points, want 1 where there are hollow members", p.AtOnce)
	case p.Repeats < 1 || p.Repeats > mostRepeats:
		return fmt.Errorf("repeats: %d, want 1 to %d", p.Repeats, mostRepeats)
	case p.For < time.Second || p.For > time.Minute:
		return fmt.Errorf("seconds: %v, want 1 s to 1 min", p.For)
	case p.AtOnce < 1 || p.AtOnce > mostAtOnce:
		return fmt.Errorf("at once: %d points, want 1 to %d", p.AtOnce, mostAtOnce)
	}
	for _, a := range p.Axes {
		if pointsOf(p.Role, a) == nil {
			return fmt.Errorf("axes: there is no %q of a %s", a, p.Role)
		}
	}
	return p.fits()
}

// fits tells what the machine lacks.
func (p Plan) fits() error {
	limit, err := descriptors()
	if err != nil {
		return err
	}
	want := uint64(p.AtOnce * descriptorsEach)
	if p.Role != Dispatcher {
		want += mostMembers * descriptorsMember
	}
	if limit < want {
		return fmt.Errorf("descriptors: %d are allowed, the plan wants %d", limit, want)
	}
	free, err := freeMiB()
	if err != nil {
		return err
	}
	wantMiB := p.AtOnce * memoryEachMiB
	if p.Role != Dispatcher {
		wantMiB += memoryMembersMiB
	}
	if free/2 < wantMiB { // half of the machine's is left alone
		return fmt.Errorf("memory: %d MiB are free, the plan wants twice %d", free, wantMiB)
	}
	return nil
}

// freeMiB returns the memory that is free. Source: proc(5).
func freeMiB() (int, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, fmt.Errorf("memory: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemAvailable:"); ok {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			return kib >> 10, err
		}
	}
	return 0, fmt.Errorf("memory: /proc/meminfo does not say what is free")
}

// pointsOf returns an axis' points, nil for one that a role has not.
func pointsOf(r Role, a Axis) []float64 {
	for _, of := range axes {
		if of.axis == a && r.has(of.alone, of.member) {
			return of.points
		}
	}
	return nil
}

// runs are the measurements of a plan, the points of an axis in turn so that a machine that changes
// its pace does so for all.
func (p Plan) runs() (out []run) {
	for repeat := range p.Repeats {
		for _, of := range axes {
			if !p.has(of.axis) || !p.Role.has(of.alone, of.member) {
				continue
			}
			for i, x := range of.points {
				if p.Short && i%2 == 0 {
					continue
				}
				r := run{axis: of.axis, x: x, plan: p.at(of.axis, x, p.Seed+uint64(repeat))}
				if p.Role != Dispatcher {
					r.beside = p.besides(of.axis, x)
				}
				out = append(out, r)
			}
		}
	}
	return out
}

func (p Plan) has(a Axis) bool {
	for _, of := range p.Axes {
		if of == a {
			return true
		}
	}
	return p.Axes == nil
}

// run is one measurement.
type run struct {
	axis   Axis
	x      float64
	plan   size.Plan
	beside *besides // nil for a dispatcher on its own
}

// at returns the measurement of a point.
func (p Plan) at(a Axis, x float64, seed uint64) size.Plan {
	s := size.Plan{Binary: p.Binary, Workers: usualWorkers, Dispatchers: Fleet.Dispatchers, Rate: usualStarts,
		Work: size.ShortWork, Changes: usualChanges, For: p.For, Seed: seed}
	switch a {
	case Workers:
		s.Workers = int(x)
	case Starts:
		s.Rate = x
	case Running:
		s.Work = time.Duration(x / usualStarts * float64(time.Second))
		s.For = max(s.For, s.Work+p.For/2) // so many run only once the first have ended
	case Changes:
		s.Changes = x
	}
	return s
}
