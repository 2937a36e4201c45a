package soak

import (
	"fmt"
	"slices"
)

// breaks are the faults, each as likely as it stands here.
var breaks = []func(*draw){(*draw).kill, (*draw).kill, (*draw).kill, (*draw).term, (*draw).stall, (*draw).stall, (*draw).cut, (*draw).cut,
	(*draw).lossy, (*draw).reset, (*draw).discovery, (*draw).clock, (*draw).slowRunner, (*draw).drain, (*draw).hangUp, (*draw).refuse, (*draw).noise, (*draw).fullDisk}

// kill takes one, some or all members away at once, sometimes with a disk of one.
func (d *draw) kill() {
	of := d.steady()
	n := []int{1, 1, 2, members - 1, members}[d.rng.IntN(5)]
	who := d.some(of, n)
	if len(who) == 0 {
		return
	}
	d.say("kill %s", names(who))
	d.down = append(d.down, who...)
	d.lost += len(who)
	if !d.harmed && d.rng.IntN(2) == 0 {
		d.harmed = true
		m := who[d.rng.IntN(len(who))]
		switch harm := d.rng.IntN(4); {
		case m+1 == d.kept:
			d.say("restore d%d", d.kept)
		case harm < 3:
			d.say("%s %s", []string{"wipe", "lose", "tear"}[harm], names([]int{m})+[]string{"", "", " log"}[harm])
		}
	}
	if d.rng.IntN(2) == 0 { // they come back in any order, one after the other
		for _, i := range who {
			d.mends = append(d.mends, "start "+names([]int{i}))
		}
		return
	}
	d.mends = append(d.mends, "start "+names(who))
}

// term ends one or two as a planned restart does.
func (d *draw) term() {
	who := d.some(d.steady(), 1+d.rng.IntN(2))
	if len(who) == 0 {
		return
	}
	d.say("term %s", names(who))
	d.down = append(d.down, who...)
	d.lost += len(who)
	d.mends = append(d.mends, "start "+names(who))
}

func (d *draw) stall() {
	of := d.steady()
	who := d.some(of, 1+d.rng.IntN(max(len(of)-1, 1)))
	if len(who) == 0 {
		return
	}
	d.say("stall %s", names(who))
	d.stalled = append(d.stalled, who...)
	d.mends = append(d.mends, "wake "+names(who))
}

// links breaks those between two sides, once a round.
func (d *draw) links(step func(a, b string)) {
	if d.linked {
		return
	}
	d.linked = true
	order := d.rng.Perm(members)
	n := 1 + d.rng.IntN(members-1)
	step(names(order[:n]), names(order[n:]))
	d.mends = append(d.mends, "heal")
}

func (d *draw) cut() {
	d.links(func(a, b string) { d.say("cut %s from %s%s", a, b, []string{"", "", " oneway"}[d.rng.IntN(3)]) })
}

func (d *draw) lossy() {
	d.links(func(a, b string) {
		if d.rng.IntN(2) == 0 {
			d.say("slow %s from %s %dms", a, b, 20+d.rng.IntN(300))
			return
		}
		d.say("lossy %s from %s 0.%d 0.%d 0.%d", a, b, d.rng.IntN(5), d.rng.IntN(4), d.rng.IntN(5))
	})
}

func (d *draw) reset() { d.say("reset all from all") }

// discovery answers some members nothing, or nothing new.
func (d *draw) discovery() {
	if d.deaf {
		return
	}
	d.deaf = true
	all := []int{0, 1, 2, 3, 4}
	who := names(d.some(all, 1+d.rng.IntN(members)))
	if d.rng.IntN(2) == 0 {
		d.say("mute %s", who)
		d.mends = append(d.mends, "speak "+who)
		return
	}
	d.say("hold %s", who)
	d.mends = append(d.mends, "release "+who)
}

// clock sets one machine's clock.
func (d *draw) clock() {
	m := fmt.Sprintf("d%d", 1+d.rng.IntN(members))
	d.say("clock %s %d", m, []int{-1800, -30, 30, 3600}[d.rng.IntN(4)])
	d.mends = append(d.mends, "clock "+m+" 0")
}

// runner returns one that nothing was done to in this round, 0 for none: half of them stay.
func (d *draw) runner() int {
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

func (d *draw) slowRunner() {
	n := d.runner()
	switch {
	case n == 0:
	case d.rng.IntN(2) == 0:
		d.say("hang s-%d", n)
		d.mends = append(d.mends, fmt.Sprintf("unhang s-%d", n))
	default:
		d.say("lag s-%d %d", n, 2+d.rng.IntN(8))
		d.mends = append(d.mends, fmt.Sprintf("lag s-%d 1", n))
	}
}

func (d *draw) drain() {
	if n := d.runner(); n > 0 {
		d.say("drain s-%d", n)
		d.mends = append(d.mends, fmt.Sprintf("serve s-%d", n))
	}
}

func (d *draw) hangUp() {
	if n := d.runner(); n > 0 {
		d.say("break s-%d", n)
		d.mends = append(d.mends, fmt.Sprintf("mend s-%d", n))
	}
}

func (d *draw) refuse() {
	if n := d.runner(); n > 0 {
		d.say("refuse s-%d", n)
		d.mends = append(d.mends, fmt.Sprintf("accept s-%d", n))
	}
}

// fullDisk has one member write nothing more.
func (d *draw) fullDisk() {
	if len(d.steady()) == 0 || d.harmed {
		return
	}
	d.harmed = true
	m := d.one()
	d.say("full %s", m)
	d.mends = append(d.mends, "room "+m)
}

func (d *draw) noise() {
	if d.rng.IntN(2) == 0 {
		d.say("flood %d", 1+d.rng.IntN(60))
		return
	}
	if of := d.steady(); len(of) > 0 {
		d.say("garble %s", d.one())
	}
}
