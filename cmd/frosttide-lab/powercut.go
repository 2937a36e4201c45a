package main

import (
	"errors"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frosttide/internal/testkit/lab/outage"
)

// powercutCommand returns the command that simulates a restart of the whole fleet after a power
// cut.
func powercutCommand() *cobra.Command {
	set := outage.Settings{}
	var seeds int
	cmd := &cobra.Command{
		Use:   "powercut",
		Short: "Simulate the minutes after a power cut, with and without a stored list",
		Long: `powercut simulates, in virtual time, dispatchers with the real decision module whose runners
start cold while discovery is unavailable. It compares three modes: no stored list, a stored list
that is used unchecked, and a stored list whose entries are checked first.`,
		Example: `  frosttide-lab powercut --runners 2000 --dispatchers 16`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if seeds < 1 || seeds > 100 || set.Runners < 1 || set.Runners > 20000 || set.Dispatchers < 1 || set.Dispatchers > 200 || set.Rate <= 0 {
				return errors.New("--seeds, --runners, --dispatchers or --rate is out of range")
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintf(w, "%d dispatchers, %d runners, %g jobs/s of %s, roster back after %s; medians of %d seeds\n",
				set.Dispatchers, set.Runners, set.Rate, set.Run, set.Roster, seeds)
			fmt.Fprintln(w, "list\tfirst job, median\tslowest dispatcher\tserved 0-5 s\t5-10\t10-20\t20-30\tafter\tfallen\tworst load\tto draining\tprobes/runner\tlast has list\tcalls 0-5 s\tmost calls in 5 s")
			for _, mode := range []outage.Mode{outage.Nothing, outage.Blind, outage.Trusted} {
				var all []*outage.Result
				for seed := range seeds {
					settings := set
					settings.Mode, settings.Seed = mode, uint64(seed+1)
					all = append(all, outage.Run(settings))
				}
				fmt.Fprintln(w, formatRow(string(mode), all))
			}
			return w.Flush()
		},
	}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 5, "number of seeds, at most 100")
	f.IntVar(&set.Dispatchers, "dispatchers", 16, "dispatchers, at most 200")
	f.IntVar(&set.Runners, "runners", 2000, "runners, at most 20000")
	f.Float64Var(&set.Retired, "retired", 0.05, "share of the stored list's runners that no longer exist")
	f.Float64Var(&set.Draining, "draining", 0.05, "share of the stored list's runners that drain")
	f.DurationVar(&set.BootSpread, "boots", 10*time.Second, "period over which the runners start")
	f.Float64Var(&set.Rate, "rate", 1000, "jobs a second")
	f.DurationVar(&set.Run, "run", 300*time.Millisecond, "mean run time of a job on one core")
	f.DurationVar(&set.Roster, "roster", 40*time.Second, "time at which discovery is available again")
	f.DurationVar(&set.Length, "length", 60*time.Second, "simulated time")
	return cmd
}

// formatRow formats a mode's table row with the medians over all seeds.
func formatRow(name string, all []*outage.Result) string {
	median := func(of func(*outage.Result) float64) float64 {
		var values []float64
		for _, r := range all {
			values = append(values, of(r))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	seconds := func(of func(*outage.Result) time.Duration) string {
		x := median(func(r *outage.Result) float64 { return of(r).Seconds() })
		if x > 1e6 {
			return "never"
		}
		return fmt.Sprintf("%.2f s", x)
	}
	served := func(from, to int) string {
		return fmt.Sprintf("%.1f%%", 100*median(func(r *outage.Result) float64 {
			sum, n := 0.0, 0
			for i := from; i < min(to, len(r.Served)); i++ {
				sum, n = sum+r.Served[i], n+1
			}
			return sum / float64(max(n, 1))
		}))
	}
	sorted := func(r *outage.Result) []time.Duration { return slices.Sorted(slices.Values(r.FirstServed)) }
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%g\t%.2f\t%g\t%.2f\t%s\t%g\t%g", name,
		seconds(func(r *outage.Result) time.Duration { return sorted(r)[len(r.FirstServed)/2] }),
		seconds(func(r *outage.Result) time.Duration { return sorted(r)[len(r.FirstServed)-1] }),
		served(0, 1), served(1, 2), served(2, 4), served(4, 6), served(6, 1000),
		median(func(r *outage.Result) float64 { return float64(r.Fallen) }),
		median(func(r *outage.Result) float64 { return r.Worst }),
		median(func(r *outage.Result) float64 { return float64(r.ToDraining) }),
		median(func(r *outage.Result) float64 { return r.Probes }),
		seconds(func(r *outage.Result) time.Duration { return r.Listed }),
		median(func(r *outage.Result) float64 { return float64(r.Calls[0]) }),
		median(func(r *outage.Result) float64 { return float64(slices.Max(r.Calls)) }))
}
