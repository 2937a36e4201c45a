package simnet

import (
	"time"

	"frosttide/internal/control/store"
)

// compareInterval is how often the members' states are compared.
const compareInterval = 250 * time.Millisecond

// compareStates checks from time to time that members which say that they hold the state of a view up to the
// same entry hold the same state.
func (sim *simulation) compareStates() {
	type place struct{ epoch, index uint64 }
	byPosition := make(map[place]*core)
	for _, c := range sim.cores {
		if !c.up {
			continue
		}
		s := c.member.Replica().Status()
		if s.View == nil || s.InstalledEpoch != s.View.GetEpoch() && !s.Following {
			continue
		}
		at := place{s.View.GetEpoch(), s.Index}
		other := byPosition[at]
		if other == nil {
			byPosition[at] = c
			continue
		}
		a, b := c.member.Replica().Store(), other.member.Replica().Store()
		if store.CombineDigests(a.Digests()) != store.CombineDigests(b.Digests()) {
			sim.violation("STATE", "%s and %s hold entry %d of epoch %d with other states: %d and %d items", c.address, other.address, at.index, at.epoch, a.Len(), b.Len())
		}
	}
	sim.after(compareInterval, sim.compareStates)
}
