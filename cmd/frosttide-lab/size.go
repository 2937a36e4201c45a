package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"frosttide/internal/testkit/lab"
	"frosttide/internal/testkit/lab/size"
)

// sizeCommand returns the command that measures a dispatcher's resource usage by the number of
// workers.
func sizeCommand() *cobra.Command {
	var binary, workers, out string
	var seconds float64
	var repeats int
	plan := size.Plan{Work: size.ShortWork}
	c := &cobra.Command{Use: "size", Short: "Measure a dispatcher's resource usage as the number of workers grows", Args: cobra.NoArgs}
	c.Flags().StringVar(&binary, "binary", "bin/frosttide", "the program")
	c.Flags().StringVar(&workers, "workers", "200,800,3200", "numbers of workers, separated by commas")
	c.Flags().IntVar(&plan.Dispatchers, "dispatchers", 300, "number of dispatchers in the settings")
	c.Flags().Float64Var(&plan.Rate, "rate", 4, "jobs a second")
	c.Flags().Float64Var(&seconds, "seconds", 20, "duration of a run, in seconds")
	c.Flags().IntVar(&repeats, "repeats", 3, "runs for each number of workers")
	c.Flags().Uint64Var(&plan.Seed, "seed", 1, "seed of the load")
	c.Flags().StringVar(&out, "json", "", "file for the results as JSON")
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
		defer stop()
		plan.Binary, plan.For = binary, time.Duration(seconds*float64(time.Second))
		var plans []size.Plan
		for text := range strings.SplitSeq(workers, ",") {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("--workers: %q is not a number", text)
			}
			plan.Workers, plan.Changes = n, float64(n)/100
			if err := plan.Check(); err != nil {
				return err
			}
			plans = append(plans, plan)
		}
		fmt.Fprintf(c.OutOrStdout(), "seed %d, %g jobs/s, %d dispatchers told of\n", plan.Seed, plan.Rate, plan.Dispatchers)
		var needs []size.Need
		for range repeats { // interleaved, so that drift of the machine's speed affects all alike
			for _, p := range plans {
				n, err := size.Run(ctx, p)
				if err != nil {
					return fmt.Errorf("%d workers: %w", p.Workers, err)
				}
				needs = append(needs, n)
			}
		}
		if out != "" {
			text, err := json.MarshalIndent(needs, "", " ")
			if err != nil {
				return err
			}
			if err := renameio.WriteFile(out, append(text, '\n'), 0o644); err != nil {
				return err
			}
		}
		return printNeeds(c, plans, needs)
	}
	return c
}

// printNeeds prints the medians for each number of workers.
func printNeeds(c *cobra.Command, plans []size.Plan, needs []size.Need) error {
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "workers\tCPU s\tstart CPU s\tpeak MiB\tdescriptors\tconnections\tlist KB\tserved")
	for _, p := range plans {
		median := func(of func(size.Need) float64) float64 {
			var values []float64
			for _, n := range needs {
				if n.Workers == p.Workers {
					values = append(values, of(n))
				}
			}
			return lab.Median(values)
		}
		fmt.Fprintf(w, "%d\t%.3f\t%.3f\t%.1f\t%.0f\t%.0f\t%.1f\t%.3f\n", p.Workers,
			median(func(n size.Need) float64 { return n.CPU }),
			median(func(n size.Need) float64 { return n.StartCPU }),
			median(func(n size.Need) float64 { return float64(n.PeakKiB) / 1024 }),
			median(func(n size.Need) float64 { return float64(n.Descriptors) }),
			median(func(n size.Need) float64 { return float64(n.Connections) }),
			median(func(n size.Need) float64 { return float64(n.ListBytes) / 1000 }),
			median(func(n size.Need) float64 { return n.Served }))
	}
	return w.Flush()
}
