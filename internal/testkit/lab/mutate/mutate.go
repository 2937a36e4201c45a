// Package mutate takes safety checks out of the cluster scheduler, one at a time, and looks whether the simulated
// network or the explorer of schedules finds each one missing. The programs have no switches for it: a check is
// taken out of a copy of its source file, which the compiler is given in the file's place.
package mutate

import (
	"context"
	"encoding/json"
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
	Name        string // what is taken out
	File        string // below the repository's root
	Original    string // source text that stands there once
	Replacement string // in its place
}

// Detector says who has to find that a check is missing.
type Detector string

// The finders.
const (
	DetectedBySimulation Detector = "simulated network"
	DetectedByExplorer   Detector = "explorer"
	Undetected           Detector = "nothing"
)

// Result is what became of a check that was taken out.
type Result struct {
	Mutation Mutation
	Detector Detector
	Detail   string // the first line that tells of it
	Duration time.Duration
}

// ErrOriginalNotUnique is returned where a check's source text does not stand in its file just once.
var ErrOriginalNotUnique = errors.New("weaken: the text to be replaced does not stand in its file once")

// Bounds say how far is looked.
type Bounds struct {
	Seeds   int // of the simulated network
	Singles int // the explorer plays each so manieth departure
	Pairs   int // and each so manieth pair
}

// writeOverlay writes the weakened file and the compiler's list of files that are replaced, and returns that list's path.
func writeOverlay(root, dir string, m Mutation) (string, error) {
	source := filepath.Join(root, m.File)
	text, err := os.ReadFile(source)
	if err != nil {
		return "", errors.Wrap(err, "weaken: a source file can't be read")
	}
	if strings.Count(string(text), m.Original) != 1 {
		return "", errors.Wrapf(ErrOriginalNotUnique, "%s: %s", m.File, m.Name)
	}
	mutated := filepath.Join(dir, "weakened.go")
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(text), m.Original, m.Replacement, 1)), 0o600); err != nil {
		return "", errors.Wrap(err, "weaken: the weakened file can't be written")
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutated}})
	if err != nil {
		return "", errors.Wrap(err, "weaken: the list of files can't be encoded")
	}
	path := filepath.Join(dir, "overlay.json")
	return path, errors.Wrap(os.WriteFile(path, list, 0o600), "weaken: the list of files can't be written")
}

// Validate tells whether a check can be taken out of the source as it is.
func Validate(root string, m Mutation) error {
	dir, err := os.MkdirTemp("", "weaken-")
	if err != nil {
		return errors.Wrap(err, "weaken: no folder")
	}
	defer os.RemoveAll(dir)
	_, err = writeOverlay(root, dir, m)
	return err
}

// Run takes a check out and looks who finds it missing.
func Run(ctx context.Context, root string, m Mutation, b Bounds) (Result, error) {
	began := time.Now()
	f := Result{Mutation: m, Detector: Undetected}
	dir, err := os.MkdirTemp("", "weaken-")
	if err != nil {
		return f, errors.Wrap(err, "weaken: no folder")
	}
	defer os.RemoveAll(dir)
	list, err := writeOverlay(root, dir, m)
	if err != nil {
		return f, err
	}
	simulator := filepath.Join(dir, "simulate")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", list, "-o", simulator, "./cmd/frosttide-simulate")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return f, errors.Wrapf(err, "weaken: %s can't be built: %s", m.Name, out)
	}
	simulate := exec.CommandContext(ctx, simulator, "-count", fmt.Sprint(b.Seeds), "-stop")
	if out, err := simulate.CombinedOutput(); err != nil {
		f.Detector, f.Detail, f.Duration = DetectedBySimulation, firstLine(out, "seed "), time.Since(began)
		return f, nil
	}
	explore := exec.CommandContext(ctx, "go", "test", "-overlay", list, "-run", "^TestExplore$", "-timeout", "20m", "./internal/control/replica", "-explore.singles", fmt.Sprint(b.Singles), "-explore.workers", "8", "-explore.pairs", fmt.Sprint(b.Pairs))
	explore.Dir = root
	if out, err := explore.CombinedOutput(); err != nil {
		f.Detector, f.Detail = DetectedByExplorer, firstLine(out, "step ")
	}
	f.Duration = time.Since(began)
	return f, nil
}

// firstLine returns the first line of an output that holds a text, without what stands before that.
func firstLine(out []byte, text string) string {
	for line := range strings.Lines(string(out)) {
		if at := strings.Index(line, text); at >= 0 {
			return strings.TrimSpace(line[at:])
		}
	}
	return ""
}
