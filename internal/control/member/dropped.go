package member

import (
	"time"

	"frosttide/internal/protocol"
)

// dropScheduler drops the scheduler because its entry can't be encoded, which is neither the disk's fault nor a reason to
// give up being the head. The requests whose replies the entry holds were not executed; their clients send them again.
func (m *Member) dropScheduler(e *protocol.Entry, err error) {
	m.event("Entry can't be encoded, its changes are dropped", "err", err)
	for _, reply := range e.GetReplies() {
		m.reject(reply.GetAddress(), reply.GetReply().GetId(), 0)
	}
	m.sendScheduled()
	m.droppedScheduler, m.scheduler = m.scheduler, nil
}

// replaceScheduler replaces a dropped scheduler by one that continues from the store, once everything in the store is
// committed. Until then, requests and reports are not handled.
func (m *Member) replaceScheduler(now time.Duration) {
	if m.droppedScheduler == nil || m.replica.Committed() != m.replica.Index() {
		return
	}
	s, err := m.droppedScheduler.Replacement(now, m.clock.NowMs(now), m.replica.Committed(), m.replica.Store())
	m.droppedScheduler = nil
	if err != nil {
		m.event("State unreadable, this member can't schedule", "err", err)
		return
	}
	m.scheduler = s
}
