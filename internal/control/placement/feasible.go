package placement

import "slices"

// Request is what a runner must satisfy to take a task, and which runners are preferred.
type Request struct {
	Service      string
	Demand       Resources
	Requirement  string // label that the runner must have, empty for any
	Rack         string // only runners of this rack, empty for any
	AntiAffinity int    // most tasks of the group on a runner, 0 for no bound
	Group        Group
	Affinity     string // rack where the data lies, which is preferred
	Avoid        string // runner that failed the task last
	LastAttempt  bool   // one more failure would fail the job
	Gang         bool   // the task is a member of a gang
}

// fits reports whether the runner can take a task now, its health aside.
func (r *Runner) fits(req *Request) bool {
	return r.Usable && r.tokens.Free >= r.tokensFor(req.Demand) && req.Demand.Fits(r.Free()) &&
		r.satisfies(req.Requirement) &&
		(req.Rack == "" || r.Rack == req.Rack) &&
		(req.AntiAffinity == 0 || r.groups[req.Group] < req.AntiAffinity)
}

// eligible reports whether the runner could take a task if nothing else ran on it.
func (r *Runner) eligible(req *Request) bool {
	return req.Demand.Fits(r.Capacity) && r.satisfies(req.Requirement)
}

// satisfies reports whether the runner has a required label.
func (r *Runner) satisfies(requirement string) bool {
	return requirement == "" || slices.Contains(r.Labels, requirement)
}

// slotsFor returns how many tasks of a request a runner that fits one can take.
func (r *Runner) slotsFor(req *Request) int {
	slots := min(r.tokens.Free/r.tokensFor(req.Demand), req.Demand.timesIn(r.Free()))
	if req.AntiAffinity > 0 {
		slots = min(slots, req.AntiAffinity-r.groups[req.Group])
	}
	return slots
}
