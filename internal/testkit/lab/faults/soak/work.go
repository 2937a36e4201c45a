package soak

import "fmt"

// work writes what clients and operators do: any answer is right, what it leads to is held
// against the rules.
func (d *draw) work() {
	switch d.rng.IntN(6) {
	case 0, 1, 2:
		d.flow()
	case 3:
		who := d.steady()
		if len(who) > 0 {
			d.say("gang %s %d %dms at %s", d.id("g"), 4+d.rng.IntN(13), 100+d.rng.IntN(400), names(who))
		}
	case 4:
		d.keyed()
	default:
		d.operator()
	}
}

// flow begins a workflow, takes some steps at any members, and ends it, or its client goes away.
func (d *draw) flow() {
	id := d.id("w")
	d.say("flow begin %s at %s %ds %ds any", id, d.one(), 6+d.rng.IntN(20), 1+d.rng.IntN(4))
	steps := d.rng.IntN(4)
	for n := 1; n <= steps; n++ {
		d.say("flow step %s %d at %s any", id, n, d.one())
	}
	if steps > 0 && d.rng.IntN(4) == 0 {
		key := fmt.Sprintf("flow-undo/%s/%d", id, 1+d.rng.IntN(steps))
		d.say("spoil %s", key)
		d.mends = append(d.mends, "unspoil "+key)
		d.lasts = append(d.lasts, fmt.Sprintf("flow %s %s at %s any", []string{"again", "give-up", "touch"}[d.rng.IntN(3)], id, names([]int{d.rng.IntN(members)})))
	}
	switch d.rng.IntN(4) {
	case 0:
		d.say("flow commit %s at %s any", id, d.one())
	case 1, 2:
		d.say("flow undo %s at %s any", id, d.one())
	}
}

// keyed has a client's job go unanswered and sends it again elsewhere, while whoever was told of
// it can be asked.
func (d *draw) keyed() {
	if len(d.steady()) == 0 || d.lost > 0 || len(d.stalled) > 0 || d.linked { // docs/replication.md: what a cut or a stall allows
		return
	}
	key, at := d.id("k"), d.one()
	d.say("job %s release at %s", key, at)
	d.say("await known %s", key)
	if who := d.some(d.steady(), 1+d.rng.IntN(rememberers)); d.rng.IntN(2) == 0 && len(who) < len(d.steady()) {
		d.say("kill %s", names(who))
		d.down = append(d.down, who...)
		d.lost += len(who)
		d.mends = append(d.mends, "start "+names(who))
	}
	for range 1 + d.rng.IntN(2) {
		d.say("retry %s release at %s 0", key, d.one())
	}
}

// operator leaves a runner out, once a round, and puts it back when all is whole.
func (d *draw) operator() {
	if n := d.runner(); n > 0 && !d.told {
		d.told = true
		d.say("exclude s-%d at %s any", n, d.one())
		d.lasts = append(d.lasts, fmt.Sprintf("include s-%d at d1 done", n))
	}
}
