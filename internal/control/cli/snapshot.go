package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"frosttide/internal/control/jobs"
	"frosttide/internal/control/journal"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/nodefile"
	"frosttide/internal/protocol"
)

const (
	// snapshotFileMode is the mode of snapshot files. Jobs may contain confidential data.
	snapshotFileMode = 0o600
	// restoredEpochGap is the difference between the first epoch of a restored system and the
	// newest epoch in its snapshot. Views that followed the snapshot had higher epochs, which
	// runners know as fencing tokens; the epochs of the restored system must exceed them.
	restoredEpochGap = 1 << 36
)

// snapshotCommand saves the state of a member's disk to a file, verifies such a file, or restores a
// disk from it.
func snapshotCommand(_ context.Context, c *invocation) error {
	var settings string
	rest, err := c.parseFlags("snapshot", func(f *flag.FlagSet) {
		f.StringVar(&settings, "settings", os.Getenv(nodefile.PathVariable), "settings `file` of the member that is restored")
	})
	if err != nil {
		return err
	}
	switch {
	case len(rest) == 3 && rest[0] == "save":
		return writeSnapshot(c.out, rest[1], rest[2])
	case len(rest) == 2 && rest[0] == "verify":
		_, err := readSnapshot(c.out, rest[1])
		return err
	case len(rest) == 3 && rest[0] == "restore":
		return restoreSnapshot(c.out, rest[1], rest[2], settings)
	default:
		return usageError("expected save DIR FILE, verify FILE or restore FILE DIR")
	}
}

// writeSnapshot writes the state in the data directory of a member to the file at path. The member
// may be running.
func writeSnapshot(out io.Writer, dir, path string) error {
	state, err := journal.Load(dir)
	if err != nil {
		return err
	}
	encoded, err := journal.Snapshot(state)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, encoded, snapshotFileMode); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	return printSnapshot(out, &state)
}

// readSnapshot reads a snapshot file and prints a summary of it. An incomplete write at the end of
// the file is ignored.
func readSnapshot(out io.Writer, path string) (*journal.State, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	state, validLength, err := journal.Read(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if state.ID == 0 {
		return nil, errors.Newf("%s: not a snapshot", path)
	}
	if validLength < len(data) {
		fmt.Fprintf(out, "the last %d bytes are a write that was not finished; they count for nothing\n", len(data)-validLength)
	}
	return &state, printSnapshot(out, &state)
}

// printSnapshot prints a one-line summary of a state. It returns an error if the jobs or the
// configuration in the state can't be decoded.
func printSnapshot(out io.Writer, state *journal.State) error {
	table, err := jobs.Load(state.Store)
	if err != nil {
		return err
	}
	config, err := scheduler.LoadConfig(state.Store)
	if err != nil {
		return err
	}
	counts := make(map[string]int)
	table.Each(func(j *jobs.Job) { counts[j.State.String()]++ })
	fmt.Fprintf(out, "form %d, entry %d of epoch %d, %d items, configuration %d, jobs:", journal.Format, state.Index, state.InstalledEpoch, state.Store.Len(), config.Version)
	printJobCounts(out, counts)
	return nil
}

// restoreSnapshot creates the data directory of the first member of a system that is restored from
// a snapshot. settingsPath is the settings file of that member.
func restoreSnapshot(out io.Writer, path, dir, settingsPath string) error {
	if settingsPath == "" {
		return usageError("--settings or %s must name the settings file of the member", nodefile.PathVariable)
	}
	settings, err := nodefile.Read(settingsPath)
	if err != nil {
		return err
	}
	state, err := readSnapshot(out, path)
	if err != nil {
		return err
	}
	setSingleVoter(state, settings)
	encoded, err := journal.Snapshot(*state)
	if err != nil {
		return err
	}
	if err := journal.Create(dir, encoded); err != nil {
		return err
	}
	fmt.Fprint(out, strings.TrimLeft(`
The folder is ready. Start this member with it, then the others with empty folders and Bootstrap = false.
Lost is what was acknowledged after the snapshot: jobs, cancels and configurations. Tasks that it holds as running
start again once their runners are known to have lost them, at the latest after RecoveryS; a task that ended
after the snapshot runs again.
`, "\n"))
	return nil
}

// setSingleVoter gives a state a new identity, with the addresses and the zone in the settings, and
// a view whose only voter and chain member has that identity.
func setSingleVoter(state *journal.State, settings *nodefile.File) {
	self := &protocol.Member{
		Id:      rand.Uint64() >> 1,
		Number:  max(state.Accepted.GetNextNumber(), 1),
		Address: settings.InternalAddress(settings.IP, 0),
		Control: settings.ListenAddrs.Control,
		Zone:    settings.Zone,
	}
	epoch := max(state.Promised, state.Accepted.GetEpoch(), state.InstalledEpoch) + restoredEpochGap
	state.ID, state.Promised, state.InstalledEpoch = self.GetId(), epoch, epoch
	state.Accepted = &protocol.View{
		Epoch:      epoch,
		Voters:     []*protocol.Member{self},
		Chain:      []uint64{self.GetId()},
		NextNumber: self.GetNumber() + 1,
	}
}
