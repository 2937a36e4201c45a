// Package rosterpolicy decides what may be used of a list that nobody confirms: which runners of
// a stored list get work, from when on they count as cold, whom to ask first, and whether
// a list that discovery gives after an outage is believed. It does no I/O and reads no
// clock; equal calls lead to equal answers.
package rosterpolicy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the bounds. Ages count from when somebody last spoke for a runner.
type Config struct {
	Fresh time.Duration // up to this a runner is used without being asked first
	Old   time.Duration // up to this one good answer is enough
	Max   time.Duration // past this it is not used at all

	Zone        string        // runners of this zone are asked first
	Rate        float64       // runners asked in a second
	Number      int           // this dispatcher's, from 0
	Dispatchers int           // how many start alike
	Warm        time.Duration // after so long a runner has all that it can do

	Planned time.Duration // since a planned end that is known of; 0 for an end of another kind

	Outage time.Duration // discovery has been away that long: its next list may be doubted
	Lost   float64       // share of what is known that a list may lack unasked
	Doubt  time.Duration // and is believed after this at the latest
}

// Age is what the time since a runner was last confirmed means.
type Age uint8

// The ages.
const (
	Fresh Age = iota
	Old
	VeryOld
	Unusable
)

// String returns the age in plain words.
func (a Age) String() string { return [...]string{"fresh", "old", "very old", "unusable"}[a] }

// skew is how far ahead another machine's clock may be.
const skew = 5 * time.Second

// Age tells what an age means. Guards against a clock that went back, as after a power
// cut: what was confirmed in the future was confirmed at an unknown time, neither lately
// nor too long ago to ask.
func (c *Config) Age(now, confirmed time.Duration) Age {
	switch age := now - confirmed; {
	case age < -skew:
		return VeryOld
	case age <= c.Fresh:
		return Fresh
	case age <= c.Old:
		return Old
	case age <= c.Max:
		return VeryOld
	}
	return Unusable
}

// Stored is a runner of a stored list.
type Stored struct {
	UID, Addr, Zone string
	Confirmed       time.Duration // since 1970
	Barred          bool          // it drained, or operators had left it out
	Failing         bool          // it failed its last jobs
	ColdFrom        time.Duration // it may have started then, by what was known; 0 for long ago
}

// Evidence is what is found of a runner.
type Evidence uint8

// The kinds of evidence.
const (
	Answered  Evidence = iota // it answers as a runner would, at its address
	Connected                 // something listens there; more can't be asked
	Started                   // it has told, by its own name, that a job runs
	Refused                   // nothing listens there
	Broken                    // the connection broke
	Busy                      // it answers that it is not well
	Silent                    // it said nothing in time
	Impostor                  // something else answers there
)

// String returns the evidence in one word.
func (e Evidence) String() string {
	return [...]string{"answered", "connected", "started", "refused", "broken", "busy", "silent", "impostor"}[e]
}

// Good tells whether evidence speaks for a runner.
func (e Evidence) Good() bool { return e <= Started }

// Standing is what may be done with a runner now.
type Standing uint8

// The standings.
const (
	Withheld Standing = iota // nothing yet: it may be asked
	Waiting                  // it is well, and others use it while it is cold
	Used                     // work, within the ration of a cold one until it is warm
	Barred                   // nothing until discovery, or the operators, say otherwise
	Rejected                 // nothing until discovery lists it: too old, or not who it was
)

// String returns the standing in one word.
func (s Standing) String() string {
	return [...]string{"withheld", "waiting", "used", "barred", "rejected"}[s]
}

// The times of asking again: full jitter under a bound that doubles with each bad answer.
const (
	againFirst = time.Second
	againMost  = 30 * time.Second
	// apart is the least time between two good answers that both count.
	apart = time.Second
)

// node is a runner of the book.
type node struct {
	Stored
	age      Age
	standing Standing
	why      string
	needs    int           // further good answers before it is used
	goodAt   time.Duration // of the last one that counted
	coldFrom time.Duration
	proven   bool // it has run a job since
	bad      int  // bad answers in a row
	due      time.Duration
	asking   bool
	owned    bool
}

// Book holds the runners of a stored list that discovery has not spoken of since.
type Book struct {
	cfg   Config
	rng   *rand.Rand
	nodes map[string]*node
	order []*node // as they are asked first
	free  time.Duration
	start time.Duration
	share int // how many dispatchers use one runner while it is cold
}

// perDispatcher is how many cold runners a dispatcher is to have for itself, so that it
// can serve something at once; in a small fleet several share them.
const perDispatcher = 4

// New makes a book of a stored list.
func New(cfg Config, now time.Duration, stored []Stored, seed uint64) *Book {
	b := &Book{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 3)), nodes: map[string]*node{}, start: now, free: now}
	all := max(cfg.Dispatchers, 1)
	usable := 0
	for _, s := range stored {
		n := &node{Stored: s, age: cfg.Age(now, s.Confirmed), due: now}
		b.nodes[s.UID] = n
		n.why = n.age.String()
		switch {
		case s.Barred:
			n.standing, n.why = Barred, "it was draining or left out"
		case n.age == Unusable:
			n.standing = Rejected
		default:
			usable++
			n.needs = [...]int{Fresh: 0, Old: 1, VeryOld: 2}[n.age]
			if s.Failing {
				n.needs++
			}
		}
	}
	b.share = min(max((perDispatcher*all+usable-1)/max(usable, 1), 1), all)
	for _, s := range stored {
		n := b.nodes[s.UID]
		n.owned = b.Owned(s.UID)
		if n.standing == Withheld {
			b.order = append(b.order, n)
			if n.needs == 0 {
				b.use(n, now)
			}
		}
	}
	// Whom this dispatcher may use first, then its zone, then the youngest: by a draw
	// where all is equal, so that dispatchers don't ask the same ones first.
	draw := map[*node]uint64{}
	for _, n := range b.order {
		draw[n] = b.rng.Uint64()
	}
	slices.SortFunc(b.order, func(x, y *node) int {
		return cmp.Or(first(x.owned, y.owned), first(x.Zone == cfg.Zone, y.Zone == cfg.Zone),
			cmp.Compare(x.age, y.age), first(!x.Failing, !y.Failing), cmp.Compare(draw[x], draw[y]))
	})
	return b
}

// first orders what holds before what does not.
func first(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	}
	return 0
}

// Owned tells whether this dispatcher is one of those that may use a runner while it is
// cold: all of them know it by the same draw (rendezvous hashing), so that together they
// keep to its ration without a word to each other.
func (b *Book) Owned(uid string) bool {
	mine, before := weight(uid, b.cfg.Number), 0
	for i := range max(b.cfg.Dispatchers, 1) {
		if w := weight(uid, i); i != b.cfg.Number && (w > mine || w == mine && i < b.cfg.Number) {
			before++
		}
	}
	return before < b.share
}

func weight(uid string, number int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(number) + 1)
	_, _ = d.WriteString(uid) // to memory
	return d.Sum64()
}

// Share returns by how much a cold runner's ration is to be divided: twice the number of
// dispatchers that use it. The module meters its ration as a leaky bucket as deep as it
// drains in a window, which lets through up to twice that within one window; for a runner
// that has all its work from this ration that would be twice what it bears.
func (b *Book) Share() int { return 2 * b.share }

// use has a runner used: by this dispatcher at once if it is one of those that share it
// while it is cold, else when it is warm. Guards rule 4: what its users send and what all
// others would send comes to twice what it bears.
func (b *Book) use(n *node, now time.Duration) {
	n.coldFrom = now // it may have started at this very moment
	if b.cfg.Planned > 0 && b.cfg.Planned <= pause && now == b.start && now-n.Confirmed <= pause {
		n.coldFrom = n.ColdFrom
	}
	switch {
	case n.coldFrom+b.cfg.Warm <= now:
		n.standing, n.why = Used, n.age.String()+", as warm as it was before a planned restart"
	case n.owned:
		n.standing, n.why = Used, n.age.String()+", possibly cold"
	default:
		n.standing, n.why = Waiting, "others use it while it is cold"
	}
}

// pause is how long after a planned end runners are as they were. A power cut ends no
// dispatcher as planned, or keeps it away for longer; a runner of its own that starts again
// just then is one, and its first jobs tell.
const pause = 5 * time.Second

// Tick returns the runners whose standing has changed with the time alone: those that are
// warm by now, and when to call again; never for none.
func (b *Book) Tick(now time.Duration) (changed []string, next time.Duration) {
	next = never
	for uid, n := range b.nodes {
		if n.standing != Waiting {
			continue
		}
		if at := n.coldFrom + b.cfg.Warm; now < at {
			next = min(next, at)
			continue
		}
		n.standing, n.why = Used, "warm by now"
		changed = append(changed, uid)
	}
	slices.Sort(changed)
	return changed, next
}

// Ask returns the runners that are to be asked now, at most so many, and when to call
// again; never for nobody. They count as being asked until Hear.
func (b *Book) Ask(now time.Duration, room int) (uids []string, next time.Duration) {
	gap := time.Duration(float64(time.Second) / max(b.cfg.Rate, 0.001))
	next = never
	for _, n := range b.order {
		if b.nodes[n.UID] != n || n.asking || n.standing == Rejected || n.standing == Used && n.proven && n.bad == 0 {
			continue
		}
		at := max(n.due, b.free-burst*gap)
		if at > now {
			next = min(next, at)
			continue
		}
		if len(uids) >= room {
			break // an answer makes room
		}
		n.asking = true
		uids = append(uids, n.UID)
		b.free = max(b.free, now) + gap
	}
	return uids, next
}

const (
	never = time.Duration(1<<63 - 1)
	// burst is how many may be asked at once after a rest.
	burst = 8
)

// Hear takes in what was found of a runner, and reports whether its standing changed.
func (b *Book) Hear(now time.Duration, uid string, e Evidence) (changed bool) {
	n := b.nodes[uid]
	if n == nil {
		return false
	}
	n.asking = false
	if n.standing == Barred || n.standing == Rejected {
		return false // evidence undoes neither
	}
	was := n.standing
	if e.Good() {
		n.bad = 0
		b.good(n, now, e)
	} else {
		b.ill(n, now, e)
	}
	return n.standing != was
}

func (b *Book) good(n *node, now time.Duration, e Evidence) {
	n.due = now + apart
	if e == Started {
		n.proven, n.needs = true, 0 // nobody else has its name
	} else if n.needs > 0 && (n.goodAt == 0 || now >= n.goodAt+apart) {
		n.needs--
		n.goodAt = now
	}
	if n.needs == 0 {
		if n.standing == Withheld {
			b.use(n, now)
		}
		n.due = now + againMost // looked at now and then until it has run a job
	}
}

func (b *Book) ill(n *node, now time.Duration, e Evidence) {
	if e == Impostor {
		n.standing, n.why = Rejected, "something else answers at its address"
		return
	}
	n.bad++
	n.due = now + time.Duration(b.rng.Float64()*float64(min(againFirst<<min(n.bad, 10), againMost)))
	if n.proven && n.bad < 2 && (e == Broken || e == Busy) {
		return // one such end says little of a runner that works
	}
	n.standing, n.why, n.proven = Withheld, e.String(), false
	n.needs, n.goodAt = max(n.needs, 1), 0
}

// Standing returns what may be done with a runner, since when it may have been cold, and
// why. Of one that the book does not hold nothing is known.
func (b *Book) Standing(uid string) (s Standing, coldFrom time.Duration, why string) {
	n := b.nodes[uid]
	if n == nil {
		return Rejected, 0, "unknown"
	}
	return n.standing, n.coldFrom, n.why
}

// Bar bars a runner, as operators leave it out, or lets it be asked again.
func (b *Book) Bar(uid string, out bool) (changed bool) {
	n := b.nodes[uid]
	switch {
	case n == nil || n.standing == Rejected || out == (n.standing == Barred):
		return false
	case out:
		n.standing, n.why = Barred, "operators have left it out"
	default:
		n.standing, n.why, n.needs, n.due = Withheld, "put back by operators", max(n.needs, 1), 0
		if !slices.Contains(b.order, n) {
			b.order = append(b.order, n)
		}
	}
	return true
}

// Settle drops a runner from the book: discovery has spoken of it.
func (b *Book) Settle(uid string) { delete(b.nodes, uid) }

// Taken rejects runners whose address discovery gives to another one, and returns them.
func (b *Book) Taken(addr, by string) (uids []string) {
	for uid, n := range b.nodes {
		if n.Addr == addr && uid != by && n.standing != Rejected {
			n.standing, n.why = Rejected, "its address is "+by+"'s now"
			uids = append(uids, uid)
		}
	}
	slices.Sort(uids)
	return uids
}

// Count returns how many runners the book still holds, how many of them get work and how
// many don't yet.
func (b *Book) Count() (all, used, withheld int) {
	for _, n := range b.nodes {
		switch n.standing {
		case Used:
			used++
		case Withheld, Waiting:
			withheld++
		}
	}
	return len(b.nodes), used, withheld
}

// Left returns the runners that the book still holds, by name.
func (b *Book) Left() []string {
	uids := make([]string, 0, len(b.nodes))
	for uid := range b.nodes {
		uids = append(uids, uid)
	}
	slices.Sort(uids)
	return uids
}
