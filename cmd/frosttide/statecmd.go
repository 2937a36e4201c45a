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
	// errNoGeneration is returned for a directory without a readable generation.
	errNoGeneration = errors.New("no generation can be used")
	// errEmptyState is returned for a directory without any generation.
	errEmptyState = errors.New("nothing is kept there")
)

// stateCommand returns the command that inspects, exports and imports stored worker lists.
func stateCommand() *cobra.Command {
	var name string
	cmd := &cobra.Command{
		Use:   "state",
		Short: "Inspect, export and import the stored runner list",
		Long: `state works on the directory set by dir in [state] (or FROSTTIDE_STATE_DIR). A directory may
hold the lists of several dispatchers; --name selects one.`,
		Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("say show, verify, export or import")}
		},
	}
	cmd.PersistentFlags().StringVar(&name, "name", "", "the dispatcher's name; any dispatcher if empty")
	add := func(use, short, example string, run func(cmd *cobra.Command, dir *rosterstore.Dir) error) {
		cmd.AddCommand(&cobra.Command{Use: use, Short: short, Example: example, Args: exactArgs("DIR"),
			RunE: func(cmd *cobra.Command, args []string) error {
				dir, err := openStateDir(args[0], name)
				if err != nil {
					return err
				}
				return run(cmd, dir)
			}})
	}
	add("show DIR", "Print the newest list, its age, and which runners would be used now and why", "  frosttide state show /var/lib/frosttide",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error {
			s, err := newestGeneration(dir)
			if err != nil {
				return err
			}
			return showState(cmd.OutOrStdout(), s, time.Now())
		})
	add("verify DIR", "Check every generation; exit status 1 if none is usable", "  frosttide state verify /var/lib/frosttide",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error { return verifyState(cmd.OutOrStdout(), dir) })
	add("export DIR", "Write the newest generation as JSON to standard output", "  frosttide state export /var/lib/frosttide > state.json",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error { return exportState(cmd.OutOrStdout(), dir) })
	add("import DIR", "Read JSON from standard input and add it as the newest generation", "  frosttide state import /var/lib/frosttide < state.json",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error { return importState(cmd.InOrStdin(), dir, name) })
	return cmd
}

// openStateDir opens a directory of stored lists. With an empty name it reads the lists of any
// dispatcher. It fails if the directory does not exist.
func openStateDir(path, name string) (*rosterstore.Dir, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s is not a directory", path)
	}
	return rosterstore.Open(path, name, settings.DefaultStateGenerations)
}

// verifyState prints a summary or the error of each generation. It returns errNoGeneration if none
// is valid.
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
		fmt.Fprintf(out, "%s: good, %d runners of %s, saved %s\n", f.File, len(f.Snapshot.Nodes), f.Snapshot.Name, formatTime(f.Snapshot.Saved))
	}
	if valid == 0 {
		return errNoGeneration
	}
	return nil
}

// exportState writes the newest valid generation as JSON.
func exportState(out io.Writer, dir *rosterstore.Dir) error {
	s, err := newestGeneration(dir)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}

// importState adds a generation from JSON. If name is not empty, the generation must be of that
// dispatcher.
func importState(in io.Reader, dir *rosterstore.Dir, name string) error {
	decoder := json.NewDecoder(io.LimitReader(in, rosterstore.MaxPlainBytes))
	decoder.DisallowUnknownFields()
	var s rosterstore.Snapshot
	if err := decoder.Decode(&s); err != nil {
		return fmt.Errorf("standard input: %w", err)
	}
	if s.Name == "" || name != "" && name != s.Name {
		return fmt.Errorf("standard input: the state belongs to dispatcher %q", s.Name)
	}
	dir.SetDispatcher(s.Name)
	if _, err := dir.Load(func(string, error) {}); err != nil {
		return err
	}
	return dir.Save(&s)
}

// newestGeneration returns the newest readable generation. If there is none, it returns the joined
// errors of all generations, or errEmptyState for an empty directory.
func newestGeneration(dir *rosterstore.Dir) (*rosterstore.Snapshot, error) {
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

// formatTime formats a duration since the Unix epoch as RFC 3339, and 0 as "never".
func formatTime(at time.Duration) string {
	if at == 0 {
		return "never"
	}
	return time.Unix(0, int64(at)).UTC().Format(time.RFC3339)
}

// listedEntry has the fields of a worker's discovery entry that showState prints.
type listedEntry struct {
	Endpoint string `json:"endpoint"`
	Zone     string `json:"az"`
	State    string `json:"state"`
}

// showState prints the stored entry of each worker, and whether and why a dispatcher that starts
// at the given time would use it.
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
	fmt.Fprintf(out, "dispatcher %s, list %d of %s, saved %s, discovery last spoke %s\n", s.Name, s.Rev, s.Discovery, formatTime(s.Saved), formatTime(s.Answered))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "runner\taddress\tzone\tlisted as\tconfirmed by\tage\tat a start now\twhy")
	for _, n := range s.Nodes {
		e := entries[n.UID]
		standing, _, reason := policy.Standing(n.UID)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.UID, e.Endpoint, e.Zone, e.State, n.By, (now - n.Confirmed).Round(time.Second), standing, reason)
	}
	return w.Flush()
}
