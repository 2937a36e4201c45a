// Package mutate tests the tests of the cluster scheduler's safety by mutation: it takes safety checks out of the source,
// one at a time, and tells whether the package's tests, the simulated network or the explorer of schedules detects that the
// check is missing. The programs have no switches for it: the mutation is made in a copy of the source file, which the compiler is given
// in the file's place, so that no file of the repository changes.
//
// The program frosttide-mutate runs all Mutations. The functions are safe for concurrent use; each run works in a folder
// of its own. They need the repository's source and the Go tools.
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

// Mutation is a safety check and how it is taken out.
type Mutation struct {
	Name        string // the check that is taken out
	File        string // below the repository's root
	Original    string // source text that occurs once in the file
	Replacement string // what takes its place
}

// Detector is who detects a mutation.
type Detector string

// The detectors, in the order in which they are tried.
const (
	DetectedByTests      Detector = "unit test"
	DetectedBySimulation Detector = "simulated network"
	DetectedByExplorer   Detector = "explorer"
	Undetected           Detector = "nothing"
)

// Result is what became of a mutation.
type Result struct {
	Mutation Mutation
	Detector Detector
	Detail   string // the line in which the detector tells what broke; empty where nothing did
	Duration time.Duration
}

// Bounds say how much is tried before a mutation counts as undetected.
type Bounds struct {
	Seeds   int // of the simulated network
	Singles int // the explorer tries every Singles-th single departure from the usual schedule
	Pairs   int // and every Pairs-th pair of departures
}

// Run makes a mutation and tells who detects it. It returns an error where the mutation can't be made or built:
// ErrOriginalNotUnique where its source text does not occur once.
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

// runTests runs the tests of the package in which the check is missing, but for the explorer, and tells whether any
// fails; the detail is its name. A package that can't be built detects nothing: the simulator's build says why.
func runTests(ctx context.Context, root, overlay string, m Mutation) (detail string, detected bool) {
	test := exec.CommandContext(ctx, "go", "test", "-overlay", overlay, "-count=1", "-failfast", "-skip", "^TestExplore", "-timeout", "10m", "./"+filepath.Dir(m.File))
	test.Dir = root
	out, err := test.CombinedOutput()
	if err == nil || strings.Contains(string(out), "[build failed]") {
		return "", false
	}
	return firstLine(out, "--- FAIL: "), true
}

// simulate runs a simulator and tells whether it detects anything.
func simulate(ctx context.Context, simulator string, b Bounds) (detail string, detected bool) {
	out, err := exec.CommandContext(ctx, simulator, "-count", fmt.Sprint(b.Seeds), "-stop").CombinedOutput()
	if err == nil {
		return "", false
	}
	return firstLine(out, "seed "), true
}

// explore runs the explorer of schedules and tells whether it detects anything.
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

// firstLine returns the first line of an output that holds a text, from that text on.
func firstLine(out []byte, text string) string {
	for line := range strings.Lines(string(out)) {
		if at := strings.Index(line, text); at >= 0 {
			return strings.TrimSpace(line[at:])
		}
	}
	return ""
}
