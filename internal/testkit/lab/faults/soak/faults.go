package soak

import (
	"fmt"
	"slices"
)

// faultKinds are the kinds of faults. Repeated entries are more likely.
var faultKinds = []func(*generator){(*generator).kill, (*generator).kill, (*generator).kill, (*generator).term, (*generator).stall, (*generator).stall, (*generator).cut, (*generator).cut,
	(*generator).lossy, (*generator).reset, (*generator).discovery, (*generator).clock, (*generator).slowRunner, (*generator).drain, (*generator).hangUp, (*generator).refuse, (*generator).noise, (*generator).fullDisk}

// kill kills one, several or all members at once. It may damage the disk of one of them, or restore
// its backup.
func (d *generator) kill() {
	of := d.runningMembers()
	n := []int{1, 1, 2, members - 1, members}[d.rng.IntN(5)]
	who := d.pick(of, n)
	if len(who) == 0 {
		return
	}
	d.addLine("kill %s", names(who))
	d.down = append(d.down, who...)
	d.lost += len(who)
	if !d.diskHarmed && d.rng.IntN(2) == 0 {
		d.diskHarmed = true
		m := who[d.rng.IntN(len(who))]
		switch harm := d.rng.IntN(4); {
		case m+1 == d.backedUp:
			d.addLine("restore d%d", d.backedUp)
		case harm < 3:
			d.addLine("%s %s", []string{"wipe", "lose", "tear"}[harm], names([]int{m})+[]string{"", "", " log"}[harm])
		}
	}
	if d.rng.IntN(2) == 0 { // they restart one by one, in random order
		for _, i := range who {
			d.repairs = append(d.repairs, "start "+names([]int{i}))
		}
		return
	}
	d.repairs = append(d.repairs, "start "+names(who))
}

// term ends one or two members by SIGTERM, as in a planned restart.
func (d *generator) term() {
	who := d.pick(d.runningMembers(), 1+d.rng.IntN(2))
	if len(who) == 0 {
		return
	}
	d.addLine("term %s", names(who))
	d.down = append(d.down, who...)
	d.lost += len(who)
	d.repairs = append(d.repairs, "start "+names(who))
}

// stall stops some members by SIGSTOP, but not all that run unless only one does.
func (d *generator) stall() {
	of := d.runningMembers()
	who := d.pick(of, 1+d.rng.IntN(max(len(of)-1, 1)))
	if len(who) == 0 {
		return
	}
	d.addLine("stall %s", names(who))
	d.stalled = append(d.stalled, who...)
	d.repairs = append(d.repairs, "wake "+names(who))
}

// links injects a fault of the links between two parts of the fleet, at most once a round.
func (d *generator) links(step func(a, b string)) {
	if d.linksBroken {
		return
	}
	d.linksBroken = true
	order := d.rng.Perm(members)
	n := 1 + d.rng.IntN(members-1)
	step(names(order[:n]), names(order[n:]))
	d.repairs = append(d.repairs, "heal")
}

// cut separates two parts of the fleet, in both directions or in one.
func (d *generator) cut() {
	d.links(func(a, b string) { d.addLine("cut %s from %s%s", a, b, []string{"", "", " oneway"}[d.rng.IntN(3)]) })
}

// lossy delays the links between two parts, or drops, duplicates and reorders their packets.
func (d *generator) lossy() {
	d.links(func(a, b string) {
		if d.rng.IntN(2) == 0 {
			d.addLine("slow %s from %s %dms", a, b, 20+d.rng.IntN(300))
			return
		}
		d.addLine("lossy %s from %s 0.%d 0.%d 0.%d", a, b, d.rng.IntN(5), d.rng.IntN(4), d.rng.IntN(5))
	})
}

// reset closes all connections between members.
func (d *generator) reset() { d.addLine("reset all from all") }

// discovery has the discovery of some members answer no call, or report nothing newer.
func (d *generator) discovery() {
	if d.discoveryBroken {
		return
	}
	d.discoveryBroken = true
	all := []int{0, 1, 2, 3, 4}
	who := names(d.pick(all, 1+d.rng.IntN(members)))
	if d.rng.IntN(2) == 0 {
		d.addLine("mute %s", who)
		d.repairs = append(d.repairs, "speak "+who)
		return
	}
	d.addLine("hold %s", who)
	d.repairs = append(d.repairs, "release "+who)
}

// clock sets one machine's clock wrong for the rest of the round.
func (d *generator) clock() {
	m := fmt.Sprintf("d%d", 1+d.rng.IntN(members))
	d.addLine("clock %s %d", m, []int{-1800, -30, 30, 3600}[d.rng.IntN(4)])
	d.repairs = append(d.repairs, "clock "+m+" 0")
}

// runner returns a runner without a fault in this round, or 0. At most half of the runners get one.
func (d *generator) runner() int {
	if len(d.busyRunners) >= runners/2 {
		return 0
	}
	for _, i := range d.rng.Perm(runners) {
		if !slices.Contains(d.busyRunners, i+1) {
			d.busyRunners = append(d.busyRunners, i+1)
			return i + 1
		}
	}
	return 0
}

// slowRunner has a runner hang, or slows it down at parts of gangs.
func (d *generator) slowRunner() {
	n := d.runner()
	switch {
	case n == 0:
	case d.rng.IntN(2) == 0:
		d.addLine("hang s-%d", n)
		d.repairs = append(d.repairs, fmt.Sprintf("unhang s-%d", n))
	default:
		d.addLine("lag s-%d %d", n, 2+d.rng.IntN(8))
		d.repairs = append(d.repairs, fmt.Sprintf("lag s-%d 1", n))
	}
}

// drain has discovery report a runner as draining.
func (d *generator) drain() {
	if n := d.runner(); n > 0 {
		d.addLine("drain s-%d", n)
		d.repairs = append(d.repairs, fmt.Sprintf("serve s-%d", n))
	}
}

// hangUp has a runner close the connection on every job.
func (d *generator) hangUp() {
	if n := d.runner(); n > 0 {
		d.addLine("break s-%d", n)
		d.repairs = append(d.repairs, fmt.Sprintf("mend s-%d", n))
	}
}

// refuse has a runner reject every job.
func (d *generator) refuse() {
	if n := d.runner(); n > 0 {
		d.addLine("refuse s-%d", n)
		d.repairs = append(d.repairs, fmt.Sprintf("accept s-%d", n))
	}
}

// fullDisk simulates a full disk at one member.
func (d *generator) fullDisk() {
	if len(d.runningMembers()) == 0 || d.diskHarmed {
		return
	}
	d.diskHarmed = true
	m := d.anyRunningMember()
	d.addLine("full %s", m)
	d.repairs = append(d.repairs, "room "+m)
}

// noise writes a burst of changes of the list of runners, or sends a member random input.
func (d *generator) noise() {
	if d.rng.IntN(2) == 0 {
		d.addLine("flood %d", 1+d.rng.IntN(60))
		return
	}
	if of := d.runningMembers(); len(of) > 0 {
		d.addLine("garble %s", d.anyRunningMember())
	}
}
