package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// queryFlags are the flags of commands that tell of a running system.
type queryFlags struct {
	address string
	json    bool
}

func (c *invocation) parseQueryFlags(name string) (rest []string, s queryFlags, err error) {
	rest, err = c.parseFlags(name, func(f *flag.FlagSet) {
		f.StringVar(&s.address, "at", "", "`address` of a core machine, host:port")
		f.BoolVar(&s.json, "json", false, "print JSON")
	})
	if err != nil {
		return nil, s, err
	}
	s.address, err = coreAddress(s.address)
	return rest, s, err
}

// printRaw prints JSON as it came.
func printRaw(out io.Writer, body []byte) error {
	_, err := fmt.Fprintf(out, "%s\n", strings.TrimSpace(string(body)))
	return err
}

// statusCommand tells of the view, the members and the placement role.
func statusCommand(ctx context.Context, c *invocation) error {
	rest, s, err := c.parseQueryFlags("status")
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usageError("it takes flags only")
	}
	var m replica.Status
	memberBody, err := apiclient.Get(ctx, s.address, "/v1/status", &m)
	if err != nil {
		return err
	}
	var p scheduler.Status
	placementBody, placementErr := apiclient.Get(ctx, s.address, "/v1/scheduler", &p)
	if s.json {
		if placementErr != nil {
			placementBody = []byte("null")
		}
		return printRaw(c.out, fmt.Appendf(nil, `{"member":%s,"placement":%s}`, strings.TrimSpace(string(memberBody)), strings.TrimSpace(string(placementBody))))
	}
	printMember(c.out, &m)
	if placementErr != nil {
		fmt.Fprintf(c.out, "\nplacement: %v\n", placementErr)
		return nil
	}
	printPlacement(c.out, &p)
	return nil
}

func printMember(out io.Writer, m *replica.Status) {
	if m.View == nil {
		fmt.Fprintln(out, "view: none is known yet")
		return
	}
	fmt.Fprintf(out, "view: epoch %d, %d voters, chain of %d\n", m.View.GetEpoch(), len(m.View.GetVoters()), len(m.View.GetChain()))
	if len(m.View.GetPrevious()) > 0 {
		fmt.Fprintln(out, "the voters are being changed")
	}
	fmt.Fprintf(out, "this member: entry %d, synced %d, committed %d, disk lag %d ms\n\n", m.Index, m.Durable, m.Committed, m.DiskLagMs)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "MEMBER\tADDRESS\tCONTROL\tROLE\tHEARD")
	for _, v := range m.View.GetVoters() {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", v.GetNumber(), v.GetAddress(), v.GetControl(), roleOf(m.View, v), lastContact(m, v))
	}
	table.Flush()
}

func roleOf(v *protocol.View, m *protocol.Member) string {
	switch position := view.ChainPosition(v, m.GetId()); {
	case position == 0 && len(v.GetChain()) == 1:
		return "head and tail"
	case position == 0:
		return "head"
	case position == len(v.GetChain())-1:
		return "tail"
	case position > 0:
		return "chain"
	default:
		return "follower"
	}
}

func lastContact(m *replica.Status, v *protocol.Member) string {
	if v.GetId() == m.Self {
		return "this one"
	}
	ms, ok := m.SinceContactMs[v.GetId()]
	if !ok {
		return "never"
	}
	return fmt.Sprintf("%v ago", time.Duration(ms)*time.Millisecond)
}

func printPlacement(out io.Writer, p *scheduler.Status) {
	fmt.Fprintf(out, "\nplacement: fencing token %d, configuration %d, jobs:", p.Epoch, p.ConfigVersion)
	for _, state := range []string{"pending", "running", "completed", "failed", "canceled"} {
		fmt.Fprintf(out, " %d %s", p.Jobs[state], state)
	}
	fmt.Fprint(out, "\n\n")
	printRunners(out, p.Runners)
	if len(p.Waiting) > 0 {
		fmt.Fprintln(out)
		printWaiting(out, p.Waiting)
	}
}

func printRunners(out io.Writer, runners []scheduler.RunnerStatus) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "RUNNER\tSERVICE\tRACK\tSTATE\tCPU\tMEMORY MB\tGPUS\tRUNS\tCOMPANION")
	for _, r := range runners {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d/%d\t%d/%d\t%d/%d\t%d\t%s\n", r.ID, r.Service, r.Rack, runnerState(&r), r.Used.CPU, r.Capacity.CPU, r.Used.MemMB, r.Capacity.MemMB,
			r.Used.GPUs, r.Capacity.GPUs, r.Runs, r.Agent)
	}
	table.Flush()
}

// runnerState returns a runner's state, with the time that is left to one that is out of touch.
func runnerState(r *scheduler.RunnerStatus) string {
	if !r.InSession {
		return fmt.Sprintf("%s, lost in %v", r.State(), time.Duration(r.LostInMs)*time.Millisecond)
	}
	return r.State()
}

func printWaiting(out io.Writer, waiting []scheduler.WaitStatus) {
	for _, w := range waiting {
		fmt.Fprintf(out, "%s step %d waits for %v: %d tasks of %d thousandths of a core, %d MB, %d GPUs: %s\n", w.Job, w.Step, time.Duration(w.ForMs)*time.Millisecond, w.Tasks,
			w.Demand.CPU, w.Demand.MemMB, w.Demand.GPUs, w.Reason)
	}
}

// runnersCommand tells of runners.
func runnersCommand(ctx context.Context, c *invocation) error {
	rest, s, err := c.parseQueryFlags("runners")
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usageError("it takes flags only")
	}
	var p scheduler.Status
	if _, err := apiclient.Get(ctx, s.address, "/v1/scheduler", &p); err != nil {
		return err
	}
	if s.json {
		return printJSON(c.out, p.Runners)
	}
	printRunners(c.out, p.Runners)
	return nil
}

// jobsCommand tells of jobs, or cancels one.
func jobsCommand(ctx context.Context, c *invocation) error {
	rest, s, err := c.parseQueryFlags("jobs")
	if err != nil {
		return err
	}
	switch {
	case slices.Equal(rest, []string{"list"}):
		return printJobs(ctx, c, s)
	case len(rest) == 2 && rest[0] == "show":
		return printJob(ctx, c, s, rest[1])
	case len(rest) == 2 && rest[0] == "cancel":
		a, err := apiclient.Do(ctx, http.MethodDelete, s.address, "/v1/jobs/"+rest[1], "", nil)
		if err != nil {
			return err
		}
		if a.Status != http.StatusOK {
			return a.Err()
		}
		fmt.Fprintf(c.out, "%s is canceled\n", rest[1])
		return nil
	default:
		return usageError("list, show ID or cancel ID is wanted")
	}
}

func printJobs(ctx context.Context, c *invocation, s queryFlags) error {
	var jobs []scheduler.JobStatus
	body, err := apiclient.Get(ctx, s.address, "/v1/jobs", &jobs)
	if err != nil {
		return err
	}
	if s.json {
		return printRaw(c.out, body)
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tQUEUE\tSTATE\tACCEPTED")
	for _, j := range jobs {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", j.ID, j.Queue, j.State, formatTime(j.AcceptedMs))
	}
	return table.Flush()
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func printJob(ctx context.Context, c *invocation, s queryFlags, id string) error {
	var j scheduler.JobStatus
	body, err := apiclient.Get(ctx, s.address, "/v1/jobs/"+id, &j)
	if err != nil {
		return err
	}
	if s.json {
		return printRaw(c.out, body)
	}
	fmt.Fprintf(c.out, "%s of %s: %s, accepted %s\n", j.ID, j.Queue, j.State, formatTime(j.AcceptedMs))
	for _, step := range j.Steps {
		fmt.Fprintf(c.out, "time %d step %d: %d tasks wait, ready: %v\n", step.Occurrence, step.Step, step.Waiting, step.Ready)
		for _, t := range step.Tasks {
			fmt.Fprintf(c.out, "  %s run %d at %s: %s, %d failures\n", t.Task, t.Run, t.Runner, t.Phase, t.Failures)
		}
	}
	printWaiting(c.out, j.Waiting)
	return nil
}
