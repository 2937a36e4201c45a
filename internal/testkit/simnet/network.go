package simnet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// network is what ails the network at a moment. Links carry messages in order; a link that is reset loses what is on
// its way, and what is sent afterwards arrives by the next one.
type network struct {
	resets         map[link]time.Duration // when a link was last reset
	freeAt         map[link]time.Duration // when a link with a bandwidth is free again
	bytesPerSecond int                    // bytes a second that each way between two machines of the core carries, 0 for no bound
	duplicateUntil time.Duration          // until when messages arrive twice
	delayUntil     time.Duration          // until when messages arrive up to lateDelay late
}

const (
	minDelay = 300 * time.Microsecond
	maxDelay = 2500 * time.Microsecond
	// maxPartitionBuffering is how long a cut may hold messages up until their link is given up and they are lost.
	maxPartitionBuffering = 1200 * time.Millisecond
	// maxExtraDelay is how late messages are at most while they come late.
	maxExtraDelay = 400 * time.Millisecond
	// maxDuplicateDelay is within how long the second of doubled messages comes.
	maxDuplicateDelay = 300 * time.Millisecond
)

func newNetwork() network {
	return network{resets: make(map[link]time.Duration), freeAt: make(map[link]time.Duration)}
}

// send carries a message to another process.
func (sim *simulation) send(from *process, to string, e *protocol.Envelope) {
	target := sim.processes[to]
	if target == nil {
		return
	}
	l := link{from.address, to}
	delay := sim.randomDuration(minDelay, maxDelay)
	if until, cut := sim.partitions[l]; cut && until > sim.now {
		if until-sim.now > maxPartitionBuffering || sim.rng.IntN(2) == 0 {
			return
		}
		delay += until - sim.now
	}
	if sim.now < sim.network.delayUntil {
		delay += sim.randomDuration(0, maxExtraDelay)
	}
	if sim.network.bytesPerSecond > 0 && sim.isCore(from.address) && sim.isCore(to) {
		took := time.Duration(float64(proto.Size(e)) / float64(sim.network.bytesPerSecond) * float64(time.Second))
		sim.network.freeAt[l] = max(sim.network.freeAt[l], sim.now) + took
		delay += sim.network.freeAt[l] - sim.now
	}
	at := max(sim.now+delay, sim.lastArrival[l]+1)
	sim.lastArrival[l] = at
	sim.deliver(l, target, at, e)
	if sim.now < sim.network.duplicateUntil {
		sim.deliver(l, target, at+sim.randomDuration(0, maxDuplicateDelay), e)
	}
}

// deliver has a message arrive, unless its link is reset or the other process ends before.
func (sim *simulation) deliver(l link, target *process, at time.Duration, e *protocol.Envelope) {
	incarnation, sent := target.incarnation, sim.now
	sim.after(at-sim.now, func() {
		reset, ok := sim.network.resets[l]
		if !target.up || target.incarnation != incarnation || ok && reset >= sent {
			return
		}
		sim.execute(target, func() { target.receive(l.from, e) })
	})
}

func (sim *simulation) isCore(address string) bool {
	for _, c := range sim.cores {
		if c.address == address {
			return true
		}
	}
	return false
}

// reset breaks the links between two processes.
func (sim *simulation) reset(a, b string) {
	sim.network.resets[link{a, b}], sim.network.resets[link{b, a}] = sim.now, sim.now
}

// partition cuts one way between two processes for a time.
func (sim *simulation) partition(from, to string, d time.Duration) {
	sim.partitions[link{from, to}] = max(sim.partitions[link{from, to}], sim.now+d)
}
