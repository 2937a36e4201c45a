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
)

// The explorer plays the members' state machines through every schedule that departs from a baseline in up to two steps. At
// each step the baseline finishes a write, else delivers the oldest message, else advances the time. A departure loses,
// duplicates or delays the next message, fails or delays the next write, crashes a member with or without its unsynced
// writes, wipes a disk, pauses a member or isolates it. A departure after which the state soon equals the baseline's again
// is not combined with a second one: what that would lead to has been played already.
//
// CI plays a part of the schedules. All single departures and every 997th pair:
//
//	go test ./internal/control/replica -run TestExplore -v -explore.singles 1 -explore.pairs 997 -explore.workers 8 -timeout 0
var (
	exploreSingles = flag.Int("explore.singles", usualSingles, "play every n-th departure, 1 for all")
	explorePairs   = flag.Int("explore.pairs", usualPairs, "play every n-th pair of departures, 1 for all")
	exploreWorkers = flag.Int("explore.workers", 2, "schedules played at once; few, as other packages' tests depend on the time")
)

const (
	exploreTick         = 50 * time.Millisecond
	exploreSteps        = 420                    // steps in which departures happen
	exploreHealTime     = 4 * time.Second        // time in which writes have replies again
	exploreRestartDelay = 150 * time.Millisecond // time until a crashed member restarts
	exploreStall        = 900 * time.Millisecond // duration of delays, pauses and partitions
	// exploreMaxStepsPerInstant is how many steps there may be without the time advancing.
	exploreMaxStepsPerInstant = 2000
	// exploreFoldAfter is how many steps after a departure its state is compared with the baseline's.
	exploreFoldAfter = 160
)

// departureKind is how a schedule departs from the baseline at a step.
type departureKind int

const (
	loseMessage departureKind = iota
	duplicateMessage
	delayMessage
	failWrite
	delayWrite
	crashAndLose // unsynced writes are lost
	crashAndKeep // unsynced writes are kept
	wipeDisk
	pauseMember
	isolateBoth
	isolateInbound
	isolateOutbound
	departureKinds
)

// departureNames are the names of the kinds, in their order.
var departureNames = [...]string{"lose message", "duplicate message", "delay message", "fail write", "delay write", "crash, unsynced lost",
	"crash, unsynced kept", "wipe disk", "pause", "isolate", "isolate inbound", "isolate outbound"}

// departure is one step in which a schedule departs from the baseline.
type departure struct {
	step   int
	kind   departureKind
	member int
}

// String returns the departure as reports of violations show it.
func (d departure) String() string {
	return fmt.Sprintf("step %d: %s at m%d", d.step, departureNames[d.kind], d.member+1)
}

// depart plays a departure. It returns false where the step of the baseline follows.
func (x *exploration) depart(d departure, writer, message int) bool {
	n := x.members[d.member%len(x.members)]
	switch d.kind {
	case loseMessage:
		x.inFlight = slices.Delete(x.inFlight, message, message+1)
		return true
	case duplicateMessage:
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
		x.crash(n, d.kind)
	case pauseMember:
		n.pausedUntil = x.now + exploreStall
	case isolateBoth, isolateInbound, isolateOutbound:
		x.isolate(d.member, d.kind)
	}
	return true
}

// crash ends a member's process, which restarts after exploreRestartDelay.
func (x *exploration) crash(n *exploredMember, kind departureKind) {
	switch kind {
	case crashAndKeep:
		for _, w := range n.queue {
			if w.Image == nil {
				n.file = append(n.file, w.Data...)
			}
		}
	case wipeDisk:
		n.file = nil
	}
	n.running, n.queue, n.pausedUntil = false, nil, x.now+exploreRestartDelay
}

// isolate blocks a member's links, in one direction or both.
func (x *exploration) isolate(member int, kind departureKind) {
	for other := range x.members {
		if kind != isolateOutbound {
			x.blockedUntil[[2]int{other, member}] = x.now + exploreStall
		}
		if kind != isolateInbound {
			x.blockedUntil[[2]int{member, other}] = x.now + exploreStall
		}
	}
}

// possible reports whether a departure has any effect in the current state. Departures of messages and writes apply to
// the next one, whatever the member: they are listed for the first member only.
func (x *exploration) possible(kind departureKind, member int) bool {
	switch kind {
	case loseMessage, duplicateMessage, delayMessage:
		return member == 0 && x.writer() < 0 && x.message() >= 0
	case failWrite, delayWrite:
		return member == 0 && x.writer() >= 0
	default:
		return x.members[member].running
	}
}

// schedule plays the baseline with departures. It returns the first violation, and the fingerprint of the state after a
// number of steps.
func schedule(joiner bool, departures []departure, fold int) (violation string, folded uint64) {
	x := newExploration(joiner)
	for x.step < exploreSteps && x.violation == "" {
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
	if x.violation == "" {
		x.heal()
	}
	return x.violation, folded
}

// baseline plays the baseline and returns all departures from it, and the fingerprint of the state before each step.
func baseline(joiner bool) (all []departure, states []uint64) {
	x := newExploration(joiner)
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

// inParallel calls f with every number below n, exploreWorkers at once.
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

// everyNth returns every n-th departure.
func everyNth(all []departure, n int) (out []departure) {
	for i := 0; i < len(all); i += n {
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
			firsts := playSingles(t, joiner, all, states)
			played := playPairs(t, joiner, all, firsts)
			t.Logf("%d steps, %d departures, of which %d have a lasting effect; %d pairs played of %d; %v",
				exploreSteps, len(all), len(firsts), played, len(firsts)*len(all)/2, time.Since(began).Round(time.Second))
		})
	}
}

// playSingles plays schedules with one departure, and returns the departures with a lasting effect.
func playSingles(t *testing.T, joiner bool, all []departure, states []uint64) (lasting []departure) {
	t.Helper()
	lasts := make([]bool, len(all))
	inParallel(len(all), func(i int) {
		fold := min(all[i].step+exploreFoldAfter, exploreSteps-1)
		violation, state := schedule(joiner, all[i:i+1], fold)
		lasts[i] = state != states[fold]
		if violation != "" {
			t.Errorf("%s\n  with %v", violation, all[i:i+1])
		}
	})
	for i := range all {
		if lasts[i] {
			lasting = append(lasting, all[i])
		}
	}
	return lasting
}

// playPairs plays schedules with two departures, the first of which has a lasting effect, and returns their number.
func playPairs(t *testing.T, joiner bool, all, firsts []departure) int64 {
	t.Helper()
	var played atomic.Int64
	inParallel(len(firsts)*len(all) / *explorePairs, func(n int) {
		pair := n * *explorePairs
		first, second := firsts[pair/len(all)], all[pair%len(all)]
		if t.Failed() || second.step <= first.step || first.kind == wipeDisk && second.kind == wipeDisk {
			return
		}
		played.Add(1)
		if violation, _ := schedule(joiner, []departure{first, second}, -1); violation != "" {
			t.Errorf("%s\n  with %v", violation, []departure{first, second})
		}
	})
	return played.Load()
}
