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
	ProbeRate   float64       // runners asked in a second
	Number      int           // this dispatcher's, from 0
	Dispatchers int           // how many start alike
	WarmUp      time.Duration // after so long a runner has all that it can do

	PlannedDowntime time.Duration // since a planned end that is known of; 0 for an end of another kind

	Outage       time.Duration // discovery has been away that long: its next list may be doubted
	MaxMissing   float64       // share of what is known that a list may lack unasked
	DoubtTimeout time.Duration // and is believed after this at the latest
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

// clockSkew is how far ahead another machine's clock may be.
const clockSkew = 5 * time.Second

// Age tells what an age means. Guards against a clock that went back, as after a power
// cut: what was confirmed in the future was confirmed at an unknown time, neither lately
// nor too long ago to ask.
func (c *Config) Age(now, confirmed time.Duration) Age {
	switch age := now - confirmed; {
	case age < -clockSkew:
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
	TimedOut                  // it said nothing in time
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
	minProbeBackoff = time.Second
	maxProbeBackoff = 30 * time.Second
	// minAnswerInterval is the least time between two good answers that both count.
	minAnswerInterval = time.Second
)

// runner is a runner of the book.
type runner struct {
	Stored
	age           Age
	standing      Standing
	reason        string
	answersNeeded int           // further good answers before it is used
	lastSuccess   time.Duration // of the last one that counted
	coldFrom      time.Duration
	proven        bool // it has run a job since
	failures      int  // bad answers in a row
	probeAt       time.Duration
	probing       bool
	owned         bool
}

// StateTable holds the runners of a stored list that discovery has not spoken of since.
type StateTable struct {
	cfg        Config
	rng        *rand.Rand
	runners    map[string]*runner
	probeOrder []*runner // as they are asked first
	nextProbe  time.Duration
	startedAt  time.Duration
	owners     int // how many dispatchers use one runner while it is cold
}

// coldPerDispatcher is how many cold runners a dispatcher is to have for itself, so that it
// can serve something at once; in a small fleet several share them.
const coldPerDispatcher = 4

// New makes a book of a stored list.
func New(cfg Config, now time.Duration, stored []Stored, seed uint64) *StateTable {
	table := &StateTable{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 3)), runners: map[string]*runner{}, startedAt: now, nextProbe: now}
	all := max(cfg.Dispatchers, 1)
	usable := 0
	for _, s := range stored {
		runner := &runner{Stored: s, age: cfg.Age(now, s.Confirmed), probeAt: now}
		table.runners[s.UID] = runner
		runner.reason = runner.age.String()
		switch {
		case s.Barred:
			runner.standing, runner.reason = Barred, "it was draining or left out"
		case runner.age == Unusable:
			runner.standing = Rejected
		default:
			usable++
			runner.answersNeeded = [...]int{Fresh: 0, Old: 1, VeryOld: 2}[runner.age]
			if s.Failing {
				runner.answersNeeded++
			}
		}
	}
	table.owners = min(max((coldPerDispatcher*all+usable-1)/max(usable, 1), 1), all)
	for _, s := range stored {
		runner := table.runners[s.UID]
		runner.owned = table.Owned(s.UID)
		if runner.standing == Withheld {
			table.probeOrder = append(table.probeOrder, runner)
			if runner.answersNeeded == 0 {
				table.admit(runner, now)
			}
		}
	}
	// Whom this dispatcher may use first, then its zone, then the youngest: by a draw
	// where all is equal, so that dispatchers don't ask the same ones first.
	draw := map[*runner]uint64{}
	for _, runner := range table.probeOrder {
		draw[runner] = table.rng.Uint64()
	}
	slices.SortFunc(table.probeOrder, func(x, y *runner) int {
		return cmp.Or(trueFirst(x.owned, y.owned), trueFirst(x.Zone == cfg.Zone, y.Zone == cfg.Zone),
			cmp.Compare(x.age, y.age), trueFirst(!x.Failing, !y.Failing), cmp.Compare(draw[x], draw[y]))
	})
	return table
}

// trueFirst orders what holds before what does not.
func trueFirst(a, table bool) int {
	switch {
	case a && !table:
		return -1
	case table && !a:
		return 1
	}
	return 0
}

// Owned tells whether this dispatcher is one of those that may use a runner while it is
// cold: all of them know it by the same draw (rendezvous hashing), so that together they
// keep to its ration without a word to each other.
func (table *StateTable) Owned(uid string) bool {
	mine, higher := rendezvousWeight(uid, table.cfg.Number), 0
	for i := range max(table.cfg.Dispatchers, 1) {
		if w := rendezvousWeight(uid, i); i != table.cfg.Number && (w > mine || w == mine && i < table.cfg.Number) {
			higher++
		}
	}
	return higher < table.owners
}

func rendezvousWeight(uid string, number int) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(number) + 1)
	_, _ = d.WriteString(uid) // to memory
	return d.Sum64()
}

// RationDivisor returns by how much a cold runner's ration is to be divided: twice the number of
// dispatchers that use it. The module meters its ration as a leaky bucket as deep as it
// drains in a window, which lets through up to twice that within one window; for a runner
// that has all its work from this ration that would be twice what it bears.
func (table *StateTable) RationDivisor() int { return 2 * table.owners }

// admit has a runner used: by this dispatcher at once if it is one of those that share it
// while it is cold, else when it is warm. Guards rule 4: what its users send and what all
// others would send comes to twice what it bears.
func (table *StateTable) admit(runner *runner, now time.Duration) {
	runner.coldFrom = now // it may have started at this very moment
	if table.cfg.PlannedDowntime > 0 && table.cfg.PlannedDowntime <= plannedRestartWindow && now == table.startedAt && now-runner.Confirmed <= plannedRestartWindow {
		runner.coldFrom = runner.ColdFrom
	}
	switch {
	case runner.coldFrom+table.cfg.WarmUp <= now:
		runner.standing, runner.reason = Used, runner.age.String()+", as warm as it was before a planned restart"
	case runner.owned:
		runner.standing, runner.reason = Used, runner.age.String()+", possibly cold"
	default:
		runner.standing, runner.reason = Waiting, "others use it while it is cold"
	}
}

// plannedRestartWindow is how long after a planned end runners are as they were. A power cut ends no
// dispatcher as planned, or keeps it away for longer; a runner of its own that starts again
// just then is one, and its first jobs tell.
const plannedRestartWindow = 5 * time.Second

// Tick returns the runners whose standing has changed with the time alone: those that are
// warm by now, and when to call again; never for none.
func (table *StateTable) Tick(now time.Duration) (changed []string, next time.Duration) {
	next = never
	for uid, runner := range table.runners {
		if runner.standing != Waiting {
			continue
		}
		if at := runner.coldFrom + table.cfg.WarmUp; now < at {
			next = min(next, at)
			continue
		}
		runner.standing, runner.reason = Used, "warm by now"
		changed = append(changed, uid)
	}
	slices.Sort(changed)
	return changed, next
}

// NextProbes returns the runners that are to be asked now, at most so many, and when to call
// again; never for nobody. They count as being asked until Hear.
func (table *StateTable) NextProbes(now time.Duration, limit int) (uids []string, next time.Duration) {
	interval := time.Duration(float64(time.Second) / max(table.cfg.ProbeRate, 0.001))
	next = never
	for _, runner := range table.probeOrder {
		if table.runners[runner.UID] != runner || runner.probing || runner.standing == Rejected || runner.standing == Used && runner.proven && runner.failures == 0 {
			continue
		}
		at := max(runner.probeAt, table.nextProbe-probeBurst*interval)
		if at > now {
			next = min(next, at)
			continue
		}
		if len(uids) >= limit {
			break // an answer makes room
		}
		runner.probing = true
		uids = append(uids, runner.UID)
		table.nextProbe = max(table.nextProbe, now) + interval
	}
	return uids, next
}

const (
	never = time.Duration(1<<63 - 1)
	// probeBurst is how many may be asked at once after a rest.
	probeBurst = 8
)

// Observe takes in what was found of a runner, and reports whether its standing changed.
func (table *StateTable) Observe(now time.Duration, uid string, e Evidence) (changed bool) {
	runner := table.runners[uid]
	if runner == nil {
		return false
	}
	runner.probing = false
	if runner.standing == Barred || runner.standing == Rejected {
		return false // evidence undoes neither
	}
	was := runner.standing
	if e.Good() {
		runner.failures = 0
		table.recordSuccess(runner, now, e)
	} else {
		table.recordFailure(runner, now, e)
	}
	return runner.standing != was
}

func (table *StateTable) recordSuccess(runner *runner, now time.Duration, e Evidence) {
	runner.probeAt = now + minAnswerInterval
	if e == Started {
		runner.proven, runner.answersNeeded = true, 0 // nobody else has its name
	} else if runner.answersNeeded > 0 && (runner.lastSuccess == 0 || now >= runner.lastSuccess+minAnswerInterval) {
		runner.answersNeeded--
		runner.lastSuccess = now
	}
	if runner.answersNeeded == 0 {
		if runner.standing == Withheld {
			table.admit(runner, now)
		}
		runner.probeAt = now + maxProbeBackoff // looked at now and then until it has run a job
	}
}

func (table *StateTable) recordFailure(runner *runner, now time.Duration, e Evidence) {
	if e == Impostor {
		runner.standing, runner.reason = Rejected, "something else answers at its address"
		return
	}
	runner.failures++
	runner.probeAt = now + time.Duration(table.rng.Float64()*float64(min(minProbeBackoff<<min(runner.failures, 10), maxProbeBackoff)))
	if runner.proven && runner.failures < 2 && (e == Broken || e == Busy) {
		return // one such end says little of a runner that works
	}
	runner.standing, runner.reason, runner.proven = Withheld, e.String(), false
	runner.answersNeeded, runner.lastSuccess = max(runner.answersNeeded, 1), 0
}

// Standing returns what may be done with a runner, since when it may have been cold, and
// why. Of one that the book does not hold nothing is known.
func (table *StateTable) Standing(uid string) (s Standing, coldFrom time.Duration, reason string) {
	runner := table.runners[uid]
	if runner == nil {
		return Rejected, 0, "unknown"
	}
	return runner.standing, runner.coldFrom, runner.reason
}

// SetExcluded bars a runner, as operators leave it out, or lets it be asked again.
func (table *StateTable) SetExcluded(uid string, excluded bool) (changed bool) {
	runner := table.runners[uid]
	switch {
	case runner == nil || runner.standing == Rejected || excluded == (runner.standing == Barred):
		return false
	case excluded:
		runner.standing, runner.reason = Barred, "operators have left it out"
	default:
		runner.standing, runner.reason, runner.answersNeeded, runner.probeAt = Withheld, "put back by operators", max(runner.answersNeeded, 1), 0
		if !slices.Contains(table.probeOrder, runner) {
			table.probeOrder = append(table.probeOrder, runner)
		}
	}
	return true
}

// Remove drops a runner from the book: discovery has spoken of it.
func (table *StateTable) Remove(uid string) { delete(table.runners, uid) }

// RejectAddress rejects runners whose address discovery gives to another one, and returns them.
func (table *StateTable) RejectAddress(addr, by string) (uids []string) {
	for uid, runner := range table.runners {
		if runner.Addr == addr && uid != by && runner.standing != Rejected {
			runner.standing, runner.reason = Rejected, "its address is "+by+"'s now"
			uids = append(uids, uid)
		}
	}
	slices.Sort(uids)
	return uids
}

// Count returns how many runners the book still holds, how many of them get work and how
// many don't yet.
func (table *StateTable) Count() (all, used, withheld int) {
	for _, runner := range table.runners {
		switch runner.standing {
		case Used:
			used++
		case Withheld, Waiting:
			withheld++
		}
	}
	return len(table.runners), used, withheld
}

// UIDs returns the runners that the book still holds, by name.
func (table *StateTable) UIDs() []string {
	uids := make([]string, 0, len(table.runners))
	for uid := range table.runners {
		uids = append(uids, uid)
	}
	slices.Sort(uids)
	return uids
}
