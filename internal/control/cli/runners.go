package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/scheduler"
)

// runnersCommand prints all runners as a table or as JSON.
func runnersCommand(ctx context.Context, c *invocation) error {
	q, err := c.parseQuery("runners")
	if err != nil {
		return err
	}
	var placement scheduler.Status
	if _, err := apiclient.Get(ctx, q.address, "/v1/scheduler", &placement); err != nil {
		return err
	}
	if q.json {
		return printJSON(c.out, placement.Runners)
	}
	printRunners(c.out, placement.Runners)
	return nil
}

// printRunners prints the table of runners.
func printRunners(out io.Writer, runners []scheduler.RunnerStatus) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "RUNNER\tSERVICE\tRACK\tSTATE\tCPU\tMEMORY MB\tGPUS\tRUNS\tCOMPANION")
	for _, r := range runners {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d/%d\t%d/%d\t%d/%d\t%d\t%s\n", r.ID, r.Service, r.Rack, runnerState(&r), r.Used.CPU, r.Capacity.CPU, r.Used.MemMB, r.Capacity.MemMB,
			r.Used.GPUs, r.Capacity.GPUs, r.Runs, r.Agent)
	}
	table.Flush()
}

// runnerState returns the state of a runner. For a runner without a session it adds the time until
// its runs are considered lost.
func runnerState(r *scheduler.RunnerStatus) string {
	if !r.InSession {
		return fmt.Sprintf("%s, lost in %v", r.State(), time.Duration(r.LostInMs)*time.Millisecond)
	}
	return r.State()
}
