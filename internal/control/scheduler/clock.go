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
	// clockWriteInterval is how often the time of day is written at most, with an entry that is written anyway.
	clockWriteInterval = time.Second
)

// clockItem returns the item that holds the agreed time of day. The next head never goes by an earlier one.
func (s *Scheduler) clockItem() *protocol.Put {
	value, err := proto.Marshal(&protocol.ClockRecord{TimeMs: s.wallMs})
	if err != nil {
		panic("scheduler: a record can't be encoded: " + err.Error())
	}
	return &protocol.Put{Key: clockKey, Value: value}
}

// LoadClock returns the newest time of day that a store holds, in ms since 1970, and 0 where it holds none.
func LoadClock(state *store.Store) int64 {
	var record protocol.ClockRecord
	if value, ok := state.Get(clockKey); !ok || proto.Unmarshal(value, &record) != nil {
		return 0
	}
	return record.GetTimeMs()
}
