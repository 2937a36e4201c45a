package jobs

import "strings"

// PendingCounts counts, for each queue, the accepted jobs of which no task has begun, by the changes of a store's
// items. The zero value stands for an empty store.
type PendingCounts struct {
	byQueue map[string]int
}

// Update notes a change of an item: before is nil for a new one, after for one that is removed.
func (p *PendingCounts) Update(key string, oldValue, newValue []byte) {
	if !strings.HasPrefix(key, statusPrefix) {
		return
	}
	p.add(oldValue, -1)
	p.add(newValue, 1)
}

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

// Count returns a queue's count.
func (p *PendingCounts) Count(queue string) int { return p.byQueue[queue] }
