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

// Check is a safety check and how it is taken out.
type Check struct {
	Name string // what is taken out
	File string // below the repository's root
	Was  string // source text that stands there once
	Is   string // in its place
}

// Finder says who has to find that a check is missing.
type Finder string

// The finders.
const (
	Simulated Finder = "simulated network"
	Explored  Finder = "explorer"
	Nobody    Finder = "nothing"
)

// Finding is what became of a check that was taken out.
type Finding struct {
	Check  Check
	Finder Finder
	Detail string // the first line that tells of it
	Took   time.Duration
}

// ErrSource is returned where a check's source text does not stand in its file just once.
var ErrSource = errors.New("weaken: the text to be replaced does not stand in its file once")

// Bounds say how far is looked.
type Bounds struct {
	Seeds   int // of the simulated network
	Singles int // the explorer plays each so manieth departure
	Pairs   int // and each so manieth pair
}

// overlay writes the weakened file and the compiler's list of files that are replaced, and returns that list's path.
func overlay(root, dir string, c Check) (string, error) {
	source := filepath.Join(root, c.File)
	text, err := os.ReadFile(source)
	if err != nil {
		return "", errors.Wrap(err, "weaken: a source file can't be read")
	}
	if strings.Count(string(text), c.Was) != 1 {
		return "", errors.Wrapf(ErrSource, "%s: %s", c.File, c.Name)
	}
	weakened := filepath.Join(dir, "weakened.go")
	if err := os.WriteFile(weakened, []byte(strings.Replace(string(text), c.Was, c.Is, 1)), 0o600); err != nil {
		return "", errors.Wrap(err, "weaken: the weakened file can't be written")
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {source: weakened}})
	if err != nil {
		return "", errors.Wrap(err, "weaken: the list of files can't be encoded")
	}
	path := filepath.Join(dir, "overlay.json")
	return path, errors.Wrap(os.WriteFile(path, list, 0o600), "weaken: the list of files can't be written")
}

// Applies tells whether a check can be taken out of the source as it is.
func Applies(root string, c Check) error {
	dir, err := os.MkdirTemp("", "weaken-")
	if err != nil {
		return errors.Wrap(err, "weaken: no folder")
	}
	defer os.RemoveAll(dir)
	_, err = overlay(root, dir, c)
	return err
}

// Try takes a check out and looks who finds it missing.
func Try(ctx context.Context, root string, c Check, b Bounds) (Finding, error) {
	began := time.Now()
	f := Finding{Check: c, Finder: Nobody}
	dir, err := os.MkdirTemp("", "weaken-")
	if err != nil {
		return f, errors.Wrap(err, "weaken: no folder")
	}
	defer os.RemoveAll(dir)
	list, err := overlay(root, dir, c)
	if err != nil {
		return f, err
	}
	simulator := filepath.Join(dir, "simulate")
	build := exec.CommandContext(ctx, "go", "build", "-overlay", list, "-o", simulator, "./cmd/frosttide-simulate")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return f, errors.Wrapf(err, "weaken: %s can't be built: %s", c.Name, out)
	}
	simulate := exec.CommandContext(ctx, simulator, "-count", fmt.Sprint(b.Seeds), "-stop")
	if out, err := simulate.CombinedOutput(); err != nil {
		f.Finder, f.Detail, f.Took = Simulated, firstLine(out, "seed "), time.Since(began)
		return f, nil
	}
	explore := exec.CommandContext(ctx, "go", "test", "-overlay", list, "-run", "^TestExplore$", "-timeout", "20m", "./internal/control/replica", "-explore.singles", fmt.Sprint(b.Singles), "-explore.workers", "8", "-explore.pairs", fmt.Sprint(b.Pairs))
	explore.Dir = root
	if out, err := explore.CombinedOutput(); err != nil {
		f.Finder, f.Detail = Explored, firstLine(out, "step ")
	}
	f.Took = time.Since(began)
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
