package simnet

import (
	"fmt"
	"time"

	"frosttide/internal/chainclient"
	"frosttide/internal/control/journal"
	"frosttide/internal/control/member"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
)

// core is a machine of the control plane with its disk.
type core struct {
	*process
	sim            *simulation
	index          int
	id             uint64 // its first member ID
	member         *member.Member
	removed        bool          // it was removed for good
	clockOffset    time.Duration // error of its wall clock
	pendingReplies map[uint64]func(reply *protocol.ClientReply)
	disk
}

// coreAddress returns the address of a machine of the control plane by its number.
func coreAddress(i int) string { return fmt.Sprintf("core%d", i) }

// contacts returns the addresses that each process is configured with.
func contacts() []string { return []string{coreAddress(0), coreAddress(1), coreAddress(2)} }

// founders returns the members of the initial view, at most three.
func founders(count int) (out []*protocol.Member) {
	for i := range min(count, 3) {
		out = append(out, &protocol.Member{Id: uint64(i + 1), Number: uint32(i + 1), Address: coreAddress(i), Control: coreAddress(i)})
	}
	return out
}

// newCore creates a machine of the control plane. The disks of the founders hold the initial view,
// those of all others are empty.
func (sim *simulation) newCore(i int) *core {
	c := &core{sim: sim, index: i, process: &process{address: coreAddress(i)}}
	sim.processes[c.address] = c.process
	c.receive = func(from string, e *protocol.Envelope) { c.member.Receive(sim.clock(c.process), from, e) }
	c.turn = c.applyOutput
	if all := founders(sim.options.Cores); i < len(all) {
		encoded, err := journal.Snapshot(replica.FoundingState(all[i], all))
		if err != nil {
			panic(err)
		}
		c.id = all[i].GetId()
		c.file, c.synced = encoded, len(encoded)
	}
	return c
}

// boot starts the process from the contents of its disk. With an empty disk it starts as a new
// member.
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
	sim.checker.recordBoot()
	c.pendingWrites, c.writing = nil, false
	c.pendingReplies = make(map[uint64]func(reply *protocol.ClientReply))
	c.member = member.New(c.memberConfig(state.ID), sim.clock(c.process), state)
	c.turn()
	sim.repeat(c.process, tickInterval, func() { c.member.Tick(sim.clock(c.process), c.wallClockMs()) })
}

// memberConfig returns the configuration of the machine under a member ID. It draws the incarnation
// and the seed.
func (c *core) memberConfig(id uint64) member.Config {
	return member.Config{
		Replica: replica.Config{
			Self:            &protocol.Member{Id: id, Address: c.address, Control: c.address, Zone: fmt.Sprint(c.index % 3)},
			Incarnation:     c.sim.rng.Uint64() >> 1,
			ToleratedFaults: c.sim.options.FaultTolerance,
			Contacts:        contacts(),
			Seed:            c.sim.rng.Uint64(),
			Timing:          replica.DefaultTiming(),
		},
		Scheduler: scheduler.Config{Lease: lease, StatusRetention: statusRetention, RackPrefix: "r", RemoteSlowdown: remoteSlowdown},
	}
}

// wallClockMs returns the machine's wall-clock time, in milliseconds since 1970.
func (c *core) wallClockMs() int64 { return (c.sim.now + c.clockOffset).Milliseconds() + startOfDayMs }

// applyOutput carries out the output of the member's turn: it traces events, starts writes, sends
// messages and answers callers.
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
		if reply := c.pendingReplies[o.ID]; reply != nil {
			delete(c.pendingReplies, o.ID)
			reply(o.Reply)
		}
	}
}

// request passes a request to the control plane at this machine. Handle is called with the reply.
func (c *core) request(r *protocol.ClientRequest, destination chainclient.Destination, handle func(reply *protocol.ClientReply)) {
	sim := c.sim
	sim.execute(c.process, func() {
		c.pendingReplies[c.member.Do(sim.clock(c.process), r, destination, orderTimeout)] = handle
	})
}

// crash ends the process. A rewritten file that has not replaced the old one yet is lost.
func (c *core) crash() {
	c.sim.stop(c.process)
	if c.replacedFile != nil {
		c.file, c.synced, c.replacedFile = c.replacedFile, len(c.replacedFile), nil
	}
}

// losePower ends the process and truncates the file at a random point after the synced part,
// possibly in the middle of a record.
func (c *core) losePower() {
	c.crash()
	if extra := len(c.file) - c.synced; extra > 0 {
		c.file = c.file[:c.synced+c.sim.rng.IntN(extra+1)]
	}
}
