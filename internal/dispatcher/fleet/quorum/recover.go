package quorum

import (
	"errors"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/ledger"
)

// Contents describes the log in a stopped member's folder.
type Contents struct {
	Last, Term uint64   // index of the last entry, and Raft's current term
	Voters     []string // names of the voters
	Excluded   int      // number of excluded runners
}

// Recover makes a stopped member the only voter of the log in its folder and returns what the
// folder contained. Unless confirmed is set, the log is left unchanged. Entries that only other
// voters had are lost, and all entries of this member count as committed. Recover returns ErrEmpty
// for a folder without a log, and an error that wraps os.ErrNotExist for a missing folder.
func Recover(dir, name, addr string, confirmed bool) (Contents, error) {
	var contents Contents
	if _, err := os.Stat(dir); err != nil {
		return contents, fmt.Errorf("cluster: %w", err)
	}
	quiet := hclog.NewNullLogger()
	d, err := openDiskFiles(dir, quiet)
	if err != nil {
		return contents, err
	}
	defer d.Close()
	id := raft.ServerID(name + "/" + d.id)
	m := &fsm{onApplied: func(ledger.Done) {}, onRestored: func(_, _ ledger.State) {}}
	localAddr, trans := raft.NewInmemTransport(serverAddress(d.id, addr))
	defer trans.Close()
	conf, err := raft.GetConfiguration(engineConfig(id, quiet), m, d.logs, d.logs, d.snaps, trans)
	if err != nil {
		return contents, fmt.Errorf("cluster: %w", err)
	}
	for _, s := range conf.Servers {
		if s.Suffrage == raft.Voter {
			contents.Voters = append(contents.Voters, memberName(s.ID))
		}
	}
	if contents.Last, err = d.lastIndex(); err != nil {
		return contents, err
	}
	if contents.Last == 0 {
		return contents, ErrEmpty
	}
	if contents.Term, err = d.logs.GetUint64([]byte("CurrentTerm")); err != nil {
		return contents, fmt.Errorf("cluster: reading the log's current term: %w", err)
	}
	contents.Excluded = len(m.state.Excluded)
	if !confirmed {
		return contents, nil
	}
	soleVoter := raft.Configuration{Servers: []raft.Server{{ID: id, Address: localAddr}}}
	m = &fsm{onApplied: m.onApplied, onRestored: m.onRestored}
	if err := raft.RecoverCluster(engineConfig(id, quiet), m, d.logs, d.logs, d.snaps, trans, soleVoter); err != nil {
		return contents, fmt.Errorf("cluster: %w", err)
	}
	contents.Excluded = len(m.state.Excluded)
	return contents, nil
}

// ErrEmpty is returned for a folder whose log has no entries.
var ErrEmpty = errors.New("the folder contains no log entries")

// BeginAnew bootstraps a new log in the empty folder of a stopped member, with that member as its
// only voter. It is only for the case that no voter has the log any more. The caller supplies what
// is left of the earlier state as Config.InitialEntries when the member starts.
func BeginAnew(dir, name, addr string) error {
	quiet := hclog.NewNullLogger()
	d, err := openDiskFiles(dir, quiet)
	if err != nil {
		return err
	}
	defer d.Close()
	id := raft.ServerID(name + "/" + d.id)
	localAddr, trans := raft.NewInmemTransport(serverAddress(d.id, addr))
	defer trans.Close()
	soleVoter := raft.Configuration{Servers: []raft.Server{{ID: id, Address: localAddr}}}
	if err := raft.BootstrapCluster(engineConfig(id, quiet), d.logs, d.logs, d.snaps, trans, soleVoter); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}
