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

// shown are the flags of commands that tell of a running system.
type shown struct {
	at   string
	json bool
}

func (c *call) shown(name string) (rest []string, s shown, err error) {
	rest, err = c.parse(name, func(f *flag.FlagSet) {
		f.StringVar(&s.at, "at", "", "`address` of a core machine, host:port")
		f.BoolVar(&s.json, "json", false, "print JSON")
	})
	if err != nil {
		return nil, s, err
	}
	s.at, err = address(s.at)
	return rest, s, err
}

// raw prints JSON as it came.
func raw(out io.Writer, body []byte) error {
	_, err := fmt.Fprintf(out, "%s\n", strings.TrimSpace(string(body)))
	return err
}

// status tells of the view, the members and the placement role.
func status(ctx context.Context, c *call) error {
	rest, s, err := c.shown("status")
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usage("it takes flags only")
	}
	var m replica.Status
	memberBody, err := apiclient.Get(ctx, s.at, "/v1/status", &m)
	if err != nil {
		return err
	}
	var p scheduler.Status
	placementBody, placementErr := apiclient.Get(ctx, s.at, "/v1/scheduler", &p)
	if s.json {
		if placementErr != nil {
			placementBody = []byte("null")
		}
		return raw(c.out, fmt.Appendf(nil, `{"member":%s,"placement":%s}`, strings.TrimSpace(string(memberBody)), strings.TrimSpace(string(placementBody))))
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
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", v.GetNumber(), v.GetAddress(), v.GetControl(), roleOf(m.View, v), heard(m, v))
	}
	table.Flush()
}

func roleOf(v *protocol.View, m *protocol.Member) string {
	switch place := view.Place(v, m.GetId()); {
	case place == 0 && len(v.GetChain()) == 1:
		return "head and tail"
	case place == 0:
		return "head"
	case place == len(v.GetChain())-1:
		return "tail"
	case place > 0:
		return "chain"
	default:
		return "follower"
	}
}

func heard(m *replica.Status, v *protocol.Member) string {
	if v.GetId() == m.Self {
		return "this one"
	}
	ms, ok := m.SilentMs[v.GetId()]
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
			r.Used.GPUs, r.Capacity.GPUs, r.Runs, r.Companion)
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
			w.Demand.CPU, w.Demand.MemMB, w.Demand.GPUs, w.Why)
	}
}

// runnersCommand tells of runners.
func runnersCommand(ctx context.Context, c *call) error {
	rest, s, err := c.shown("runners")
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usage("it takes flags only")
	}
	var p scheduler.Status
	if _, err := apiclient.Get(ctx, s.at, "/v1/scheduler", &p); err != nil {
		return err
	}
	if s.json {
		return printJSON(c.out, p.Runners)
	}
	printRunners(c.out, p.Runners)
	return nil
}

// jobsCommand tells of jobs, or cancels one.
func jobsCommand(ctx context.Context, c *call) error {
	rest, s, err := c.shown("jobs")
	if err != nil {
		return err
	}
	switch {
	case slices.Equal(rest, []string{"list"}):
		return listJobs(ctx, c, s)
	case len(rest) == 2 && rest[0] == "show":
		return showJob(ctx, c, s, rest[1])
	case len(rest) == 2 && rest[0] == "cancel":
		a, err := apiclient.Ask(ctx, http.MethodDelete, s.at, "/v1/jobs/"+rest[1], "", nil)
		if err != nil {
			return err
		}
		if a.Status != http.StatusOK {
			return a.Refusal()
		}
		fmt.Fprintf(c.out, "%s is canceled\n", rest[1])
		return nil
	default:
		return usage("list, show ID or cancel ID is wanted")
	}
}

func listJobs(ctx context.Context, c *call, s shown) error {
	var list []scheduler.JobStatus
	body, err := apiclient.Get(ctx, s.at, "/v1/jobs", &list)
	if err != nil {
		return err
	}
	if s.json {
		return raw(c.out, body)
	}
	table := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "JOB\tQUEUE\tSTATE\tACCEPTED")
	for _, j := range list {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", j.ID, j.Queue, j.State, moment(j.AcceptedMs))
	}
	return table.Flush()
}

func moment(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func showJob(ctx context.Context, c *call, s shown, id string) error {
	var j scheduler.JobStatus
	body, err := apiclient.Get(ctx, s.at, "/v1/jobs/"+id, &j)
	if err != nil {
		return err
	}
	if s.json {
		return raw(c.out, body)
	}
	fmt.Fprintf(c.out, "%s of %s: %s, accepted %s\n", j.ID, j.Queue, j.State, moment(j.AcceptedMs))
	for _, step := range j.Steps {
		fmt.Fprintf(c.out, "time %d step %d: %d tasks wait, ready: %v\n", step.Occasion, step.Step, step.Waiting, step.Ready)
		for _, t := range step.Tasks {
			fmt.Fprintf(c.out, "  %s run %d at %s: %s, %d failures\n", t.Task, t.Run, t.Runner, t.Phase, t.Failures)
		}
	}
	printWaiting(c.out, j.Waiting)
	return nil
}
