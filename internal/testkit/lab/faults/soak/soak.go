// Package soak generates fault scripts from a seed: several members with workflows, gangs, keyed
// jobs and operators' orders, and rounds in which links, processes, disks, clocks, discovery and
// runners fail together and recover. The package is pure: a script is text for faults.Parse, so a
// failure is replayed by its seed, and its script can be reduced by hand.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// Sizes of the fleet and limits of a script.
const (
	members = 5
	runners = 6
	// maxRounds limits the orders with an unclear outcome, one a round: the check of the
	// history tries both outcomes of at most 10.
	maxRounds = 8
	// maxLostRecorders is how many members may fail at once while keyed jobs are retried: the
	// dispatcher that sent the job and one of the two that it informed.
	maxLostRecorders = 2
)

// generator is the state of a script that is being generated.
type generator struct {
	rng      *rand.Rand
	lines    []string
	n        int // IDs assigned so far
	backedUp int // the member whose log was copied, from 1; 0 for none
	round
}

// round is what is broken in the current round, and the steps that repair it.
type round struct {
	down, stalled   []int
	lost            int      // members whose process ended in this round
	repairs         []string // steps of the repair, in any order
	afterRepair     []string // steps after the repair
	busyRunners     []int    // runners with a fault, from 1
	linksBroken     bool     // a fault of links was injected
	discoveryBroken bool     // discovery is held or muted
	// A disk is damaged or full: one a round, so that a majority of voters keeps its log.
	diskHarmed     bool
	operatorCalled bool // an operator has sent an order
}

// Draw returns a script of 1 to 8 rounds; other values are clamped to that. Equal arguments give
// equal scripts.
func Draw(seed uint64, rounds int) string {
	d := &generator{rng: rand.New(rand.NewPCG(seed, 0x50a))}
	d.addLine("# Drawn by seed %d.", seed)
	d.addLine("members %d", members)
	d.addLine("voters %d", []int{3, 5}[d.rng.IntN(2)])
	d.addLine("runners %d", runners)
	d.addLine("zones 2")
	d.addLine("seed %d", seed%1_000_000+1)
	d.addLine("gangs")
	d.addLine("flows")
	d.addLine("await begun")
	d.addLine("await members %d at all", members)
	d.addLine("await stage full at all")
	d.addLine("load on")
	for range min(max(rounds, 1), maxRounds) {
		d.writeRound()
	}
	return strings.Join(d.lines, "\n") + "\n"
}

// addLine appends a line to the script.
func (d *generator) addLine(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// id returns a new identifier that begins with kind.
func (d *generator) id(kind string) string {
	d.n++
	return fmt.Sprintf("%s%d", kind, d.n)
}

// writeRound writes one round: work, faults with work between them, and the repair.
func (d *generator) writeRound() {
	d.round = round{}
	if d.rng.IntN(4) == 0 { // a backup, which kill may restore in any later round
		d.backedUp = 1 + d.rng.IntN(members)
		d.addLine("keep d%d", d.backedUp)
	}
	d.work()
	for range 1 + d.rng.IntN(3) {
		faultKinds[d.rng.IntN(len(faultKinds))](d)
		for range d.rng.IntN(3) {
			d.work()
		}
		d.awaitProgress()
	}
	d.mend()
}

// runningMembers returns the members that run and are not stalled.
func (d *generator) runningMembers() (out []int) {
	for i := range members {
		if !slices.Contains(d.down, i) && !slices.Contains(d.stalled, i) {
			out = append(out, i)
		}
	}
	return out
}

// awaitProgress waits for jobs to be done, if a member runs and discovery works.
func (d *generator) awaitProgress() {
	if len(d.runningMembers()) > 0 && !d.discoveryBroken {
		d.addLine("await jobs %d", 50+d.rng.IntN(400))
	}
}

// mend writes the steps that repair all faults, in random order, and waits for the recovery.
func (d *generator) mend() {
	d.rng.Shuffle(len(d.repairs), func(i, j int) { d.repairs[i], d.repairs[j] = d.repairs[j], d.repairs[i] })
	for _, line := range d.repairs {
		d.addLine("%s", line)
	}
	d.addLine("await members %d at all", members)
	d.addLine("await begun")
	d.addLine("await stage full at all")
	for _, line := range d.afterRepair {
		d.addLine("%s", line)
	}
}

// pick returns n random elements in ascending order, or all if there are fewer.
func (d *generator) pick(of []int, n int) []int {
	var out []int
	for _, i := range d.rng.Perm(len(of))[:min(max(n, 0), len(of))] {
		out = append(out, of[i])
	}
	slices.Sort(out)
	return out
}

// names returns members in the form that steps use.
func names(of []int) string {
	var out []string
	for _, i := range of {
		out = append(out, fmt.Sprintf("d%d", i+1))
	}
	return strings.Join(out, ",")
}

// anyRunningMember returns a random member that runs and is not stalled, or any member if there is
// none.
func (d *generator) anyRunningMember() string {
	of := d.runningMembers()
	if len(of) == 0 {
		return fmt.Sprintf("d%d", 1+d.rng.IntN(members))
	}
	return names(of[d.rng.IntN(len(of)):][:1])
}
