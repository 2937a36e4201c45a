package main

import (
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"

	"frosttide/internal/testkit/lab/scale"
)

// forceCommand measures how long operators' words take to be in force at all members.
func forceCommand() *cobra.Command {
	to, plan := publication{}, scale.ForcePlan{}
	c := &cobra.Command{Use: "force", Short: "Measure how long operators' words take to all members, in calm and under faults", Args: cobra.NoArgs,
		Example: `  frosttide-lab force --commit $(git rev-parse --short HEAD) --page docs/capacity/dispatcher.md --figures docs/capacity`}
	f := c.Flags()
	f.IntVar(&plan.Members, "members", 300, "hollow members, three of them voters")
	f.IntVar(&plan.Words, "words", 100, "words under each fault")
	f.Uint64Var(&plan.Seed, "seed", 1, "seed of where words are said")
	to.flags(f)
	c.RunE = func(c *cobra.Command, _ []string) error {
		ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt)
		defer stop()
		fmt.Fprintf(c.OutOrStdout(), "seed %d\n", plan.Seed)
		found, err := scale.RunForce(ctx, plan)
		if err != nil {
			return err
		}
		at := to.where(plan.Seed)
		return to.write(c.OutOrStdout(), "force", map[string]any{"run": at, "words": found}, scale.EmptyForce,
			func(page string) (string, error) { return scale.PutForce(page, found, at) })
	}
	return c
}
