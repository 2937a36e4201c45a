package simnet

import (
	"time"

	"frosttide/internal/protocol"
)

// withoutCheck returns a message as a core sends it without the check that Options.MissingCheck
// names. It may change the message in place.
func (sim *simulation) withoutCheck(e *protocol.Envelope) *protocol.Envelope {
	o := e.GetRunnerOrders()
	if o == nil {
		return e
	}
	switch sim.options.MissingCheck {
	case NoLeaseWait:
		if o.LeaseRound > 0 {
			o.LeaseMs += uint32(lease / time.Millisecond)
		}
	case NoFencing:
		o.Epoch = max(o.Epoch, sim.maxEpoch())
	default:
	}
	return e
}

// maxEpoch returns the newest epoch that any member knows.
func (sim *simulation) maxEpoch() (epoch uint64) {
	for _, c := range sim.cores {
		if c.member != nil {
			epoch = max(epoch, c.member.Replica().Epoch())
		}
	}
	return epoch
}
