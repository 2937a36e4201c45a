package placement

import (
	"cmp"
	"slices"
	"time"
)

// PickGang returns a runner for each task of a gang, nil where they do not all fit at once. The caller gives the tasks'
// names and reserves the runners; PickGang leaves nothing reserved.
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

// PickGangInRack is PickGang with all runners in one rack, that of the data if the gang fits there.
func (f *Fleet) PickGangInRack(req *Request, tasks []string, now time.Duration) []*Runner {
	for _, rack := range f.racks(req) {
		rackRequest := *req
		rackRequest.Rack = rack
		if picked := f.PickGang(&rackRequest, tasks, now); picked != nil {
			return picked
		}
	}
	return nil
}

// racks returns the racks of a service by name, but that of the data first.
func (f *Fleet) racks(req *Request) (racks []string) {
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

// fitsAll reports whether a number of tasks of a request fit at once. It is asked first as a trial with reservations
// would change the order of the free tokens even where it fails.
func (f *Fleet) fitsAll(req *Request, count int, now time.Duration) bool {
	p := f.pools[req.Service]
	if p == nil {
		return false
	}
	enforceEjection := f.ejectionApplies(req, now)
	slots := 0
	for _, r := range p.available {
		if r.fits(req) && (!enforceEjection || r.healthyFor(req, now)) {
			slots += r.slotsFor(req)
		}
		if slots >= count {
			return true
		}
	}
	return false
}
