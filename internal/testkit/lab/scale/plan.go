// Package scale measures how the resources that one role uses grow with the size of a fleet. It
// runs a real dispatcher with simulated workers and a simulated discovery service (package size),
// and for a cluster member or the leader of its log also with simulated members (package
// simulatedmembers). It varies one axis at a time and fits a line to each quantity; from the lines
// it extrapolates what the fleet of the capacity page needs.
//
// RunForce measures how long operators' orders take to reach all members, and UrgentRuns lists the
// loads for the measurement of urgent jobs.
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

// Axis is a property of a fleet that is varied while all others keep their default values.
type Axis string

// The axes.
const (
	Workers Axis = "workers"
	Starts  Axis = "starts"  // of tasks, per second
	Running Axis = "running" // tasks that run at a time
	Changes Axis = "changes" // of the list, per second
	Members Axis = "members" // of the cluster
	Writes  Axis = "writes"  // of the replicated log, per second
)

// axes lists all axes with the values that are measured, and whether an axis is measured for a
// dispatcher without a cluster (alone) and for a cluster member.
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

// Role is the role of the dispatcher that a plan measures.
type Role string

// The roles.
const (
	Dispatcher Role = "dispatcher" // a dispatcher that is not in a cluster
	Member     Role = "member"     // a dispatcher in a cluster that is not the log's leader
	Leader     Role = "leader"     // a dispatcher in a cluster that is the leader of its log
)

// Roles lists all roles.
var Roles = []Role{Dispatcher, Member, Leader}

// has reports whether an axis with these flags is measured for the role.
func (r Role) has(alone, member bool) bool {
	if r == Dispatcher {
		return alone
	}
	return member
}

// Plan holds the parameters of a scale measurement.
type Plan struct {
	Binary  string // path of the program
	Role    Role
	Axes    []Axis        // nil for all
	Repeats int           // measurements of each point
	For     time.Duration // length of each measurement
	AtOnce  int           // measurements that run at the same time
	Seed    uint64        // of the first repeat; each further one uses the next
	Short   bool          // measures every second point of each axis, with few members
}

const (
	maxRepeats = 20
	maxAtOnce  = 16
	// Default values of the axes that are not varied.
	defaultWorkers = 238
	defaultStarts  = 4
	defaultChanges = 1
	defaultMembers = 38
	defaultWrites  = 1
	shortMembers   = 8
	// Minimum resources for each measurement that runs at the same time: for this process, the
	// dispatcher, and both ends of their connections.
	descriptorsPerRun = 512
	memoryPerRunMiB   = 256
	// Additional resources with simulated members: descriptors for each of the maximum number of
	// members, and memory for all of them.
	maxMembers           = 300
	descriptorsPerMember = 16
	memoryMembersMiB     = 2048
)

// Check returns an error that names the first parameter that is out of range, or what the machine
// lacks.
func (p Plan) Check() error {
	switch {
	case !slices.Contains(Roles, p.Role):
		return fmt.Errorf("role: %q is unknown, want one of %v", p.Role, Roles)
	case p.Role != Dispatcher && p.AtOnce != 1:
		return fmt.Errorf("at once: %d points, want 1 with simulated members", p.AtOnce)
	case p.Repeats < 1 || p.Repeats > maxRepeats:
		return fmt.Errorf("repeats: %d, want 1 to %d", p.Repeats, maxRepeats)
	case p.For < time.Second || p.For > time.Minute:
		return fmt.Errorf("seconds: %v, want 1 s to 1 min", p.For)
	case p.AtOnce < 1 || p.AtOnce > maxAtOnce:
		return fmt.Errorf("at once: %d points, want 1 to %d", p.AtOnce, maxAtOnce)
	}
	for _, a := range p.Axes {
		if pointsOf(p.Role, a) == nil {
			return fmt.Errorf("axes: %q is not measured for a %s", a, p.Role)
		}
	}
	return p.checkResources()
}

// checkResources returns an error if the process may not open enough descriptors or the machine has
// too little free memory for the plan.
func (p Plan) checkResources() error {
	limit, err := descriptorLimit()
	if err != nil {
		return err
	}
	want := uint64(p.AtOnce * descriptorsPerRun)
	if p.Role != Dispatcher {
		want += maxMembers * descriptorsPerMember
	}
	if limit < want {
		return fmt.Errorf("descriptors: the limit is %d, the plan needs %d", limit, want)
	}
	free, err := freeMiB()
	if err != nil {
		return err
	}
	wantMiB := p.AtOnce * memoryPerRunMiB
	if p.Role != Dispatcher {
		wantMiB += memoryMembersMiB
	}
	if free/2 < wantMiB { // uses at most half of the free memory
		return fmt.Errorf("memory: %d MiB are free, the plan needs twice %d", free, wantMiB)
	}
	return nil
}

// freeMiB returns the available memory in MiB: MemAvailable of proc(5).
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
	return 0, fmt.Errorf("memory: /proc/meminfo has no MemAvailable")
}

// pointsOf returns the points of an axis, nil if it is not measured for the role.
func pointsOf(r Role, a Axis) []float64 {
	for _, of := range axes {
		if of.axis == a && r.has(of.alone, of.member) {
			return of.points
		}
	}
	return nil
}

// runs returns the measurements of a plan. Each repeat covers all points, so that a machine whose
// speed changes over time affects all of them alike.
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
					r.peers = p.peersAt(of.axis, x)
				}
				out = append(out, r)
			}
		}
	}
	return out
}

// has reports whether the plan includes an axis.
func (p Plan) has(a Axis) bool {
	for _, of := range p.Axes {
		if of == a {
			return true
		}
	}
	return p.Axes == nil
}

// run is one measurement of a point.
type run struct {
	axis  Axis
	x     float64
	plan  size.Plan
	peers *peers // nil for a dispatcher that is not in a cluster
}

// at returns the measurement of the point x on an axis.
func (p Plan) at(a Axis, x float64, seed uint64) size.Plan {
	s := size.Plan{Binary: p.Binary, Workers: defaultWorkers, Dispatchers: Fleet.Dispatchers, Rate: defaultStarts,
		Work: size.ShortWork, Changes: defaultChanges, For: p.For, Seed: seed}
	switch a {
	case Workers:
		s.Workers = int(x)
	case Starts:
		s.Rate = x
	case Running:
		s.Work = time.Duration(x / defaultStarts * float64(time.Second))
		// The number of running tasks is reached only once the first have ended.
		s.For = max(s.For, s.Work+p.For/2)
	case Changes:
		s.Changes = x
	}
	return s
}
