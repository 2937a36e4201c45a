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
	soakFor   = flag.Duration("soak", 0, "plays drawn scripts of faults one after the other for so long")
	soakSeed  = flag.Uint64("soak.seed", 1, "the first script's seed; each following one's is 1 more")
	soakRound = flag.Int("soak.rounds", 4, "rounds of a script")
)

// TestSoak plays scripts that seeds draw, over workflows, gangs, keyed jobs and operators'
// words together: one short one, or as many as fit into the time that -soak gives. What breaks
// is printed as a script; -soak.seed plays it again.
func TestSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Parallel()
		runSoak(t, 1, 1)
		return
	}
	by := time.Now().Add(*soakFor)
	for seed := *soakSeed; time.Now().Before(by); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSoak(t, seed, *soakRound) })
	}
}

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
		t.Errorf("broken: %s\n%s\n%s", strings.Join(got.Broken, "\n"), text, got.Logs)
	}
}
