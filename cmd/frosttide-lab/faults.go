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

func faultsCommand() *cobra.Command {
	var binary string
	var times int
	var plotTo string
	cmd := &cobra.Command{
		Use:   "faults SCRIPT...",
		Short: "Start several dispatchers, break links and processes as scripts say, and check what is seen",
		Long: `faults plays scripts of faults (internal/testkit/lab/faults/scripts; the steps are described in
script.go there) with a build of the program, prints a timeline of each, and ends with status
1 if a rule or an invariant was broken.`,
		Example: `  go build -o /tmp/frosttide ./cmd/frosttide
  frosttide-lab faults --binary /tmp/frosttide internal/testkit/lab/faults/scripts/split-2-3.txt`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			if times < 1 || times > 1000 {
				return errors.New("--times is not from 1 to 1000")
			}
			broken, curves := 0, map[string][][]float64{}
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
					got, err := play(s, binary)
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
						broken++
						fmt.Fprintln(cmd.OutOrStdout(), got.Logs)
					}
				}
			}
			if plotTo != "" {
				if err := drawCurves(plotTo, curves); err != nil {
					return err
				}
			}
			if broken > 0 {
				return fmt.Errorf("%d plays broke something", broken)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&binary, "binary", "frosttide", "the program")
	cmd.Flags().StringVar(&plotTo, "plot", "", "draws service around the fault of scripts that take its level, to a file (.svg, .png); several plays as their mean")
	cmd.Flags().IntVar(&times, "times", 1, "plays of each script")
	return cmd
}

func play(s *faults.Script, binary string) (*faults.Result, error) {
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
