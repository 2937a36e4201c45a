package simnet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// link is one direction between two processes.
type link struct{ from, to string }

// network is the state of the network. Links carry messages in order, over all connections that a link has one after the
// other. A link that is reset loses what is in flight, and what is sent afterwards goes by the next connection. Where
// the receiver had buffered what was in flight, it goes on to handle that until it handles a message of the next one.
type network struct {
	partitions  map[link]time.Duration // until when a link is partitioned
	lastArrival map[link]time.Duration // when the newest message of a link arrives: links keep the order
	resets      map[link]time.Duration // when a link was last reset
	connections map[link]*connections  // of each link that was reset with buffered messages

	// Bandwidth of each link between two machines of the control plane.
	bytesPerSecond int                    // 0 for no bound
	freeAt         map[link]time.Duration // when a link has carried what was sent so far

	duplicateUntil time.Duration // until when messages are duplicated
	delayUntil     time.Duration // until when messages are delayed by up to maxExtraDelay
}

const (
	// Each message takes from minDelay to maxDelay.
	minDelay = 300 * time.Microsecond
	maxDelay = 2500 * time.Microsecond
	// maxPartitionBuffering is how much longer a partition may last for a message to be retransmitted and arrive after it.
	// Where it lasts longer the connection is given up and the message lost.
	maxPartitionBuffering = 1200 * time.Millisecond
	// maxExtraDelay bounds the extra delay of messages while they are delayed.
	maxExtraDelay = 400 * time.Millisecond
	// maxDuplicateDelay is within how long the duplicate of a message arrives.
	maxDuplicateDelay = 300 * time.Millisecond
)

// newNetwork returns a network without faults.
func newNetwork() network {
	return network{partitions: make(map[link]time.Duration), lastArrival: make(map[link]time.Duration), resets: make(map[link]time.Duration), freeAt: make(map[link]time.Duration), connections: make(map[link]*connections)}
}

// send sends a message to another process, with the faults of the network that are in force.
func (sim *simulation) send(from *process, to string, e *protocol.Envelope) {
	target := sim.processes[to]
	if target == nil {
		return
	}
	l := link{from.address, to}
	delay := sim.randomDuration(minDelay, maxDelay)
	if until, partitioned := sim.network.partitions[l]; partitioned && until > sim.now {
		if until-sim.now > maxPartitionBuffering || sim.rng.IntN(2) == 0 {
			return
		}
		delay += until - sim.now
	}
	if sim.now < sim.network.delayUntil {
		delay += sim.randomDuration(0, maxExtraDelay)
	}
	if sim.network.bytesPerSecond > 0 && sim.isCore(from.address) && sim.isCore(to) {
		transmission := time.Duration(float64(proto.Size(e)) / float64(sim.network.bytesPerSecond) * float64(time.Second))
		sim.network.freeAt[l] = max(sim.network.freeAt[l], sim.now) + transmission
		delay += sim.network.freeAt[l] - sim.now
	}
	at := max(sim.now+delay, sim.network.lastArrival[l]+1)
	sim.network.lastArrival[l] = at
	sim.deliver(l, target, at, e)
	if sim.now < sim.network.duplicateUntil {
		sim.deliver(l, target, at+sim.randomDuration(0, maxDuplicateDelay), e)
	}
}

// deliver has a message arrive at a time, unless its link is reset or the receiver ends before.
func (sim *simulation) deliver(l link, target *process, at time.Duration, e *protocol.Envelope) {
	incarnation, sent, connection := target.incarnation, sim.now, sim.network.connections[l].newest()
	var arrive func()
	arrive = func() {
		reset, ok := sim.network.resets[l]
		if !target.up || target.incarnation != incarnation || ok && reset >= sent {
			return
		}
		c := sim.network.connections[l]
		if c != nil && connection < c.current && sim.now < c.readerResumes {
			sim.after(c.readerResumes-sim.now, arrive)
			return
		}
		if !c.handles(connection) && sim.options.MissingCheck != NoLinkOrder {
			return
		}
		sim.execute(target, func() { target.receive(l.from, e) })
	}
	sim.after(at-sim.now, arrive)
}

// connections are the connections that a link has had, one after the other.
type connections struct {
	current       int           // the one that messages are sent on
	handled       int           // the newest one of which a message was handled
	readerResumes time.Duration // until when the readers of the earlier ones stand still
}

// newest returns the number of the connection that messages are sent on.
func (c *connections) newest() int {
	if c == nil {
		return 0
	}
	return c.current
}

// handles reports whether a message of a connection is handled: none is after one of a later connection.
func (c *connections) handles(connection int) bool {
	if c == nil {
		return true
	}
	if connection < c.handled {
		return false
	}
	c.handled = connection
	return true
}

// isCore tells whether an address is that of a machine of the control plane.
func (sim *simulation) isCore(address string) bool {
	for _, c := range sim.cores {
		if c.address == address {
			return true
		}
	}
	return false
}

// reset resets the connections between two processes: what is in flight is lost.
func (sim *simulation) reset(a, b string) {
	sim.network.resets[link{a, b}], sim.network.resets[link{b, a}] = sim.now, sim.now
}

// maxReaderPause bounds how long the reader of a link that was reset stands still before it handles what it has buffered.
const maxReaderPause = 300 * time.Millisecond

// resetBuffered resets the connections between two processes whose receivers had buffered all that is in flight.
func (sim *simulation) resetBuffered(a, b string) {
	for _, l := range []link{{a, b}, {b, a}} {
		c := sim.network.connections[l]
		if c == nil {
			c = &connections{}
			sim.network.connections[l] = c
		}
		c.current++
		c.readerResumes = sim.now + sim.randomDuration(0, maxReaderPause)
		delete(sim.network.lastArrival, l)
	}
}

// partition cuts the link from one process to another for a time.
func (sim *simulation) partition(from, to string, d time.Duration) {
	sim.network.partitions[link{from, to}] = max(sim.network.partitions[link{from, to}], sim.now+d)
}
