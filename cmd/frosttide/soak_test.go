package main

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"frosttide/internal/testkit/lab/faults"
	"frosttide/internal/testkit/lab/faults/soak"
)

var (
	soakFor   = flag.Duration("soak", 0, "run random fault scripts one after the other for this `duration`")
	soakSeed  = flag.Uint64("soak.seed", 1, "seed of the first script; each further script uses the next one")
	soakRound = flag.Int("soak.rounds", 4, "number of rounds in a script")
)

// TestSoak runs random fault scripts that combine workflows, gangs, keyed jobs and operators'
// commands: one short script, or as many as fit into the duration of -soak. A script that breaks a
// rule is printed, and -soak.seed runs it again.
func TestSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Parallel()
		runSoak(t, 1, 1)
		return
	}
	deadline := time.Now().Add(*soakFor)
	for seed := *soakSeed; time.Now().Before(deadline); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSoak(t, seed, *soakRound) })
	}
}

// runSoak runs the script of a seed and fails the test if it breaks a rule.
func runSoak(t *testing.T, seed uint64, rounds int) {
	text := soak.Draw(seed, rounds)
	s, err := faults.Parse(fmt.Sprintf("soak-%d", seed), text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	got, err := faults.Run(s, programCommand, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if t.Log("\n" + strings.Join(got.Timeline, "\n")); len(got.Broken) > 0 {
		t.Errorf("rules broken: %s\n%s\n%s", strings.Join(got.Broken, "\n"), text, got.Logs)
	}
}
