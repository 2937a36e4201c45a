package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
	"frosttide/internal/view"
)

// statusCommand prints the view, the members and the state of the placement role. It does not fail
// if only the state of the placement role can't be read.
func statusCommand(ctx context.Context, c *invocation) error {
	q, err := c.parseQuery("status")
	if err != nil {
		return err
	}
	var member replica.Status
	memberBody, err := apiclient.Get(ctx, q.address, "/v1/status", &member)
	if err != nil {
		return err
	}
	var placement scheduler.Status
	placementBody, placementErr := apiclient.Get(ctx, q.address, "/v1/scheduler", &placement)
	if q.json {
		if placementErr != nil {
			placementBody = []byte("null")
		}
		return printRaw(c.out, fmt.Appendf(nil, `{"member":%s,"placement":%s}`, strings.TrimSpace(string(memberBody)), strings.TrimSpace(string(placementBody))))
	}
	printMember(c.out, &member)
	if placementErr != nil {
		fmt.Fprintf(c.out, "\nplacement: %v\n", placementErr)
		return nil
	}
	printPlacement(c.out, &placement)
	return nil
}

// printMember prints the view of a member, its position in the log, and its contact with the
// voters.
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
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", v.GetNumber(), v.GetAddress(), v.GetControl(), chainRole(m.View, v), lastContact(m, v))
	}
	table.Flush()
}

// chainRole returns the role of a member in the chain of a view, as text.
func chainRole(v *protocol.View, m *protocol.Member) string {
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

// lastContact returns, as text, the time since the member last had contact with a voter.
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

// printPlacement prints the state of the placement role.
func printPlacement(out io.Writer, p *scheduler.Status) {
	fmt.Fprintf(out, "\nplacement: fencing token %d, configuration %d, jobs:", p.Epoch, p.ConfigVersion)
	printJobCounts(out, p.Jobs)
	fmt.Fprintln(out)
	printRunners(out, p.Runners)
	if len(p.Waiting) > 0 {
		fmt.Fprintln(out)
		printWaiting(out, p.Waiting)
	}
}

// printWaiting prints the waiting steps, with the demand of each task and the reason for the wait.
func printWaiting(out io.Writer, waiting []scheduler.WaitStatus) {
	for _, w := range waiting {
		fmt.Fprintf(out, "%s step %d waits for %v: %d tasks of %d thousandths of a core, %d MB, %d GPUs: %s\n", w.Job, w.Step, time.Duration(w.ForMs)*time.Millisecond, w.Tasks,
			w.Demand.CPU, w.Demand.MemMB, w.Demand.GPUs, w.Reason)
	}
}
