// Package spread measures how fast changes propagate to the members of a cluster. It runs many
// members in one process, each on its own loopback address, with a dispatcher that only records
// what the cluster delivers. It also simulates the work that a fleet sends to a cold runner
// (ColdDraws).
package spread

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/replica"
)

// Figures holds the measurements of one run.
type Figures struct {
	Joined  time.Duration   // until every member saw all members alive
	Known   []time.Duration // for each state change, until all members had it; sorted
	Idle    float64         // bytes per second that a member sends by UDP without any changes
	CatchUp time.Duration   // until a new member had all runners
}

// recorder is a dispatcher that records the versions of the runner list that it receives.
type recorder struct {
	mu       sync.Mutex
	received map[uint64]bool // by version
	changed  chan struct{}   // signalled after each new version; has a buffer of 1
}

// Exclude ignores exclusions, which are not measured.
func (r *recorder) Exclude(string, bool, time.Time) {}

// ApplyHealth ignores health reports, which are not measured.
func (r *recorder) ApplyHealth(string, []byte) {}

// ApplyGang ignores facts about gang jobs, which are not measured.
func (r *recorder) ApplyGang([]byte) {}

// ApplyRunners records the version of a runner list.
func (r *recorder) ApplyRunners(_ string, rev uint64, _ [][]byte) {
	r.mu.Lock()
	r.received[rev] = true
	r.mu.Unlock()
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *recorder) has(rev uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received[rev]
}

// waitTimeout limits each wait.
const waitTimeout = 2 * time.Minute

// Run starts n members, publishes a list of runners at the first, then publishes as many state
// changes as drains says, one after the other by the members in turn, and starts one more member at
// the end. Each runner drains in the first round of changes and serves again in the second, and so
// on. dir is the directory of the log, which the first member stores. Run returns an error if a
// step takes longer than two minutes.
func Run(n, runners, drains int, dir string) (*Figures, error) {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	var members []*cluster.Cluster
	var recorders []*recorder
	defer func() {
		for _, c := range members {
			c.Close(false)
		}
	}()
	addr := func(i int) string { return fmt.Sprintf("127.90.%d.%d:7946", i/200, i%200+1) }
	open := func(i int) error {
		l := &recorder{received: map[uint64]bool{}, changed: make(chan struct{}, 1)}
		cfg := cluster.Config{Name: fmt.Sprintf("m%03d", i), Site: "a", Listen: addr(i), Voters: []string{"m000"}, Source: "one"}
		if i == 0 {
			cfg.Dir = dir
		} else {
			cfg.Join = []string{addr(0), addr(max(i/2, 1) - 1)}
		}
		c, err := cluster.Open(cfg, l, logrus.NewEntry(discard))
		if err != nil {
			return err
		}
		members, recorders = append(members, c), append(recorders, l)
		return nil
	}
	startedAt := time.Now()
	for i := range n {
		if err := open(i); err != nil {
			return nil, err
		}
	}
	f := &Figures{}
	if err := until(func() error {
		for i, c := range members {
			if got := c.AliveCount(); got < n {
				return fmt.Errorf("member %d sees %d of %d members alive", i, got, n)
			}
		}
		return nil
	}); err != nil {
		return nil, err
	}
	f.Joined = time.Since(startedAt)
	entries := make([]cluster.Entry, runners)
	for i := range entries {
		uid := fmt.Sprintf("s-%04d", i)
		entries[i] = cluster.Entry{UID: uid, State: replica.Serving, Text: entry(uid, "SERVING")}
	}
	members[0].PublishRunners("one", 1, true, false, entries)
	if err := until(func() error { return equal(members) }); err != nil {
		return nil, err
	}
	if err := until(func() error { // waits until the initial updates have been sent
		for _, c := range members {
			if c.QueuedUpdates() > 0 {
				return errors.New("updates are still queued")
			}
		}
		return nil
	}); err != nil {
		return nil, err
	}
	var before uint64
	for _, c := range members {
		before += c.SentBytes()
	}
	at := time.Now()
	<-time.After(3 * time.Second) // measures the traffic of this period
	var after uint64
	for _, c := range members {
		after += c.SentBytes()
	}
	f.Idle = float64(after-before) / time.Since(at).Seconds() / float64(n)
	for i := range drains {
		rev, uid := uint64(2+i), entries[i%runners].UID
		state, stateText := replica.Draining, "DRAINING"
		if i/runners%2 == 1 {
			state, stateText = replica.Serving, "SERVING"
		}
		at := time.Now()
		publisher := i % n
		members[publisher].PublishRunners("one", rev, false, false, []cluster.Entry{{UID: uid, State: state, Text: entry(uid, stateText)}})
		for j, l := range recorders {
			if j == publisher {
				continue
			}
			timeout := time.After(waitTimeout)
			for !l.has(rev) {
				select {
				case <-l.changed:
				case <-timeout:
					return nil, fmt.Errorf("member %d did not receive version %d in time", j, rev)
				}
			}
		}
		f.Known = append(f.Known, time.Since(at))
	}
	at = time.Now()
	if err := open(n); err != nil {
		return nil, err
	}
	if err := until(func() error { return equal([]*cluster.Cluster{members[0], members[n]}) }); err != nil {
		return nil, err
	}
	f.CatchUp = time.Since(at)
	slices.Sort(f.Known)
	return f, nil
}

// CatchUp starts a member, gives it a number of runners and of outcomes of keyed jobs, and returns
// how long a second member takes from its start until it has all of them. dir is the directory of
// the first member's log.
func CatchUp(runners, keys int, dir string) (time.Duration, error) {
	discard := logrus.New()
	discard.SetOutput(io.Discard)
	open := func(i int, dir string, join ...string) (*cluster.Cluster, error) {
		l := &recorder{received: map[uint64]bool{}, changed: make(chan struct{}, 1)}
		return cluster.Open(cluster.Config{Name: fmt.Sprintf("m%d", i), Site: "a", Listen: fmt.Sprintf("127.91.0.%d:7946", i+1), Voters: []string{"m0"}, Source: "one",
			Dir: dir, Join: join}, l, logrus.NewEntry(discard))
	}
	first, err := open(0, dir)
	if err != nil {
		return 0, err
	}
	defer first.Close(false)
	entries := make([]cluster.Entry, runners)
	for i := range entries {
		uid := fmt.Sprintf("s-%04d", i)
		entries[i] = cluster.Entry{UID: uid, State: replica.Serving, Text: entry(uid, "SERVING")}
	}
	first.PublishRunners("one", 1, true, false, entries)
	var recorded sync.WaitGroup
	for i := range keys {
		recorded.Add(1)
		first.RecordOutcome(cluster.OutcomeKey{Name: fmt.Sprintf("release/key-%06d", i), Group: "a#0"}, replica.Sent, time.Hour, "", time.Now().Add(time.Hour), recorded.Done)
	}
	recorded.Wait()
	startedAt := time.Now()
	second, err := open(1, "", "127.91.0.1:7946")
	if err != nil {
		return 0, err
	}
	defer second.Close(false)
	err = until(func() error { return equal([]*cluster.Cluster{first, second}) })
	return time.Since(startedAt), err
}

// entry returns the JSON text of a runner's entry.
func entry(uid, state string) []byte {
	return fmt.Appendf(nil, `{"uid":%q,"endpoint":"127.0.0.1:9000","az":"a","model":"m","pod_group":1,"state":%q,"capacity_hint":1,"boot_ms":0}`, uid, state)
}

// equal returns nil if the replicas of all members have the same digest.
func equal(members []*cluster.Cluster) error {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer cancel()
	first := ""
	for i, c := range members {
		r, ok := c.Report(ctx)
		switch {
		case !ok:
			return errors.New("a member did not report in time")
		case i == 0:
			first = r.Replicas.Digest
		case r.Replicas.Digest != first:
			return fmt.Errorf("member %d has another digest than member 0", i)
		}
	}
	return nil
}

// until polls a check until it returns nil, and returns its last error after waitTimeout.
func until(check func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		<-time.After(5 * time.Millisecond)
	}
}
