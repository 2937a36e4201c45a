package placement

import (
	"fmt"
	"slices"
	"time"
)

// Obstacles counts, for a task that waits, the runners that can't take it by the first reason why.
type Obstacles struct {
	Runners      int       `json:"runners"`       // of the service
	Unusable     int       `json:"unusable"`      // out of touch, draining or without a lease
	Label        int       `json:"label"`         // without the label that is asked for
	TooSmall     int       `json:"too_small"`     // could not take it if they were empty
	AntiAffinity int       `json:"anti_affinity"` // hold as many tasks of the step as they may
	Ejected      int       `json:"suspect"`       // fail what they are given
	Full         int       `json:"full"`          // have too little room now
	Fitting      int       `json:"room"`          // could take it
	LargestFree  Resources `json:"largest_free"`  // the most that a usable runner has free, each by itself
}

// Explain tells what keeps a task from the runners of its service.
func (f *Fleet) Explain(req *Request, now time.Duration) (o Obstacles) {
	enforceEjection := f.ejectionApplies(req, now)
	for _, r := range f.ServiceRunners(req.Service) {
		o.Runners++
		free := r.Free()
		if r.Usable {
			o.LargestFree = Resources{CPU: max(o.LargestFree.CPU, free.CPU), MemMB: max(o.LargestFree.MemMB, free.MemMB), GPUs: max(o.LargestFree.GPUs, free.GPUs)}
		}
		switch {
		case !r.Usable:
			o.Unusable++
		case req.Requirement != "" && !slices.Contains(r.Labels, req.Requirement):
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

// String tells the obstacles in a line.
func (o Obstacles) String() string {
	return fmt.Sprintf("of %d runners %d are unusable, %d lack the label, %d are too small, %d hold as many of the step as they may, %d are full, %d are suspect, %d have room; largest free: %d thousandths of a core, %d MB, %d GPUs",
		o.Runners, o.Unusable, o.Label, o.TooSmall, o.AntiAffinity, o.Full, o.Ejected, o.Fitting, o.LargestFree.CPU, o.LargestFree.MemMB, o.LargestFree.GPUs)
}
