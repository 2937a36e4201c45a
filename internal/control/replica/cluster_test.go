package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/control/journal"
	"frosttide/internal/control/store"
	"frosttide/internal/protocol"
)

const (
	tick      = 20 * time.Millisecond // time between a member's ticks
	megabit   = 1_000_000 / 8         // in bytes
	megabyte  = 1 << 20
	itemBytes = 4000
)

// cluster simulates members on a faulty network in virtual time.
type cluster struct {
	t               testing.TB
	rng             *rand.Rand
	now             time.Duration
	members         map[string]*node // by address
	toleratedFaults int
	events          []scheduledEvent
	lastOrder       int // order of the last event scheduled

	// The network.
	blocked        map[link]bool
	lossRate       float64
	drop           func(from, to string, e *protocol.Envelope) bool // reports whether a message is lost; nil for no loss
	linkRate       int                                              // bytes per second that each link carries, 0 for no limit
	linkFreeAt     map[link]time.Duration                           // when a link with a rate has delivered everything sent
	stateBytesSent map[link]int

	// Results that clients have received.
	itemsWritten int             // by fill
	replies      map[uint64]int  // number of replies, by the ID of the write
	reads        map[uint64]bool // reads that are ready, by token
	failedReads  int

	quiet          bool                     // members' events are not logged
	longestReceive map[string]time.Duration // longest real time for one message, by member; nil if it is not measured
}

// node is a member with its process and its disk.
type node struct {
	*Machine
	address     string
	id          uint64
	running     bool
	incarnation int
	file        []byte
	syncedSize  int // bytes of file that survive a loss of power
	diskError   error
	diskDelay   time.Duration
	writeQueue  []Write
	writing     bool
	serving     bool
}

// link is one direction between two members, by their addresses.
type link struct{ from, to string }

// scheduledEvent runs a function at a time; events of the same time run in the order in which they were scheduled.
type scheduledEvent struct {
	at    time.Duration
	order int
	do    func()
}

// newCluster starts a cluster of founders that tolerates one fault.
func newCluster(t *testing.T, seed uint64, founders int) *cluster {
	t.Helper()
	return newClusterTolerating(t, seed, founders, 1)
}

// newClusterTolerating starts a cluster of founders that tolerates the given number of faults.
func newClusterTolerating(t testing.TB, seed uint64, founders, faults int) *cluster {
	t.Helper()
	c := &cluster{
		t:               t,
		rng:             rand.New(rand.NewPCG(seed, 1)),
		members:         make(map[string]*node),
		toleratedFaults: faults,
		blocked:         make(map[link]bool),
		linkFreeAt:      make(map[link]time.Duration),
		stateBytesSent:  make(map[link]int),
		replies:         make(map[uint64]int),
		reads:           make(map[uint64]bool),
	}
	var all []*protocol.Member
	for i := range founders {
		all = append(all, &protocol.Member{Id: uint64(i + 1), Number: uint32(i + 1), Address: fmt.Sprintf("m%d", i+1), Zone: fmt.Sprintf("z%d", i%3)})
	}
	for _, m := range all {
		content, err := journal.Snapshot(FoundingState(m, all))
		require.NoError(t, err)
		n := &node{address: m.GetAddress(), id: m.GetId(), file: content, syncedSize: len(content)}
		c.members[n.address] = n
		c.start(n)
	}
	return c
}

// forEachSeed runs a test once for each seed.
func forEachSeed(t *testing.T, count uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range count {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { run(t, seed) })
	}
}

// startJoiner starts a member with an empty disk, which asks to join.
func (c *cluster) startJoiner(address string) *node {
	c.t.Helper()
	n := &node{address: address}
	c.members[address] = n
	c.start(n)
	return n
}

// start starts a member with the content of its disk.
func (c *cluster) start(n *node) {
	c.t.Helper()
	state, validLength, err := journal.Read(n.file)
	require.NoError(c.t, err)
	n.file, n.syncedSize = n.file[:validLength], validLength
	if state.ID == 0 {
		n.id = c.rng.Uint64()
		state.ID = n.id
	}
	n.incarnation++
	n.running, n.writeQueue, n.writing = true, nil, false
	n.Machine = New(Config{
		Self:            &protocol.Member{Id: n.id, Address: n.address, Zone: "z" + n.address},
		Incarnation:     c.rng.Uint64(),
		ToleratedFaults: c.toleratedFaults,
		Contacts:        []string{"m1", "m2", "m3"},
		Seed:            c.rng.Uint64(),
		Timing:          DefaultTiming(),
	}, c.now, state)
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

// stop ends a member's process. With losePower, writes that were not synced may be lost.
func (c *cluster) stop(n *node, losePower bool) {
	n.running = false
	n.incarnation++
	if losePower && len(n.file) > n.syncedSize {
		n.file = n.file[:n.syncedSize+c.rng.IntN(len(n.file)-n.syncedSize+1)]
	}
}

// wipe empties a member's disk.
func (c *cluster) wipe(n *node) { n.file, n.syncedSize = nil, 0 }

// do carries out a member's actions.
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
	c.failedReads += len(a.ReadsFailed)
	for _, token := range a.ReadsReady {
		c.reads[token] = true
	}
}

// startWrite writes all queued writes with a single sync.
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

// encoded returns the file content for an image.
func encoded(i *journal.Image) []byte {
	content, err := i.Encode()
	if err != nil {
		panic(err)
	}
	return content
}

// send sends a message, which may be lost.
func (c *cluster) send(n *node, s protocol.Outbound) {
	if c.rng.Float64() < c.lossRate {
		return
	}
	to, path := c.members[s.To], link{n.address, s.To}
	if to == nil || c.blocked[path] {
		return
	}
	if s.Message.GetSyncReply() != nil {
		c.stateBytesSent[path] += proto.Size(s.Message)
	}
	if c.drop != nil && c.drop(n.address, s.To, s.Message) {
		return
	}
	incarnation := to.incarnation
	c.after(c.transmissionDelay(path, s.Message), func() {
		if to.running && to.incarnation == incarnation && !c.blocked[path] {
			began := time.Now()
			a := to.Receive(c.now, n.address, s.Message)
			if c.longestReceive != nil {
				c.longestReceive[s.To] = max(c.longestReceive[s.To], time.Since(began))
			}
			c.do(to, a)
		}
	})
}

// transmissionDelay returns how long a message takes. A link with a rate transmits messages one after the other.
func (c *cluster) transmissionDelay(path link, e *protocol.Envelope) time.Duration {
	delay := time.Duration(1000+c.rng.IntN(1000)) * time.Microsecond
	if c.linkRate == 0 {
		return delay
	}
	c.linkFreeAt[path] = max(c.linkFreeAt[path], c.now) + transferTime(proto.Size(e), c.linkRate)
	return c.linkFreeAt[path] - c.now + time.Millisecond
}

// after schedules a function.
func (c *cluster) after(d time.Duration, do func()) {
	c.lastOrder++
	c.events = append(c.events, scheduledEvent{at: c.now + d, order: c.lastOrder, do: do})
}

// play advances the virtual time and runs the events that are due.
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

// block loses all messages in one direction between two members.
func (c *cluster) block(from, to *node) { c.blocked[link{from.address, to.address}] = true }

// unblockAll ends all partitions.
func (c *cluster) unblockAll() { clear(c.blocked) }

// isolate blocks both directions between a member and all others.
func (c *cluster) isolate(n *node) {
	for _, other := range c.members {
		c.block(other, n)
		c.block(n, other)
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

// awaitHead waits up to a second for a serving head, which a change of the view interrupts, and returns it.
func (c *cluster) awaitHead() *node {
	c.t.Helper()
	for until := c.now + time.Second; c.head() == nil && c.now < until; {
		c.play(tick)
	}
	require.NotNil(c.t, c.head(), "no member serves after a second")
	return c.head()
}

// memberOutsideChain returns a running member outside the chain.
func (c *cluster) memberOutsideChain() *node {
	for _, address := range []string{"m1", "m2", "m3", "m4", "m5"} {
		if n := c.members[address]; n != nil && n.running && n.chainPosition() < 0 {
			return n
		}
	}
	return nil
}

// write appends an item and reports whether the head has accepted it.
func (c *cluster) write(id uint64) bool {
	h := c.head()
	if h == nil {
		return false
	}
	_, a, err := h.Append(c.now, &protocol.Entry{
		Puts:    []*protocol.Put{{Key: fmt.Sprintf("k%d", id), Value: []byte{byte(id)}}},
		Replies: []*protocol.Reply{{Reply: &protocol.ClientReply{Id: id}}},
	})
	c.do(h, a)
	return err == nil
}

// awaitWrite repeats a write until it has a reply and returns how long that took.
func (c *cluster) awaitWrite(id uint64, within time.Duration) time.Duration {
	c.t.Helper()
	began := c.now
	for c.now-began < within {
		if h := c.head(); h != nil && h.CanAppend() && c.replies[id] == 0 {
			c.write(id)
		}
		c.play(50 * time.Millisecond)
		if c.replies[id] > 0 {
			return c.now - began
		}
	}
	c.t.Fatalf("write %d has no reply within %v", id, within)
	return 0
}

// fill writes items of itemBytes each, many per entry, until the state has grown by approximately the given number of bytes.
func (c *cluster) fill(bytes int) {
	c.t.Helper()
	const perEntry = 100
	for written := 0; written < bytes; {
		h := c.awaitHead()
		e := &protocol.Entry{}
		for range perEntry {
			c.itemsWritten++
			value := make([]byte, itemBytes)
			copy(value, fmt.Sprintf("value %d", c.itemsWritten))
			e.Puts = append(e.Puts, &protocol.Put{Key: fmt.Sprintf("item%d", c.itemsWritten), Value: value})
			written += itemBytes
		}
		_, a, err := h.Append(c.now, e)
		require.NoError(c.t, err)
		c.do(h, a)
		c.play(20 * time.Millisecond)
	}
	c.play(200 * time.Millisecond)
}

// requireNoWriteLost requires every write that has a reply to be in the state of the serving head.
func (c *cluster) requireNoWriteLost() {
	c.t.Helper()
	h := c.head()
	require.NotNil(c.t, h, "no member serves")
	for id := range c.replies {
		_, ok := h.Store().Get(fmt.Sprintf("k%d", id))
		require.True(c.t, ok, "write %d has a reply but is missing at head %s", id, h.address)
	}
}

// requireSameState requires two members to hold the same items.
func (c *cluster) requireSameState(a, b *node) {
	c.t.Helper()
	require.Equal(c.t, a.Store().Len(), b.Store().Len())
	require.Equal(c.t, store.CombineDigests(a.Store().Digests()), store.CombineDigests(b.Store().Digests()))
}

// stateSentTo returns how many bytes of state were sent to a member.
func (c *cluster) stateSentTo(address string) (bytes int) {
	for path, sent := range c.stateBytesSent {
		if path.to == address {
			bytes += sent
		}
	}
	return bytes
}

// transferTime returns the time to transfer a number of bytes at a rate in bytes per second.
func transferTime(bytes, rate int) time.Duration {
	return time.Duration(float64(bytes) / float64(rate) * float64(time.Second))
}
