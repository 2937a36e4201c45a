package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

const (
	// clockKey is the key of the protocol.ClockRecord.
	clockKey = "w"
	// clockWriteInterval is the shortest time between two writes of the time of day. It is written only as part of an
	// entry that has other content.
	clockWriteInterval = time.Second
)

// clockItem returns the item that stores the agreed time of day. The next head never uses an earlier time.
func (s *Scheduler) clockItem() *protocol.Put {
	value, err := proto.Marshal(&protocol.ClockRecord{TimeMs: s.wallMs})
	if err != nil {
		panic("scheduler: encode the clock record: " + err.Error())
	}
	return &protocol.Put{Key: clockKey, Value: value}
}

// LoadClock returns the time of day that a store holds, in ms since 1970, or 0 if it holds none that can be decoded.
func LoadClock(state *store.Store) int64 {
	var record protocol.ClockRecord
	if value, ok := state.Get(clockKey); !ok || proto.Unmarshal(value, &record) != nil {
		return 0
	}
	return record.GetTimeMs()
}
