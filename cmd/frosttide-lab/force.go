package main

import (
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"frosttide/internal/testkit/lab/scale"
)

// forceCommand returns the command that measures the time until an operator's order is in force at
// all members.
func forceCommand() *cobra.Command {
	publish, plan := publishFlags{}, scale.ForcePlan{}
	c := &cobra.Command{Use: "force", Short: "Measure the time until operators' orders are in force at all members, without and with faults", Args: cobra.NoArgs,
		Example: `  frosttide-lab force --commit $(git rev-parse --short HEAD) --page docs/capacity/dispatcher.md --figures docs/capacity`}
	f := c.Flags()
	f.IntVar(&plan.Members, "members", 300, "simulated members, three of them voters")
	f.IntVar(&plan.Words, "words", 100, "number of orders under each fault")
	f.Uint64Var(&plan.Seed, "seed", 1, "seed for choosing the members that get the orders")
	publish.register(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
		defer stop()
		fmt.Fprintf(c.OutOrStdout(), "seed %d\n", plan.Seed)
		found, err := scale.RunForce(ctx, plan)
		if err != nil {
			return err
		}
		at := publish.runInfo(plan.Seed)
		return publish.write(c.OutOrStdout(), "force", map[string]any{"run": at, "words": found}, scale.EmptyForce,
			func(page string) (string, error) { return scale.PutForce(page, found, at) })
	}
	return c
}
