package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
	"frosttide/internal/dispatcher/settings"
)

var (
	// errNoGeneration is the error of a folder without a generation that can be read.
	errNoGeneration = errors.New("no generation can be used")
	// errEmptyState is the error of a folder without any generation.
	errEmptyState = errors.New("nothing is kept there")
)

// stateCommand returns the command that reads and writes stored lists of workers.
func stateCommand() *cobra.Command {
	var name string
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Look at the list of runners that is kept on disk",
		Long: `state reads the folder that [state] dir (or FROSTTIDE_STATE_DIR) names. A folder may hold
the lists of several dispatchers; --name picks one.`,
		Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("say show, verify, export or import")}
		},
	}
	cmd.PersistentFlags().StringVar(&name, "name", "", "the dispatcher's name; any if left out")
	add := func(use, short, example string, run func(cmd *cobra.Command, dir *rosterstore.Dir) error) {
		cmd.AddCommand(&cobra.Command{Use: use, Short: short, Example: example, Args: exactly("DIR"),
			RunE: func(cmd *cobra.Command, args []string) error {
				dir, err := openStateDir(args[0], name)
				if err != nil {
					return err
				}
				return run(cmd, dir)
			}})
	}
	add("show DIR", "Print what is kept, how old it is, and what would be used now and why", "  frosttide state show /var/lib/frosttide",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error {
			s, err := newest(dir)
			if err != nil {
				return err
			}
			return showState(cmd.OutOrStdout(), s, time.Now())
		})
	add("verify DIR", "Read every generation; exit status 1 if none can be used", "  frosttide state verify /var/lib/frosttide",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error { return verifyState(cmd.OutOrStdout(), dir) })
	add("export DIR", "Write the newest generation as JSON to standard output", "  frosttide state export /var/lib/frosttide > state.json",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error { return exportState(cmd.OutOrStdout(), dir) })
	add("import DIR", "Read JSON from standard input and add it as the newest generation", "  frosttide state import /var/lib/frosttide < state.json",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error { return importState(cmd.InOrStdin(), dir, name) })
	return cmd
}

// openStateDir opens a folder of stored lists, of one dispatcher or with an empty name of
// any. It fails for a folder that does not exist.
func openStateDir(path, name string) (*rosterstore.Dir, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is no folder", path)
	}
	return rosterstore.Open(path, name, settings.DefaultStateGenerations)
}

// verifyState prints what each generation holds. It fails with errNoGeneration.
func verifyState(out io.Writer, dir *rosterstore.Dir) error {
	all, err := dir.ReadAll()
	if err != nil {
		return err
	}
	valid := 0
	for _, f := range all {
		if f.Err != nil {
			fmt.Fprintf(out, "%s: %v\n", f.File, f.Err)
			continue
		}
		valid++
		fmt.Fprintf(out, "%s: good, %d runners of %s, saved %s\n", f.File, len(f.Snapshot.Nodes), f.Snapshot.Name, clock(f.Snapshot.Saved))
	}
	if valid == 0 {
		return errNoGeneration
	}
	return nil
}

// exportState writes the newest generation as JSON.
func exportState(out io.Writer, dir *rosterstore.Dir) error {
	s, err := newest(dir)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}

// importState adds a generation from JSON. With a name it has to be of that dispatcher.
func importState(in io.Reader, dir *rosterstore.Dir, name string) error {
	decoder := json.NewDecoder(io.LimitReader(in, rosterstore.MaxPlainBytes))
	decoder.DisallowUnknownFields()
	var s rosterstore.Snapshot
	if err := decoder.Decode(&s); err != nil {
		return fmt.Errorf("standard input: %w", err)
	}
	if s.Name == "" || name != "" && name != s.Name {
		return fmt.Errorf("standard input: the state is of the dispatcher %q", s.Name)
	}
	dir.SetDispatcher(s.Name)
	if _, err := dir.Load(func(string, error) {}); err != nil {
		return err
	}
	return dir.Save(&s)
}

// newest returns the newest generation that can be read. Without one it fails with what
// is wrong with each, or with errEmptyState.
func newest(dir *rosterstore.Dir) (*rosterstore.Snapshot, error) {
	all, err := dir.ReadAll()
	if err != nil {
		return nil, err
	}
	for _, f := range all {
		if f.Err == nil {
			return f.Snapshot, nil
		}
		err = errors.Join(err, fmt.Errorf("%s: %w", f.File, f.Err))
	}
	if err == nil {
		err = errEmptyState
	}
	return nil, err
}

// clock formats a time since 1970, and 0 as never.
func clock(at time.Duration) string {
	if at == 0 {
		return "never"
	}
	return time.Unix(0, int64(at)).UTC().Format(time.RFC3339)
}

// listedEntry is what showState reads of a worker's entry in discovery's form.
type listedEntry struct {
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	State    string `json:"state"`
}

// showState prints what is stored of each worker, and what a dispatcher that starts at a
// time would do with it.
func showState(out io.Writer, s *rosterstore.Snapshot, at time.Time) error {
	now := time.Duration(at.UnixNano())
	bounds := settings.DefaultState()
	cfg := rosterpolicy.Config{Fresh: bounds.Fresh, Old: bounds.Old, Max: bounds.Max, ProbeRate: probeRate, Dispatchers: 1}
	excluded := map[string]bool{}
	for _, uid := range s.Excluded {
		excluded[uid] = true
	}
	var stored []rosterpolicy.Stored
	entries := map[string]listedEntry{}
	for _, n := range s.Nodes {
		var e listedEntry
		if err := json.Unmarshal(n.Entry, &e); err != nil {
			return fmt.Errorf("entry of %s: %w", n.UID, err)
		}
		entries[n.UID] = e
		stored = append(stored, rosterpolicy.Stored{UID: n.UID, Addr: e.Endpoint, Zone: e.Zone, Confirmed: n.Confirmed,
			Barred: e.State == "DRAINING" || excluded[n.UID]})
	}
	policy := rosterpolicy.New(cfg, now, stored, 1)
	fmt.Fprintf(out, "dispatcher %s, list %d of %s, saved %s, discovery last spoke %s\n", s.Name, s.Rev, s.Discovery, clock(s.Saved), clock(s.Answered))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "runner\taddress\tzone\tlisted as\tconfirmed by\tage\tat a start now\twhy")
	for _, n := range s.Nodes {
		e := entries[n.UID]
		standing, _, reason := policy.Standing(n.UID)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.UID, e.Endpoint, e.Zone, e.State, n.By, (now - n.Confirmed).Round(time.Second), standing, reason)
	}
	return w.Flush()
}
