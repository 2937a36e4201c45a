package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/quorum"
)

// consoleTimeout bounds a call to a console.
const consoleTimeout = 3 * time.Second

// errNoLogDir is returned for settings without a directory for the replicated log.
var errNoLogDir = errors.New("the settings lack listen or dir in [cluster]")

// clusterCommand returns the command that inspects and changes a cluster through one member, or
// recovers a stopped member.
func clusterCommand() *cobra.Command {
	var console string
	cmd := &cobra.Command{
		Use:   "cluster",
		Short: "Inspect the members of a dispatcher cluster and their shared state",
		Long: `cluster queries a dispatcher's console about its cluster. recover works on the directory of
a stopped member.`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.PersistentFlags().StringVar(&console, "console", "127.0.0.1:8090", "address of a member's console")
	cmd.AddCommand(
		reportCommand("members", "Print the members, their status and the leader", &console, showMembers),
		reportCommand("state", "Print the shared state: excluded runners, replicas and their lag", &console, showSharedState),
		reportCommand("log", "Print the status of the replicated log and its last entries", &console, showLog),
		memberCommand("snapshot", "Make the member take a snapshot and truncate its log",
			"  frosttide cluster snapshot", &console, "/api/cluster/snapshot", ""),
		memberCommand("join ADDRESS", "Make the member join the member at an address",
			"  frosttide cluster join 127.0.0.2:7946", &console, "/api/cluster/join", "address"),
		memberCommand("leave NAME", "Remove a permanently lost member from the log; --console has to be the leader's",
			"  frosttide cluster leave studio-3", &console, "/api/cluster/remove", "name"),
		recoverCommand(),
	)
	return cmd
}

// reportCommand returns a command that prints a part of a member's report. The console's address
// is a pointer because flags are parsed only when the command runs.
func reportCommand(use, short string, console *string, show func(io.Writer, cluster.Report)) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  frosttide cluster " + use + " --console 127.0.0.1:8090",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			text, err := consoleCall(http.MethodGet, *console, "/api/cluster", nil)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = cmd.OutOrStdout().Write(text)
				return err
			}
			var r cluster.Report
			if err := json.Unmarshal(text, &r); err != nil {
				return fmt.Errorf("decode the console's response: %w", err)
			}
			show(cmd.OutOrStdout(), r)
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the console's complete response as JSON")
	return cmd
}

// memberCommand returns a command that posts a request to a member's console. With a key the
// command takes one argument, which is sent in the JSON body under that key.
func memberCommand(use, short, example string, console *string, path, key string) *cobra.Command {
	args := noArgs
	if key != "" {
		args = exactArgs(strings.Fields(use)[1:]...)
	}
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    args,
		RunE: func(_ *cobra.Command, args []string) error {
			body := map[string]string{}
			if key != "" {
				body[key] = args[0]
			}
			_, err := consoleCall(http.MethodPost, *console, path, body)
			return err
		},
	}
}

// consoleCall sends a request with a JSON body to the console at an address and returns the
// response's body. It fails for any status but 200.
func consoleCall(method, at, path string, body any) ([]byte, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(consoleTimeout))
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return nil, fmt.Errorf("the dispatcher at %s is not in a cluster; its settings need a [cluster] section", at)
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %s", at, strings.TrimSpace(string(got)))
	}
	return got, nil
}

// showMembers prints the members and their roles in the replicated log.
func showMembers(out io.Writer, r cluster.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "MEMBER\tADDRESS\tLIFE\tSITE\tLOG\tBUILD")
	for _, m := range r.Members {
		part := "-"
		for _, v := range r.Log.Voters {
			if v == m.Name {
				part = "voter"
			}
		}
		for _, f := range r.Log.Followers {
			if f == m.Name {
				part = "follower"
			}
		}
		if m.Name == r.Log.Leader {
			part = "leader"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, m.Addr, m.Status, m.Site, part, m.Build)
	}
	w.Flush()
}

// showSharedState prints the state that the members share: the exclusions agreed on by the log, the
// progress of the rejoin, and the replicas with their lag and message counts.
func showSharedState(out io.Writer, r cluster.Report) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "agreed up to\t%d\n", r.State.Index)
	for _, d := range r.State.Excluded {
		fmt.Fprintf(w, "left out\t%s\tby %s since %s\t%s\n", d.UID, d.By, time.UnixMilli(d.At).UTC().Format(time.RFC3339), d.Why)
	}
	if b := r.Rejoin; b != nil {
		fmt.Fprintf(w, "come back\t%s for %.1f s\t%s\n", b.Stage, b.Since, b.WaitsFor)
		fmt.Fprintf(w, "sharers\t%d\tof cold runners; the process stood still %d times\n", b.Sharers, b.Stalls)
	}
	c := r.Replicas
	fmt.Fprintf(w, "copies\t%s\tdigest\n", c.Digest)
	for _, kind := range []string{"runners", "health", "fates"} {
		fmt.Fprintf(w, "%s\t%d\t%d dropped for want of room\n", kind, c.Stored[kind], c.Dropped[kind])
	}
	synced := "never yet"
	if c.Synced >= 0 {
		synced = fmt.Sprintf("%.1f s ago", c.Synced)
	}
	fmt.Fprintf(w, "behind\t%d of 256 parts\tequal to another's %s\n", c.Behind, synced)
	fmt.Fprintf(w, "words\t%d heard, %d new, %d refused, %d contradictions\t%d wait\n", c.Received, c.Accepted, c.Rejected, c.Conflicts, c.QueuedUpdates)
	w.Flush()
}

// showLog prints the status of the replicated log and its last entries.
func showLog(out io.Writer, r cluster.Report) {
	l := r.Log
	leader := l.Leader
	if leader == "" {
		leader = "nobody: no majority of the voters is reached, and nothing can be written"
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "role\t%s (%s)\nleader\t%s\nterm\t%d\nlast entry\t%d\napplied\t%d\nvoters\t%s\nfollowers\t%s\n", l.Role, l.ID, leader, l.Term,
		l.Last, l.Applied, strings.Join(l.Voters, " "), strings.Join(l.Followers, " "))
	if l.Lost != "" {
		fmt.Fprintf(w, "lost\t%s\n", l.Lost)
	}
	w.Flush()
	w = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, d := range r.State.Recent {
		effect := "no change"
		if d.Changed {
			effect = "done"
		}
		if d.Refused != "" {
			effect = d.Refused
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\tby %s\t%s\t%s\n", d.Index, time.UnixMilli(d.At).UTC().Format(time.RFC3339), d.Op, d.UID, d.By, effect, d.Why)
	}
	w.Flush()
}

// bootstrapNewLog makes a member without a log the only voter of a new log, which starts with the
// exclusions of the watermark directory. Unless confirmed, it only prints what it would do.
func bootstrapNewLog(out io.Writer, cfg config.Config, confirmed bool) error {
	if err := os.MkdirAll(cfg.Cluster.Dir, 0o700); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	kept, err := cluster.BeginAnew(cluster.Config{Name: cfg.Name, Listen: cfg.Cluster.Listen, Advertise: cfg.Cluster.Advertise,
		Dir: cfg.Cluster.Dir, WatermarkDir: cfg.Cluster.WatermarkDir}, confirmed)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the folder here holds no log; what was kept apart from it says that it went to entry %d\n", kept.Index)
	fmt.Fprintf(out, "left out by it: %d runners: %s\n", len(kept.Out), strings.Join(kept.Out, " "))
	fmt.Fprintln(out, "entries after that one, if there were any, are unknown")
	if !confirmed {
		fmt.Fprintln(out, "nothing was changed; say --yes to begin a new log with these runners left out")
		return nil
	}
	fmt.Fprintf(out, "%s is the only voter of a new log now; start it, then the others with empty folders\n", cfg.Name)
	return nil
}

// recoverCommand returns the command that recovers a stopped member after the loss of a majority.
func recoverCommand() *cobra.Command {
	var confirmed bool
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Make a stopped member the log's only voter, after a majority is lost for good",
		Long: `recover makes this member the only voter of the log in its directory. Use it only if a
majority of the voters is permanently lost. Acknowledged entries that had not reached this member
are lost. Entries that this member has and that were never acknowledged become committed. If no
voter has a log any more, a member that recorded its log's progress in a separate directory
(recovery.keep) starts a new log from that record. Run it on the member with the longest log
("frosttide cluster log" on each), start that member, then the others with empty directories.`,
		Example: `  frosttide cluster recover --config /etc/frosttide.toml --yes`,
		Args:    noArgs,
	}
	src := sourceFlags(cmd)
	cmd.Flags().BoolVar(&confirmed, "yes", false, "apply the change; without it, only print what would be done")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		cfg, err := config.Load(*src)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return errReported
		}
		return recoverMember(cmd.OutOrStdout(), cfg, confirmed)
	}
	return cmd
}

// recoverMember makes a stopped member the only voter of its log, or of a new log if it has none.
// Unless confirmed, it only prints what it would do.
func recoverMember(out io.Writer, cfg config.Config, confirmed bool) error {
	if cfg.Cluster.Listen == "" || cfg.Cluster.Dir == "" {
		return errNoLogDir
	}
	addr := cmp.Or(cfg.Cluster.Advertise, cfg.Cluster.Listen)
	found, err := quorum.Recover(cfg.Cluster.Dir, cfg.Name, addr, confirmed)
	if errors.Is(err, quorum.ErrEmpty) || errors.Is(err, os.ErrNotExist) {
		return bootstrapNewLog(out, cfg, confirmed)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the log here goes to entry %d, of term %d; its voters were %s\n", found.Last, found.Term, strings.Join(found.Voters, " "))
	fmt.Fprintf(out, "left out by it: %d runners\n", found.Excluded)
	fmt.Fprintln(out, "acknowledged entries after that one, if the lost voters had any, are lost")
	if !confirmed {
		fmt.Fprintln(out, "nothing was changed; say --yes to go on")
		return nil
	}
	fmt.Fprintf(out, "%s is the only voter now; start it, then the others with empty folders\n", cfg.Name)
	return nil
}
