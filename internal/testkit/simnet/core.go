package simnet

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/member"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
)

// errNoSpace is what a failing disk says.
var errNoSpace = errors.New("simulated disk: no space")

// core is a machine of the control plane with its disk.
type core struct {
	*process
	sim            *simulation
	index          int
	id             uint64 // its first identity
	member         *member.Member
	file           []byte
	synced         int    // bytes of the file that bear a loss of power
	replacedFile   []byte // the file that a rewrite has not replaced yet
	pendingWrites  []replica.Write
	writing        bool
	writesFail     bool
	removed        bool          // it was replaced for good
	syncDelay      time.Duration // added to each sync
	clockOffset    time.Duration // what its time of day is off by
	pendingReplies map[uint64]func(reply *protocol.ClientReply)
}

func coreAddress(i int) string { return fmt.Sprintf("core%d", i) }

// founders are the members of view 0: up to three.
func founders(count int) (out []*protocol.Member) {
	for i := range min(count, 3) {
		out = append(out, &protocol.Member{Id: uint64(i + 1), Number: uint32(i + 1), Address: coreAddress(i), Control: coreAddress(i)})
	}
	return out
}

// newCore makes a machine; the first three found the system.
func (sim *simulation) newCore(i int) *core {
	c := &core{sim: sim, index: i, process: &process{address: coreAddress(i)}}
	sim.processes[c.address] = c.process
	c.receive = func(from string, e *protocol.Envelope) { c.member.Receive(sim.clock(c.process), from, e) }
	c.turn = c.applyOutput
	all := founders(sim.options.Cores)
	if i < len(all) {
		encoded, err := journal.Snapshot(replica.FoundingState(all[i], all))
		if err != nil {
			panic(err)
		}
		c.id = all[i].GetId()
		c.file, c.synced = encoded, len(encoded)
	}
	return c
}

// boot starts the process with what its disk holds.
func (c *core) boot() {
	sim := c.sim
	state, good, err := journal.Read(c.file)
	if err != nil {
		sim.violation("LOST", "%s: its file is damaged: %v", c.address, err)
		return
	}
	c.file, c.synced = c.file[:good], good
	if state.ID == 0 {
		state.ID = sim.rng.Uint64()
		if sim.options.MissingCheck == NoNewIdentity && c.id != 0 {
			state = replica.FoundingState(&protocol.Member{Id: c.id}, founders(sim.options.Cores))
		}
	}
	if c.id == 0 {
		c.id = state.ID
	}
	sim.start(c.process)
	sim.checker.recordClocks()
	c.pendingWrites, c.writing = nil, false
	c.pendingReplies = make(map[uint64]func(reply *protocol.ClientReply))
	contacts := []string{coreAddress(0), coreAddress(1), coreAddress(2)}
	c.member = member.New(member.Config{
		Replica: replica.Config{Self: &protocol.Member{Id: state.ID, Address: c.address, Control: c.address, Zone: fmt.Sprint(c.index % 3)}, Incarnation: sim.rng.Uint64() >> 1,
			ToleratedFaults: sim.options.FaultTolerance, Contacts: contacts, Seed: sim.rng.Uint64(), Timing: replica.DefaultTiming()},
		Scheduler: scheduler.Config{Lease: lease, StatusRetention: statusRetention, RackPrefix: "r", RemoteSlowdown: farFactor},
	}, sim.clock(c.process), state)
	c.turn()
	sim.repeat(c.process, tickEvery, func() { c.member.Tick(sim.clock(c.process), c.wallMs()) })
}

// wallMs returns the machine's time of day.
func (c *core) wallMs() int64 { return (c.sim.now + c.clockOffset).Milliseconds() + dayBeginsMs }

// applyOutput does what a turn has led to.
func (c *core) applyOutput() {
	sim := c.sim
	out := c.member.Turn(sim.clock(c.process))
	for _, e := range out.Events {
		sim.trace("%s: %s", c.address, e)
	}
	c.pendingWrites = append(c.pendingWrites, out.Writes...)
	if !c.writing {
		c.flush()
	}
	for _, s := range out.Sends {
		sim.send(c.process, s.To, sim.withoutCheck(s.Message))
	}
	for _, o := range out.Outcomes {
		if answer := c.pendingReplies[o.ID]; answer != nil {
			delete(c.pendingReplies, o.ID)
			answer(o.Reply)
		}
	}
}

// flush writes all that waits and syncs once.
func (c *core) flush() {
	if len(c.pendingWrites) == 0 {
		return
	}
	sim := c.sim
	queue, incarnation, failed := c.pendingWrites, c.incarnation, c.writesFail
	c.pendingWrites, c.writing = nil, true
	if !failed {
		for _, one := range queue {
			if one.Image != nil {
				if c.replacedFile == nil {
					c.replacedFile = c.file[:c.synced]
				}
				c.file, c.synced = encodeImage(one.Image), 0
			} else {
				c.file = append(c.file, one.Data...)
			}
		}
	}
	if sim.options.MissingCheck == NoSync {
		sim.after(0, func() { c.syncDone(incarnation, queue, failed, false) })
		return
	}
	sim.after(sim.randomDuration(3*time.Millisecond, 9*time.Millisecond)+c.syncDelay, func() { c.syncDone(incarnation, queue, failed, true) })
}

// request has the control plane answer a request of this member's callers.
func (c *core) request(r *protocol.ClientRequest, read bool, answer func(reply *protocol.ClientReply)) {
	sim := c.sim
	sim.execute(c.process, func() {
		c.pendingReplies[c.member.Do(sim.clock(c.process), r, read, orderTimeout)] = answer
	})
}

// encodeImage returns the file that an image stands for.
func encodeImage(i *journal.Image) []byte {
	encoded, err := i.Encode()
	if err != nil {
		panic(err)
	}
	return encoded
}

// syncDone handles the end of a sync.
func (c *core) syncDone(incarnation int, queue []replica.Write, failed, synced bool) {
	if !c.up || c.incarnation != incarnation {
		return
	}
	if synced && !failed {
		c.synced, c.replacedFile = len(c.file), nil
	}
	c.sim.execute(c.process, func() {
		var err error
		if failed {
			err = errNoSpace
		}
		c.writing = false
		c.member.DiskDone(c.sim.clock(c.process), queue[len(queue)-1].Sequence, int64(len(c.file)), err)
		if !c.writing {
			c.flush()
		}
	})
}

// crash ends the process; a new file that has not taken the old one's name is left behind.
func (c *core) crash() {
	c.sim.stop(c.process)
	if c.replacedFile != nil {
		c.file, c.synced, c.replacedFile = c.replacedFile, len(c.replacedFile), nil
	}
}

// losePower ends the process; of what was not synced any part may be lost.
func (c *core) losePower() {
	c.crash()
	if extra := len(c.file) - c.synced; extra > 0 {
		c.file = c.file[:c.synced+c.sim.rng.IntN(extra+1)]
	}
}

// loseDisk empties the disk of a machine without power.
func (c *core) loseDisk() { c.file, c.synced, c.replacedFile = nil, 0, nil }

// withoutCheck undoes what a safety check protects, where the play is to go without it.
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
