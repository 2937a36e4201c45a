package cluster_test

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/members"
)

// firstMetaSink is a members.Sink that records the first metadata received of each start of the
// voter.
type firstMetaSink struct {
	members.Sink
	mu    sync.Mutex
	first map[uint64]members.Meta // by the epoch of the start
}

// Joined records a member that is new or has returned.
func (f *firstMetaSink) Joined(i members.Info) { f.Changed(i) }

// Changed records the voter's metadata unless earlier metadata of the same start are recorded.
func (f *firstMetaSink) Changed(i members.Info) {
	if i.Name != "voter" { // the listener itself
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.first[i.Epoch]; !known {
		f.first[i.Epoch] = i.Meta
	}
}

// Departed does nothing.
func (f *firstMetaSink) Departed(members.Info) {}

// UpdateReceived does nothing.
func (f *firstMetaSink) UpdateReceived([]byte) {}

// startCount returns the number of starts of which metadata were received.
func (f *firstMetaSink) startCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.first)
}

// usedNetworks is the number of loopback networks (127.81.N.0/24) that tests have taken.
var usedNetworks atomic.Uint32

// TestFirstMetaNamesTheDisk restarts a voter repeatedly and checks that the first metadata that
// another member receives of each start name the voter's disk. It guards against a fault in which
// the membership was opened before the log: the first metadata then named no disk, the leader of
// the log took the voter for one that had come back without its log (quorum.reconcile) and removed
// it until its next metadata arrived. For some seconds, the loss of one more voter left no majority.
// TestForce failed sporadically because of it.
func TestFirstMetaNamesTheDisk(t *testing.T) {
	t.Parallel()
	const starts = 20
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	log := logrus.NewEntry(logger)
	network := 1 + usedNetworks.Add(1)
	port, err := clusterport.Open(fmt.Sprintf("127.81.%d.1:7946", network), "", log)
	require.NoError(t, err)
	sink := &firstMetaSink{first: map[uint64]members.Meta{}}
	listener, err := members.New(members.Config{Name: "listener", Meta: members.Meta{Epoch: 1}}, port, sink, log)
	require.NoError(t, err)
	defer func() {
		listener.Close()
		port.Close()
	}()
	dir := t.TempDir()
	for n := range starts {
		cfg := cluster.Config{Name: "voter", Site: "a", Listen: fmt.Sprintf("127.81.%d.2:7946", network), Voters: []string{"voter"}, Dir: dir,
			Source: "one", Join: []string{port.Advertised()}}
		voter, err := cluster.Open(cfg, nil, log)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return sink.startCount() > n }, 20*time.Second, time.Millisecond)
		voter.Close(true)
	}
	withoutDisk := 0
	for _, meta := range sink.first {
		if meta.Disk == "" {
			withoutDisk++
		}
	}
	require.Zero(t, withoutDisk, "number of starts, of %d, whose first metadata named no disk", starts)
}
