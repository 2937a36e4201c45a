package scale

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/internal/testkit/lab/simulatedmembers"
	"frosttide/internal/testkit/lab/size"
)

const (
	// network is the second number of the members' addresses, where nobody listens at them; networks
	// are how many are tried.
	network  = 92
	networks = 16
	// standTime bounds how long a cluster takes to stand.
	standTime = time.Minute
	// followTime is how long the log takes for each member that it takes in at the most.
	followTime = time.Second
	// writeTime bounds a write of the log.
	writeTime = 5 * time.Second
	// mostWrites bounds the writes under way.
	mostWrites = 64
	// leftOut is how many runners are left out at a time by the writes.
	leftOut = 50
)

// besides are the hollow members of a run.
type besides struct {
	members int // with the real one
	writes  float64
	leads   bool // the real one does
}

// besides returns the hollow members at a point.
func (p Plan) besides(a Axis, x float64) *besides {
	b := &besides{members: usualMembers, writes: usualWrites, leads: p.Role == Leader}
	if p.Short {
		b.members = shortMembers
	}
	switch a {
	case Members:
		b.members = int(x)
	case Writes:
		b.writes = x
	}
	return b
}

// member plays a run with hollow members beside the real one.
func (r run) member(ctx context.Context) (Point, error) {
	dir, err := os.MkdirTemp("", "frosttide-members-")
	if err != nil {
		return Point{}, err
	}
	defer os.RemoveAll(dir)
	held, err := holdNetwork()
	if err != nil {
		return Point{}, err
	}
	defer held.Close()
	own := &size.Member{Listen: fmt.Sprintf("127.%d.250.1:7946", held.Number), Voter: r.beside.leads, Voters: []string{simulatedmembers.Name(0)}}
	if r.beside.leads {
		own.Voters = []string{size.Name}
	}
	cfg := simulatedmembers.Config{Count: r.beside.members - 1, Network: held.Number, Voters: own.Voters, Dir: dir, Join: []string{own.Listen}}
	own.Join = cfg.Addrs(3)
	fleet, err := simulatedmembers.Open(cfg)
	if err != nil {
		return Point{}, err
	}
	defer fleet.Close()
	w := &writer{fleet: fleet, every: time.Duration(float64(time.Second) / r.beside.writes)}
	own.Ready = func(ctx context.Context) error { return stands(ctx, fleet, own, r.beside.members) }
	sent := make(map[string]uint64)
	own.Beside = func(ctx context.Context) {
		for _, m := range fleet.Members() {
			sent[m.Name] = m.SentBytes()
		}
		w.run(ctx)
		for _, m := range fleet.Members() {
			sent[m.Name] = m.SentBytes() - sent[m.Name]
		}
	}
	r.plan.Member = own
	need, err := size.Run(ctx, r.plan)
	if err != nil {
		return Point{}, err
	}
	return Point{Axis: r.axis, X: r.x, Need: need, Hollow: median(sent) / float64(max(need.Packets, 1)), Wrote: w.done.Load(), Failed: w.failed.Load()}, nil
}

// median returns what the middle one of some members has sent.
func median(sent map[string]uint64) float64 {
	var all []uint64
	for _, n := range sent {
		all = append(all, n)
	}
	slices.Sort(all)
	return float64(all[len(all)/2])
}

// stands waits until all members know each other and all but the leader follow the log, which takes
// them in one after the other.
func stands(ctx context.Context, f *simulatedmembers.Fleet, own *size.Member, members int) error {
	by := time.Now().Add(standTime + time.Duration(members)*followTime)
	if err := f.UntilAlive(members, by); err != nil {
		return err
	}
	for {
		err := follow(ctx, f, own, members)
		if err == nil || ctx.Err() != nil || time.Now().After(by) {
			return err
		}
		<-time.After(50 * time.Millisecond)
	}
}

// follow tells what the log's leader lacks.
func follow(ctx context.Context, f *simulatedmembers.Fleet, own *size.Member, members int) error {
	r, err := own.Report()
	if err != nil {
		return err
	}
	if !own.Voter {
		r, _ = f.Member(0).Report(ctx)
	}
	if have := len(r.Log.Voters) + len(r.Log.Followers); r.Log.Role != "leader" || have < members {
		return fmt.Errorf("the log's leader is %q, it has %d of %d members", r.Log.Leader, have, members)
	}
	return nil
}

// writer has operators write in the log by turns at all hollow members, at their times whatever becomes
// of the writes before.
type writer struct {
	fleet        *simulatedmembers.Fleet
	every        time.Duration
	done, failed atomic.Int64
}

func (w *writer) run(ctx context.Context) {
	tick := time.NewTicker(w.every)
	defer tick.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	open := make(chan struct{}, mostWrites)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		select {
		case open <- struct{}{}:
		default:
			w.failed.Add(1) // so many are under way that it could not be said
			continue
		}
		all.Go(func() {
			w.write(ctx, n)
			<-open
		})
	}
}

// write makes one; it goes on past the run's end.
func (w *writer) write(ctx context.Context, n int) {
	call, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(writeTime))
	defer cancel()
	if err := w.fleet.Write(call, n, fmt.Sprintf("x-%d", n%leftOut), n/leftOut%2 == 0); err != nil {
		w.failed.Add(1)
		return
	}
	w.done.Add(1)
}
