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

// errDisk is what a failing disk says.
var errDisk = errors.New("simulated disk: no space")

// core is a machine of the control plane with its disk.
type core struct {
	*process
	world   *world
	index   int
	id      uint64 // its first identity
	member  *member.Member
	file    []byte
	synced  int    // bytes of the file that bear a loss of power
	old     []byte // the file that a rewrite has not replaced yet
	queue   []replica.Write
	writing bool
	failing bool
	gone    bool          // it was replaced for good
	slow    time.Duration // added to each sync
	clock   time.Duration // what its time of day is off by
	answers map[uint64]func(reply *protocol.ClientReply)
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
func (w *world) newCore(i int) *core {
	c := &core{world: w, index: i, process: &process{address: coreAddress(i)}}
	w.processes[c.address] = c.process
	c.receive = func(from string, e *protocol.Envelope) { c.member.Receive(w.clock(c.process), from, e) }
	c.turn = c.carryOut
	all := founders(w.options.Cores)
	if i < len(all) {
		whole, err := journal.Snapshot(replica.Founding(all[i], all))
		if err != nil {
			panic(err)
		}
		c.id = all[i].GetId()
		c.file, c.synced = whole, len(whole)
	}
	return c
}

// begin starts the process with what its disk holds.
func (c *core) begin() {
	w := c.world
	state, good, err := journal.Read(c.file)
	if err != nil {
		w.broken("LOST", "%s: its file is damaged: %v", c.address, err)
		return
	}
	c.file, c.synced = c.file[:good], good
	if state.ID == 0 {
		state.ID = w.rng.Uint64()
		if w.options.Weaken == KeepsIdentity && c.id != 0 {
			state = replica.Founding(&protocol.Member{Id: c.id}, founders(w.options.Cores))
		}
	}
	if c.id == 0 {
		c.id = state.ID
	}
	w.start(c.process)
	w.check.noteClocks()
	c.queue, c.writing = nil, false
	c.answers = make(map[uint64]func(reply *protocol.ClientReply))
	contacts := []string{coreAddress(0), coreAddress(1), coreAddress(2)}
	c.member = member.New(member.Config{
		Replica: replica.Config{Self: &protocol.Member{Id: state.ID, Address: c.address, Control: c.address, Zone: fmt.Sprint(c.index % 3)}, Incarnation: w.rng.Uint64() >> 1,
			Faults: w.options.Faults, Contacts: contacts, Seed: w.rng.Uint64(), Timing: replica.DefaultTiming()},
		Scheduler: scheduler.Config{Lease: lease, StatusKept: statusKept, RackPrefix: "r", FarFactor: farFactor},
	}, w.clock(c.process), state)
	c.turn()
	w.repeat(c.process, tickEvery, func() { c.member.Tick(w.clock(c.process), c.wallMs()) })
}

// wallMs returns the machine's time of day.
func (c *core) wallMs() int64 { return (c.world.now + c.clock).Milliseconds() + dayBeginsMs }

// carryOut does what a turn has led to.
func (c *core) carryOut() {
	w := c.world
	out := c.member.Turn(w.clock(c.process))
	for _, text := range out.Notes {
		w.trace("%s: %s", c.address, text)
	}
	c.queue = append(c.queue, out.Writes...)
	if !c.writing {
		c.write()
	}
	for _, s := range out.Sends {
		w.send(c.process, s.To, w.weaken(s.Message))
	}
	for _, o := range out.Outcomes {
		if answer := c.answers[o.ID]; answer != nil {
			delete(c.answers, o.ID)
			answer(o.Reply)
		}
	}
}

// write writes all that waits and syncs once.
func (c *core) write() {
	if len(c.queue) == 0 {
		return
	}
	w := c.world
	queue, life, failed := c.queue, c.life, c.failing
	c.queue, c.writing = nil, true
	if !failed {
		for _, one := range queue {
			if one.Image != nil {
				if c.old == nil {
					c.old = c.file[:c.synced]
				}
				c.file, c.synced = encoded(one.Image), 0
			} else {
				c.file = append(c.file, one.Data...)
			}
		}
	}
	if w.options.Weaken == NoSync {
		w.after(0, func() { c.wrote(life, queue, failed, false) })
		return
	}
	w.after(w.between(3*time.Millisecond, 9*time.Millisecond)+c.slow, func() { c.wrote(life, queue, failed, true) })
}

// ask has the control plane answer a request of this member's callers.
func (c *core) ask(r *protocol.ClientRequest, read bool, answer func(reply *protocol.ClientReply)) {
	w := c.world
	w.run(c.process, func() {
		c.answers[c.member.Ask(w.clock(c.process), r, read, orderWait)] = answer
	})
}

// encoded returns the file that an image stands for.
func encoded(i *journal.Image) []byte {
	whole, err := i.Encode()
	if err != nil {
		panic(err)
	}
	return whole
}

// wrote handles the end of a sync.
func (c *core) wrote(life int, queue []replica.Write, failed, synced bool) {
	if !c.up || c.life != life {
		return
	}
	if synced && !failed {
		c.synced, c.old = len(c.file), nil
	}
	c.world.run(c.process, func() {
		var err error
		if failed {
			err = errDisk
		}
		c.writing = false
		c.member.DiskDone(c.world.clock(c.process), queue[len(queue)-1].Sequence, int64(len(c.file)), err)
		if !c.writing {
			c.write()
		}
	})
}

// kill ends the process; a new file that has not taken the old one's name is left behind.
func (c *core) kill() {
	c.world.stop(c.process)
	if c.old != nil {
		c.file, c.synced, c.old = c.old, len(c.old), nil
	}
}

// powerOff ends the process; of what was not synced any part may be lost.
func (c *core) powerOff() {
	c.kill()
	if extra := len(c.file) - c.synced; extra > 0 {
		c.file = c.file[:c.synced+c.world.rng.IntN(extra+1)]
	}
}

// wipe empties the disk of a machine without power.
func (c *core) wipe() { c.file, c.synced, c.old = nil, 0, nil }

// weaken undoes what a safety check protects, where the play is to go without it.
func (w *world) weaken(e *protocol.Envelope) *protocol.Envelope {
	o := e.GetRunnerOrders()
	if o == nil {
		return e
	}
	switch w.options.Weaken {
	case NoHoldWait:
		if o.LeaseRound > 0 {
			o.LeaseMs += uint32(lease / time.Millisecond)
		}
	case NoFence:
		o.Epoch = max(o.Epoch, w.newestEpoch())
	default:
	}
	return e
}

// newestEpoch returns the newest epoch that any member knows.
func (w *world) newestEpoch() (epoch uint64) {
	for _, c := range w.cores {
		if c.member != nil {
			epoch = max(epoch, c.member.Replica().Epoch())
		}
	}
	return epoch
}
