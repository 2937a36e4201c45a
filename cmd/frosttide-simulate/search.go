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

// search runs seeds and looks for rules that are violated.
type search struct {
	first, count uint64 // seeds
	runners      int
	length       time.Duration
	missingCheck simnet.MissingCheck
	fullTrace    bool
	stopAtFirst  bool

	mu        sync.Mutex // guards what follows, and the output
	violating int
}

// run runs all seeds, as many at once as there are processors, and returns how many violate a rule. With stopAtFirst it
// ends the process at the first of them.
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

// runSeed runs a seed and prints what it violates.
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

// traceLines is how many lines of a trace are printed, the last ones.
const traceLines = 60

// describe tells of a run that violates a rule, with as few faults as still have it violate one.
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
