package replica

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// The explorer plays the members' real state machines through every schedule that departs from the usual one in up
// to two places. The usual schedule finishes a write, else delivers the oldest message, else lets time pass. A departure
// loses, doubles or delays the next message, fails or delays the next write, crashes a member in two manners,
// wipes a disk, has a member stand still, or cuts it off. Departures after which all is soon as if they had not been
// are folded into the usual schedule: what they lead to together with a second one has been played already.
//
// The tests play a part of them. By hand, all single departures and each 997th pair:
//
//	go test ./internal/control/replica -run TestExplore -v -explore.singles 1 -explore.pairs 997 -explore.workers 8 -timeout 0
var (
	exploreSingles = flag.Int("explore.singles", usualSingles, "play each so manieth departure, 1 for all")
	explorePairs   = flag.Int("explore.pairs", usualPairs, "play each so manieth pair of departures, 1 for all")
	exploreWorkers = flag.Int("explore.workers", 2, "schedules played at once; other packages' tests have clocks to keep")
)

const (
	exploreTick         = 50 * time.Millisecond
	exploreSteps        = 420 // in which departures happen
	exploreHealTime     = 4 * time.Second
	exploreRestartDelay = 150 * time.Millisecond // until a member that crashed is back
	exploreStall        = 900 * time.Millisecond // for which something is held up or cut off
	// exploreMaxStepsPerInstant is how many steps may follow one another in no time.
	exploreMaxStepsPerInstant = 2000
	// exploreFoldAfter is after how many steps a departure has left nothing behind if it leaves nothing at all.
	exploreFoldAfter = 160
)

// departureKind is how a schedule departs from the usual one at a step.
type departureKind int

const (
	loseMessage departureKind = iota
	doubleMessage
	delayMessage
	failWrite
	delayWrite
	crashAndLose // what was not synced is gone
	crashAndKeep // what was not synced is there all the same
	wipeDisk
	pauseMember
	isolateBoth
	isolateInbound
	isolateOutbound
	departureKinds
)

var departureNames = [...]string{"lose message", "double message", "delay message", "fail write", "delay write", "crash, unsynced lost",
	"crash, unsynced kept", "wipe disk", "stand still", "cut off", "cut off inwards", "cut off outwards"}

// departure is one place in which a schedule is not the usual one.
type departure struct {
	step   int
	kind   departureKind
	member int
}

func (d departure) String() string {
	return fmt.Sprintf("step %d: %s at m%d", d.step, departureNames[d.kind], d.member+1)
}

// exploredMember is a member with its disk.
type exploredMember struct {
	machine     *Machine
	id          uint64
	address     string
	file        []byte
	queue       []Write
	incarnation int
	running     bool
	pausedUntil time.Duration // no event happens there before
	diskUntil   time.Duration // no write finishes before
	nextTick    time.Duration // tick
	compared    comparedState
}

// comparedState is the state that a member held when it last changed, as it is compared with the others'.
type comparedState struct {
	incarnation  int
	epoch, index uint64
	digest       uint64
}

type exploredMessage struct {
	from, to    int
	incarnation int // of the receiver when it was sent
	at          time.Duration
	message     *protocol.Envelope
}

// explored is one play of a schedule.
type explored struct {
	members          []*exploredMember
	inFlight         []exploredMessage
	now              time.Duration
	step             int
	blockedUntil     map[[2]int]time.Duration
	joiner           bool
	stepsThisInstant int // steps since time last passed
	nextWork         time.Duration

	// What callers know.
	writes    uint64
	replied   map[uint64]uint64 // epochs in which writes were answered
	versions  map[uint64]uint64 // writer whose order on a version was answered
	newest    uint64            // highest version answered
	reads     map[uint64]uint64 // newest version answered when a read began, by token
	readValue map[uint64]uint64 // what the state said then
	tokens    uint64
	broken    string
	trace     func(string)
}

const registerKey = "register"

func explore(joiner bool) *explored {
	x := &explored{blockedUntil: make(map[[2]int]time.Duration), joiner: joiner, replied: make(map[uint64]uint64), versions: make(map[uint64]uint64),
		reads: make(map[uint64]uint64), readValue: make(map[uint64]uint64)}
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

// start starts a member with what its disk holds.
func (x *explored) start(i int) {
	n := x.members[i]
	state, good, err := journal.Read(n.file)
	if err != nil {
		x.fail("m%d: its file is damaged: %v", i+1, err)
		return
	}
	n.file = n.file[:good]
	if state.ID == 0 {
		n.id = uint64(100*(i+1) + n.incarnation)
		state.ID = n.id
	}
	n.incarnation++
	n.running, n.queue, n.nextTick = true, nil, x.now
	n.machine = New(Config{Self: &protocol.Member{Id: state.ID, Address: n.address}, Incarnation: uint64(10*i + n.incarnation), ToleratedFaults: 1,
		Contacts: []string{"m1", "m2", "m3"}, Seed: uint64(i + 1), Timing: DefaultTiming()}, x.now, state)
	x.do(i, n.machine.Begin(x.now))
}

func (x *explored) fail(format string, args ...any) {
	if x.broken == "" {
		x.broken = fmt.Sprintf("step %d, %v: ", x.step, x.now) + fmt.Sprintf(format, args...)
	}
}

func (x *explored) do(i int, a Actions) {
	n := x.members[i]
	n.queue = append(n.queue, a.Writes...)
	if x.trace != nil {
		for _, e := range a.Events {
			x.trace(fmt.Sprintf("%4d %8v m%d: %s", x.step, x.now, i+1, e))
		}
	}
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
		if x.readValue[token] < x.reads[token] {
			x.fail("a read shows version %d after %d was answered", x.readValue[token], x.reads[token])
		}
	}
}

// recordReply notes an answered write: its id is the writer, its status the version that its order builds on.
func (x *explored) recordReply(epoch uint64, r *protocol.ClientReply) {
	writer, version := r.GetId(), r.GetConfigVersion()
	x.replied[writer] = epoch
	if other, ok := x.versions[version]; ok && other != writer {
		x.fail("orders %d and %d on version %d are both answered", other, writer, version)
	}
	x.versions[version] = writer
	x.newest = max(x.newest, version+1)
}

// issueRequests has every member that takes writes get one, an order on the version that its state shows, and every tail a
// read.
func (x *explored) issueRequests() {
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
			x.reads[x.tokens], x.readValue[x.tokens] = x.newest, version
			x.do(i, n.machine.Read(x.now, x.tokens))
		}
	}
}

func registerOf(s *store.Store) (version uint64) {
	if value, ok := s.Get(registerKey); ok {
		_, _ = fmt.Sscan(string(value), &version)
	}
	return version
}

// finishWrites finishes the writes that wait at a member.
func (x *explored) finishWrites(i int, failure error) {
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

// writer returns a member with a write that may finish, -1 if there is none.
func (x *explored) writer() int {
	return slices.IndexFunc(x.members, func(n *exploredMember) bool {
		return n.running && len(n.queue) > 0 && n.diskUntil <= x.now && n.pausedUntil <= x.now
	})
}

// message returns the oldest message that may arrive, -1 if there is none.
func (x *explored) message() int {
	return slices.IndexFunc(x.inFlight, func(m exploredMessage) bool { return m.at <= x.now && x.members[m.to].pausedUntil <= x.now })
}

func (x *explored) deliver(at int) {
	m := x.inFlight[at]
	x.inFlight = slices.Delete(x.inFlight, at, at+1)
	n := x.members[m.to]
	if !n.running || n.incarnation != m.incarnation || x.blockedUntil[[2]int{m.from, m.to}] > x.now {
		return
	}
	x.do(m.to, n.machine.Receive(x.now, x.members[m.from].address, m.message))
}

// advanceTime lets time pass to the next tick, and has what is due happen.
func (x *explored) advanceTime() {
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
	if x.now >= x.nextWork {
		x.nextWork = x.now + 2*exploreTick
		x.issueRequests()
	}
}

// playStep does one step, with a departure where one is due.
func (x *explored) playStep(d *departure) {
	x.step++
	if x.stepsThisInstant++; x.stepsThisInstant > exploreMaxStepsPerInstant {
		x.fail("messages lead to messages without end: %v", x.inFlight[0].message)
		x.now += exploreTick
		x.inFlight = nil
	}
	writer, message := x.writer(), x.message()
	if d != nil && x.depart(*d, writer, message) {
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

// depart does a departure; it returns false where the usual step is to follow.
func (x *explored) depart(d departure, writer, message int) bool {
	n := x.members[d.member%len(x.members)]
	switch d.kind {
	case loseMessage:
		x.inFlight = slices.Delete(x.inFlight, message, message+1)
		return true
	case doubleMessage:
		x.inFlight = append(x.inFlight, x.inFlight[message])
	case delayMessage:
		x.inFlight[message].at = x.now + exploreStall/2
		return true
	case failWrite:
		x.finishWrites(writer, errors.New("no space"))
		return true
	case delayWrite:
		x.members[writer].diskUntil = x.now + exploreStall
		return true
	case crashAndLose, crashAndKeep, wipeDisk:
		if d.kind == crashAndKeep {
			for _, w := range n.queue {
				if w.Image == nil {
					n.file = append(n.file, w.Data...)
				}
			}
		}
		if d.kind == wipeDisk {
			n.file = nil
		}
		n.running, n.queue, n.pausedUntil = false, nil, x.now+exploreRestartDelay
	case pauseMember:
		n.pausedUntil = x.now + exploreStall
	case isolateBoth, isolateInbound, isolateOutbound:
		for other := range x.members {
			if d.kind != isolateOutbound {
				x.blockedUntil[[2]int{other, d.member}] = x.now + exploreStall
			}
			if d.kind != isolateInbound {
				x.blockedUntil[[2]int{d.member, other}] = x.now + exploreStall
			}
		}
	}
	return true
}

// possible tells whether a departure means anything in the state in which its step begins.
func (x *explored) possible(kind departureKind, member int) bool {
	switch kind {
	case loseMessage, doubleMessage, delayMessage:
		return member == 0 && x.writer() < 0 && x.message() >= 0
	case failWrite, delayWrite:
		return member == 0 && x.writer() >= 0
	default:
		return x.members[member].running
	}
}

// check checks what has to hold after each step.
func (x *explored) check() {
	type place struct{ epoch, index uint64 }
	heads, states := make(map[uint64]int), make(map[place]uint64)
	for i, n := range x.members {
		if !n.running || n.machine.view == nil {
			continue
		}
		m := n.machine
		if m.Serving() {
			if other, ok := heads[m.Epoch()]; ok {
				x.fail("m%d and m%d are heads of epoch %d", other+1, i+1, m.Epoch())
			}
			heads[m.Epoch()] = i
		}
		if m.installedEpoch == m.Epoch() || m.chain.following {
			if h := n.compared; h.incarnation != n.incarnation || h.epoch != m.Epoch() || h.index != m.index {
				n.compared = comparedState{n.incarnation, m.Epoch(), m.index, store.CombineDigests(m.store.Digests())}
			}
			at := place{m.Epoch(), m.index}
			if other, ok := states[at]; ok && other != n.compared.digest {
				x.fail("m%d holds entry %d of epoch %d with another state", i+1, m.index, m.Epoch())
			}
			states[at] = n.compared.digest
		}
	}
	for epoch, i := range heads {
		for writer, answered := range x.replied {
			if _, ok := x.members[i].machine.Store().Get(fmt.Sprint("k", writer)); !ok && answered <= epoch {
				x.fail("k%d was answered in epoch %d and is not held by m%d, head of epoch %d", writer, answered, i+1, epoch)
				return
			}
		}
	}
}

// heal ends all troubles, and requires that writes are answered again.
func (x *explored) heal() {
	for _, n := range x.members {
		n.pausedUntil, n.diskUntil = min(n.pausedUntil, x.now+exploreRestartDelay), 0
	}
	clear(x.blockedUntil)
	answered := len(x.replied)
	earliest := x.now + exploreStall
	for until := x.now + exploreHealTime; x.now < until && x.broken == "" && (x.now < earliest || len(x.replied) <= answered); {
		x.playStep(nil)
	}
	if x.broken == "" && len(x.replied) <= answered {
		x.fail("no write is answered though all is calm")
	}
}

// schedule plays a list of departures and returns what broke, and the state some steps after the first one.
func schedule(joiner bool, departures []departure, fold int) (broken string, folded uint64) {
	x := explore(joiner)
	for x.step < exploreSteps && x.broken == "" {
		var d *departure
		for i := range departures {
			if departures[i].step == x.step && x.possible(departures[i].kind, departures[i].member) {
				d = &departures[i]
			}
		}
		x.playStep(d)
		if x.step == fold {
			folded = x.fingerprint()
		}
	}
	if x.broken == "" {
		x.heal()
	}
	return x.broken, folded
}

// baseline plays the usual schedule and returns all departures from it, and the state after each step.
func baseline(joiner bool) (all []departure, states []uint64) {
	x := explore(joiner)
	for x.step < exploreSteps {
		states = append(states, x.fingerprint())
		for kind := range departureKinds {
			for member := range x.members {
				if x.possible(kind, member) {
					all = append(all, departure{step: x.step, kind: kind, member: member})
				}
			}
		}
		x.playStep(nil)
	}
	return all, states
}

// inParallel calls f with every number below n, some at once.
func inParallel(n int, f func(i int)) {
	var next atomic.Int64
	var all sync.WaitGroup
	for range *exploreWorkers {
		all.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				f(i)
			}
		})
	}
	all.Wait()
}

// everyNth returns each so manieth departure.
func everyNth(all []departure, interval int) (out []departure) {
	for i := 0; i < len(all); i += interval {
		out = append(out, all[i])
	}
	return out
}

// TestExplore plays schedules of three members, and of three with one that joins, with one departure and with two.
func TestExplore(t *testing.T) {
	for _, joiner := range []bool{false, true} {
		t.Run(fmt.Sprintf("joiner %v", joiner), func(t *testing.T) {
			began := time.Now()
			all, states := baseline(joiner)
			require.NotEmpty(t, all)
			all = everyNth(all, *exploreSingles)
			lasting := make([]bool, len(all))
			var mu sync.Mutex
			failed := func(broken string, departures ...departure) {
				mu.Lock()
				defer mu.Unlock()
				t.Errorf("%s\n  with %v", broken, departures)
			}
			inParallel(len(all), func(i int) {
				fold := min(all[i].step+exploreFoldAfter, exploreSteps-1)
				broken, state := schedule(joiner, all[i:i+1], fold)
				lasting[i] = state != states[fold]
				if broken != "" {
					failed(broken, all[i])
				}
			})
			var firsts []int
			for i := range all {
				if lasting[i] {
					firsts = append(firsts, i)
				}
			}
			pairs := len(firsts) * len(all)
			var played atomic.Int64
			inParallel(pairs / *explorePairs, func(n int) {
				pair := n * *explorePairs
				first, second := all[firsts[pair/len(all)]], all[pair%len(all)]
				if t.Failed() || second.step <= first.step || first.kind == wipeDisk && second.kind == wipeDisk {
					return
				}
				played.Add(1)
				if broken, _ := schedule(joiner, []departure{first, second}, -1); broken != "" {
					failed(broken, first, second)
				}
			})
			t.Logf("%d steps, %d departures, of which %d leave something behind; %d pairs played of %d; %v",
				exploreSteps, len(all), len(firsts), played.Load(), pairs/2, time.Since(began).Round(time.Second))
		})
	}
}
