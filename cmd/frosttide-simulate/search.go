package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"frosttide/internal/testkit/simnet"
)

// search runs a range of seeds and reports the runs that violate a rule.
type search struct {
	first, count uint64 // seeds
	runners      int
	length       time.Duration
	missingCheck simnet.MissingCheck
	fullTrace    bool
	stopAtFirst  bool

	mu        sync.Mutex // guards violating and standard output
	violating int        // number of runs that violated a rule
}

// run runs all seeds, GOMAXPROCS of them in parallel, and returns the number of runs that violate a
// rule. With stopAtFirst it exits the process at the first one.
func (s *search) run() int {
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := range seeds {
				s.runSeed(seed)
			}
		})
	}
	for seed := s.first; seed < s.first+s.count; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	return s.violating
}

// runSeed runs a seed and prints the rule that it violates, if any.
func (s *search) runSeed(seed uint64) {
	report := simnet.Run(s.options(seed))
	if len(report.Violations) == 0 {
		return
	}
	if s.stopAtFirst {
		fmt.Printf("seed %d: %s\n", seed, report.Violations[0])
		os.Exit(1)
	}
	text := s.describe(s.options(seed), report)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violating++
	fmt.Println(text)
}

// traceLines is the number of lines that are printed from the end of a trace.
const traceLines = 60

// describe repeats a run that violates a rule with a minimized set of faults, and formats the
// violation, those faults and the trace.
func (s *search) describe(o simnet.Options, report *simnet.Report) string {
	o.SkipFaults = simnet.MinimizeFaults(o)
	var lines []string
	o.Trace = func(line string) { lines = append(lines, line) }
	minimal := simnet.Run(o)
	if !s.fullTrace && len(lines) > traceLines {
		lines = lines[len(lines)-traceLines:]
	}
	var faults []string
	for i, fault := range minimal.Faults {
		if !o.SkipFaults[i] {
			faults = append(faults, fault)
		}
	}
	return fmt.Sprintf("seed %d: %s\n  with faults:\n    %s\n  trace:\n    %s", o.Seed, report.Violations[0], strings.Join(faults, "\n    "), strings.Join(lines, "\n    "))
}
