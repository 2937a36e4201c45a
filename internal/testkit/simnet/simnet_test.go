package simnet

import (
	"fmt"
	"testing"
)

// TestRulesHold checks that no rule is violated in simulations of many seeds.
func TestRulesHold(t *testing.T) {
	seeds := uint64(100)
	if raceDetectorOn {
		seeds = 15 // simulations take many times as long under the race detector
	}
	var all []Options
	for seed := range seeds {
		o := DefaultOptions(seed)
		o.ManyTasks = o.ManyTasks && !raceDetectorOn // the tests of manytasks_test.go simulate one seed each there
		all = append(all, o)
	}
	requireNoViolations(t, all)
}

// TestPlaysWithoutLinkOrder checks the rules while messages buffered before a reset are handled
// after those of the next connection. No protocol may rely on the order that package transport
// keeps.
func TestPlaysWithoutLinkOrder(t *testing.T) {
	seeds := uint64(40)
	if raceDetectorOn {
		seeds = 6
	}
	var all []Options
	for seed := range seeds {
		o := DefaultOptions(1000 + seed)
		o.BufferedResets, o.MissingCheck, o.ManyTasks = true, NoLinkOrder, false
		all = append(all, o)
	}
	requireNoViolations(t, all)
}

// TestRunnersReadEachText guards against jobs that never run because the responses to heartbeats that
// would start them are no JSON: a quarter of the specs and checkpoints hold a flag in quotation marks,
// another quarter control characters.
func TestRunnersReadEachText(t *testing.T) {
	var all []Options
	for seed := range uint64(4) {
		o := DefaultOptions(2000 + seed)
		o.SkipFaults, o.ManyTasks = skipAllFaults(), false
		all = append(all, o)
	}
	requireNoViolations(t, all)
}

// TestOrdersThatAreNotUnicode guards against an order whose texts can't be encoded and that each head
// in turn takes for the failure of its disk, until the whole control plane has stopped; no fault is
// injected.
func TestOrdersThatAreNotUnicode(t *testing.T) {
	var all []Options
	for seed := range uint64(5) { // three to seven cores
		o := DefaultOptions(3000 + seed)
		o.SkipFaults, o.FrequentConfigChanges, o.ManyTasks = skipAllFaults(), true, false
		all = append(all, o)
	}
	requireNoViolations(t, all)
}

// maxFaults is more than the faults of any simulation.
const maxFaults = 1000

// skipAllFaults returns a value of Options.SkipFaults that excludes every fault.
func skipAllFaults() map[int]bool {
	skipped := make(map[int]bool, maxFaults)
	for i := range maxFaults {
		skipped[i] = true
	}
	return skipped
}

// requireNoViolations runs a simulation for each of the options and checks that none violates a
// rule.
func requireNoViolations(t *testing.T, options []Options) {
	t.Helper()
	slots := make(chan struct{}, 2) // leave processors to the tests of other packages
	for _, o := range options {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			r := Run(o)
			for _, v := range r.Violations {
				t.Errorf("%s", v)
			}
			if r.Accepted == 0 || r.Starts == 0 {
				t.Errorf("got %d accepted jobs and %d started runs, want some of both", r.Accepted, r.Starts)
			}
		})
	}
}

// TestSameSeedRepeatsTheRun checks that two simulations of the same seed have the same outcome.
func TestSameSeedRepeatsTheRun(t *testing.T) {
	a, b := Run(DefaultOptions(7)), Run(DefaultOptions(7))
	if a.Starts != b.Starts || a.Done != b.Done || a.Accepted != b.Accepted {
		t.Errorf("started runs/completed/accepted jobs differ: first %d/%d/%d, second %d/%d/%d", a.Starts, a.Done, a.Accepted, b.Starts, b.Done, b.Accepted)
	}
}
