// Package soak draws scripts of faults from a seed: several members with workflows, gangs, keyed
// jobs and operators' words, and rounds in which links, processes, disks, clocks, discovery and
// runners break together and come back. The package is pure: a script is text for faults.Parse,
// so that what a seed has found is played again by it, and can be cut down by hand.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// The sizes of a drawn fleet.
const (
	members = 5
	runners = 6
	// mostRounds keeps the words that operators did not get an answer to under what the history's
	// check tries out, one a round.
	mostRounds = 8
	// rememberers is how many members may be lost at once while keyed jobs are sent again: the
	// dispatcher that had one and one of the two that it told.
	rememberers = 2
)

// draw is a script being written.
type draw struct {
	rng   *rand.Rand
	lines []string
	n     int // of ids
	kept  int // whose disk has a copy, from 1; 0 for nobody's
	round
}

// round is what is broken now, and what mends it.
type round struct {
	down, stalled []int
	lost          int      // members that were killed in this round
	mends         []string // in any order
	lasts         []string // once all is whole
	busyRunners   []int    // drained, broken or left out
	linked        bool     // links are broken
	deaf          bool     // discovery is
	harmed        bool     // a disk is, or full: one a round, so that a majority of voters has its log
	told          bool     // an operator has spoken
}

// Draw returns a script of so many rounds, 1 to 8. Equal seeds give equal scripts.
func Draw(seed uint64, rounds int) string {
	d := &draw{rng: rand.New(rand.NewPCG(seed, 0x50a))}
	d.say("# Drawn by seed %d.", seed)
	d.say("members %d", members)
	d.say("voters %d", []int{3, 5}[d.rng.IntN(2)])
	d.say("runners %d", runners)
	d.say("zones 2")
	d.say("seed %d", seed%1_000_000+1)
	d.say("gangs")
	d.say("flows")
	d.say("await begun")
	d.say("await members %d at all", members)
	d.say("await stage full at all")
	d.say("load on")
	for range min(max(rounds, 1), mostRounds) {
		d.play()
	}
	return strings.Join(d.lines, "\n") + "\n"
}

func (d *draw) say(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

// id names something that no other step means.
func (d *draw) id(kind string) string {
	d.n++
	return fmt.Sprintf("%s%d", kind, d.n)
}

// play writes one round: work, faults with work between them, and the return.
func (d *draw) play() {
	d.round = round{}
	if d.rng.IntN(4) == 0 { // a backup, put back whenever
		d.kept = 1 + d.rng.IntN(members)
		d.say("keep d%d", d.kept)
	}
	d.work()
	for range 1 + d.rng.IntN(3) {
		breaks[d.rng.IntN(len(breaks))](d)
		for range d.rng.IntN(3) {
			d.work()
		}
		d.pass()
	}
	d.mend()
}

// steady returns the members that run and do not stand still.
func (d *draw) steady() (out []int) {
	for i := range members {
		if !slices.Contains(d.down, i) && !slices.Contains(d.stalled, i) {
			out = append(out, i)
		}
	}
	return out
}

// pass lets time go by, as jobs that are done, while somebody can do them.
func (d *draw) pass() {
	if len(d.steady()) > 0 && !d.deaf {
		d.say("await jobs %d", 50+d.rng.IntN(400))
	}
}

// mend writes how all comes back, in any order, and waits for it.
func (d *draw) mend() {
	d.rng.Shuffle(len(d.mends), func(i, j int) { d.mends[i], d.mends[j] = d.mends[j], d.mends[i] })
	for _, line := range d.mends {
		d.say("%s", line)
	}
	d.say("await members %d at all", members)
	d.say("await begun")
	d.say("await stage full at all")
	for _, line := range d.lasts {
		d.say("%s", line)
	}
}

// some returns n of the given, in their order.
func (d *draw) some(of []int, n int) []int {
	var out []int
	for _, i := range d.rng.Perm(len(of))[:min(max(n, 0), len(of))] {
		out = append(out, of[i])
	}
	slices.Sort(out)
	return out
}

// names writes members as a step names them.
func names(of []int) string {
	var out []string
	for _, i := range of {
		out = append(out, fmt.Sprintf("d%d", i+1))
	}
	return strings.Join(out, ",")
}

// one returns a member that runs and does not stand still, or any where there is none.
func (d *draw) one() string {
	of := d.steady()
	if len(of) == 0 {
		return fmt.Sprintf("d%d", 1+d.rng.IntN(members))
	}
	return names(of[d.rng.IntN(len(of)):][:1])
}
