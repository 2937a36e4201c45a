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
	Last, Term uint64
	Voters     []string
	Out        int // number of excluded runners
}

// Recover makes a stopped member the only voter of the log in its folder, if sure is set, and
// returns what the folder held. Entries that only other voters had are lost, and all of this
// member's count as committed. It returns ErrEmpty for a folder without a log.
func Recover(dir, name, addr string, sure bool) (Contents, error) {
	var found Contents
	if _, err := os.Stat(dir); err != nil {
		return found, fmt.Errorf("cluster: %w", err)
	}
	quiet := hclog.NewNullLogger()
	d, err := openFolder(dir, quiet)
	if err != nil {
		return found, err
	}
	defer d.Close()
	id := raft.ServerID(name + "/" + d.id)
	m := &machine{applied: func(ledger.Done) {}, restored: func(_, _ ledger.State) {}}
	addrs, trans := raft.NewInmemTransport(serverAddress(d.id, addr))
	defer trans.Close()
	conf, err := raft.GetConfiguration(engineConfig(id, quiet), m, d.logs, d.logs, d.snaps, trans)
	if err != nil {
		return found, fmt.Errorf("cluster: %w", err)
	}
	for _, s := range conf.Servers {
		if s.Suffrage == raft.Voter {
			found.Voters = append(found.Voters, memberName(s.ID))
		}
	}
	if found.Last, err = d.lastIndex(); err != nil {
		return found, err
	}
	if found.Last == 0 {
		return found, ErrEmpty
	}
	if found.Term, err = d.logs.GetUint64([]byte("CurrentTerm")); err != nil {
		return found, fmt.Errorf("cluster: the folder holds no log that has begun: %w", err)
	}
	found.Out = len(m.state.Excluded)
	if !sure {
		return found, nil
	}
	only := raft.Configuration{Servers: []raft.Server{{ID: id, Address: addrs}}}
	m = &machine{applied: m.applied, restored: m.restored}
	if err := raft.RecoverCluster(engineConfig(id, quiet), m, d.logs, d.logs, d.snaps, trans, only); err != nil {
		return found, fmt.Errorf("cluster: %w", err)
	}
	found.Out = len(m.state.Excluded)
	return found, nil
}

// ErrEmpty is returned for a folder that holds no log.
var ErrEmpty = errors.New("the folder holds no log that has begun")

// BeginAnew makes the member of an empty folder the only voter of a new log. It is meant for the
// one case in which no voter has the log any more; the caller supplies the initial entries.
func BeginAnew(dir, name, addr string) error {
	quiet := hclog.NewNullLogger()
	d, err := openFolder(dir, quiet)
	if err != nil {
		return err
	}
	defer d.Close()
	id := raft.ServerID(name + "/" + d.id)
	at, trans := raft.NewInmemTransport(serverAddress(d.id, addr))
	defer trans.Close()
	only := raft.Configuration{Servers: []raft.Server{{ID: id, Address: at}}}
	if err := raft.BootstrapCluster(engineConfig(id, quiet), d.logs, d.logs, d.snaps, trans, only); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}
