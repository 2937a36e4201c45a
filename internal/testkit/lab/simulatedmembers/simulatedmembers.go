// Package simulatedmembers runs cluster members without a dispatcher, many in one process. Each
// runs the real membership protocol (package cluster) on its own loopback address, and records the
// exclusions that a dispatcher would be notified of.
package simulatedmembers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/cluster"
)

// Most is the maximum number of members of a fleet.
const Most = 1000

// Config describes the members of a fleet.
type Config struct {
	Count   int      // 1 to Most
	Network int      // second byte of their addresses: 127.Network.x.y
	Voters  []string // names of the members that vote and store the log; Name returns simulated ones
	Dir     string   // parent directory of the logs of simulated voters
	Join    []string // addresses of members outside the fleet
}

// Name returns the name of simulated member i, counted from 0.
func Name(i int) string { return fmt.Sprintf("m%03d", i) }

// addr returns the host and port of member i.
func (c Config) addr(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:7946", c.Network, i/200, i%200+1)
}

// Addrs returns the addresses of the first members, at most limit.
func (c Config) Addrs(limit int) (out []string) {
	for i := range min(limit, c.Count) {
		out = append(out, c.addr(i))
	}
	return out
}

// Fleet is a set of simulated members. The caller of Open has to call Close. Its methods are safe
// for concurrent use.
type Fleet struct {
	cfg Config
	log *logrus.Entry

	mu      sync.Mutex
	members []*Member // nil for closed ones
}

// Member is a simulated member of the cluster.
type Member struct {
	*cluster.Cluster
	Name   string
	closed chan struct{}

	mu       sync.Mutex
	excluded map[string]bool // UIDs of the excluded runners that this member knows of
	changed  chan struct{}   // closed and replaced at each change of excluded
}

// Open starts all members. If one fails to start, it closes the others and returns the error.
func Open(c Config) (*Fleet, error) {
	if c.Count < 1 || c.Count > Most {
		return nil, fmt.Errorf("members: %d, want 1 to %d", c.Count, Most)
	}
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	f := &Fleet{cfg: c, log: logrus.NewEntry(discard), members: make([]*Member, c.Count)}
	for i := range c.Count {
		if err := f.Start(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Start starts member i, or restarts it after Stop.
func (f *Fleet) Start(i int) error {
	name := Name(i)
	m := &Member{Name: name, closed: make(chan struct{}), excluded: map[string]bool{}, changed: make(chan struct{})}
	cfg := cluster.Config{Name: name, Site: "a", Listen: f.cfg.addr(i), Voters: f.cfg.Voters, Source: "one", Join: f.cfg.Join}
	for _, v := range f.cfg.Voters {
		if v == name {
			cfg.Dir = filepath.Join(f.cfg.Dir, name)
		}
	}
	for _, j := range []int{0, i/2 - 1} { // a few contacts that differ between members
		if j >= 0 && j != i {
			cfg.Join = append(cfg.Join, f.cfg.addr(j))
		}
	}
	var err error
	if m.Cluster, err = cluster.Open(cfg, m, f.log); err != nil {
		return fmt.Errorf("simulated member %s: %w", name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[i] = m
	return nil
}

// Stop closes member i. With leave, it announces its departure; otherwise it disappears like a
// machine that has failed. It does nothing if the member is closed.
func (f *Fleet) Stop(i int, leave bool) {
	f.mu.Lock()
	m := f.members[i]
	f.members[i] = nil
	f.mu.Unlock()
	if m != nil {
		close(m.closed)
		m.Close(leave)
	}
}

// Close closes all members concurrently, without announcing their departure.
func (f *Fleet) Close() {
	var stops sync.WaitGroup
	for i := range f.members {
		stops.Go(func() { f.Stop(i, false) })
	}
	stops.Wait()
}

// Member returns member i, nil if it is closed.
func (f *Fleet) Member(i int) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[i]
}

// Members returns the members that are not closed.
func (f *Fleet) Members() (out []*Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m != nil {
			out = append(out, m)
		}
	}
	return out
}

// Exclude is called by the cluster; it records that a runner is excluded, or no longer so, by
// operators.
func (m *Member) Exclude(uid string, exclude bool, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if exclude {
		m.excluded[uid] = true
	} else {
		delete(m.excluded, uid)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// ApplyRunners ignores the runners of other members, as there is no dispatcher to use them.
func (m *Member) ApplyRunners(string, uint64, [][]byte) {}

// ApplyHealth ignores health reports, as there is no dispatcher to use them.
func (m *Member) ApplyHealth(string, []byte) {}

// ApplyGang ignores facts about gang jobs, as there is no dispatcher to use them.
func (m *Member) ApplyGang([]byte) {}

var errTimeout = errors.New("timed out waiting for the exclusion state")

// ErrClosed is returned by Await if the member is closed while it waits.
var ErrClosed = errors.New("the member is closed")

// Await waits until the member knows the runner to be excluded, or not excluded. It returns
// ErrClosed if the member is closed first, and another error if the deadline passes.
func (m *Member) Await(uid string, excluded bool, deadline time.Time) error {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	for {
		m.mu.Lock()
		current, changed := m.excluded[uid], m.changed
		m.mu.Unlock()
		if current == excluded {
			return nil
		}
		select {
		case <-changed:
		case <-m.closed:
			return ErrClosed
		case <-timeout.C:
			return fmt.Errorf("%s: %w", m.Name, errTimeout)
		}
	}
}

// UntilAlive waits until every open member sees at least n members alive. It returns an error if
// the deadline passes first.
func (f *Fleet) UntilAlive(n int, deadline time.Time) error {
	for {
		least := n
		for _, m := range f.Members() {
			least = min(least, m.AliveCount())
		}
		switch {
		case least >= n:
			return nil
		case time.Now().After(deadline):
			return fmt.Errorf("a member sees %d of %d members alive", least, n)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// writeTimeout limits a write whose context has no deadline.
const writeTimeout = 2 * time.Second

// Write has an operator exclude or readmit a runner, at the open member number turn modulo their
// count. It returns nil once the change is committed and in effect at that member. After an error,
// also of a missed deadline, the change may still take effect.
func (f *Fleet) Write(ctx context.Context, turn int, uid string, exclude bool) error {
	open := f.Members()
	if len(open) == 0 {
		return errors.New("no member is open")
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(writeTimeout)
	}
	done := make(chan error, 1)
	open[turn%len(open)].Cluster.Exclude(cluster.Order{Runner: uid, Out: exclude}, deadline, func(err error) { done <- err })
	return <-done
}
