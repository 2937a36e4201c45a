package simnet

import (
	"fmt"
	"slices"
	"time"

	"frosttide/internal/view"
)

func (w *world) wipeCore() (string, func()) {
	c, d := w.anyCore(), w.between(time.Second, 3*time.Second)
	return fmt.Sprintf("%s loses its disk for %v", c.address, d), func() {
		if (w.mayLose() || w.mayWipeOne()) && !c.gone {
			w.lastWipe = w.now
			c.powerOff()
			c.wipe()
			c.back(d)
		}
	}
}

// backSpread is within how long machines are back after a loss of power.
const backSpread = 1500 * time.Millisecond

// catchUp is how long a machine counts as lost after it is back, or after its start if it is new; the rules
// say 4 s.
const catchUp = 4200 * time.Millisecond

// mayLose tells whether machines or disks may be lost: all are there and have had the time to catch up.
func (w *world) mayLose() bool {
	if !w.calmFor(catchUp) {
		return false
	}
	for _, c := range w.cores {
		if !c.up || c.frozen || c.failing {
			return false
		}
	}
	return true
}

// wipeApart is how far apart lost disks are at least where others are in trouble.
const wipeApart = 12 * time.Second

// mayWipeOne tells whether one disk may be lost though others are cut off or behind: the one lost before has been
// replaced, no machine is new, as a new one counts as lost until it has had the time to catch up and the one in
// whose place it comes until then, and all machines are up and vote.
func (w *world) mayWipeOne() bool {
	if w.lastWipe > 0 && w.now-w.lastWipe < wipeApart || w.lastReplaced > 0 && w.now-w.lastReplaced < catchUp {
		return false
	}
	head := w.head()
	if !head.up || !head.member.Replica().Serving() {
		return false
	}
	v := head.member.Replica().View()
	for _, c := range w.cores {
		if !c.up || c.frozen || c.failing || view.Find(v.GetVoters(), c.member.Replica().Status().Self) == nil {
			return false
		}
	}
	return len(v.GetPrevious()) == 0 && len(v.GetVoters()) == len(w.cores)
}

// replaceCore takes a machine away for good; an empty one comes later at another address. At least two of the
// seeds stay.
func (w *world) replaceCore() (string, func()) {
	index, d := 2+w.rng.IntN(len(w.cores)-2), w.between(200*time.Millisecond, 3*time.Second)
	planned := w.rng.IntN(3) == 0
	return fmt.Sprintf("machine %d of the core is replaced after %v, planned: %v", index, d, planned), func() {
		if !w.mayLose() {
			return
		}
		w.lastReplaced = w.now
		old := w.cores[index]
		w.addresses++
		next := w.newCore(w.addresses)
		if planned { // the new one first
			w.cores = append(w.cores, next)
			next.begin()
			w.while(d, func() { w.removeCore(old) })
			return
		}
		w.removeCore(old)
		w.while(d, func() {
			w.lastReplaced = w.now
			w.cores = append(w.cores, next)
			next.begin()
		})
	}
}

// removeCore takes a machine away for good.
func (w *world) removeCore(c *core) {
	w.lastReplaced = w.now
	c.powerOff()
	c.gone = true
	w.cores = slices.DeleteFunc(w.cores, func(o *core) bool { return o == c })
}

func (w *world) wipeAndPowerAll() (string, func()) {
	count, d := 1+w.rng.IntN(w.options.Faults), w.between(500*time.Millisecond, 2*time.Second)
	order := w.rng.Perm(len(w.cores))
	return fmt.Sprintf("%d disks are lost, all of the core lose power for %v", count, d), func() {
		most := 0
		if w.mayWipeOne() {
			most = 1
		}
		if w.mayLose() {
			most = count
		}
		if most > 0 {
			w.lastWipe = w.now
		}
		for i, c := range w.cores {
			c.powerOff()
			if i < len(order) && order[i] < most { // a machine may have come since the order was drawn
				c.wipe()
			}
			c.back(d + w.between(0, backSpread)) // a majority may be back before the others
		}
	}
}
