// Package simulatedmembers plays members of a cluster that have no dispatcher: many in one process, each the
// program's own membership (package cluster) with sockets of its own on loopback. What a dispatcher
// would be told they note.
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

// Most is how many members a fleet may have.
const Most = 1000

// Config says which members there are.
type Config struct {
	Count   int
	Network int      // second number of their addresses: 127.Network.x.y
	Voters  []string // names of members that keep the log; Name gives those of hollow ones
	Dir     string   // a folder for the logs of hollow voters
	Join    []string // addresses of members elsewhere
}

// Name returns the name of a hollow member by its number from 0.
func Name(i int) string { return fmt.Sprintf("m%03d", i) }

// addr returns the address of a member.
func (c Config) addr(i int) string {
	return fmt.Sprintf("127.%d.%d.%d:7946", c.Network, i/200, i%200+1)
}

// Addrs returns the addresses of members, up to a number of them.
func (c Config) Addrs(most int) (out []string) {
	for i := range min(most, c.Count) {
		out = append(out, c.addr(i))
	}
	return out
}

// Fleet is the members. Its owner closes it.
type Fleet struct {
	cfg Config
	log *logrus.Entry

	mu      sync.Mutex
	members []*Member // nil for one that is closed
}

// Member is one of them.
type Member struct {
	*cluster.Cluster
	Name   string
	closed chan struct{}

	mu   sync.Mutex
	out  map[string]bool // what operators leave out, as far as it was told
	news chan struct{}   // closed at each word
}

// Open opens all members.
func Open(c Config) (*Fleet, error) {
	if c.Count < 1 || c.Count > Most {
		return nil, fmt.Errorf("members: %d, want 1 to %d", c.Count, Most)
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	f := &Fleet{cfg: c, log: logrus.NewEntry(quiet), members: make([]*Member, c.Count)}
	for i := range c.Count {
		if err := f.Start(i); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Start opens a member, anew if it was closed.
func (f *Fleet) Start(i int) error {
	name := Name(i)
	m := &Member{Name: name, closed: make(chan struct{}), out: map[string]bool{}, news: make(chan struct{})}
	cfg := cluster.Config{Name: name, Site: "a", Listen: f.cfg.addr(i), Voters: f.cfg.Voters, Source: "one", Join: f.cfg.Join}
	for _, v := range f.cfg.Voters {
		if v == name {
			cfg.Dir = filepath.Join(f.cfg.Dir, name)
		}
	}
	for _, j := range []int{0, i/2 - 1} { // a few to meet, not the same for all
		if j >= 0 && j != i {
			cfg.Join = append(cfg.Join, f.cfg.addr(j))
		}
	}
	var err error
	if m.Cluster, err = cluster.Open(cfg, m, f.log); err != nil {
		return fmt.Errorf("hollow member %s: %w", name, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[i] = m
	return nil
}

// Stop closes a member, with a farewell or as a machine that is gone.
func (f *Fleet) Stop(i int, farewell bool) {
	f.mu.Lock()
	m := f.members[i]
	f.members[i] = nil
	f.mu.Unlock()
	if m != nil {
		close(m.closed)
		m.Close(farewell)
	}
}

// Close closes all members at once.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for i := range f.members {
		all.Go(func() { f.Stop(i, false) })
	}
	all.Wait()
}

// Member returns a member, nil for one that is closed.
func (f *Fleet) Member(i int) *Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[i]
}

// Members returns those that are open.
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

// Exclude notes what operators have said.
func (m *Member) Exclude(uid string, out bool, _ time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if out {
		m.out[uid] = true
	} else {
		delete(m.out, uid)
	}
	close(m.news)
	m.news = make(chan struct{})
}

// ApplyRunners is not used here.
func (m *Member) ApplyRunners(string, uint64, [][]byte) {}

// ApplyHealth is not used here.
func (m *Member) ApplyHealth(string, []byte) {}

// ApplyGang is not used here.
func (m *Member) ApplyGang([]byte) {}

var errLate = errors.New("not told in time")

// ErrClosed tells that a member was closed meanwhile.
var ErrClosed = errors.New("the member is closed")

// Await waits until the member leaves a runner out, or no longer does, or is closed.
func (m *Member) Await(uid string, out bool, by time.Time) error {
	late := time.NewTimer(time.Until(by))
	defer late.Stop()
	for {
		m.mu.Lock()
		is, news := m.out[uid], m.news
		m.mu.Unlock()
		if is == out {
			return nil
		}
		select {
		case <-news:
		case <-m.closed:
			return ErrClosed
		case <-late.C:
			return fmt.Errorf("%s: %w", m.Name, errLate)
		}
	}
}

// UntilAlive waits until each member sees so many alive.
func (f *Fleet) UntilAlive(n int, by time.Time) error {
	for {
		least := n
		for _, m := range f.Members() {
			least = min(least, m.AliveCount())
		}
		switch {
		case least >= n:
			return nil
		case time.Now().After(by):
			return fmt.Errorf("a member sees %d of %d", least, n)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// writeTime bounds a write where its context has no deadline.
const writeTime = 2 * time.Second

// Write has an operator at a member, by turns, leave a runner out or put it back, and returns once that
// is agreed on and in force there.
func (f *Fleet) Write(ctx context.Context, turn int, uid string, out bool) error {
	open := f.Members()
	if len(open) == 0 {
		return errors.New("no member is open")
	}
	by, ok := ctx.Deadline()
	if !ok {
		by = time.Now().Add(writeTime)
	}
	done := make(chan error, 1)
	open[turn%len(open)].Cluster.Exclude(cluster.Order{Runner: uid, Out: out}, by, func(err error) { done <- err })
	return <-done
}
