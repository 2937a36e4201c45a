package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frosttide/internal/testkit/lab"
	"frosttide/internal/testkit/lab/faults"
	"frosttide/internal/testkit/lab/spread"
)

// replicationCommand returns the command that measures the cost and latency of replication.
func replicationCommand() *cobra.Command {
	var binary string
	var length time.Duration
	var times int
	var what, sizes []string
	var plots string
	cmd := &cobra.Command{
		Use:   "replication",
		Short: "Measure the cost and latency of replication in a cluster of dispatchers",
		Long: `replication measures writes to the log, elections, the time until all members know of a
drain, and the cost of a job with and without a cluster.`,
		Example: `  frosttide-lab replication --binary /tmp/frosttide --what writes,elections,cost,spread`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if length <= 0 || length > time.Minute || times < 1 || times > 100 {
				return errors.New("--length or --times is out of range")
			}
			program := func(args ...string) *exec.Cmd {
				c := exec.Command(binary, args...)
				c.Env = []string{"FROSTTIDE_LOG_LEVEL=warn"}
				return c
			}
			experiments := map[string]func(io.Writer) error{
				"writes":    func(w io.Writer) error { return measureWrites(w, program, length) },
				"elections": func(w io.Writer) error { return measureElections(w, program, times) },
				"cost":      func(w io.Writer) error { return measureCosts(w, program, times, length) },
				"spread":    func(w io.Writer) error { return measureSpread(w, sizes, times) },
				"catchup":   measureCatchUp,
			}
			for _, name := range what {
				if experiments[name] == nil {
					return fmt.Errorf("--what: there is no %q", name)
				}
				w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
				var table strings.Builder
				if err := experiments[name](io.MultiWriter(w, &table)); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
				w.Flush()
				if plots == "" {
					continue
				}
				if err := drawBars(filepath.Join(plots, name+".svg"), name, table.String()); err != nil {
					return fmt.Errorf("%s: %w", name, err)
				}
			}
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&binary, "binary", "frosttide", "the program")
	f.DurationVar(&length, "length", 3*time.Second, "duration of each load, at most 1m")
	f.IntVar(&times, "times", 10, "number of elections, rounds and drains, at most 100")
	f.StringSliceVar(&what, "what", []string{"writes", "elections", "cost", "spread", "catchup"}, "experiments to run")
	f.StringVar(&plots, "plots", "", "folder for an SVG plot of each experiment; no plots if empty")
	f.StringSliceVar(&sizes, "sizes", []string{"5", "15", "50", "300"}, "cluster sizes for spread")
	return cmd
}

// withTempDir calls f with a temporary folder and removes the folder afterwards.
func withTempDir(f func(dir string) error) error {
	dir, err := os.MkdirTemp("", "frosttide-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	return f(dir)
}

// measureWrites prints the rate and latency of writes to the replicated log.
func measureWrites(w io.Writer, program faults.Program, length time.Duration) error {
	fmt.Fprintln(w, "voters\toperators\twrites/s\tp50 ms\tp99 ms\tnot written")
	for _, voters := range []int{3, 5} {
		for _, operators := range []int{1, 16} {
			err := withTempDir(func(dir string) error {
				got, err := faults.MeasureWrites(program, dir, voters, operators, length)
				if err == nil {
					fmt.Fprintf(w, "%d\t%d\t%.0f\t%.2f\t%.2f\t%d\n", voters, operators, got.Rate, float64(got.Times.ValueAtQuantile(50))/1000,
						float64(got.Times.ValueAtQuantile(99))/1000, got.Failed)
				}
				return err
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// measureElections prints the time until the log accepts writes again after its leader was killed
// or stalled.
func measureElections(w io.Writer, program faults.Program, times int) error {
	fmt.Fprintln(w, "voters\tthe leader\tuntil written again, median s\tleast\tmost")
	for _, voters := range []int{3, 5} {
		for name, sig := range map[string]syscall.Signal{"killed": syscall.SIGKILL, "stalled": syscall.SIGSTOP} {
			err := withTempDir(func(dir string) error {
				got, err := faults.MeasureElections(program, dir, voters, times, sig)
				if err == nil {
					slices.Sort(got)
					fmt.Fprintf(w, "%d\t%s\t%.2f\t%.2f\t%.2f\n", voters, name, got[len(got)/2].Seconds(), got[0].Seconds(), got[len(got)-1].Seconds())
				}
				return err
			})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// measureCosts prints the CPU time per job and the latencies with and without a cluster, measured
// in pairs of runs.
func measureCosts(w io.Writer, program faults.Program, times int, length time.Duration) error {
	fmt.Fprintln(w, "3 members, 200 jobs/s each\tCPU µs/job alone\twith others\tratio, 95% interval\tp50 ms alone\twith\tp99 ms alone\twith\tserved alone\twith")
	for _, class := range []string{"render", "release"} {
		var ratios []float64
		var all [2][4][]float64
		for round := range times {
			var both [2]*faults.Cost
			for k := range both {
				i := (k + round) % 2 // alternate the order, so that drift affects both alike
				err := withTempDir(func(dir string) (err error) {
					both[i], err = faults.MeasureCost(program, dir, 3, i == 0, class, 200, length, uint64(round+1))
					return err
				})
				if err != nil {
					return err
				}
				for j, x := range []float64{float64(both[i].CPU.Nanoseconds()) / 1000, both[i].P50.Seconds() * 1000, both[i].P99.Seconds() * 1000, both[i].Served} {
					all[i][j] = append(all[i][j], x)
				}
			}
			ratios = append(ratios, float64(both[1].CPU)/float64(both[0].CPU))
		}
		x := lab.Bootstrap(ratios, 1)
		m := lab.Median
		fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.3f (%.3f to %.3f)\t%.2f\t%.2f\t%.2f\t%.2f\t%.4f\t%.4f\n", class, m(all[0][0]), m(all[1][0]), x.Mid, x.Low, x.High,
			m(all[0][1]), m(all[1][1]), m(all[0][2]), m(all[1][2]), m(all[0][3]), m(all[1][3]))
	}
	return nil
}

// measureSpread prints how fast clusters of several sizes form and spread information.
func measureSpread(w io.Writer, sizes []string, times int) error {
	fmt.Fprintln(w, "members\tall see all after s\ta drain is known by all after ms, median\tmost\tbytes/s a member, idle\t2,000 runners at a new member after s")
	for _, size := range sizes {
		var n int
		if _, err := fmt.Sscan(size, &n); err != nil || n < 2 || n > 400 {
			return fmt.Errorf("--sizes: %q is not from 2 to 400", size)
		}
		err := withTempDir(func(dir string) error {
			got, err := spread.Run(n, 2000, times, dir)
			if err == nil {
				k := got.Known
				fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\n", n, got.Joined.Seconds(), float64(k[len(k)/2].Microseconds())/1000, float64(k[len(k)-1].Microseconds())/1000, got.Idle, got.CatchUp.Seconds())
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// measureCatchUp prints the time in which a new member receives the replicated state.
func measureCatchUp(w io.Writer) error {
	fmt.Fprintln(w, "runners\tkeys\ta new member has all after s")
	for _, n := range [][2]int{{2000, 0}, {2000, 10_000}, {2000, 100_000}} {
		err := withTempDir(func(dir string) error {
			got, err := spread.CatchUp(n[0], n[1], dir)
			if err == nil {
				fmt.Fprintf(w, "%d\t%d\t%.2f\n", n[0], n[1], got.Seconds())
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
