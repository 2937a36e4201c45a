package jobs

import "strings"

// PendingCounts holds, for each queue, the number of accepted jobs without a started task. It is
// updated with each change of a store's items, so that frequent queries do not have to scan the
// store. The zero value corresponds to an empty store. It is not safe for concurrent use.
type PendingCounts struct {
	byQueue map[string]int
}

// Update applies the change of one item of the store: oldValue is nil for a new item, newValue for
// a removed one. Items other than job states are ignored.
func (p *PendingCounts) Update(key string, oldValue, newValue []byte) {
	if !strings.HasPrefix(key, statusPrefix) {
		return
	}
	p.add(oldValue, -1)
	p.add(newValue, 1)
}

// add adds delta to the count of a job's queue if the encoded status says that the job is pending.
// A status that can't be decoded is ignored.
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

// Count returns the number of pending jobs in a queue.
func (p *PendingCounts) Count(queue string) int { return p.byQueue[queue] }
