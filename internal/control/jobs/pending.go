package jobs

import "strings"

// PendingCounts counts, for each queue, the accepted jobs of which no task has been started. It follows the changes of
// a store's items, so that a member that asks often does not have to walk the store. The zero value stands for an
// empty store. It is not safe for concurrent use.
type PendingCounts struct {
	byQueue map[string]int
}

// Update takes over a change of an item of the store: oldValue is nil for a new item, newValue for one that is removed.
// Items of other kinds are ignored.
func (p *PendingCounts) Update(key string, oldValue, newValue []byte) {
	if !strings.HasPrefix(key, statusPrefix) {
		return
	}
	p.add(oldValue, -1)
	p.add(newValue, 1)
}

// add adds to the count that the state item of a job belongs to; items that can't be decoded belong to none.
func (p *PendingCounts) add(status []byte, delta int) {
	if status == nil {
		return
	}
	r, err := ParseStatus(status)
	if err != nil || r.State != Pending {
		return
	}
	if p.byQueue == nil {
		p.byQueue = make(map[string]int)
	}
	if p.byQueue[r.Queue] += delta; p.byQueue[r.Queue] == 0 {
		delete(p.byQueue, r.Queue)
	}
}

// Count returns the number of a queue's pending jobs.
func (p *PendingCounts) Count(queue string) int { return p.byQueue[queue] }
