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

// The explorer runs the members' state machines through every schedule that deviates from a baseline in up to two steps. At
// each step the baseline finishes a write, else delivers the oldest message, else advances the time. A deviation loses,
// duplicates or delays the next message, fails or delays the next write, crashes a member with or without its unsynced
// writes, wipes a disk, pauses a member or isolates it. A deviation after which the state soon equals the baseline's again
// is not combined with a second one: the second one alone covers these schedules.
//
// CI runs a part of the schedules. This command runs all single deviations and every 997th pair:
//
//	go test ./internal/control/replica -run TestExplore -v -explore.singles 1 -explore.pairs 997 -explore.workers 8 -timeout 0
var (
	exploreSingles = flag.Int("explore.singles", defaultSinglesStride, "run every n-th deviation, 1 for all")
	explorePairs   = flag.Int("explore.pairs", defaultPairsStride, "run every n-th pair of deviations, 1 for all")
	exploreWorkers = flag.Int("explore.workers", 2, "schedules run in parallel; few, because tests of other packages depend on timing")
)

const (
	exploreTick         = 50 * time.Millisecond
	exploreSteps        = 420                    // steps in which deviations happen
	exploreHealTime     = 4 * time.Second        // time after the last step within which a write must have a reply again
	exploreRestartDelay = 150 * time.Millisecond // time until a crashed member restarts
	exploreStall        = 900 * time.Millisecond // duration of delays, pauses and partitions
	// exploreMaxStepsPerInstant is the maximum number of steps without an advance of the time.
	exploreMaxStepsPerInstant = 2000
	// exploreCompareAfter is the number of steps after a deviation until the state is compared with the baseline's.
	exploreCompareAfter = 160
)

// deviationKind is how a schedule deviates from the baseline at a step.
type deviationKind int

const (
	loseMessage deviationKind = iota
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
	deviationKinds
)

// deviationNames are the names of the kinds, in their order.
var deviationNames = [...]string{"lose message", "duplicate message", "delay message", "fail write", "delay write", "crash, unsynced lost",
	"crash, unsynced kept", "wipe disk", "pause", "isolate", "isolate inbound", "isolate outbound"}

// deviation is one step in which a schedule deviates from the baseline.
type deviation struct {
	step   int
	kind   deviationKind
	member int
}

// String formats the deviation for reports of violations.
func (d deviation) String() string {
	return fmt.Sprintf("step %d: %s at m%d", d.step, deviationNames[d.kind], d.member+1)
}

// deviate runs a deviation in place of a step of the baseline, and returns false if the baseline's step still has to run.
func (x *exploration) deviate(d deviation, writer, message int) bool {
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
func (x *exploration) crash(n *exploredMember, kind deviationKind) {
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
func (x *exploration) isolate(member int, kind deviationKind) {
	for other := range x.members {
		if kind != isolateOutbound {
			x.blockedUntil[[2]int{other, member}] = x.now + exploreStall
		}
		if kind != isolateInbound {
			x.blockedUntil[[2]int{member, other}] = x.now + exploreStall
		}
	}
}

// applicable reports whether a deviation has any effect in the current state. Deviations of messages and writes apply to
// the next one of any member and are therefore listed for the first member only.
func (x *exploration) applicable(kind deviationKind, member int) bool {
	switch kind {
	case loseMessage, duplicateMessage, delayMessage:
		return member == 0 && x.nextWriter() < 0 && x.nextMessage() >= 0
	case failWrite, delayWrite:
		return member == 0 && x.nextWriter() >= 0
	default:
		return x.members[member].running
	}
}

// runSchedule runs the baseline with deviations. It returns the first violation, and the fingerprint of the state after the
// step compareAt.
func runSchedule(joiner bool, deviations []deviation, compareAt int) (violation string, fingerprint uint64) {
	x := newExploration(joiner)
	for x.step < exploreSteps && x.violation == "" {
		var d *deviation
		for i := range deviations {
			if deviations[i].step == x.step && x.applicable(deviations[i].kind, deviations[i].member) {
				d = &deviations[i]
			}
		}
		x.runStep(d)
		if x.step == compareAt {
			fingerprint = x.fingerprint()
		}
	}
	if x.violation == "" {
		x.heal()
	}
	return x.violation, fingerprint
}

// runBaseline runs the baseline and returns all deviations from it, and the fingerprint of the state before each step.
func runBaseline(joiner bool) (all []deviation, fingerprints []uint64) {
	x := newExploration(joiner)
	for x.step < exploreSteps {
		fingerprints = append(fingerprints, x.fingerprint())
		for kind := range deviationKinds {
			for member := range x.members {
				if x.applicable(kind, member) {
					all = append(all, deviation{step: x.step, kind: kind, member: member})
				}
			}
		}
		x.runStep(nil)
	}
	return all, fingerprints
}

// inParallel calls f with every number below n, with up to exploreWorkers calls at a time.
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

// everyNth returns every n-th deviation, starting with the first.
func everyNth(all []deviation, n int) (out []deviation) {
	for i := 0; i < len(all); i += n {
		out = append(out, all[i])
	}
	return out
}

// TestExplore runs schedules with one and with two deviations, on three members with and without a joiner, and requires that
// none violates an invariant.
func TestExplore(t *testing.T) {
	for _, joiner := range []bool{false, true} {
		t.Run(fmt.Sprintf("joiner %v", joiner), func(t *testing.T) {
			began := time.Now()
			all, fingerprints := runBaseline(joiner)
			require.NotEmpty(t, all)
			all = everyNth(all, *exploreSingles)
			lasting := runSingles(t, joiner, all, fingerprints)
			pairs := runPairs(t, joiner, all, lasting)
			t.Logf("%d steps, %d deviations, of which %d have a lasting effect; %d of %d pairs run; %v",
				exploreSteps, len(all), len(lasting), pairs, len(lasting)*len(all)/2, time.Since(began).Round(time.Second))
		})
	}
}

// runSingles runs schedules with one deviation, and returns the deviations with a lasting effect.
func runSingles(t *testing.T, joiner bool, all []deviation, fingerprints []uint64) (lasting []deviation) {
	t.Helper()
	isLasting := make([]bool, len(all))
	inParallel(len(all), func(i int) {
		compareAt := min(all[i].step+exploreCompareAfter, exploreSteps-1)
		violation, fingerprint := runSchedule(joiner, all[i:i+1], compareAt)
		isLasting[i] = fingerprint != fingerprints[compareAt]
		if violation != "" {
			t.Errorf("%s\n  with %v", violation, all[i:i+1])
		}
	})
	for i := range all {
		if isLasting[i] {
			lasting = append(lasting, all[i])
		}
	}
	return lasting
}

// runPairs runs schedules with two deviations, the first of which has a lasting effect, and returns their number.
func runPairs(t *testing.T, joiner bool, all, lasting []deviation) int64 {
	t.Helper()
	var pairs atomic.Int64
	inParallel(len(lasting)*len(all) / *explorePairs, func(n int) {
		pair := n * *explorePairs
		first, second := lasting[pair/len(all)], all[pair%len(all)]
		if t.Failed() || second.step <= first.step || first.kind == wipeDisk && second.kind == wipeDisk {
			return
		}
		pairs.Add(1)
		if violation, _ := runSchedule(joiner, []deviation{first, second}, -1); violation != "" {
			t.Errorf("%s\n  with %v", violation, []deviation{first, second})
		}
	})
	return pairs.Load()
}
