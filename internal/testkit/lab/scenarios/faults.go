package scenarios

import "maps"

// faultKind describes how the parameters of a kind of fault are drawn.
type faultKind struct {
	planned bool // a planned operation of the operators, not a fault
	draw    func(g *generator) table
}

// faultKinds holds the kinds of faults and planned operations by their names in a site file.
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
	"core_cut":       {draw: corePartition},
	"disk_full":      {draw: onDisks(0)},
	"disk_slow":      {draw: onDisks(30)},
	"disk_stall":     {draw: onDisks(0)},
	"give_up":        {draw: sharing(3, 6, 0.1, 0.35)},
	"herd_kill":      {draw: herdKill},
	"hup":            {planned: true, draw: func(g *generator) table { return table{"share": g.between(0.2, 1), "gap_s": 1.0} }},
	"node_cut":       {draw: nodePartition},
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

// lasting draws a fault's duration in seconds, and adds fixed parameters.
func lasting(lower, upper float64, more table) func(*generator) table {
	return func(g *generator) table {
		out := maps.Clone(more)
		out["for_s"] = g.between(lower, upper)
		return out
	}
}

// sharing draws a fault's duration in seconds and the fraction of machines that it affects.
func sharing(lower, upper, minFraction, maxFraction float64) func(*generator) table {
	return func(g *generator) table {
		return table{"for_s": g.between(lower, upper), "share": g.between(minFraction, maxFraction)}
	}
}

// choosing draws a fault's duration in seconds and one of its modes.
func choosing(lower, upper float64, how ...string) func(*generator) table {
	return func(g *generator) table {
		return table{"for_s": g.between(lower, upper), "how": g.pick(how)}
	}
}

// repeated draws how often a planned operation is repeated, the gap in seconds, and one of its
// modes.
func repeated(how ...string) func(*generator) table {
	return func(g *generator) table {
		return table{"count": int64(1 + g.rng.IntN(3)), "gap_s": g.between(0.5, 1.5), "how": g.pick(how)}
	}
}

// onDisks draws a fault of core machines' disks. It sets the parameter x if it is above 0.
func onDisks(x float64) func(*generator) table {
	return func(g *generator) table {
		out := table{"count": int64(1 + g.rng.IntN(g.tolerated)), "for_s": g.between(2, 6), "how": g.pick([]string{"", "leader"})}
		if x > 0 {
			out["x"] = x
		}
		return out
	}
}

// onMachines draws a fault of core machines or, with probability 1/3, of a fraction of all
// others.
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

// clockStep draws a step of the clocks of a fraction of the machines, back or ahead.
func clockStep(g *generator) table {
	return table{"share": g.between(0.2, 0.6), "x": g.between(500, 5000), "for_s": g.between(3, 8), "how": g.pick([]string{"back", "ahead"})}
}

// corePartition draws a network partition of core machines, as many as may fail at once at most.
func corePartition(g *generator) table {
	return table{"count": int64(1 + g.rng.IntN(g.tolerated)), "for_s": g.between(2, 7), "how": g.pick([]string{"", "leader", "behind", "leader race"})}
}

// herdKill draws a kill of at least half of the core machines. The power modes also have a
// duration.
func herdKill(g *generator) table {
	out := table{"on": coreClass, "share": g.between(0.5, 1), "how": g.pick([]string{"", "power", "taken power"})}
	if out["how"] != "" {
		out["for_s"] = g.between(1, 9.5)
	}
	return out
}

// nodePartition draws a network partition of a fraction of the machines, in half of the cases only
// of class side.
func nodePartition(g *generator) table {
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
