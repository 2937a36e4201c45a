package replica

import "frosttide/internal/protocol"

// Status is a member's state as operators see it. The JSON keys are part of the operators' interface.
type Status struct {
	View            *protocol.View   `json:"view"`
	Self            uint64           `json:"self"`
	Promised        uint64           `json:"promised"`
	InstalledEpoch  uint64           `json:"installed_epoch"`
	Index           uint64           `json:"index"`
	Durable         uint64           `json:"durable"`
	Committed       uint64           `json:"committed"`
	Serving         bool             `json:"serving"`
	Following       bool             `json:"following"` // outside the chain, following the tail
	DiskFailed      bool             `json:"disk_failed"`
	DiskLagMs       int64            `json:"disk_lag_ms"` // age of the oldest unfinished write
	DroppedMessages uint64           `json:"dropped"`     // invalid messages since the start
	SinceContactMs  map[uint64]int64 `json:"silent_ms"`   // time since the last heartbeat, by member
}

// Status returns the member's current state.
func (m *Machine) Status() Status {
	s := Status{
		View:            m.view,
		Self:            m.selfID(),
		Promised:        m.promised,
		InstalledEpoch:  m.installedEpoch,
		Index:           m.index,
		Durable:         m.durable,
		Committed:       m.chain.committed,
		Serving:         m.Serving(),
		Following:       m.chain.following,
		DiskFailed:      m.disk.failed,
		DiskLagMs:       m.disk.lag(m.now).Milliseconds(),
		DroppedMessages: m.droppedMessages,
		SinceContactMs:  make(map[uint64]int64, len(m.peers)),
	}
	for id, p := range m.peers {
		s.SinceContactMs[id] = (m.now - p.lastContact).Milliseconds()
	}
	return s
}
