package scenarios

import (
	"fmt"
	"maps"
	"slices"
)

// closings are the faults that may end a day.
var closings = []string{"power_off_all", "wipe_after_ack", "kill_all"}

// The part of a day in which faults begin, in seconds.
const (
	earliest = 3.0
	latest   = 27.0
	// maxPairOffset is how far apart the two faults of a pair begin at most.
	maxPairOffset = 2.5
)

// replaceDays replaces the days of the site by drawn ones: one without faults and a number of others. They keep the
// first day's traffic.
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

// drawPairs draws two or three pairs of faults for a day. Planned work is returned apart from faults.
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

// newDay returns a day with a seed of its own by the pattern of another.
func (g *generator) newDay(pattern table, name string) table {
	day := maps.Clone(pattern)
	for _, key := range []string{"floor_classes", "floor_zones", "goal", "light"} {
		delete(day, key) // they belong to the original's day
	}
	day["name"], day["seed"] = name, int64(g.rng.Uint32())
	day["plan"], day["faults"] = []any{}, []any{}
	return day
}

// calmDay returns a day without faults.
func (g *generator) calmDay(pattern table) table { return g.newDay(pattern, "calm") }

// faultyDay returns a day with planned work and faults, which closes with a fault of all machines where any fault was
// drawn.
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
