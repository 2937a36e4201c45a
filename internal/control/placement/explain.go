package placement

import (
	"fmt"
	"time"
)

// Obstacles counts, for a task that waits, the runners of its service by the first reason why each can't take it.
type Obstacles struct {
	Runners      int       `json:"runners"`       // of the service
	Unusable     int       `json:"unusable"`      // out of contact, draining or without a lease
	Label        int       `json:"label"`         // without the required label
	TooSmall     int       `json:"too_small"`     // could not take it if nothing else ran on them
	AntiAffinity int       `json:"anti_affinity"` // have as many tasks of the step as they may
	Ejected      int       `json:"suspect"`       // fail what they are given
	Full         int       `json:"full"`          // have too little capacity free now
	Fitting      int       `json:"room"`          // could take it
	LargestFree  Resources `json:"largest_free"`  // the most that a usable runner has free, of each resource by itself
}

// Explain returns what keeps a task from the runners of its service.
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
