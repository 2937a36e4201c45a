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
	// firstNetwork is the first value to try for the second byte of the members' addresses, and
	// networkCount the number of values that are tried until one is free.
	firstNetwork = 92
	networkCount = 16
	// formTimeout is the timeout for a cluster to form.
	formTimeout = time.Minute
	// followTimeout is the maximum time that the log needs to add one member.
	followTimeout = time.Second
	// writeTimeout is the timeout of a write of the log.
	writeTimeout = 5 * time.Second
	// maxWrites is the maximum number of writes in flight.
	maxWrites = 64
	// excludedRunners is the number of runners that the writes exclude at a time.
	excludedRunners = 50
)

// peers describes the simulated members of a run and the load on its log.
type peers struct {
	members int     // number, including the real one
	writes  float64 // of the log, per second
	leading bool    // whether the real member is the leader
}

// peersAt returns the simulated members of a point on an axis.
func (p Plan) peersAt(a Axis, x float64) *peers {
	b := &peers{members: defaultMembers, writes: defaultWrites, leading: p.Role == Leader}
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

// measureWithPeers measures a run with simulated members in addition to the real one.
func (r run) measureWithPeers(ctx context.Context) (Point, error) {
	dir, err := os.MkdirTemp("", "frosttide-members-")
	if err != nil {
		return Point{}, err
	}
	defer os.RemoveAll(dir)
	reservation, err := reserveNetwork()
	if err != nil {
		return Point{}, err
	}
	defer reservation.Close()
	own := &size.Member{Listen: fmt.Sprintf("127.%d.250.1:7946", reservation.Number), Voter: r.peers.leading, Voters: []string{simulatedmembers.Name(0)}}
	if r.peers.leading {
		own.Voters = []string{size.Name}
	}
	cfg := simulatedmembers.Config{Count: r.peers.members - 1, Network: reservation.Number, Voters: own.Voters, Dir: dir, Join: []string{own.Listen}}
	own.Join = cfg.Addrs(3)
	fleet, err := simulatedmembers.Open(cfg)
	if err != nil {
		return Point{}, err
	}
	defer fleet.Close()
	w := &writer{fleet: fleet, interval: time.Duration(float64(time.Second) / r.peers.writes)}
	own.Ready = func(ctx context.Context) error { return awaitMembers(ctx, fleet, own, r.peers.members) }
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

// median returns the median of the bytes that members have sent, by their names. There must be one
// at least.
func median(sent map[string]uint64) float64 {
	var all []uint64
	for _, n := range sent {
		all = append(all, n)
	}
	slices.Sort(all)
	return float64(all[len(all)/2])
}

// awaitMembers waits until all members see each other alive and the log has added all of them as
// voters or followers, which it does one at a time. It returns the last error after its timeout.
func awaitMembers(ctx context.Context, f *simulatedmembers.Fleet, own *size.Member, members int) error {
	deadline := time.Now().Add(formTimeout + time.Duration(members)*followTimeout)
	if err := f.UntilAlive(members, deadline); err != nil {
		return err
	}
	for {
		err := checkLeader(ctx, f, own, members)
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		<-time.After(50 * time.Millisecond)
	}
}

// checkLeader returns an error if the expected leader does not lead or its log lacks members.
func checkLeader(ctx context.Context, f *simulatedmembers.Fleet, own *size.Member, members int) error {
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

// writer writes to the log at a fixed interval, at all simulated members in turn. It doesn't wait
// for earlier writes.
type writer struct {
	fleet        *simulatedmembers.Fleet
	interval     time.Duration
	done, failed atomic.Int64 // acknowledged writes, and all others
}

// run writes until ctx ends, and returns once the writes in flight have ended.
func (w *writer) run(ctx context.Context) {
	tick := time.NewTicker(w.interval)
	defer tick.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	open := make(chan struct{}, maxWrites)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		select {
		case open <- struct{}{}:
		default:
			w.failed.Add(1) // too many writes in flight
			continue
		}
		all.Go(func() {
			w.write(ctx, n)
			<-open
		})
	}
}

// write makes write n and counts its outcome. It is not cancelled by ctx, only by its own timeout.
func (w *writer) write(ctx context.Context, n int) {
	call, cancel := context.WithDeadline(context.WithoutCancel(ctx), time.Now().Add(writeTimeout))
	defer cancel()
	if err := w.fleet.Write(call, n, fmt.Sprintf("x-%d", n%excludedRunners), n/excludedRunners%2 == 0); err != nil {
		w.failed.Add(1)
		return
	}
	w.done.Add(1)
}
