package placement

import (
	"cmp"
	"slices"
	"time"
)

// Want is what a task asks of a runner.
type Want struct {
	Service      string
	Demand       Resources
	Requirement  string // label that the runner must have
	Affinity     string // rack where the data lies
	AntiAffinity int    // most tasks of the group on a runner, 0 for no bound
	Group        Group
	Avoid        string // runner that failed the task last
	LastAttempt  bool   // another failure would fail the job
	Gang         bool   // it is a member of a gang
	Rack         string // only runners of this rack, where set
}

// compatible tells whether a runner may take a task now.
func (r *Runner) compatible(w *Want) bool {
	return r.Usable && r.account.Free >= r.tokensFor(w.Demand) && w.Demand.Fits(r.Free()) &&
		(w.Requirement == "" || slices.Contains(r.Labels, w.Requirement)) &&
		(w.Rack == "" || r.Rack == w.Rack) &&
		(w.AntiAffinity == 0 || r.groups[w.Group] < w.AntiAffinity)
}

// able tells whether a runner could take a task if it were empty.
func (r *Runner) able(w *Want) bool {
	return w.Demand.Fits(r.Capacity) && (w.Requirement == "" || slices.Contains(r.Labels, w.Requirement))
}

// class orders compatible runners: lower is better. Tokens' order decides between equals.
type class struct {
	avoided bool // it failed this very task
	suspect bool // it fails what it is given
	risky   bool // its newest run failed, and the task has no further attempt
	far     bool // the data lies in another rack
	doubted bool // its newest run failed
	waste   int  // how badly it fits: whole runners are kept free for those that need them
}

func (r *Runner) class(w *Want, now time.Duration) class {
	return class{avoided: w.Avoid == r.ID, suspect: r.trust.suspect(now), risky: w.LastAttempt && r.trust.doubtful(now), doubted: r.trust.doubtful(now), far: w.Affinity != "" && r.Rack != w.Affinity, waste: r.waste(w)}
}

// waste says how badly a task with GPUs fits: 0 on a runner whose GPUs are in use already or that it
// fills, 1 on one that it would break up for tasks that want all of it.
func (r *Runner) waste(w *Want) int {
	if w.Demand.GPUs == 0 || w.Demand.GPUs == r.Capacity.GPUs || r.used.GPUs > 0 {
		return 0
	}
	return 1
}

func (c class) compare(o class) int {
	return cmp.Or(compareBool(c.avoided, o.avoided), compareBool(c.suspect, o.suspect), compareBool(c.risky, o.risky), compareBool(c.far, o.far),
		compareBool(c.doubted, o.doubted), cmp.Compare(c.waste, o.waste))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Pick returns the runner that a task goes to: of the compatible ones those of the best class, of these
// the one whose tokens have been free longest; nil where the task is blocked.
func (f *Fleet) Pick(w *Want, now time.Duration) *Runner {
	p := f.pools[w.Service]
	if p == nil {
		return nil
	}
	var best *Runner
	var bestClass class
	wary := f.suspicionCounts(w, now)
	for _, r := range p.open {
		if !r.compatible(w) || wary && !r.trusted(w, now) {
			continue
		}
		c := r.class(w, now)
		if best != nil {
			if d := cmp.Or(c.compare(bestClass), cmp.Compare(r.account.Order(), best.account.Order())); d >= 0 {
				continue
			}
		}
		best, bestClass = r, c
	}
	return best
}

// PickGang returns a runner for each of a gang's tasks, nil where they can't all be placed now. The runs
// are named by the caller; nothing is held afterwards.
func (f *Fleet) PickGang(w *Want, tasks []string, sameRack bool, now time.Duration) []*Runner {
	if !sameRack {
		return f.tryGang(w, tasks, now)
	}
	for _, rack := range f.racks(w) {
		inRack := *w
		inRack.Rack = rack
		if picked := f.tryGang(&inRack, tasks, now); picked != nil {
			return picked
		}
	}
	return nil
}

// racks returns the racks of a service, where the data lies first.
func (f *Fleet) racks(w *Want) (racks []string) {
	for _, r := range f.Service(w.Service) {
		if !slices.Contains(racks, r.Rack) {
			racks = append(racks, r.Rack)
		}
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(compareBool(a != w.Affinity, b != w.Affinity), cmp.Compare(a, b))
	})
	return racks
}

// tryGang returns a runner for each task, nil where there is no room for all of them. What can't be placed
// leaves the order of the free tokens as it was.
func (f *Fleet) tryGang(w *Want, tasks []string, now time.Duration) []*Runner {
	if !f.holdsAll(w, len(tasks), now) {
		return nil
	}
	picked := make([]*Runner, 0, len(tasks))
	for _, task := range tasks {
		r := f.Pick(w, now)
		f.Hold(r, task, w.Demand, w.Group)
		picked = append(picked, r)
	}
	for i, r := range picked {
		f.Release(r, tasks[i])
	}
	return picked
}

// holdsAll tells whether a number of tasks that ask for the same can be placed at once.
func (f *Fleet) holdsAll(w *Want, count int, now time.Duration) bool {
	p := f.pools[w.Service]
	if p == nil {
		return false
	}
	wary := f.suspicionCounts(w, now)
	room := 0
	for _, r := range p.open {
		if r.compatible(w) && (!wary || r.trusted(w, now)) {
			room += r.roomFor(w)
		}
		if room >= count {
			return true
		}
	}
	return false
}

// roomFor returns how many tasks that ask for the same a compatible runner can take.
func (r *Runner) roomFor(w *Want) int {
	room, free := r.account.Free/r.tokensFor(w.Demand), r.Free()
	for _, part := range [...]struct{ free, demand int64 }{{free.CPU, w.Demand.CPU}, {free.MemMB, w.Demand.MemMB}, {free.GPUs, w.Demand.GPUs}} {
		if part.demand > 0 {
			room = min(room, int(part.free/part.demand))
		}
	}
	if w.AntiAffinity > 0 {
		room = min(room, w.AntiAffinity-r.groups[w.Group])
	}
	return room
}
