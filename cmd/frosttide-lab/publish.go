package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"

	"github.com/google/renameio/v2"
	"github.com/spf13/pflag"

	"frosttide/internal/testkit/lab/scale"
)

// publishFlags are the flags that say where the results of a run are written.
type publishFlags struct{ commit, page, figures string }

// register defines the flags.
func (p *publishFlags) register(f *pflag.FlagSet) {
	f.StringVar(&p.commit, "commit", "unnamed", "commit of the measured program, shown on the page")
	f.StringVar(&p.page, "page", "", "page whose figures are updated")
	f.StringVar(&p.figures, "figures", "", "folder for the results as JSON")
}

// runInfo returns the description of a run on this machine.
func (p *publishFlags) runInfo(seed uint64) scale.Where {
	return scale.Where{Commit: p.commit, Machine: fmt.Sprintf("%d cores of %s", runtime.NumCPU(), runtime.GOARCH), Seed: seed}
}

// write writes the results as JSON into the folder and updates the page with put. Without a page it
// applies put to the empty page and writes that to out. Files are replaced atomically.
func (p *publishFlags) write(out io.Writer, name string, figures any, empty string, put func(page string) (string, error)) error {
	if p.figures != "" {
		text, err := json.MarshalIndent(figures, "", " ")
		if err != nil {
			return err
		}
		if err := os.MkdirAll(p.figures, 0o755); err != nil {
			return err
		}
		if err := renameio.WriteFile(filepath.Join(p.figures, name+".json"), append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if p.page == "" {
		text, err := put(empty)
		fmt.Fprint(out, text)
		return err
	}
	old, err := os.ReadFile(p.page)
	if err != nil {
		return err
	}
	text, err := put(string(old))
	if err != nil {
		return fmt.Errorf("%s: %w", p.page, err)
	}
	return renameio.WriteFile(p.page, []byte(text), 0o644)
}
