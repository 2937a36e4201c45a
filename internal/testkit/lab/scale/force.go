package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"frosttide/internal/testkit/lab/simulatedmembers"
)

// Fault is a condition of the cluster under which operators' orders are propagated to all members.
type Fault string

// The faults. A lost leader disappears like a failed machine just before each order.
const (
	Calm       Fault = "calm"
	LeaderLost Fault = "leader lost"
	Restarts   Fault = "a tenth restarting" // every two seconds
)

// Faults lists all faults in the order in which RunForce measures them.
var Faults = []Fault{Calm, LeaderLost, Restarts}

const (
	voterCount = 3
	// orderTimeout limits how long an order may take until it is in effect at all members.
	orderTimeout = 30 * time.Second
	// callTimeout is the timeout of one call, as the console has one; the call is then retried.
	callTimeout = time.Second
	// minOrderInterval is the minimum gap between orders.
	minOrderInterval = 50 * time.Millisecond
	// restartInterval is the interval at which a tenth of the members restart, and downtime how
	// long they are down.
	restartInterval = 2 * time.Second
	downtime        = 500 * time.Millisecond
)

// ForcePlan holds the parameters of a measurement of how long operators' orders (exclusions of
// runners) take to be in effect at all members.
type ForcePlan struct {
	Members int
	Words   int // orders under each fault
	Seed    uint64
}

// Check returns an error that names the first parameter that is out of range, or what the machine
// lacks.
func (p ForcePlan) Check() error {
	switch {
	case p.Members < 2*voterCount || p.Members > maxMembers:
		return fmt.Errorf("members: %d, want %d to %d", p.Members, 2*voterCount, maxMembers)
	case p.Words < 1 || p.Words > 10_000:
		return fmt.Errorf("words: %d, want 1 to 10,000", p.Words)
	}
	return Plan{Role: Member, Repeats: 1, For: time.Second, AtOnce: 1}.checkResources()
}

// Force holds the times that orders took under one fault, until the last member had them.
type Force struct {
	Fault   Fault   `json:"fault"`
	Members int     `json:"members"`
	Words   int64   `json:"words"` // orders that were in effect everywhere in time
	P50     float64 `json:"p50_seconds"`
	P99     float64 `json:"p99_seconds"`
	Most    float64 `json:"most_seconds"`
	Missed  int     `json:"missed"` // orders not in effect everywhere within orderTimeout
}

// RunForce measures under each fault, with a new fleet of simulated members for each. An
// interrupted run returns an error and no results.
func RunForce(ctx context.Context, p ForcePlan) (out []Force, err error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	for _, fault := range Faults {
		f, err := p.measureUnder(ctx, fault)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fault, err)
		}
		out = append(out, f)
	}
	return out, nil
}

// measureUnder measures under one fault.
func (p ForcePlan) measureUnder(ctx context.Context, fault Fault) (out Force, err error) {
	dir, err := os.MkdirTemp("", "frosttide-force-")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	reservation, err := reserveNetwork()
	if err != nil {
		return out, err
	}
	defer reservation.Close()
	cfg := simulatedmembers.Config{Count: p.Members, Network: reservation.Number, Dir: dir}
	for i := range voterCount {
		cfg.Voters = append(cfg.Voters, simulatedmembers.Name(i))
	}
	fleet, err := simulatedmembers.Open(cfg)
	if err != nil {
		return out, err
	}
	defer fleet.Close()
	if err := fleet.UntilAlive(p.Members, time.Now().Add(formTimeout)); err != nil {
		return out, err
	}
	if err := awaitLogReady(ctx, fleet, "first"); err != nil {
		return out, err
	}
	m := &orderRun{fleet: fleet, rng: rand.New(rand.NewPCG(p.Seed, 1)), times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	restartCtx, stopRestarts := context.WithCancel(ctx)
	var background sync.WaitGroup
	if fault == Restarts {
		background.Go(func() { restartMembers(restartCtx, fleet, p.Members) })
	}
	for n := 0; n < p.Words && ctx.Err() == nil && err == nil; n++ {
		if fault == LeaderLost {
			err = m.issueWithoutLeader(ctx, n)
		} else {
			m.issue(ctx, n)
		}
		<-time.After(minOrderInterval)
	}
	stopRestarts()
	background.Wait()
	if ctx.Err() != nil {
		return out, errors.New("interrupted")
	}
	seconds := func(quantile float64) float64 { return float64(m.times.ValueAtQuantile(quantile)) / 1e6 }
	return Force{Fault: fault, Members: p.Members, Words: m.times.TotalCount(), P50: seconds(50), P99: seconds(99),
		Most: float64(m.times.Max()) / 1e6, Missed: m.missed}, err
}

// awaitLogReady waits until all voters store the log and an order has been committed. It returns
// the last error after formTimeout.
func awaitLogReady(ctx context.Context, f *simulatedmembers.Fleet, uid string) error {
	for deadline := time.Now().Add(formTimeout); ; <-time.After(20 * time.Millisecond) {
		err := checkVoters(ctx, f)
		if err == nil {
			err = f.Write(ctx, 0, uid, true)
		}
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
	}
}

// checkVoters returns an error if a voter does not know all voters or has not applied its whole
// log. The log starts with one voter and adds the others one at a time.
func checkVoters(ctx context.Context, f *simulatedmembers.Fleet) error {
	for i := range voterCount {
		r, ok := f.Member(i).Report(ctx)
		if !ok || len(r.Log.Voters) < voterCount || r.Log.Applied < r.Log.Last {
			return fmt.Errorf("%s has voters %v", simulatedmembers.Name(i), r.Log.Voters)
		}
	}
	return nil
}

// orderRun issues operators' orders and records how long each takes.
type orderRun struct {
	fleet  *simulatedmembers.Fleet
	rng    *rand.Rand
	times  *hdrhistogram.Histogram // microseconds
	missed int
}

// issue issues order n at a random member, retries it until it is committed, and waits until every
// member has it that is open at that time and stays open.
func (w *orderRun) issue(ctx context.Context, n int) {
	uid, out := fmt.Sprintf("x-%d", n%excludedRunners), n/excludedRunners%2 == 0
	startedAt := time.Now()
	deadline := startedAt.Add(orderTimeout)
	var err error
	for done := false; !done; {
		call, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
		err = w.fleet.Write(call, w.rng.IntN(1<<20), uid, out)
		cancel()
		done = err == nil || ctx.Err() != nil || time.Now().After(deadline)
	}
	for _, m := range w.fleet.Members() {
		if err != nil {
			break
		}
		if err = m.Await(uid, out, deadline); errors.Is(err, simulatedmembers.ErrClosed) {
			err = nil // a restarted member gets the whole state when it joins again
		}
	}
	if err != nil {
		w.missed++
		return
	}
	_ = w.times.RecordValue(time.Since(startedAt).Microseconds()) // within the range
}

// issueWithoutLeader stops the leader without notice, issues an order at once and restarts the
// member.
func (w *orderRun) issueWithoutLeader(ctx context.Context, n int) error {
	i, err := w.leader(ctx)
	if err != nil {
		return err
	}
	w.fleet.Stop(i, false)
	w.issue(ctx, n)
	if err := w.fleet.Start(i); err != nil {
		return err
	}
	return awaitLogReady(ctx, w.fleet, "again")
}

// leader returns the index of the voter that is the log's leader. It waits up to formTimeout for
// one.
func (w *orderRun) leader(ctx context.Context) (int, error) {
	for deadline := time.Now().Add(formTimeout); time.Now().Before(deadline) && ctx.Err() == nil; <-time.After(20 * time.Millisecond) {
		for i := range voterCount {
			if r, ok := w.fleet.Member(i).Report(ctx); ok && r.Log.Role == "leader" {
				return i, nil
			}
		}
	}
	return 0, errors.New("the log has no leader")
}

// restartMembers restarts a tenth of the members at a time, another tenth each time, except voters,
// until ctx ends.
func restartMembers(ctx context.Context, f *simulatedmembers.Fleet, members int) {
	tick := time.NewTicker(restartInterval)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var down []int
		var stopped sync.WaitGroup
		for i := voterCount + n%10; i < members; i += 10 {
			down = append(down, i)
			stopped.Go(func() { f.Stop(i, true) }) // each waits until others know of its departure
		}
		stopped.Wait()
		<-time.After(downtime)
		for _, i := range down {
			if f.Start(i) != nil {
				return // its address is in use; the measured orders show that it is missing
			}
		}
	}
}

// forceStart is the marker at the start of the page's section on operators' orders.
const forceStart = "<!-- written by frosttide-lab force -->"

// EmptyForce is a page that holds only an empty section on operators' orders.
const EmptyForce = forceStart + pageEnd

// PutForce returns the page with its section on operators' orders replaced by the results of a run.
// It returns an error if the page has no such section.
func PutForce(page string, found []Force, at Where) (string, error) {
	before, rest, ok := strings.Cut(page, forceStart)
	_, after, ends := strings.Cut(rest, pageEnd)
	if !ok || !ends {
		return "", errors.New("the page has no section for operators' orders")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\nOn %s, commit %s, seed %d. Seconds from an operator's call to the last member.\n\n", at.Machine, at.Commit, at.Seed)
	b.WriteString("| fault | members | words | p50 | p99 | longest | not within 30 s |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range found {
		fmt.Fprintf(&b, "| %s | %d | %d | %.3g | %.3g | %.3g | %d |\n", f.Fault, f.Members, f.Words, f.P50, f.P99, f.Most, f.Missed)
	}
	return before + forceStart + "\n" + b.String() + pageEnd + after, nil
}
