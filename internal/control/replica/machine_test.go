package replica

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/journal"
	"frosttide/internal/protocol"
)

// cluster plays members on a network in virtual time.
type cluster struct {
	t               testing.TB
	quiet           bool                     // members' notes are not logged
	longestReceive  map[string]time.Duration // by member, the longest real time that a message took; nil where it is not measured
	rng             *rand.Rand
	now             time.Duration
	members         map[string]*node
	events          []scheduledEvent
	lastOrder       int
	itemsWritten    int // written by fill
	toleratedFaults int // machines that are to be borne
	blocked         map[[2]string]bool
	lossRate        float64
	drop            func(from, to string, e *protocol.Envelope) bool // messages that are lost, nil for none
	linkRate        int                                              // bytes a second that each way between two members carries, 0 for no bound
	linkFreeAt      map[[2]string]time.Duration                      // when the way between two members is free again
	stateBytesSent  map[[2]string]int                                // bytes of state sent on it
	replies         map[uint64]int                                   // replies by the id of the request
	reads           map[uint64]bool
}

type node struct {
	*Machine
	address     string
	id          uint64
	running     bool
	incarnation int
	file        []byte
	syncedSize  int
	diskError   error
	diskDelay   time.Duration
	writeQueue  []Write
	writing     bool
	serving     bool
}

type scheduledEvent struct {
	at    time.Duration
	order int
	do    func()
}

const tick = 20 * time.Millisecond

func newCluster(t *testing.T, seed uint64, founders int) *cluster {
	return newClusterTolerating(t, seed, founders, 1)
}

func newClusterTolerating(t testing.TB, seed uint64, founders, faults int) *cluster {
	c := &cluster{t: t, toleratedFaults: faults, rng: rand.New(rand.NewPCG(seed, 1)), members: make(map[string]*node), blocked: make(map[[2]string]bool), linkFreeAt: make(map[[2]string]time.Duration), stateBytesSent: make(map[[2]string]int), replies: make(map[uint64]int), reads: make(map[uint64]bool)}
	var all []*protocol.Member
	for i := range founders {
		all = append(all, &protocol.Member{Id: uint64(i + 1), Number: uint32(i + 1), Address: fmt.Sprintf("m%d", i+1), Zone: fmt.Sprintf("z%d", i%3)})
	}
	for _, m := range all {
		state := FoundingState(m, all)
		content, err := journal.Snapshot(state)
		require.NoError(t, err)
		n := &node{address: m.GetAddress(), id: m.GetId(), file: content, syncedSize: len(content)}
		c.members[n.address] = n
		c.start(n)
	}
	return c
}

func (c *cluster) after(d time.Duration, do func()) {
	c.lastOrder++
	c.events = append(c.events, scheduledEvent{at: c.now + d, order: c.lastOrder, do: do})
}

// start starts a member with what its disk holds.
func (c *cluster) start(n *node) {
	state, good, err := journal.Read(n.file)
	require.NoError(c.t, err)
	n.file, n.syncedSize = n.file[:good], good
	if state.ID == 0 {
		n.id = c.rng.Uint64()
		state.ID = n.id
	}
	n.incarnation++
	n.running, n.writeQueue, n.writing = true, nil, false
	var contacts []string
	for i := range 3 {
		contacts = append(contacts, fmt.Sprintf("m%d", i+1))
	}
	n.Machine = New(Config{Self: &protocol.Member{Id: n.id, Address: n.address, Zone: "z" + n.address}, Incarnation: c.rng.Uint64(), ToleratedFaults: c.toleratedFaults, Contacts: contacts,
		Seed: c.rng.Uint64(), Timing: DefaultTiming()}, c.now, state)
	c.do(n, n.Begin(c.now))
	incarnation := n.incarnation
	var tickAgain func()
	tickAgain = func() {
		if n.running && n.incarnation == incarnation {
			c.do(n, n.Tick(c.now, 0, 0))
			c.after(tick, tickAgain)
		}
	}
	c.after(time.Duration(c.rng.Int64N(int64(tick))), tickAgain)
}

// stop ends a member's process; with its power, writes that were not synced may be lost.
func (c *cluster) stop(n *node, power bool) {
	n.running = false
	n.incarnation++
	if power && len(n.file) > n.syncedSize {
		n.file = n.file[:n.syncedSize+c.rng.IntN(len(n.file)-n.syncedSize+1)]
	}
}

// wipe empties a member's disk.
func (c *cluster) wipe(n *node) { n.file, n.syncedSize = nil, 0 }

func (c *cluster) do(n *node, a Actions) {
	n.writeQueue = append(n.writeQueue, a.Writes...)
	if !n.writing {
		c.startWrite(n)
	}
	for _, e := range a.Events {
		if c.quiet {
			break
		}
		c.t.Logf("%8.3f %s: %s", c.now.Seconds(), n.address, e)
	}
	for _, s := range a.Sends {
		c.send(n, s)
	}
	for _, r := range a.Replies {
		c.replies[r.GetReply().GetId()]++
	}
	for _, r := range a.RoleChanges {
		n.serving = r.Serving
	}
	for _, token := range a.ReadsReady {
		c.reads[token] = true
	}
}

// startWrite writes all that is queued and syncs once.
func (c *cluster) startWrite(n *node) {
	if len(n.writeQueue) == 0 {
		return
	}
	incarnation, queue, failure := n.incarnation, n.writeQueue, n.diskError
	n.writeQueue, n.writing = nil, true
	if failure == nil {
		for _, w := range queue {
			if w.Image != nil {
				n.file, n.syncedSize = encoded(w.Image), 0
			} else {
				n.file = append(n.file, w.Data...)
			}
		}
	}
	c.after(time.Duration(4+c.rng.IntN(6))*time.Millisecond+n.diskDelay, func() {
		if !n.running || n.incarnation != incarnation {
			return
		}
		n.writing = false
		if failure == nil {
			n.syncedSize = len(n.file)
		}
		c.do(n, n.DiskDone(c.now, queue[len(queue)-1].Sequence, int64(len(n.file)), failure))
		if !n.writing {
			c.startWrite(n)
		}
	})
}

// encoded returns the file that an image stands for.
func encoded(i *journal.Image) []byte {
	content, err := i.Encode()
	if err != nil {
		panic(err)
	}
	return content
}

func (c *cluster) send(n *node, s Send) {
	if c.rng.Float64() < c.lossRate {
		return
	}
	to := c.members[s.To]
	if to == nil || c.blocked[[2]string{n.address, s.To}] {
		return
	}
	way := [2]string{n.address, s.To}
	if s.Message.GetSyncReply() != nil {
		c.stateBytesSent[way] += proto.Size(s.Message)
	}
	if c.drop != nil && c.drop(n.address, s.To, s.Message) {
		return
	}
	delay := time.Duration(1000+c.rng.IntN(1000)) * time.Microsecond
	if c.linkRate > 0 { // a link with a bandwidth keeps the order
		c.linkFreeAt[way] = max(c.linkFreeAt[way], c.now) + time.Duration(float64(proto.Size(s.Message))/float64(c.linkRate)*float64(time.Second))
		delay = c.linkFreeAt[way] - c.now + time.Millisecond
	}
	incarnation := to.incarnation
	c.after(delay, func() {
		if to.running && to.incarnation == incarnation && !c.blocked[[2]string{n.address, s.To}] {
			began := time.Now()
			a := to.Receive(c.now, n.address, s.Message)
			if c.longestReceive != nil {
				c.longestReceive[s.To] = max(c.longestReceive[s.To], time.Since(began))
			}
			c.do(to, a)
		}
	})
}

// play lets time pass.
func (c *cluster) play(d time.Duration) {
	until := c.now + d
	for {
		best := -1
		for i, e := range c.events {
			if e.at <= until && (best < 0 || e.at < c.events[best].at || e.at == c.events[best].at && e.order < c.events[best].order) {
				best = i
			}
		}
		if best < 0 {
			c.now = until
			return
		}
		e := c.events[best]
		c.events[best] = c.events[len(c.events)-1]
		c.events = c.events[:len(c.events)-1]
		c.now = e.at
		e.do()
	}
}

// head returns the member that serves in the newest view, nil if there is none.
func (c *cluster) head() (head *node) {
	for _, n := range c.members {
		if n.running && n.Serving() && (head == nil || n.Epoch() > head.Epoch()) {
			head = n
		}
	}
	return head
}

// write appends an item and tells whether the head took it.
func (c *cluster) write(id uint64) bool {
	h := c.head()
	if h == nil {
		return false
	}
	_, a, ok := h.Append(c.now, &protocol.Entry{Puts: []*protocol.Put{{Key: fmt.Sprintf("k%d", id), Value: []byte{byte(id)}}},
		Replies: []*protocol.Reply{{Reply: &protocol.ClientReply{Id: id}}}})
	c.do(h, a)
	return ok
}

// requireNoWriteLost fails where an answered write is not in the state of the serving head.
func (c *cluster) requireNoWriteLost() {
	c.t.Helper()
	h := c.head()
	require.NotNil(c.t, h, "nobody serves")
	for id := range c.replies {
		_, ok := h.Store().Get(fmt.Sprintf("k%d", id))
		require.True(c.t, ok, "write %d was answered and is lost at %s", id, h.address)
	}
}

func TestFoundingClusterCommitsWrites(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.play(time.Second)
	require.NotNil(t, c.head())
	require.True(t, c.write(1))
	c.play(50 * time.Millisecond)
	require.Equal(t, 1, c.replies[1])
}

func TestWritesContinueAfterHeadLoss(t *testing.T) {
	c := newCluster(t, 2, 3)
	c.play(time.Second)
	require.True(t, c.write(1))
	c.play(50 * time.Millisecond)
	old := c.head()
	c.stop(old, true)
	c.play(1200 * time.Millisecond)
	require.NotNil(t, c.head())
	c.requireNoWriteLost()
	require.True(t, c.write(2))
	c.play(100 * time.Millisecond)
	require.Equal(t, 1, c.replies[2])
	c.start(old)
	c.play(2 * time.Second)
	c.requireNoWriteLost()
}

func TestNewcomerJoins(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.members["m4"] = &node{address: "m4"}
	c.start(c.members["m4"])
	c.play(3 * time.Second)
	h := c.head()
	require.NotNil(t, h)
	require.Len(t, h.View().GetVoters(), 4)
	require.Empty(t, h.View().GetPrevious())
}

func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 4, 3)
	c.play(time.Second)
	require.True(t, c.write(1))
	c.play(50 * time.Millisecond)
	old := c.head()
	id := old.id
	c.stop(old, true)
	c.wipe(old)
	c.play(100 * time.Millisecond)
	c.start(old)
	require.NotEqual(t, id, old.id)
	c.play(4 * time.Second)
	c.requireNoWriteLost()
	require.Len(t, c.head().View().GetVoters(), 3)
	for _, v := range c.head().View().GetVoters() {
		require.NotEqual(t, id, v.GetId())
	}
}

func TestHeadWithFailedDiskIsReplaced(t *testing.T) {
	c := newCluster(t, 5, 3)
	c.play(time.Second)
	old := c.head()
	old.diskError = errors.New("no space")
	c.write(1)
	c.play(3 * time.Second)
	require.NotNil(t, c.head())
	require.NotEqual(t, old, c.head())
	require.Zero(t, c.replies[1])
	require.True(t, c.write(2))
	c.play(100 * time.Millisecond)
	require.Equal(t, 1, c.replies[2])
	old.diskError = nil
	c.play(3 * time.Second)
	c.requireNoWriteLost()
}

func TestIsolatedHeadRepliesToNothing(t *testing.T) {
	c := newCluster(t, 6, 3)
	c.play(time.Second)
	old := c.head()
	for a := range c.members {
		c.blocked[[2]string{a, old.address}] = true
		c.blocked[[2]string{old.address, a}] = true
	}
	c.write(1)
	tail := old
	if old.isTail() {
		c.do(tail, tail.Read(c.now, 7))
	}
	c.play(3 * time.Second)
	require.Zero(t, c.replies[1])
	require.False(t, c.reads[7])
	require.NotEqual(t, old, c.head())
	c.blocked = make(map[[2]string]bool)
	c.play(2 * time.Second)
	c.requireNoWriteLost()
}

// TestRandomFaults plays random kills, losses of power and disks, cuts and slow disks, and checks that
// every answered write is kept and that service returns once all is calm.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newCluster(t, seed, 3)
			for i := range 2 {
				a := fmt.Sprintf("m%d", 4+i)
				c.members[a] = &node{address: a}
				c.start(c.members[a])
			}
			c.play(3 * time.Second)
			id := uint64(0)
			for range 12 {
				c.injectFault()
				for range 20 {
					id++
					c.write(id)
					c.play(time.Duration(c.rng.IntN(100)) * time.Millisecond)
				}
				c.endFaults()
				c.play(5 * time.Second)
				c.requireNoWriteLost()
			}
		})
	}
}

// injectFault starts one random trouble.
func (c *cluster) injectFault() {
	var all []*node
	for i := range 5 {
		all = append(all, c.members[fmt.Sprintf("m%d", i+1)])
	}
	one := all[c.rng.IntN(len(all))]
	if h := c.head(); h != nil && c.rng.IntN(2) == 0 {
		one = h
	}
	kind := c.rng.IntN(8)
	c.t.Logf("%8.3f trouble %d at %s", c.now.Seconds(), kind, one.address)
	switch kind {
	case 0:
		c.stop(one, false)
	case 1:
		c.stop(one, true)
	case 2:
		c.stop(one, true)
		c.wipe(one)
	case 3:
		for _, n := range all {
			c.stop(n, true)
		}
	case 4:
		for _, n := range all {
			c.blocked[[2]string{one.address, n.address}] = true
			if c.rng.IntN(2) == 0 {
				c.blocked[[2]string{n.address, one.address}] = true
			}
		}
	case 5:
		one.diskDelay = time.Duration(c.rng.IntN(2000)) * time.Millisecond
	case 6:
		one.diskError = errors.New("no space")
	case 7: // a disk is lost and all others lose power
		for _, n := range all {
			c.stop(n, true)
		}
		c.wipe(one)
	}
}

// endFaults ends all troubles.
func (c *cluster) endFaults() {
	c.blocked = make(map[[2]string]bool)
	for _, n := range c.members {
		n.diskDelay, n.diskError = 0, nil
		if !n.running {
			c.start(n)
		}
	}
}

// TestEarlySyncRequestIsServed has the head answer a chain member that knew the agreed view before the
// head did: the member would otherwise ask again only after syncRetry, and nothing is accepted until then.
func TestEarlySyncRequestIsServed(t *testing.T) {
	c := newCluster(t, 7, 3)
	c.play(time.Second)
	head := c.head()
	follower := c.members[head.successor().GetAddress()]
	next := cloneView(head.View())
	next.Epoch += 1 << 16
	early := head.Receive(c.now, follower.address, &protocol.Envelope{Body: &protocol.Envelope_SyncRequest{SyncRequest: &protocol.SyncRequest{
		Epoch: next.GetEpoch(), Round: 1, Install: true, Member: follower.id, Digests: follower.Store().Digests()}}})
	require.Empty(t, early.Sends)
	agreed := head.Receive(c.now, follower.address, &protocol.Envelope{Body: &protocol.Envelope_Decided{Decided: &protocol.Decided{View: next}}})
	var replied []string
	for _, s := range agreed.Sends {
		if s.Message.GetSyncReply().GetEpoch() == next.GetEpoch() {
			replied = append(replied, s.To)
		}
	}
	require.Equal(t, []string{follower.address}, replied)
}

// TestIsolatedHeadDoesNotDisturbNextView has a head that comes back from a cut take the view that the others have
// agreed on meanwhile, in place of interrupting it with a ballot of its own.
func TestIsolatedHeadDoesNotDisturbNextView(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 100+seed, 5)
		c.play(2 * time.Second)
		old := c.head()
		for address := range c.members {
			c.blocked[[2]string{address, old.address}] = true
			c.blocked[[2]string{old.address, address}] = true
		}
		c.play(4 * time.Second)
		next := c.head()
		require.NotNil(t, next)
		require.NotEqual(t, old.address, next.address)
		epoch := next.Epoch()
		clear(c.blocked)
		c.play(2 * time.Second)
		require.Equal(t, next, c.head())
		require.Equal(t, epoch, old.Epoch(), "it takes up the others' view")
		c.requireNoWriteLost()
	}
}

// TestReplacedMachineIsRemovedFromVoters has a machine replaced for good and then, once its successor has caught up,
// as many disks lost as are to be borne while all others lose power. With the old machine still a voter beside
// its successor no majority would be left.
func TestReplacedMachineIsRemovedFromVoters(t *testing.T) {
	for seed := range uint64(20) {
		c := newClusterTolerating(t, 200+seed, 5, 2)
		c.play(2 * time.Second)
		require.True(t, c.write(1))
		c.play(100 * time.Millisecond)
		c.stop(c.members["m5"], true)
		delete(c.members, "m5")
		c.play(time.Second)
		c.members["m6"] = &node{address: "m6"}
		c.start(c.members["m6"])
		c.play(4 * time.Second)
		require.True(t, c.write(2))
		c.play(100 * time.Millisecond)
		require.Equal(t, 1, c.replies[2])
		all := []string{"m1", "m2", "m3", "m4", "m6"}
		c.rng.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		for i, address := range all {
			c.stop(c.members[address], true)
			if i < 2 {
				c.wipe(c.members[address])
			}
		}
		c.play(time.Second)
		for _, address := range all {
			c.start(c.members[address])
		}
		c.play(3 * time.Second)
		c.requireNoWriteLost()
	}
}

// TestDrainingMachineIsRemovedAfterItsSuccessorJoins has a machine leave when its successor is a voter already: the voters
// are to bear the losses as soon as it has gone.
func TestDrainingMachineIsRemovedAfterItsSuccessorJoins(t *testing.T) {
	for seed := range uint64(20) {
		c := newClusterTolerating(t, 300+seed, 5, 2)
		c.members["m6"] = &node{address: "m6"}
		c.start(c.members["m6"])
		c.play(4 * time.Second)
		require.Len(t, c.head().View().GetVoters(), 6)
		leaving := c.members["m2"]
		c.do(leaving, leaving.Drain(c.now))
		c.play(300 * time.Millisecond)
		c.stop(leaving, false)
		delete(c.members, "m2")
		c.play(300 * time.Millisecond)
		require.Len(t, c.head().View().GetVoters(), 5)
	}
}

// TestLostVoterRejoins has a voter that left as it was silent join again when it is back, and bear its part.
func TestLostVoterRejoins(t *testing.T) {
	for seed := range uint64(20) {
		c := newClusterTolerating(t, 400+seed, 4, 1)
		c.play(2 * time.Second)
		require.True(t, c.write(1))
		c.play(100 * time.Millisecond)
		lost := c.members["m4"]
		if c.head() == lost {
			lost = c.members["m3"]
		}
		c.stop(lost, true)
		c.play(3 * time.Second)
		require.Len(t, c.head().View().GetVoters(), 3, "three bear another loss, four with one lost do not")
		require.True(t, c.write(2))
		c.start(lost)
		c.play(3 * time.Second)
		require.Len(t, c.head().View().GetVoters(), 4)
		c.stop(c.head(), true)
		c.play(2 * time.Second)
		c.requireNoWriteLost()
	}
}
