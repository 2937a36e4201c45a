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

// Durations of a disk's syncs as they were seen beside many writers.
const (
	medianSync  = 300 * time.Microsecond
	longSync    = 120 * time.Millisecond // one of 100 takes longer
	longestSync = 650 * time.Millisecond
	stalledSync = 2 * time.Second // once
)

// slowDisk delays writes by times that are drawn from a seed.
type slowDisk struct {
	mu        sync.Mutex
	rng       *rand.Rand
	writes    int
	stalledAt int // the write that takes stalledSync
}

// syncTime draws how long the next sync takes.
func (d *slowDisk) syncTime() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.writes++
	between := func(lower, upper time.Duration) time.Duration { // on a logarithmic scale
		ratio := float64(upper) / float64(lower)
		return time.Duration(float64(lower) * math.Pow(ratio, d.rng.Float64()))
	}
	switch quantile := d.rng.Float64(); {
	case d.writes == d.stalledAt:
		return stalledSync
	case quantile < 0.5:
		return medianSync
	case quantile < 0.99:
		return between(medianSync, longSync)
	}
	return between(longSync, longestSync)
}

// through returns stores whose writes take as long as the disk's syncs.
func (d *slowDisk) through(s stores) stores {
	w := &writes{at: func(_ int, do func() error) error {
		<-time.After(d.syncTime())
		return do()
	}}
	return w.through(s)
}

// group is a log with several voters, each with a disk of its own.
type group struct {
	quorums []*Quorum
	infos   []members.Info
}

// openGroup opens three voters of one log, whose disks are slow.
func openGroup(t *testing.T, seed uint64) *group {
	t.Helper()
	const voters = 3
	g := &group{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var names []string
	var ports []*clusterport.Port
	var disks []*Disk
	network := lastPort.Add(1) % 250
	for i := range voters {
		port, err := clusterport.Open(fmt.Sprintf("127.78.%d.%d:0", 2+i, 1+network), "", logrus.NewEntry(log))
		require.NoError(t, err)
		disk, err := OpenDisk(t.TempDir(), 0, logrus.NewEntry(log))
		require.NoError(t, err)
		names, ports, disks = append(names, fmt.Sprintf("m%d", i+1)), append(ports, port), append(disks, disk)
		g.infos = append(g.infos, members.Info{Name: names[i], Addr: port.Advertised(), Meta: members.Meta{Disk: disk.ID()}})
	}
	for i := range voters {
		slow := &slowDisk{rng: rand.New(rand.NewPCG(seed, uint64(i))), stalledAt: 20 + 10*i}
		cfg := Config{Name: names[i], Disk: disks[i], Voters: names, KnownIndex: g.lastIndex, wrapStores: slow.through}
		q, err := Open(cfg, ports[i], func() []members.Info { return g.infos }, fakeSink{make(chan string, 1024)}, logrus.NewEntry(log))
		require.NoError(t, err)
		g.quorums = append(g.quorums, q)
	}
	var ended sync.WaitGroup
	ctx, stop := context.WithCancel(context.Background())
	for _, q := range g.quorums {
		ended.Go(func() { q.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		ended.Wait()
		for i, q := range g.quorums {
			q.Close()
			ports[i].Close()
		}
	})
	return g
}

// lastIndex returns the last index of the log of the member at an address.
func (g *group) lastIndex(_ context.Context, addr string) (uint64, error) {
	for i, info := range g.infos {
		if info.Addr == addr {
			return g.quorums[i].Last(), nil
		}
	}
	return 0, fmt.Errorf("nobody is at %s", addr)
}

// propose has the leader, whoever that is, write an entry, again until it is acknowledged. Each
// call has as long as an operator waits for its answer. It returns how many calls it took.
func (g *group) propose(t *testing.T, e ledger.Entry) (calls int) {
	t.Helper()
	const answerTimeout = 600 * time.Millisecond
	for by := time.Now().Add(eventTimeout); ; {
		for _, q := range g.quorums {
			if !q.IsLeader() {
				continue
			}
			calls++
			ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
			_, err := q.Propose(ctx, e)
			cancel()
			if err == nil {
				return calls
			}
		}
		require.Less(t, time.Now(), by, "%s is never written", e.ID)
		<-time.After(5 * time.Millisecond)
	}
}

// terms returns the newest term: each election begins one.
func (g *group) terms() (newest uint64) {
	for _, q := range g.quorums {
		newest = max(newest, q.Status().Term)
	}
	return newest
}

// TestOrdersOnSlowDisks has operators' orders meet disks that pause. Each order is repeated under
// its ID until it is acknowledged; every member then has it once, and the pauses don't cost the
// leader its place over and over.
func TestOrdersOnSlowDisks(t *testing.T) {
	t.Parallel()
	const (
		orders   = 40
		maxTerms = 10 // the first election takes two or three; a pause of one disk is to take none
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			g := openGroup(t, seed)
			calls := 0
			for i := range orders {
				calls += g.propose(t, ledger.Entry{ID: fmt.Sprint("order/", i), Op: ledger.Exclude, UID: fmt.Sprint("s-", i)})
			}
			t.Logf("%d calls, %d terms", calls, g.terms())
			require.LessOrEqual(t, g.terms(), uint64(maxTerms))
			for _, q := range g.quorums {
				require.Eventually(t, func() bool { return len(q.State().Excluded) == orders }, eventTimeout, 5*time.Millisecond)
				requireOnce(t, q.State())
			}
		})
	}
}

// requireOnce checks that no entry is in a state twice.
func requireOnce(t *testing.T, s ledger.State) {
	t.Helper()
	there := map[string]bool{}
	for _, d := range s.Recent {
		require.False(t, there[d.ID], "%s is there twice", d.ID)
		there[d.ID] = true
	}
}
