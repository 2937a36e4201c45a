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

// publication says where a run's figures go.
type publication struct{ commit, page, figures string }

// flags names it on the command line.
func (p *publication) flags(f *pflag.FlagSet) {
	f.StringVar(&p.commit, "commit", "unnamed", "what the program was built from, for the page")
	f.StringVar(&p.page, "page", "", "a page whose figures are written anew")
	f.StringVar(&p.figures, "figures", "", "a folder for the figures as JSON")
}

// where names a run on this machine.
func (p *publication) where(seed uint64) scale.Where {
	return scale.Where{Commit: p.commit, Machine: fmt.Sprintf("%d cores of %s", runtime.NumCPU(), runtime.GOARCH), Seed: seed}
}

// write puts figures into the folder and the page, or without a page to a writer as put makes them of
// an empty one. Nothing is left half written.
func (p *publication) write(out io.Writer, name string, figures any, empty string, put func(page string) (string, error)) error {
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
