// Command frosttide-simulate plays the cluster scheduler on a simulated network, seed by seed, and prints the
// seed and a short trace of each play that breaks a rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"frosttide/internal/testkit/simnet"
)

func main() {
	first := flag.Uint64("first", 0, "first seed")
	count := flag.Uint64("count", 1000, "number of seeds")
	runners := flag.Int("runners", 8, "runners of a play")
	length := flag.Duration("length", 30*time.Second, "virtual time in which faults strike")
	trace := flag.Bool("trace", false, "print the whole trace of each play that breaks a rule")
	stop := flag.Bool("stop", false, "stop at the first play that breaks a rule, without looking for a shorter one")
	weaken := flag.Int("weaken", 0, "safety check to go without: 1 hold wait, 2 sync, 3 fence, 4 identity of a lost disk")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "frosttide-simulate: takes flags only")
		os.Exit(2)
	}
	options := func(seed uint64) simnet.Options {
		o := simnet.DefaultOptions(seed)
		o.Runners, o.Length, o.MissingCheck = *runners, *length, simnet.MissingCheck(*weaken)
		return o
	}
	if violating := run(options, *first, *count, *trace, *stop); violating > 0 {
		fmt.Printf("%d of %d plays break a rule\n", violating, *count)
		os.Exit(1)
	}
	fmt.Printf("%d plays, no rule broken\n", *count)
}

// run plays seeds side by side and returns how many broke a rule. With stop it ends at the first of them.
func run(options func(uint64) simnet.Options, first, count uint64, fullTrace, stop bool) (violating int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for seed := range seeds {
				r := simnet.Run(options(seed))
				if len(r.Violations) == 0 {
					continue
				}
				if stop {
					fmt.Printf("seed %d: %s\n", seed, r.Violations[0])
					os.Exit(1)
				}
				text := describe(options(seed), r, fullTrace)
				mu.Lock()
				violating++
				fmt.Println(text)
				mu.Unlock()
			}
		})
	}
	for seed := first; seed < first+count; seed++ {
		seeds <- seed
	}
	close(seeds)
	all.Wait()
	return violating
}

// traceLines is how much of a trace is printed.
const traceLines = 60

// describe tells of a play that broke a rule, with as few faults as still break one.
func describe(o simnet.Options, r *simnet.Report, fullTrace bool) string {
	o.SkipFaults = simnet.MinimizeFaults(o)
	var lines []string
	o.Trace = func(line string) { lines = append(lines, line) }
	short := simnet.Run(o)
	if !fullTrace && len(lines) > traceLines {
		lines = lines[len(lines)-traceLines:]
	}
	var faults []string
	for i, f := range short.Faults {
		if !o.SkipFaults[i] {
			faults = append(faults, f)
		}
	}
	return fmt.Sprintf("seed %d: %s\n  with faults:\n    %s\n  trace:\n    %s", o.Seed, r.Violations[0], strings.Join(faults, "\n    "), strings.Join(lines, "\n    "))
}
