package cli

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/scheduler"
)

// jobsCommand lists jobs, shows one, or cancels one.
func jobsCommand(ctx context.Context, c *invocation) error {
	var q queryFlags
	rest, err := c.parseFlags("jobs", q.define)
	if err != nil {
		return err
	}
	if q.address, err = coreAddress(q.address); err != nil {
		return err
	}
	switch {
	case slices.Equal(rest, []string{"list"}):
		return printJobs(ctx, c, q)
	case len(rest) == 2 && rest[0] == "show":
		return printJob(ctx, c, q, rest[1])
	case len(rest) == 2 && rest[0] == "cancel":
		return cancelJob(ctx, c, q, rest[1])
	default:
		return usageError("expected list, show ID or cancel ID")
	}
}

// printJobs prints all known jobs as a table or as JSON.
func printJobs(ctx context.Context, c *invocation, q queryFlags) error {
	var jobs []scheduler.JobStatus
	body, err := apiclient.Get(ctx, q.address, "/v1/jobs", &jobs)
	if err != nil {
		return err
	}
	if q.json {
		return printRaw(c.out, body)
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tQUEUE\tSTATE\tACCEPTED")
	for _, j := range jobs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", j.ID, j.Queue, j.State, formatTime(j.AcceptedMs))
	}
	return table.Flush()
}

// printJob prints the steps and tasks of a job and the reasons why steps wait, as text or as JSON.
func printJob(ctx context.Context, c *invocation, q queryFlags, id string) error {
	var job scheduler.JobStatus
	body, err := apiclient.Get(ctx, q.address, "/v1/jobs/"+id, &job)
	if err != nil {
		return err
	}
	if q.json {
		return printRaw(c.out, body)
	}
	fmt.Fprintf(c.out, "%s of %s: %s, accepted %s\n", job.ID, job.Queue, job.State, formatTime(job.AcceptedMs))
	for _, step := range job.Steps {
		fmt.Fprintf(c.out, "time %d step %d: %d tasks wait, ready: %v\n", step.Occurrence, step.Step, step.Waiting, step.Ready)
		for _, task := range step.Tasks {
			fmt.Fprintf(c.out, "  %s run %d at %s: %s, %d failures\n", task.Task, task.Run, task.Runner, task.Phase, task.Failures)
		}
	}
	printWaiting(c.out, job.Waiting)
	return nil
}

// cancelJob cancels the job with the given ID, in whichever queue it is.
func cancelJob(ctx context.Context, c *invocation, q queryFlags, id string) error {
	if _, err := apiclient.Do(ctx, apiclient.Call{Method: http.MethodDelete, Address: q.address, Path: "/v1/jobs/" + id}); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s is canceled\n", id)
	return nil
}
