package scheduler

import "frosttide/internal/control/placement"

// blockage is a demand that no runner, or no set of runners, had capacity for in a pass. Capacity only shrinks during a
// pass, so that what asks for as much or more need not be tried again.
type blockage struct {
	demand      placement.Resources
	requirement string
	rack        string // where set, only the runners of this rack were considered
	gang        int    // number of members that did not fit together, 0 for a single task
	lastAttempt bool   // only runners in good health were considered
}

// blockageFor returns what it would mean that a step's tasks can't be placed as they are requested now.
func blockageFor(w *waitingStep) blockage {
	b := blockage{demand: w.request.Demand, requirement: w.request.Requirement, rack: w.request.Rack, lastAttempt: w.request.LastAttempt}
	if w.request.Gang {
		b.gang = len(w.step.Tasks)
	}
	return b
}

// covers reports whether what o asks for can't be placed either, as it asks for as much and considers no more runners.
func (b *blockage) covers(o *blockage) bool {
	return b.demand.Fits(o.demand) && (b.requirement == "" || b.requirement == o.requirement) && (b.rack == "" || b.rack == o.rack) &&
		b.gang <= o.gang && (!b.lastAttempt || o.lastAttempt)
}

// sameDemand reports whether two ask for the same of a runner.
func (b *blockage) sameDemand(o *blockage) bool {
	return b.demand == o.demand && b.requirement == o.requirement && (b.gang > 0) == (o.gang > 0)
}

// covered reports whether a blockage of this pass covers another one. Where some runners are degraded it says nothing
// of a greater demand: that could be taken by fewer runners, and of fewer runners fewer may be ejected.
func (p *pass) covered(o blockage) bool {
	for i := range p.blockages {
		if b := &p.blockages[i]; b.covers(&o) && (!p.anyDegraded || b.sameDemand(&o)) {
			return true
		}
	}
	return false
}

// recordBlockage records a blockage, and updates how much capacity the steps that follow can find.
func (p *pass) recordBlockage(b blockage) {
	p.blockages = append(p.blockages, b)
	p.maxFree = p.scheduler.fleet.MaxFree(p.queue.service)
}
