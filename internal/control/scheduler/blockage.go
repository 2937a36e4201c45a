package scheduler

import "frosttide/internal/control/placement"

// blockage is a demand for which a pass found no runner, or no set of runners, with enough capacity. Free capacity only
// shrinks during a pass, so the rest of the pass need not try demands that are at least as large.
type blockage struct {
	demand      placement.Resources
	requirement string
	rack        string // if set, only the runners of this rack were considered
	gang        int    // number of gang members that did not fit at the same time, 0 for a single task
	lastAttempt bool   // only healthy runners were considered
}

// blockageFor returns the blockage to record if the current placement request of a step can't be satisfied.
func blockageFor(w *waitingStep) blockage {
	b := blockage{demand: w.request.Demand, requirement: w.request.Requirement, rack: w.request.Rack, lastAttempt: w.request.LastAttempt}
	if w.request.Gang {
		b.gang = len(w.step.Tasks)
	}
	return b
}

// covers reports whether b rules out the demand of o as well: o asks for at least as much and considers no runner that
// b did not consider.
func (b *blockage) covers(o *blockage) bool {
	return b.demand.Fits(o.demand) && (b.requirement == "" || b.requirement == o.requirement) && (b.rack == "" || b.rack == o.rack) &&
		b.gang <= o.gang && (!b.lastAttempt || o.lastAttempt)
}

// sameDemand reports whether b and o have the same demand and requirement, and are both gangs or both single tasks.
func (b *blockage) sameDemand(o *blockage) bool {
	return b.demand == o.demand && b.requirement == o.requirement && (b.gang > 0) == (o.gang > 0)
}

// covered reports whether a blockage recorded in this pass covers o. While some runners are degraded, a blockage says
// nothing about a greater demand: fewer runners could take that one, and of fewer runners fewer may be ejected.
func (p *pass) covered(o blockage) bool {
	for i := range p.blockages {
		if b := &p.blockages[i]; b.covers(&o) && (!p.anyDegraded || b.sameDemand(&o)) {
			return true
		}
	}
	return false
}

// recordBlockage records a blockage and updates the free capacity that the remaining steps of the pass are compared
// with.
func (p *pass) recordBlockage(b blockage) {
	p.blockages = append(p.blockages, b)
	p.updateMaxFree()
}
