package placement

import "slices"

// Request holds the constraints on the runner for a task and the preferences among runners.
type Request struct {
	Service      string    // whose runners are considered
	Demand       Resources // resources that the run reserves
	Requirement  string    // label that the runner must have; empty allows any runner
	Rack         string    // rack that the runner must be in; empty allows any rack
	AntiAffinity int       // maximum number of tasks of the group on a runner; 0 sets no limit
	Group        Group     // counted for AntiAffinity
	Affinity     string    // preferred rack, which holds the task's data; empty if there is none
	Avoid        string    // ID of the runner on which the task last failed; empty if there is none
	LastAttempt  bool      // one more failure would fail the job
	Gang         bool      // the task belongs to a gang, whose tasks start at the same time
}

// fits reports whether the runner can take a task now, regardless of its health.
func (r *Runner) fits(req *Request) bool {
	return r.Usable && req.Demand.Fits(r.Free()) &&
		r.satisfies(req.Requirement) &&
		(req.Rack == "" || r.Rack == req.Rack) &&
		(req.AntiAffinity == 0 || r.groups[req.Group] < req.AntiAffinity)
}

// eligible reports whether the runner could take a task if it had no runs.
func (r *Runner) eligible(req *Request) bool {
	return req.Demand.Fits(r.Capacity) && r.satisfies(req.Requirement)
}

// satisfies reports whether the runner has the required label. Every runner satisfies an empty one.
func (r *Runner) satisfies(requirement string) bool {
	return requirement == "" || slices.Contains(r.Labels, requirement)
}

// slotsFor returns how many tasks of a request the runner can take now, up to limit, provided that it
// fits at least one.
func (r *Runner) slotsFor(req *Request, limit int) int {
	slots := min(limit, req.Demand.timesIn(r.Free()))
	if req.AntiAffinity > 0 {
		slots = min(slots, req.AntiAffinity-r.groups[req.Group])
	}
	return slots
}
