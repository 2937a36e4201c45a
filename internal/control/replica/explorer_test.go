package replica

import (
	"fmt"
	"slices"
	"time"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// exploredMember is a member with its process and its disk.
type exploredMember struct {
	machine     *Machine
	id          uint64
	address     string
	file        []byte
	queue       []Write
	incarnation int
	running     bool
	pausedUntil time.Duration // the process does nothing before this time
	diskUntil   time.Duration // no write finishes before this time
	compared    comparedState
}

// comparedState is the digest of a member's state at an index, cached so that it is computed only once.
type comparedState struct {
	incarnation  int
	epoch, index uint64
	digest       uint64
}

// exploredMessage is a message in flight.
type exploredMessage struct {
	from, to    int
	incarnation int           // of the receiver when it was sent
	at          time.Duration // earliest arrival
	message     *protocol.Envelope
}

// exploration is the state of a running schedule.
type exploration struct {
	members          []*exploredMember
	inFlight         []exploredMessage
	now              time.Duration
	step             int
	blockedUntil     map[[2]int]time.Duration
	stepsThisInstant int // since the time last advanced
	nextRequests     time.Duration

	// Results that clients have received. Every write sets an item of its own and increments the register's version.
	writes     uint64
	replied    map[uint64]uint64 // epoch of the reply, by write
	versions   map[uint64]uint64 // write that has a reply, by the register's version before the write
	newest     uint64            // highest version in a reply
	tokens     uint64            // token of the last read
	reads      map[uint64]uint64 // newest version in a reply when a read started, by token
	readValues map[uint64]uint64 // version that the read shows, by token

	violation string // the first violation found, empty if there is none
}

// registerKey is the key of the item that all writes change.
const registerKey = "register"

// newExploration returns an exploration of three founders and, if joiner is set, a fourth member that joins.
func newExploration(joiner bool) *exploration {
	x := &exploration{
		blockedUntil: make(map[[2]int]time.Duration),
		replied:      make(map[uint64]uint64),
		versions:     make(map[uint64]uint64),
		reads:        make(map[uint64]uint64),
		readValues:   make(map[uint64]uint64),
	}
	var founders []*protocol.Member
	for i := range 3 {
		founders = append(founders, &protocol.Member{Id: uint64(i + 1), Number: uint32(i + 1), Address: fmt.Sprint("m", i+1)})
	}
	for i, f := range founders {
		content, err := journal.Snapshot(FoundingState(f, founders))
		if err != nil {
			panic(err)
		}
		x.members = append(x.members, &exploredMember{id: f.GetId(), address: f.GetAddress(), file: content})
		x.start(i)
	}
	if joiner {
		x.members = append(x.members, &exploredMember{id: 4, address: "m4"})
		x.start(3)
	}
	return x
}

// start starts a member with the content of its disk.
func (x *exploration) start(i int) {
	n := x.members[i]
	state, validLength, err := journal.Read(n.file)
	if err != nil {
		x.fail("m%d: the file is damaged: %v", i+1, err)
		return
	}
	n.file = n.file[:validLength]
	if state.ID == 0 {
		n.id = uint64(100*(i+1) + n.incarnation)
		state.ID = n.id
	}
	n.incarnation++
	n.running, n.queue = true, nil
	n.machine = New(Config{
		Self:            &protocol.Member{Id: state.ID, Address: n.address},
		Incarnation:     uint64(10*i + n.incarnation),
		ToleratedFaults: 1,
		Contacts:        []string{"m1", "m2", "m3"},
		Seed:            uint64(i + 1),
		Timing:          DefaultTiming(),
	}, x.now, state)
	x.do(i, n.machine.Begin(x.now))
}

// fail records a violation, if it is the first.
func (x *exploration) fail(format string, args ...any) {
	if x.violation == "" {
		x.violation = fmt.Sprintf("step %d, %v: ", x.step, x.now) + fmt.Sprintf(format, args...)
	}
}

// do carries out a member's actions.
func (x *exploration) do(i int, a Actions) {
	n := x.members[i]
	n.queue = append(n.queue, a.Writes...)
	for _, s := range a.Sends {
		to := slices.IndexFunc(x.members, func(o *exploredMember) bool { return o.address == s.To })
		if to < 0 || x.blockedUntil[[2]int{i, to}] > x.now {
			continue
		}
		x.inFlight = append(x.inFlight, exploredMessage{from: i, to: to, incarnation: x.members[to].incarnation, message: s.Message})
	}
	for _, r := range a.Replies {
		x.recordReply(n.machine.Epoch(), r.GetReply())
	}
	for _, token := range a.ReadsReady {
		if x.readValues[token] < x.reads[token] {
			x.fail("a read shows version %d after a reply to %d", x.readValues[token], x.reads[token])
		}
	}
}

// recordReply records the reply to a write. Of the writes based on the same version only one may have a reply.
func (x *exploration) recordReply(epoch uint64, r *protocol.ClientReply) {
	write, version := r.GetId(), r.GetConfigVersion()
	x.replied[write] = epoch
	if other, ok := x.versions[version]; ok && other != write {
		x.fail("writes %d and %d on version %d both have replies", other, write, version)
	}
	x.versions[version] = write
	x.newest = max(x.newest, version+1)
}

// issueRequests sends a write to every member that accepts writes, based on the version in its state, and a read to every
// tail.
func (x *exploration) issueRequests() {
	for i, n := range x.members {
		if !n.running || n.pausedUntil > x.now || n.machine.view == nil {
			continue
		}
		version := registerOf(n.machine.Store())
		if n.machine.CanAppend() && n.machine.Accepting(x.now) {
			x.writes++
			_, a, _ := n.machine.Append(x.now, &protocol.Entry{
				Puts:    []*protocol.Put{{Key: fmt.Sprint("k", x.writes), Value: []byte("v")}, {Key: registerKey, Value: fmt.Append(nil, version+1)}},
				Replies: []*protocol.Reply{{Reply: &protocol.ClientReply{Id: x.writes, ConfigVersion: version}}}})
			x.do(i, a)
		}
		if view.Tail(n.machine.view) == n.id {
			x.tokens++
			x.reads[x.tokens], x.readValues[x.tokens] = x.newest, version
			x.do(i, n.machine.Read(x.now, x.tokens))
		}
	}
}

// registerOf returns the register's version in a state.
func registerOf(s *store.Store) (version uint64) {
	if value, ok := s.Get(registerKey); ok {
		_, _ = fmt.Sscan(string(value), &version)
	}
	return version
}

// finishWrites finishes all submitted writes of a member, or fails them if failure is set.
func (x *exploration) finishWrites(i int, failure error) {
	n := x.members[i]
	queue := n.queue
	n.queue = nil
	if failure == nil {
		for _, w := range queue {
			if w.Image != nil {
				n.file = encoded(w.Image)
			} else {
				n.file = append(n.file, w.Data...)
			}
		}
	}
	x.do(i, n.machine.DiskDone(x.now, queue[len(queue)-1].Sequence, int64(len(n.file)), failure))
}

// nextWriter returns the first member with a write that may finish, -1 if there is none.
func (x *exploration) nextWriter() int {
	return slices.IndexFunc(x.members, func(n *exploredMember) bool {
		return n.running && len(n.queue) > 0 && n.diskUntil <= x.now && n.pausedUntil <= x.now
	})
}

// nextMessage returns the position of the oldest message that may arrive, -1 if there is none.
func (x *exploration) nextMessage() int {
	return slices.IndexFunc(x.inFlight, func(m exploredMessage) bool { return m.at <= x.now && x.members[m.to].pausedUntil <= x.now })
}

// deliver delivers a message, unless its receiver has restarted since or the link is blocked.
func (x *exploration) deliver(at int) {
	m := x.inFlight[at]
	x.inFlight = slices.Delete(x.inFlight, at, at+1)
	n := x.members[m.to]
	if !n.running || n.incarnation != m.incarnation || x.blockedUntil[[2]int{m.from, m.to}] > x.now {
		return
	}
	x.do(m.to, n.machine.Receive(x.now, x.members[m.from].address, m.message))
}

// advanceTime advances the time by a tick: members tick, those that crashed restart, and clients send requests.
func (x *exploration) advanceTime() {
	x.now += exploreTick
	x.stepsThisInstant = 0
	for i, n := range x.members {
		switch {
		case n.pausedUntil > x.now:
		case !n.running:
			x.start(i)
		default:
			x.do(i, n.machine.Tick(x.now, 0, 0))
		}
	}
	if x.now >= x.nextRequests {
		x.nextRequests = x.now + 2*exploreTick
		x.issueRequests()
	}
}

// runStep runs one step of the baseline, or a deviation from it.
func (x *exploration) runStep(d *deviation) {
	x.step++
	if x.stepsThisInstant++; x.stepsThisInstant > exploreMaxStepsPerInstant {
		x.fail("messages cause further messages endlessly, the next is: %v", x.inFlight[0].message)
		x.now += exploreTick
		x.inFlight = nil
	}
	writer, message := x.nextWriter(), x.nextMessage()
	if d != nil && x.deviate(*d, writer, message) {
		x.check()
		return
	}
	switch {
	case writer >= 0:
		x.finishWrites(writer, nil)
	case message >= 0:
		x.deliver(message)
	default:
		x.advanceTime()
	}
	x.check()
}

// check checks the invariants after a step: each epoch has at most one head, members at the same index of an epoch have equal
// states, and the head has every write with a reply.
func (x *exploration) check() {
	heads, states := make(map[uint64]int), make(map[logPosition]uint64)
	for i, n := range x.members {
		if !n.running || n.machine.view == nil {
			continue
		}
		x.checkHead(i, heads)
		x.checkState(i, states)
	}
	x.checkReplies(heads)
}

// logPosition is an index of an epoch.
type logPosition struct{ epoch, index uint64 }

// checkHead checks that a serving head is the only one of its epoch, and adds it to heads.
func (x *exploration) checkHead(i int, heads map[uint64]int) {
	m := x.members[i].machine
	if !m.Serving() {
		return
	}
	if other, ok := heads[m.Epoch()]; ok {
		x.fail("m%d and m%d are heads of epoch %d", other+1, i+1, m.Epoch())
	}
	heads[m.Epoch()] = i
}

// checkState checks that a member's state equals that of other members at the same position, and adds it to states.
func (x *exploration) checkState(i int, states map[logPosition]uint64) {
	n := x.members[i]
	m := n.machine
	if m.installedEpoch != m.Epoch() && !m.chain.following {
		return
	}
	if c := n.compared; c.incarnation != n.incarnation || c.epoch != m.Epoch() || c.index != m.index {
		n.compared = comparedState{n.incarnation, m.Epoch(), m.index, store.CombineDigests(m.store.Digests())}
	}
	at := logPosition{m.Epoch(), m.index}
	if other, ok := states[at]; ok && other != n.compared.digest {
		x.fail("the state of m%d differs from another member's at index %d of epoch %d", i+1, m.index, m.Epoch())
	}
	states[at] = n.compared.digest
}

// checkReplies checks that each head has all writes with a reply of its epoch or an earlier one.
func (x *exploration) checkReplies(heads map[uint64]int) {
	for epoch, i := range heads {
		for write, replied := range x.replied {
			if _, ok := x.members[i].machine.Store().Get(fmt.Sprint("k", write)); !ok && replied <= epoch {
				x.fail("k%d has a reply in epoch %d but is missing at m%d, the head of epoch %d", write, replied, i+1, epoch)
				return
			}
		}
	}
}

// heal ends all deviations, and checks that a write has a reply again.
func (x *exploration) heal() {
	for _, n := range x.members {
		n.pausedUntil, n.diskUntil = min(n.pausedUntil, x.now+exploreRestartDelay), 0
	}
	clear(x.blockedUntil)
	replies := len(x.replied)
	earliest := x.now + exploreStall
	for until := x.now + exploreHealTime; x.now < until && x.violation == "" && (x.now < earliest || len(x.replied) <= replies); {
		x.runStep(nil)
	}
	if x.violation == "" && len(x.replied) <= replies {
		x.fail("no write has a reply after all deviations have ended")
	}
}
