package placement

import (
	"cmp"
	"slices"
	"time"
)

// PickGang returns a runner for each named task of a gang, or nil if they do not all fit at the
// same time. It leaves no reservation behind: the caller reserves the resources with Reserve.
func (f *Fleet) PickGang(req *Request, tasks []string, now time.Duration) []*Runner {
	if !f.fitsAll(req, len(tasks), now) {
		return nil
	}
	picked := make([]*Runner, 0, len(tasks))
	for _, task := range tasks {
		r := f.Pick(req, now)
		f.Reserve(r, task, req.Demand, req.Group)
		picked = append(picked, r)
	}
	for i, r := range picked {
		f.Release(r, tasks[i])
	}
	return picked
}

// PickGangInRack is like PickGang, but returns runners that are all in the same rack. It prefers
// the rack of the tasks' data.
func (f *Fleet) PickGangInRack(req *Request, tasks []string, now time.Duration) []*Runner {
	for _, rack := range f.racksByPreference(req) {
		rackRequest := *req
		rackRequest.Rack = rack
		if picked := f.PickGang(&rackRequest, tasks, now); picked != nil {
			return picked
		}
	}
	return nil
}

// racksByPreference returns the racks of the request's service, first the rack of the
// data, then the others by name.
func (f *Fleet) racksByPreference(req *Request) (racks []string) {
	for _, r := range f.ServiceRunners(req.Service) {
		if !slices.Contains(racks, r.Rack) {
			racks = append(racks, r.Rack)
		}
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(compareBool(a != req.Affinity, b != req.Affinity), cmp.Compare(a, b))
	})
	return racks
}

// fitsAll reports whether a number of tasks of a request fit at the same time. PickGang calls it
// before it reserves anything, because reserving and releasing changes the order of the free tokens
// even if the gang does not fit.
func (f *Fleet) fitsAll(req *Request, count int, now time.Duration) bool {
	p := f.pools[req.Service]
	if p == nil {
		return false
	}
	enforceEjection := f.ejectionApplies(req, now)
	slots := 0
	for _, r := range p.candidates(req.Demand) {
		if r.fits(req) && (!enforceEjection || r.healthyFor(req, now)) {
			slots += r.slotsFor(req, count)
		}
		if slots >= count {
			return true
		}
	}
	return false
}
