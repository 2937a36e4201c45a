package soak

import "fmt"

// work writes a step of clients or operators. Any answer to it is allowed; its consequences are
// checked against the rules and invariants.
func (d *generator) work() {
	switch d.rng.IntN(6) {
	case 0, 1, 2:
		d.flow()
	case 3:
		who := d.runningMembers()
		if len(who) > 0 {
			d.addLine("gang %s %d %dms at %s", d.id("g"), 4+d.rng.IntN(13), 100+d.rng.IntN(400), names(who))
		}
	case 4:
		d.keyed()
	default:
		d.operator()
	}
}

// flow begins a workflow and executes some steps through any members. Its client then commits it,
// undoes it, or disconnects.
func (d *generator) flow() {
	id := d.id("w")
	d.addLine("flow begin %s at %s %ds %ds any", id, d.anyRunningMember(), 6+d.rng.IntN(20), 1+d.rng.IntN(4))
	steps := d.rng.IntN(4)
	for n := 1; n <= steps; n++ {
		d.addLine("flow step %s %d at %s any", id, n, d.anyRunningMember())
	}
	if steps > 0 && d.rng.IntN(4) == 0 {
		key := fmt.Sprintf("flow-undo/%s/%d", id, 1+d.rng.IntN(steps))
		d.addLine("spoil %s", key)
		d.repairs = append(d.repairs, "unspoil "+key)
		d.afterRepair = append(d.afterRepair, fmt.Sprintf("flow %s %s at %s any", []string{"again", "give-up", "touch"}[d.rng.IntN(3)], id, names([]int{d.rng.IntN(members)})))
	}
	switch d.rng.IntN(4) {
	case 0:
		d.addLine("flow commit %s at %s any", id, d.anyRunningMember())
	case 1, 2:
		d.addLine("flow undo %s at %s any", id, d.anyRunningMember())
	}
}

// keyed has a client send a keyed job whose completion is not reported, and retry it at other
// members while at least one member with a record of the job is up.
func (d *generator) keyed() {
	// A second effect is allowed after a cut or a stall (docs/replication.md).
	if len(d.runningMembers()) == 0 || d.lost > 0 || len(d.stalled) > 0 || d.linksBroken {
		return
	}
	key, at := d.id("k"), d.anyRunningMember()
	d.addLine("job %s release at %s", key, at)
	d.addLine("await known %s", key)
	if who := d.pick(d.runningMembers(), 1+d.rng.IntN(maxLostRecorders)); d.rng.IntN(2) == 0 && len(who) < len(d.runningMembers()) {
		d.addLine("kill %s", names(who))
		d.down = append(d.down, who...)
		d.lost += len(who)
		d.repairs = append(d.repairs, "start "+names(who))
	}
	for range 1 + d.rng.IntN(2) {
		d.addLine("retry %s release at %s 0", key, d.anyRunningMember())
	}
}

// operator excludes a runner, at most once a round, and includes it after the repair.
func (d *generator) operator() {
	if n := d.runner(); n > 0 && !d.operatorCalled {
		d.operatorCalled = true
		d.addLine("exclude s-%d at %s any", n, d.anyRunningMember())
		d.afterRepair = append(d.afterRepair, fmt.Sprintf("include s-%d at d1 done", n))
	}
}
