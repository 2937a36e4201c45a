package main

import (
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/spf13/cobra"

	"frosttide/internal/testkit/lab/scale"
	"frosttide/internal/testkit/lab/size"
)

// urgentCommand returns the command that measures how long urgent jobs wait for their start while
// other jobs run.
func urgentCommand() *cobra.Command {
	var seconds float64
	publish, plan := publishFlags{}, size.UrgentPlan{}
	c := &cobra.Command{Use: "urgent", Short: "Measure how long urgent jobs wait for their start: at low load, near capacity and under a fault", Args: cobra.NoArgs,
		Example: `  frosttide-lab urgent --commit $(git rev-parse --short HEAD) --page docs/capacity/dispatcher.md --figures docs/capacity`}
	f := c.Flags()
	f.StringVar(&plan.Binary, "binary", "bin/frosttide", "the program")
	f.IntVar(&plan.Workers, "workers", 40, "simulated workers with one slot each")
	f.Float64Var(&seconds, "seconds", 25, "length of each run")
	f.Uint64Var(&plan.Seed, "seed", 1, "seed of the other jobs' arrivals")
	publish.register(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
		defer stop()
		fmt.Fprintf(c.OutOrStdout(), "seed %d\n", plan.Seed)
		plan.For = time.Duration(seconds * float64(time.Second))
		var found []size.Urgent
		for _, of := range scale.UrgentRuns {
			run := plan
			run.Load, run.Hang = of.Load, of.Hang
			u, err := size.RunUrgent(ctx, run)
			if err != nil {
				return err
			}
			found = append(found, u)
		}
		at := publish.runInfo(plan.Seed)
		at.Seconds = seconds
		return publish.write(c.OutOrStdout(), "urgent", map[string]any{"run": at, "workers": plan.Workers, "urgent": found}, scale.EmptyUrgent,
			func(page string) (string, error) { return scale.PutUrgent(page, found, at) })
	}
	return c
}
