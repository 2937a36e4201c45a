// Package mutate runs mutation tests of the cluster scheduler's safety checks. It removes one check
// at a time from the source and reports whether the package's unit tests, the simulated network or
// the schedule explorer detects that the check is missing. The programs have no switches for this:
// the mutation is made in a copy of the source file, which the compiler reads in place of the
// original (go build -overlay), so no file of the repository changes.
//
// The program frosttide-mutate runs all Mutations. The functions are safe for concurrent use, as
// each run uses its own temporary directory. They need the repository's source and the Go tools.
package mutate

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Mutation describes a safety check and the source edit that removes it.
type Mutation struct {
	Name        string // describes the check that is removed
	File        string // path relative to the repository's root
	Original    string // source text; must occur exactly once in the file
	Replacement string // text that replaces Original
}

// Detector names the test stage that detected a mutation.
type Detector string

// The detectors, in the order in which they are tried.
const (
	DetectedByTests      Detector = "unit test"
	DetectedBySimulation Detector = "simulated network"
	DetectedByExplorer   Detector = "explorer"
	Undetected           Detector = "nothing"
)

// Result holds the outcome of one mutation.
type Result struct {
	Mutation Mutation
	Detector Detector
	Detail   string // output line of the detector that reports the failure; empty if undetected
	Duration time.Duration
}

// Bounds limits the search before a mutation counts as undetected.
type Bounds struct {
	Seeds   int // number of seeds run in the simulated network
	Singles int // the explorer tries every Singles-th single deviation from the baseline schedule
	Pairs   int // and every Pairs-th pair of deviations
}

// Run applies a mutation and reports which detector finds it. root is the repository's root. It
// returns an error if the mutation can't be applied or built, or if ctx ends: ErrOriginalNotUnique
// if the source text does not occur exactly once.
func Run(ctx context.Context, root string, m Mutation, b Bounds) (Result, error) {
	started := time.Now()
	result := Result{Mutation: m, Detector: Undetected}
	dir, err := os.MkdirTemp("", "mutate-")
	if err != nil {
		return result, errors.Wrap(err, "mutate: make a folder")
	}
	defer os.RemoveAll(dir)
	overlay, err := writeOverlay(root, dir, m)
	if err != nil {
		return result, err
	}
	if detail, detected := runTests(ctx, root, overlay, m); detected {
		result.Detector, result.Detail, result.Duration = DetectedByTests, detail, time.Since(started)
		return result, ctx.Err()
	}
	simulator := filepath.Join(dir, "simulate")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-o", simulator, "./cmd/frosttide-simulate")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return result, errors.Wrapf(err, "mutate: build without %s: %s", m.Name, out)
	}
	if detail, detected := simulate(ctx, simulator, b); detected {
		result.Detector, result.Detail = DetectedBySimulation, detail
	} else if detail, detected := explore(ctx, root, overlay, b); detected {
		result.Detector, result.Detail = DetectedByExplorer, detail
	}
	result.Duration = time.Since(started)
	return result, ctx.Err()
}

// runTests runs the tests of the mutated package, except the explorer, and reports whether any
// fails; detail is the name of the failed test. A package that doesn't build counts as undetected,
// because the build of the simulator that follows reports the compile error.
func runTests(ctx context.Context, root, overlay string, m Mutation) (detail string, detected bool) {
	test := exec.CommandContext(ctx, "go", "test", "-overlay", overlay, "-count=1", "-failfast", "-skip", "^TestExplore", "-timeout", "10m", "./"+filepath.Dir(m.File))
	test.Dir = root
	out, err := test.CombinedOutput()
	if err == nil || strings.Contains(string(out), "[build failed]") {
		return "", false
	}
	return firstLine(out, "--- FAIL: "), true
}

// simulate runs the simulator binary and reports whether any seed fails.
func simulate(ctx context.Context, simulator string, b Bounds) (detail string, detected bool) {
	out, err := exec.CommandContext(ctx, simulator, "-count", fmt.Sprint(b.Seeds), "-stop").CombinedOutput()
	if err == nil {
		return "", false
	}
	return firstLine(out, "seed "), true
}

// explore runs the schedule explorer and reports whether any schedule fails.
func explore(ctx context.Context, root, overlay string, b Bounds) (detail string, detected bool) {
	test := exec.CommandContext(ctx, "go", "test", "-overlay", overlay, "-run", "^TestExplore$", "-timeout", "20m", "./internal/control/replica",
		"-explore.singles", fmt.Sprint(b.Singles), "-explore.workers", "8", "-explore.pairs", fmt.Sprint(b.Pairs))
	test.Dir = root
	out, err := test.CombinedOutput()
	if err == nil {
		return "", false
	}
	return firstLine(out, "step "), true
}

// firstLine returns the first line of out that contains text, starting at text, or "" if there is
// none.
func firstLine(out []byte, text string) string {
	for line := range strings.Lines(string(out)) {
		if at := strings.Index(line, text); at >= 0 {
			return strings.TrimSpace(line[at:])
		}
	}
	return ""
}
