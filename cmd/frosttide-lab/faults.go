package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/spf13/cobra"

	"frosttide/internal/testkit/lab/faults"
)

// faultsCommand returns the command that runs fault-injection scripts against clusters of
// dispatchers.
func faultsCommand() *cobra.Command {
	var binary string
	var times int
	var plotPath string
	cmd := &cobra.Command{
		Use:   "faults SCRIPT...",
		Short: "Run fault-injection scripts against several dispatchers and check the invariants",
		Long: `faults runs fault-injection scripts (internal/testkit/lab/faults/scripts; script.go in the
folder above describes the steps) with a build of the program, prints a timeline of each run, and
exits with status 1 if a rule or an invariant was violated.`,
		Example: `  go build -o /tmp/frosttide ./cmd/frosttide
  frosttide-lab faults --binary /tmp/frosttide internal/testkit/lab/faults/scripts/split-2-3.txt`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			if times < 1 || times > 1000 {
				return errors.New("--times is not from 1 to 1000")
			}
			failed, curves := 0, map[string][][]float64{}
			for _, path := range paths {
				text, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				s, err := faults.Parse(filepath.Base(path), string(text))
				if err != nil {
					return err
				}
				for n := range times {
					got, err := runScript(s, binary)
					if err != nil {
						return err
					}
					fmt.Fprintf(cmd.OutOrStdout(), "%s, play %d of %d\n", s.Name, n+1, times)
					for _, line := range got.Timeline {
						fmt.Fprintln(cmd.OutOrStdout(), line)
					}
					if got.Curve != nil {
						curves[s.Name] = append(curves[s.Name], got.Curve)
					}
					if len(got.Broken) > 0 {
						failed++
						fmt.Fprintln(cmd.OutOrStdout(), got.Logs)
					}
				}
			}
			if plotPath != "" {
				if err := drawCurves(plotPath, curves); err != nil {
					return err
				}
			}
			if failed > 0 {
				return fmt.Errorf("%d runs violated a rule or an invariant", failed)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&binary, "binary", "frosttide", "the program")
	cmd.Flags().StringVar(&plotPath, "plot", "", "file (.svg, .png) for a plot of the service level around the fault, as the mean of all runs of a script; only for scripts that record it")
	cmd.Flags().IntVar(&times, "times", 1, "number of runs of each script")
	return cmd
}

// runScript runs a script with the program binary in a temporary folder.
func runScript(s *faults.Script, binary string) (*faults.Result, error) {
	dir, err := os.MkdirTemp("", "faults")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	return faults.Run(s, func(args ...string) *exec.Cmd {
		cmd := exec.Command(binary, args...)
		cmd.Env = []string{}
		return cmd
	}, dir)
}
