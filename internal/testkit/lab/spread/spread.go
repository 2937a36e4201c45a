// Package spread measures how members of a cluster come to know things: many members in one
// process, each with sockets of its own on loopback and a dispatcher that only listens.
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

// Figures are of one run.
type Figures struct {
	Joined  time.Duration   // until all members saw all
	Known   []time.Duration // of each drain, until all members had it
	Idle    float64         // bytes a second that a member sends by UDP with nothing going on
	CatchUp time.Duration   // until one that is new had all runners
}

// listener is a dispatcher that notes what it hears.
type listener struct {
	mu    sync.Mutex
	heard map[uint64]bool // versions
	news  chan struct{}
}

// Exclude is not used here.
func (l *listener) Exclude(string, bool, time.Time) {}

// ApplyHealth is not used here.
func (l *listener) ApplyHealth(string, []byte) {}
func (l *listener) ApplyGang([]byte)           {}

// ApplyRunners notes a version.
func (l *listener) ApplyRunners(_ string, rev uint64, _ [][]byte) {
	l.mu.Lock()
	l.heard[rev] = true
	l.mu.Unlock()
	select {
	case l.news <- struct{}{}:
	default:
	}
}

func (l *listener) has(rev uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard[rev]
}

// patience bounds each wait.
const patience = 2 * time.Minute

// Run starts so many members, tells the list of so many runners to the first, then drains,
// one after the other, and starts one more member at the end.
func Run(n, runners, drains int, dir string) (*Figures, error) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	var all []*cluster.Cluster
	var ears []*listener
	defer func() {
		for _, c := range all {
			c.Close(false)
		}
	}()
	addr := func(i int) string { return fmt.Sprintf("127.90.%d.%d:7946", i/200, i%200+1) }
	open := func(i int) error {
		l := &listener{heard: map[uint64]bool{}, news: make(chan struct{}, 1)}
		cfg := cluster.Config{Name: fmt.Sprintf("m%03d", i), Site: "a", Listen: addr(i), Voters: []string{"m000"}, Source: "one"}
		if i == 0 {
			cfg.Dir = dir
		} else {
			cfg.Join = []string{addr(0), addr(max(i/2, 1) - 1)}
		}
		c, err := cluster.Open(cfg, l, logrus.NewEntry(quiet))
		if err != nil {
			return err
		}
		all, ears = append(all, c), append(ears, l)
		return nil
	}
	began := time.Now()
	for i := range n {
		if err := open(i); err != nil {
			return nil, err
		}
	}
	f := &Figures{}
	if err := until(func() error {
		for i, c := range all {
			if got := c.AliveCount(); got < n {
				return fmt.Errorf("member %d sees %d of %d", i, got, n)
			}
		}
		return nil
	}); err != nil {
		return nil, err
	}
	f.Joined = time.Since(began)
	entries := make([]cluster.Entry, runners)
	for i := range entries {
		uid := fmt.Sprintf("s-%04d", i)
		entries[i] = cluster.Entry{UID: uid, State: replica.Serving, Text: entry(uid, "SERVING")}
	}
	all[0].PublishRunners("one", 1, true, false, entries)
	if err := until(func() error { return equal(all) }); err != nil {
		return nil, err
	}
	if err := until(func() error { // what was said at the beginning has been said
		for _, c := range all {
			if c.QueuedUpdates() > 0 {
				return errors.New("words wait")
			}
		}
		return nil
	}); err != nil {
		return nil, err
	}
	var before uint64
	for _, c := range all {
		before += c.SentBytes()
	}
	at := time.Now()
	<-time.After(3 * time.Second) // what is measured is this time's traffic
	var after uint64
	for _, c := range all {
		after += c.SentBytes()
	}
	f.Idle = float64(after-before) / time.Since(at).Seconds() / float64(n)
	for i := range drains {
		rev, uid := uint64(2+i), entries[i%runners].UID
		state, word := replica.Draining, "DRAINING"
		if i/runners%2 == 1 {
			state, word = replica.Serving, "SERVING"
		}
		at := time.Now()
		teller := i % n
		all[teller].PublishRunners("one", rev, false, false, []cluster.Entry{{UID: uid, State: state, Text: entry(uid, word)}})
		for j, l := range ears {
			if j == teller {
				continue
			}
			by := time.After(patience)
			for !l.has(rev) {
				select {
				case <-l.news:
				case <-by:
					return nil, fmt.Errorf("member %d did not hear of version %d", j, rev)
				}
			}
		}
		f.Known = append(f.Known, time.Since(at))
	}
	at = time.Now()
	if err := open(n); err != nil {
		return nil, err
	}
	if err := until(func() error { return equal([]*cluster.Cluster{all[0], all[n]}) }); err != nil {
		return nil, err
	}
	f.CatchUp = time.Since(at)
	slices.Sort(f.Known)
	return f, nil
}

// CatchUp has a member that knows so many runners and keyed jobs met by a new one, and
// returns how long that takes to have them all.
func CatchUp(runners, keys int, dir string) (time.Duration, error) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	open := func(i int, dir string, join ...string) (*cluster.Cluster, error) {
		l := &listener{heard: map[uint64]bool{}, news: make(chan struct{}, 1)}
		return cluster.Open(cluster.Config{Name: fmt.Sprintf("m%d", i), Site: "a", Listen: fmt.Sprintf("127.91.0.%d:7946", i+1), Voters: []string{"m0"}, Source: "one",
			Dir: dir, Join: join}, l, logrus.NewEntry(quiet))
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
	var told sync.WaitGroup
	for i := range keys {
		told.Add(1)
		first.RecordOutcome(cluster.OutcomeKey{Name: fmt.Sprintf("release/key-%06d", i), Group: "a#0"}, replica.Sent, time.Hour, "", time.Now().Add(time.Hour), told.Done)
	}
	told.Wait()
	began := time.Now()
	second, err := open(1, "", "127.91.0.1:7946")
	if err != nil {
		return 0, err
	}
	defer second.Close(false)
	err = until(func() error { return equal([]*cluster.Cluster{first, second}) })
	return time.Since(began), err
}

func entry(uid, state string) []byte {
	return fmt.Appendf(nil, `{"uid":%q,"endpoint":"127.0.0.1:9000","az":"a","model":"m","pod_group":1,"state":%q,"capacity_hint":1,"boot_ms":0}`, uid, state)
}

func equal(all []*cluster.Cluster) error {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(time.Second))
	defer cancel()
	first := ""
	for i, c := range all {
		r, ok := c.Report(ctx)
		switch {
		case !ok:
			return errors.New("no answer")
		case i == 0:
			first = r.Replicas.Digest
		case r.Replicas.Digest != first:
			return fmt.Errorf("member %d differs", i)
		}
	}
	return nil
}

func until(ok func() error) error {
	by := time.Now().Add(patience)
	for {
		err := ok()
		if err == nil || time.Now().After(by) {
			return err
		}
		<-time.After(5 * time.Millisecond)
	}
}
