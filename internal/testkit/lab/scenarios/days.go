package scenarios

import (
	"fmt"
	"maps"
	"slices"
)

// closings lists the faults of all machines that may end a day.
var closings = []string{"power_off_all", "wipe_after_ack", "kill_all"}

// Bounds of the start times of faults, in seconds from the start of a day.
const (
	earliest = 3.0
	latest   = 27.0
	// maxPairOffset is the maximum delay of each fault of a pair after the pair's start time.
	maxPairOffset = 2.5
)

// replaceDays replaces the days of the site by generated ones: one without faults and count with
// faults. All keep the first day's traffic.
func (g *generator) replaceDays(count int) {
	pattern := tables(g.root["day"])[0]
	days := []any{g.calmDay(pattern)}
	names := slices.Sorted(maps.Keys(faultKinds))
	for i := range count {
		plan, faults := g.drawPairs(names)
		days = append(days, g.faultyDay(pattern, fmt.Sprintf("pairs-%d", i+1), plan, faults))
	}
	g.root["day"] = days
}

// drawPairs draws two or three pairs of faults or planned operations for a day, and returns the
// planned operations separately.
func (g *generator) drawPairs(names []string) (plan, faults []any) {
	for range 2 + g.rng.IntN(2) {
		at := g.between(earliest, latest)
		for range 2 {
			name := g.pick(names)
			fault := faultKinds[name].draw(g)
			fault["kind"], fault["at"] = name, round(at+g.between(0, maxPairOffset))
			if fault["how"] == "" {
				delete(fault, "how")
			}
			if faultKinds[name].planned {
				plan = append(plan, fault)
			} else {
				faults = append(faults, fault)
			}
		}
	}
	return plan, faults
}

// newDay returns a copy of a day with a new name and seed, and without faults and planned
// operations.
func (g *generator) newDay(pattern table, name string) table {
	day := maps.Clone(pattern)
	for _, key := range []string{"floor_classes", "floor_zones", "goal", "light"} {
		delete(day, key) // apply only to the original day
	}
	day["name"], day["seed"] = name, int64(g.rng.Uint32())
	day["plan"], day["faults"] = []any{}, []any{}
	return day
}

// calmDay returns a day without faults.
func (g *generator) calmDay(pattern table) table { return g.newDay(pattern, "calm") }

// faultyDay returns a day with planned operations and faults. If any fault was drawn, the day ends
// with a fault of all machines.
func (g *generator) faultyDay(pattern table, name string, plan, faults []any) table {
	day := g.newDay(pattern, name)
	if plan != nil {
		day["plan"] = plan
	}
	if faults == nil {
		return day
	}
	day["faults"], day["slot"] = faults, "trouble"
	closing := table{"kind": g.pick(closings), "down_s": g.between(0.3, 2)}
	if how := g.pick([]string{"", "taken", "timed", "oldest"}); how != "" && closing["kind"] != "kill_all" {
		closing["how"] = how
	}
	day["closing"] = closing
	return day
}
