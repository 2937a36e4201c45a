// Command frosttide-simulate runs the cluster scheduler on a simulated network, once per seed, and
// prints the seed, the faults and a short trace of each run that violates a rule. It exits with
// status 1 if any run does, and with status 2 for invalid arguments.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"frosttide/internal/testkit/simnet"
)

func main() {
	var s search
	flag.Uint64Var(&s.first, "first", 0, "first seed")
	flag.Uint64Var(&s.count, "count", 1000, "number of seeds")
	flag.IntVar(&s.runners, "runners", 8, "number of runners in each run")
	flag.DurationVar(&s.length, "length", 30*time.Second, "virtual time during which faults are injected")
	flag.BoolVar(&s.fullTrace, "trace", false, "print the whole trace of each run that violates a rule")
	flag.BoolVar(&s.stopAtFirst, "stop", false, "exit at the first run that violates a rule, without minimizing its faults")
	flag.IntVar((*int)(&s.missingCheck), "weaken", 0, "safety check to disable: 1 lease wait, 2 sync, 3 fence, 4 identity of a lost disk, 5 order of links")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "frosttide-simulate: unexpected arguments; only flags are accepted")
		os.Exit(2)
	}
	if violating := s.run(); violating > 0 {
		fmt.Printf("%d of %d plays break a rule\n", violating, s.count)
		os.Exit(1)
	}
	fmt.Printf("%d plays, no rule broken\n", s.count)
}

// options returns the simulation's options for a seed.
func (s *search) options(seed uint64) simnet.Options {
	o := simnet.DefaultOptions(seed)
	o.Runners, o.Length, o.MissingCheck = s.runners, s.length, s.missingCheck
	return o
}
