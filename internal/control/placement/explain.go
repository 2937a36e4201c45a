package placement

import (
	"fmt"
	"time"
)

// Obstacles counts the runners of a waiting task's service by the first reason why each can't take
// the task.
type Obstacles struct {
	Runners      int       `json:"runners"`       // of the service
	Unusable     int       `json:"unusable"`      // out of contact, draining or without a lease
	Label        int       `json:"label"`         // lack the required label
	TooSmall     int       `json:"too_small"`     // have too little capacity even without other runs
	AntiAffinity int       `json:"anti_affinity"` // run as many tasks of the step as allowed
	Ejected      int       `json:"suspect"`       // excluded because their recent runs failed
	Full         int       `json:"full"`          // have too little free capacity now
	Fitting      int       `json:"room"`          // can take the task now
	LargestFree  Resources `json:"largest_free"`  // by resource: most that any usable runner has free
}

// Explain returns the reasons why the runners of a request's service can't take its task.
func (f *Fleet) Explain(req *Request, now time.Duration) (o Obstacles) {
	enforceEjection := f.ejectionApplies(req, now)
	for _, r := range f.ServiceRunners(req.Service) {
		o.Runners++
		if r.Usable {
			o.LargestFree = o.LargestFree.Max(r.Free())
		}
		switch {
		case !r.Usable:
			o.Unusable++
		case !r.satisfies(req.Requirement):
			o.Label++
		case !req.Demand.Fits(r.Capacity):
			o.TooSmall++
		case req.AntiAffinity > 0 && r.groups[req.Group] >= req.AntiAffinity:
			o.AntiAffinity++
		case !r.fits(req):
			o.Full++
		case enforceEjection && !r.healthyFor(req, now):
			o.Ejected++
		default:
			o.Fitting++
		}
	}
	return o
}

// String returns the obstacles in one line, for the log and for operators.
func (o Obstacles) String() string {
	return fmt.Sprintf("of %d runners %d are unusable, %d lack the label, %d are too small, %d hold as many of the step as they may, %d are full, %d are suspect, %d have room; largest free: %d thousandths of a core, %d MB, %d GPUs",
		o.Runners, o.Unusable, o.Label, o.TooSmall, o.AntiAffinity, o.Full, o.Ejected, o.Fitting, o.LargestFree.CPU, o.LargestFree.MemMB, o.LargestFree.GPUs)
}
