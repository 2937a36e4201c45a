package scenarios

import (
	"fmt"
	"maps"
	"slices"
)

// faultKind is how a kind of trouble is drawn.
type faultKind struct {
	planned bool // work of the operators, not a fault
	draw    func(g *generator) table
}

// faultKinds are the kinds of trouble that the bench tells of.
var faultKinds = map[string]faultKind{
	"ack_lost":       {draw: lasting(4, 12, table{"x": 0.6})},
	"after_ack_kill": {draw: choosing(1, 3, "", "kill", "timed", "taken")},
	"after_ack_wipe": {draw: choosing(1, 3, "", "timed", "oldest")},
	"bad_config":     {planned: true, draw: repeated("", "cut_short", "unknown_service", "old_version", "same_version", "stale_match")},
	"big_config":     {planned: true, draw: func(g *generator) table { return table{"count": int64(100 + g.rng.IntN(300))} }},
	"burst":          {draw: func(g *generator) table { return table{"x": g.between(1.5, 3), "for_s": g.between(2, 4)} }},
	"clock_step":     {draw: clockStep},
	"config_change":  {planned: true, draw: repeated("route", "timeout", "idle")},
	"config_race":    {planned: true, draw: repeated("")},
	"core_cut":       {draw: coreCut},
	"disk_full":      {draw: onDisks(0)},
	"disk_slow":      {draw: onDisks(30)},
	"disk_stall":     {draw: onDisks(0)},
	"give_up":        {draw: sharing(3, 6, 0.1, 0.35)},
	"herd_kill":      {draw: herdKill},
	"hup":            {planned: true, draw: func(g *generator) table { return table{"share": g.between(0.2, 1), "gap_s": 1.0} }},
	"node_cut":       {draw: nodeCut},
	"node_freeze":    {draw: onMachines("leader", "")},
	"node_kill":      {draw: onMachines("power", "leader", "seed", "")},
	"node_slow":      {draw: sharing(2, 6, 0.05, 0.2)},
	"poison":         {draw: sharing(2, 4, 0.03, 0.08)},
	"replace_core":   {draw: replaceCore},
	"reset_conns":    {draw: func(g *generator) table { return table{"share": g.between(0.1, 0.5), "x": 0.5} }},
	"roll_term":      {planned: true, draw: rollTerm},
	"scale_in":       {planned: true, draw: func(g *generator) table { return table{"share": g.between(0.04, 0.12)} }},
	"seed_turnover":  {planned: true, draw: func(*generator) table { return table{} }},
	"srv_crash":      {draw: choosing(2, 5, "", "dark", "gone", "rack")},
	"srv_cut":        {draw: sharing(2, 6, 0.1, 0.25)},
	"srv_grey":       {draw: srvGrey},
	"srv_slow": {draw: func(g *generator) table {
		return table{"share": 0.15, "x": g.between(3, 7), "for_s": g.between(3, 8)}
	}},
}

func lasting(lower, upper float64, more table) func(*generator) table {
	return func(g *generator) table {
		out := maps.Clone(more)
		out["for_s"] = g.between(lower, upper)
		return out
	}
}

func sharing(lower, upper, minShare, maxShare float64) func(*generator) table {
	return func(g *generator) table {
		return table{"for_s": g.between(lower, upper), "share": g.between(minShare, maxShare)}
	}
}

func choosing(lower, upper float64, how ...string) func(*generator) table {
	return func(g *generator) table {
		return table{"for_s": g.between(lower, upper), "how": g.pick(how)}
	}
}

func repeated(how ...string) func(*generator) table {
	return func(g *generator) table {
		return table{"count": int64(1 + g.rng.IntN(3)), "gap_s": g.between(0.5, 1.5), "how": g.pick(how)}
	}
}

func onDisks(x float64) func(*generator) table {
	return func(g *generator) table {
		out := table{"count": int64(1 + g.rng.IntN(g.tolerated)), "for_s": g.between(2, 6), "how": g.pick([]string{"", "leader"})}
		if x > 0 {
			out["x"] = x
		}
		return out
	}
}

// onMachines strikes control machines or others.
func onMachines(how ...string) func(*generator) table {
	return func(g *generator) table {
		out := table{"for_s": g.between(1.5, 5), "how": g.pick(how)}
		switch g.rng.IntN(3) {
		case 0:
			out["share"], out["how"] = g.between(0.1, 0.25), ""
		default:
			out["on"], out["count"] = coreClass, int64(1+g.rng.IntN(g.tolerated))
		}
		return out
	}
}

func clockStep(g *generator) table {
	return table{"share": g.between(0.2, 0.6), "x": g.between(500, 5000), "for_s": g.between(3, 8), "how": g.pick([]string{"back", "ahead"})}
}

func coreCut(g *generator) table {
	return table{"count": int64(1 + g.rng.IntN(g.tolerated)), "for_s": g.between(2, 7), "how": g.pick([]string{"", "leader", "behind", "leader race"})}
}

func herdKill(g *generator) table {
	out := table{"on": coreClass, "share": g.between(0.5, 1), "how": g.pick([]string{"", "power", "taken power"})}
	if out["how"] != "" {
		out["for_s"] = g.between(1, 9.5)
	}
	return out
}

func nodeCut(g *generator) table {
	out := table{"share": g.between(0.1, 0.25), "for_s": g.between(2, 6)}
	if g.rng.IntN(2) == 0 {
		out["on"] = "side"
	}
	return out
}

func replaceCore(g *generator) table {
	return table{"x": g.between(0.5, 3), "how": g.pick([]string{"", "planned", "oldest"})}
}

func rollTerm(g *generator) table {
	return table{"share": g.between(0.3, 1), "x": 1.0, "gap_s": g.between(0.5, 1.5), "how": g.pick([]string{"", "busy"})}
}

func srvGrey(g *generator) table {
	return table{"share": 0.1, "x": g.between(0.4, 1), "for_s": g.between(3, 7),
		"how": g.pick([]string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"})}
}

// closings end a day.
var closings = []string{"power_off_all", "wipe_after_ack", "kill_all"}

// The stretch of a day in which troubles begin, in seconds.
const (
	earliest = 3.0
	latest   = 27.0
	// maxPairOffset is how far apart the two troubles of a pair begin at most.
	maxPairOffset = 2.5
)

// replaceDays replaces the days of the site by drawn ones. They keep the first day's traffic.
func (g *generator) replaceDays(o Options) {
	pattern := tables(g.root["day"])[0]
	days := []any{g.newDay(pattern, "calm", nil, nil)}
	names := slices.Sorted(maps.Keys(faultKinds))
	for i := range o.Days {
		var plan, faults []any
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
		days = append(days, g.newDay(pattern, fmt.Sprintf("pairs-%d", i+1), plan, faults))
	}
	g.root["day"] = days
}

func (g *generator) newDay(pattern table, name string, plan, faults []any) table {
	day := maps.Clone(pattern)
	for _, key := range []string{"floor_classes", "floor_zones", "goal", "light"} {
		delete(day, key) // they belong to the original's day
	}
	day["name"], day["seed"] = name, int64(g.rng.Uint32())
	day["plan"], day["faults"] = plan, faults
	if plan == nil {
		day["plan"] = []any{}
	}
	if faults == nil {
		day["faults"] = []any{}
		return day
	}
	day["slot"] = "trouble"
	closing := table{"kind": g.pick(closings), "down_s": g.between(0.3, 2)}
	if how := g.pick([]string{"", "taken", "timed", "oldest"}); how != "" && closing["kind"] != "kill_all" {
		closing["how"] = how
	}
	day["closing"] = closing
	return day
}
