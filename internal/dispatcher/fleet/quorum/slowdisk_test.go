package quorum

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
)

// Durations of a disk's syncs, as observed while many processes wrote to the disk.
const (
	medianSync  = 300 * time.Microsecond
	p99Sync     = 120 * time.Millisecond // 1 of 100 syncs takes longer
	maxSync     = 650 * time.Millisecond
	stalledSync = 2 * time.Second // once for each disk
)

// slowDisk delays writes by sync times from a seeded random distribution.
type slowDisk struct {
	mu        sync.Mutex
	rng       *rand.Rand
	writes    int
	stalledAt int // number of the write that takes stalledSync
}

// syncTime returns a random duration for the next sync.
func (d *slowDisk) syncTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes++
	between := func(lower, upper time.Duration) time.Duration { // log-uniform
		ratio := float64(upper) / float64(lower)
		return time.Duration(float64(lower) * math.Pow(ratio, d.rng.Float64()))
	}
	switch quantile := d.rng.Float64(); {
	case d.writes == d.stalledAt:
		return stalledSync
	case quantile < 0.5:
		return medianSync
	case quantile < 0.99:
		return between(medianSync, p99Sync)
	}
	return between(p99Sync, maxSync)
}

// wrapStores returns stores that delay each write to s by a sync of the disk.
func (d *slowDisk) wrapStores(s stores) stores {
	interceptor := &writeInterceptor{intercept: func(_ int, do func() error) error {
		<-time.After(d.syncTime())
		return do()
	}}
	return interceptor.wrap(s)
}

// voterGroup contains the voters of one log, each with its own disk.
type voterGroup struct {
	quorums []*Quorum
	infos   []members.Info
}

// openVoterGroup opens and runs three voters of one log with slow disks.
func openVoterGroup(t *testing.T, seed uint64) *voterGroup {
	t.Helper()
	const voters = 3
	g := &voterGroup{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var names []string
	var ports []*clusterport.Port
	var disks []*Disk
	octet := addrCount.Add(1) % 250
	for i := range voters {
		port, err := clusterport.Open(fmt.Sprintf("127.78.%d.%d:0", 2+i, 1+octet), "", logrus.NewEntry(log))
		require.NoError(t, err)
		disk, err := OpenDisk(t.TempDir(), 0, logrus.NewEntry(log))
		require.NoError(t, err)
		names, ports, disks = append(names, fmt.Sprintf("m%d", i+1)), append(ports, port), append(disks, disk)
		g.infos = append(g.infos, members.Info{Name: names[i], Addr: port.Advertised(), Meta: members.Meta{Disk: disk.ID()}})
	}
	for i := range voters {
		slow := &slowDisk{rng: rand.New(rand.NewPCG(seed, uint64(i))), stalledAt: 20 + 10*i}
		cfg := Config{Name: names[i], Disk: disks[i], Voters: names, KnownIndex: g.lastIndex, wrapStores: slow.wrapStores}
		q, err := Open(cfg, ports[i], func() []members.Info { return g.infos }, leaderRecorder{make(chan string, 1024)}, logrus.NewEntry(log))
		require.NoError(t, err)
		g.quorums = append(g.quorums, q)
	}
	var running sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	for _, q := range g.quorums {
		running.Go(func() { q.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for i, q := range g.quorums {
			q.Close()
			ports[i].Close()
		}
	})
	return g
}

// lastIndex returns the last index of the log of the member at an address.
func (g *voterGroup) lastIndex(_ context.Context, addr string) (uint64, error) {
	for i, info := range g.infos {
		if info.Addr == addr {
			return g.quorums[i].Last(), nil
		}
	}
	return 0, fmt.Errorf("no member has the address %s", addr)
}

// propose proposes an entry to the current leader, again until it is acknowledged, and returns the
// number of calls. Each call's deadline is the time for which an operator waits for a response.
func (g *voterGroup) propose(t *testing.T, e ledger.Entry) (calls int) {
	t.Helper()
	const proposeTimeout = 600 * time.Millisecond
	for deadline := time.Now().Add(eventTimeout); ; {
		for _, q := range g.quorums {
			if !q.IsLeader() {
				continue
			}
			calls++
			ctx, cancel := context.WithTimeout(t.Context(), proposeTimeout)
			_, err := q.Propose(ctx, e)
			cancel()
			if err == nil {
				return calls
			}
		}
		require.Less(t, time.Now(), deadline, "entry %s was not acknowledged in time", e.ID)
		<-time.After(5 * time.Millisecond)
	}
}

// newestTerm returns the highest term of any voter. Each election starts a new term.
func (g *voterGroup) newestTerm() (newest uint64) {
	for _, q := range g.quorums {
		newest = max(newest, q.Status().Term)
	}
	return newest
}

// TestOrdersOnSlowDisks guards against orders that are lost or applied twice, and against repeated
// elections, while the voters' disks are slow to sync. Each order is proposed again under its ID
// until it is acknowledged; every member must then have it exactly once.
func TestOrdersOnSlowDisks(t *testing.T) {
	t.Parallel()
	const (
		orders = 40
		// The first election takes two or three terms; a slow sync of one disk should cause none.
		maxTerms = 10
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := openVoterGroup(t, seed)
			calls := 0
			for i := range orders {
				calls += g.propose(t, ledger.Entry{ID: fmt.Sprint("order/", i), Op: ledger.Exclude, UID: fmt.Sprint("s-", i)})
			}
			t.Logf("%d calls, %d terms", calls, g.newestTerm())
			require.LessOrEqual(t, g.newestTerm(), uint64(maxTerms))
			for _, q := range g.quorums {
				require.Eventually(t, func() bool { return len(q.State().Excluded) == orders }, eventTimeout, 5*time.Millisecond)
				requireNoDuplicates(t, q.State())
			}
		})
	}
}

// requireNoDuplicates checks that the state's recent entries have distinct IDs.
func requireNoDuplicates(t *testing.T, s ledger.State) {
	t.Helper()
	seen := map[string]bool{}
	for _, d := range s.Recent {
		require.False(t, seen[d.ID], "entry %s is in the state twice", d.ID)
		seen[d.ID] = true
	}
}
