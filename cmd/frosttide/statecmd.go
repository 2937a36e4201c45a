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
	sub := func(use, short, example string, run func(cmd *cobra.Command, dir *rosterstore.Dir) error) {
		cmd.AddCommand(&cobra.Command{Use: use, Short: short, Example: example, Args: exactly("DIR"),
			RunE: func(cmd *cobra.Command, args []string) error {
				if info, err := os.Stat(args[0]); err != nil {
					return err
				} else if !info.IsDir() {
					return fmt.Errorf("%s is no folder", args[0])
				}
				dir, err := rosterstore.Open(args[0], name, settings.DefaultStateGenerations)
				if err != nil {
					return err
				}
				return run(cmd, dir)
			}})
	}
	sub("show DIR", "Print what is kept, how old it is, and what would be used now and why", "  frosttide state show /var/lib/frosttide",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error {
			s, err := newest(dir)
			if err != nil {
				return err
			}
			return showState(cmd.OutOrStdout(), s, time.Now())
		})
	sub("verify DIR", "Read every generation; exit status 1 if none can be used", "  frosttide state verify /var/lib/frosttide",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error {
			all, err := dir.ReadAll()
			if err != nil {
				return err
			}
			good := 0
			for _, f := range all {
				if f.Err != nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %v\n", f.File, f.Err)
					continue
				}
				good++
				fmt.Fprintf(cmd.OutOrStdout(), "%s: good, %d runners of %s, saved %s\n", f.File, len(f.Snapshot.Nodes), f.Snapshot.Name, clock(f.Snapshot.Saved))
			}
			if good == 0 {
				return errors.New("no generation can be used")
			}
			return nil
		})
	sub("export DIR", "Write the newest generation as JSON to standard output", "  frosttide state export /var/lib/frosttide > state.json",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error {
			s, err := newest(dir)
			if err != nil {
				return err
			}
			out := json.NewEncoder(cmd.OutOrStdout())
			out.SetIndent("", "  ")
			return out.Encode(s)
		})
	sub("import DIR", "Read JSON from standard input and add it as the newest generation", "  frosttide state import /var/lib/frosttide < state.json",
		func(cmd *cobra.Command, dir *rosterstore.Dir) error {
			in := json.NewDecoder(io.LimitReader(cmd.InOrStdin(), rosterstore.MaxPlainBytes))
			in.DisallowUnknownFields()
			var s rosterstore.Snapshot
			if err := in.Decode(&s); err != nil {
				return fmt.Errorf("standard input: %w", err)
			}
			if s.Name == "" || name != "" && name != s.Name {
				return fmt.Errorf("standard input: the state is of the dispatcher %q", s.Name)
			}
			dir.Rename(s.Name)
			if _, err := dir.Load(func(string, error) {}); err != nil {
				return err
			}
			return dir.Save(&s)
		})
	return cmd
}

// newest returns the newest generation that can be read.
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
		err = errors.New("nothing is kept there")
	}
	return nil, err
}

// clock writes a time since 1970; never for none.
func clock(at time.Duration) string {
	if at == 0 {
		return "never"
	}
	return time.Unix(0, int64(at)).UTC().Format(time.RFC3339)
}

func showState(out io.Writer, s *rosterstore.Snapshot, at time.Time) error {
	now := time.Duration(at.UnixNano())
	bounds := settings.DefaultState()
	cfg := rosterpolicy.Config{Fresh: bounds.Fresh, Old: bounds.Old, Max: bounds.Max, ProbeRate: probeRate, Dispatchers: 1}
	left := map[string]bool{}
	for _, uid := range s.Excluded {
		left[uid] = true
	}
	var stored []rosterpolicy.Stored
	type entry struct {
		Endpoint string `json:"endpoint"`
		Zone     string `json:"az"`
		State    string `json:"state"`
	}
	entries := map[string]entry{}
	for _, n := range s.Nodes {
		var e entry
		if err := json.Unmarshal(n.Entry, &e); err != nil {
			return fmt.Errorf("entry of %s: %w", n.UID, err)
		}
		entries[n.UID] = e
		stored = append(stored, rosterpolicy.Stored{UID: n.UID, Addr: e.Endpoint, Zone: e.Zone, Confirmed: n.Confirmed,
			Barred: e.State == "DRAINING" || left[n.UID]})
	}
	book := rosterpolicy.New(cfg, now, stored, 1)
	fmt.Fprintf(out, "dispatcher %s, list %d of %s, saved %s, discovery last spoke %s\n", s.Name, s.Rev, s.Discovery, clock(s.Saved), clock(s.Answered))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "runner\taddress\tzone\tlisted as\tconfirmed by\tage\tat a start now\twhy")
	for _, n := range s.Nodes {
		e := entries[n.UID]
		standing, _, why := book.Standing(n.UID)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n.UID, e.Endpoint, e.Zone, e.State, n.By, (now - n.Confirmed).Round(time.Second), standing, why)
	}
	return w.Flush()
}
