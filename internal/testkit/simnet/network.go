package simnet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

// link is one direction between two processes.
type link struct{ from, to string }

// network is the state of the network. Each link delivers messages in order over a sequence of
// connections. A reset loses the messages in flight on a link; later messages use the next
// connection. With Options.BufferedResets the receiver has already buffered the messages in flight:
// it continues to handle them until it handles a message of the next connection.
type network struct {
	partitions  map[link]time.Duration // end of the partition of a link
	lastArrival map[link]time.Duration // arrival of the last message sent, to keep the order
	resets      map[link]time.Duration // when a link was last reset
	connections map[link]*connections  // of links that were reset with Options.BufferedResets

	// Bandwidth of each link between two machines of the control plane.
	bytesPerSecond int                    // 0 for no limit
	freeAt         map[link]time.Duration // when a link has transmitted everything sent so far

	duplicateUntil time.Duration // end of the duplication of messages
	delayUntil     time.Duration // end of the delay of messages by up to maxExtraDelay
}

const (
	// The latency of a message is between minDelay and maxDelay.
	minDelay = 300 * time.Microsecond
	maxDelay = 2500 * time.Microsecond
	// maxPartitionBuffering is the longest remaining time of a partition after which a message sent
	// during it may still arrive, as a retransmission. If the partition lasts longer, the
	// connection is given up and the message is lost.
	maxPartitionBuffering = 1200 * time.Millisecond
	// maxExtraDelay bounds the extra latency while messages are delayed.
	maxExtraDelay = 400 * time.Millisecond
	// maxDuplicateDelay bounds how long after a message its duplicate arrives.
	maxDuplicateDelay = 300 * time.Millisecond
)

// newNetwork returns a network without faults.
func newNetwork() network {
	return network{partitions: make(map[link]time.Duration), lastArrival: make(map[link]time.Duration), resets: make(map[link]time.Duration), freeAt: make(map[link]time.Duration), connections: make(map[link]*connections)}
}

// send sends a message to another process, subject to the network faults in force. A message that
// can't be encoded is lost.
func (sim *simulation) send(from *process, to string, e *protocol.Envelope) {
	target := sim.processes[to]
	if target == nil {
		return
	}
	encoded, err := proto.Marshal(e)
	if err != nil {
		sim.trace("%s can't send a message: %v", from.address, err)
		return
	}
	sim.checker.checkMessageSize(from.address, to, len(encoded), e)
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

// deliver schedules the arrival of a message. The message is lost if its link is reset or the
// receiver ends before.
func (sim *simulation) deliver(l link, target *process, at time.Duration, e *protocol.Envelope) {
	incarnation, sent, connection := target.incarnation, sim.now, sim.network.connections[l].newest()
	var arrive func()
	arrive = func() {
		reset, ok := sim.network.resets[l]
		if !target.up || target.incarnation != incarnation || ok && reset >= sent {
			return
		}
		c := sim.network.connections[l]
		if c != nil && connection < c.current && sim.now < c.readersResumeAt {
			sim.after(c.readersResumeAt-sim.now, arrive)
			return
		}
		if !c.acceptFrom(connection) && sim.options.MissingCheck != NoLinkOrder {
			return
		}
		sim.execute(target, func() { target.receive(l.from, e) })
	}
	sim.after(at-sim.now, arrive)
}

// connections counts the successive connections of a link.
type connections struct {
	current         int           // the connection on which messages are sent
	newestHandled   int           // the newest connection of which a message was handled
	readersResumeAt time.Duration // end of the pause of readers of earlier connections
}

// newest returns the number of the connection on which messages are sent. The receiver may be nil.
func (c *connections) newest() int {
	if c == nil {
		return 0
	}
	return c.current
}

// acceptFrom reports whether a message of a connection is still handled, and records that it is:
// after a message of a later connection it is dropped. The receiver may be nil.
func (c *connections) acceptFrom(connection int) bool {
	if c == nil {
		return true
	}
	if connection < c.newestHandled {
		return false
	}
	c.newestHandled = connection
	return true
}

// isCore reports whether an address is that of a machine of the control plane.
func (sim *simulation) isCore(address string) bool {
	for _, c := range sim.cores {
		if c.address == address {
			return true
		}
	}
	return false
}

// reset resets the connections between two processes. All messages in flight are lost.
func (sim *simulation) reset(a, b string) {
	sim.network.resets[link{a, b}], sim.network.resets[link{b, a}] = sim.now, sim.now
}

// maxReaderPause bounds the pause after a reset before the reader of the old connection handles
// what it has buffered.
const maxReaderPause = 300 * time.Millisecond

// resetBuffered resets the connections between two processes whose receivers have already buffered
// all messages in flight.
func (sim *simulation) resetBuffered(a, b string) {
	for _, l := range []link{{a, b}, {b, a}} {
		c := sim.network.connections[l]
		if c == nil {
			c = &connections{}
			sim.network.connections[l] = c
		}
		c.current++
		c.readersResumeAt = sim.now + sim.randomDuration(0, maxReaderPause)
		delete(sim.network.lastArrival, l)
	}
}

// partition blocks the link from one process to another for d.
func (sim *simulation) partition(from, to string, d time.Duration) {
	sim.network.partitions[link{from, to}] = max(sim.network.partitions[link{from, to}], sim.now+d)
}
