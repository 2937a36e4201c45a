package simnet

import (
	"time"

	"frosttide/internal/control/store"
)

// statesEvery is how often the members' states are compared.
const statesEvery = 250 * time.Millisecond

// compareStates checks from time to time that members which say that they hold the state of a view up to the
// same entry hold the same state.
func (w *world) compareStates() {
	type place struct{ epoch, index uint64 }
	held := make(map[place]*core)
	for _, c := range w.cores {
		if !c.up {
			continue
		}
		s := c.member.Replica().Status()
		if s.View == nil || s.InstalledEpoch != s.View.GetEpoch() && !s.Following {
			continue
		}
		at := place{s.View.GetEpoch(), s.Index}
		other := held[at]
		if other == nil {
			held[at] = c
			continue
		}
		a, b := c.member.Replica().Store(), other.member.Replica().Store()
		if store.Combine(a.Digests()) != store.Combine(b.Digests()) {
			w.broken("STATE", "%s and %s hold entry %d of epoch %d with other states: %d and %d items", c.address, other.address, at.index, at.epoch, a.Len(), b.Len())
		}
	}
	w.after(statesEvery, w.compareStates)
}
