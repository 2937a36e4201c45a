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

// Fault is what goes on while operators' words are brought to all members.
type Fault string

// The faults.
const (
	Calm       Fault = "calm"
	LeaderLost Fault = "leader lost"        // by a machine that is gone, just before each word
	Restarts   Fault = "a tenth restarting" // again and again
)

// Faults are all of them.
var Faults = []Fault{Calm, LeaderLost, Restarts}

const (
	forceVoters = 3
	// wordTime bounds how long a word may take until it is in force everywhere.
	wordTime = 30 * time.Second
	// tryTime bounds one call, as an operator's does at the console; then it is made again.
	tryTime = time.Second
	// wordEvery is how far apart words are at the least.
	wordEvery = 50 * time.Millisecond
	// restartEvery is how often a tenth of the members restart, and downFor how long they are away.
	restartEvery = 2 * time.Second
	downFor      = 500 * time.Millisecond
)

// ForcePlan measures how long what an operator has said takes to be in force at all members.
type ForcePlan struct {
	Members int
	Words   int
	Seed    uint64
}

// Check tells what is wrong with a plan.
func (p ForcePlan) Check() error {
	switch {
	case p.Members < 2*forceVoters || p.Members > mostMembers:
		return fmt.Errorf("members: %d, want %d to %d", p.Members, 2*forceVoters, mostMembers)
	case p.Words < 1 || p.Words > 10_000:
		return fmt.Errorf("words: %d, want 1 to 10,000", p.Words)
	}
	return Plan{Role: Member, Repeats: 1, For: time.Second, AtOnce: 1}.fits()
}

// Force is what a fault made of the words.
type Force struct {
	Fault   Fault   `json:"fault"`
	Members int     `json:"members"`
	Words   int64   `json:"words"`
	P50     float64 `json:"p50_seconds"`
	P99     float64 `json:"p99_seconds"`
	Most    float64 `json:"most_seconds"`
	Missed  int     `json:"missed"` // not in force everywhere within wordTime
}

// RunForce measures under each fault, in a fleet of hollow members of its own.
func RunForce(ctx context.Context, p ForcePlan) (out []Force, err error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	for _, fault := range Faults {
		f, err := p.under(ctx, fault)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fault, err)
		}
		out = append(out, f)
	}
	return out, nil
}

// under measures under one fault.
func (p ForcePlan) under(ctx context.Context, fault Fault) (out Force, err error) {
	dir, err := os.MkdirTemp("", "frosttide-force-")
	if err != nil {
		return out, err
	}
	defer os.RemoveAll(dir)
	held, err := holdNetwork()
	if err != nil {
		return out, err
	}
	defer held.Close()
	cfg := simulatedmembers.Config{Count: p.Members, Network: held.Number, Dir: dir}
	for i := range forceVoters {
		cfg.Voters = append(cfg.Voters, simulatedmembers.Name(i))
	}
	fleet, err := simulatedmembers.Open(cfg)
	if err != nil {
		return out, err
	}
	defer fleet.Close()
	if err := fleet.UntilAlive(p.Members, time.Now().Add(standTime)); err != nil {
		return out, err
	}
	if err := settled(ctx, fleet, "first"); err != nil {
		return out, err
	}
	m := &words{fleet: fleet, rng: rand.New(rand.NewPCG(p.Seed, 1)), times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	beside, over := context.WithCancel(ctx)
	var ended sync.WaitGroup
	if fault == Restarts {
		ended.Go(func() { restarts(beside, fleet, p.Members) })
	}
	for n := 0; n < p.Words && ctx.Err() == nil && err == nil; n++ {
		if fault == LeaderLost {
			err = m.withoutLeader(ctx, n)
		} else {
			m.word(ctx, n)
		}
		<-time.After(wordEvery)
	}
	over()
	ended.Wait()
	if ctx.Err() != nil {
		return out, errors.New("interrupted")
	}
	seconds := func(quantile float64) float64 { return float64(m.times.ValueAtQuantile(quantile)) / 1e6 }
	return Force{Fault: fault, Members: p.Members, Words: m.times.TotalCount(), P50: seconds(50), P99: seconds(99),
		Most: float64(m.times.Max()) / 1e6, Missed: m.missed}, err
}

// settled waits until all voters keep the log and a word is agreed on.
func settled(ctx context.Context, f *simulatedmembers.Fleet, uid string) error {
	for by := time.Now().Add(standTime); ; <-time.After(20 * time.Millisecond) {
		err := keepLog(ctx, f)
		if err == nil {
			err = f.Write(ctx, 0, uid, true)
		}
		if err == nil || ctx.Err() != nil || time.Now().After(by) {
			return err
		}
	}
}

// keepLog tells what some voter lacks. The log begins with one, and takes the others in by turns.
func keepLog(ctx context.Context, f *simulatedmembers.Fleet) error {
	for i := range forceVoters {
		r, ok := f.Member(i).Report(ctx)
		if !ok || len(r.Log.Voters) < forceVoters || r.Log.Applied < r.Log.Last {
			return fmt.Errorf("%s has voters %v", simulatedmembers.Name(i), r.Log.Voters)
		}
	}
	return nil
}

// words are what operators say, and how long each took.
type words struct {
	fleet  *simulatedmembers.Fleet
	rng    *rand.Rand
	times  *hdrhistogram.Histogram // microseconds
	missed int
}

// word has an operator say something at any member, again until it is agreed on, and waits until each
// member that is open then and stays so has it.
func (w *words) word(ctx context.Context, n int) {
	uid, out := fmt.Sprintf("x-%d", n%leftOut), n/leftOut%2 == 0
	began := time.Now()
	by := began.Add(wordTime)
	var err error
	for said := false; !said; {
		call, cancel := context.WithDeadline(ctx, time.Now().Add(tryTime))
		err = w.fleet.Write(call, w.rng.IntN(1<<20), uid, out)
		cancel()
		said = err == nil || ctx.Err() != nil || time.Now().After(by)
	}
	for _, m := range w.fleet.Members() {
		if err != nil {
			break
		}
		if err = m.Await(uid, out, by); errors.Is(err, simulatedmembers.ErrClosed) {
			err = nil // it hears of all when it is back
		}
	}
	if err != nil {
		w.missed++
		return
	}
	_ = w.times.RecordValue(time.Since(began).Microseconds()) // within its range
}

// withoutLeader has the leader's machine gone, says a word at once and brings the machine back.
func (w *words) withoutLeader(ctx context.Context, n int) error {
	i, err := w.leader(ctx)
	if err != nil {
		return err
	}
	w.fleet.Stop(i, false)
	w.word(ctx, n)
	if err := w.fleet.Start(i); err != nil {
		return err
	}
	return settled(ctx, w.fleet, "again")
}

// leader returns the number of the voter that leads.
func (w *words) leader(ctx context.Context) (int, error) {
	for by := time.Now().Add(standTime); time.Now().Before(by) && ctx.Err() == nil; <-time.After(20 * time.Millisecond) {
		for i := range forceVoters {
			if r, ok := w.fleet.Member(i).Report(ctx); ok && r.Log.Role == "leader" {
				return i, nil
			}
		}
	}
	return 0, errors.New("the log has no leader")
}

// restarts has a tenth of the members that keep no log go and come back, another each time.
func restarts(ctx context.Context, f *simulatedmembers.Fleet, members int) {
	tick := time.NewTicker(restartEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		var gone []int
		var stopped sync.WaitGroup
		for i := forceVoters + n%10; i < members; i += 10 {
			gone = append(gone, i)
			stopped.Go(func() { f.Stop(i, true) }) // each waits until others have heard its farewell
		}
		stopped.Wait()
		<-time.After(downFor)
		for _, i := range gone {
			if f.Start(i) != nil {
				return // its address is taken; the words that miss it tell
			}
		}
	}
}

// forceFrom begins the page's part on words.
const forceFrom = "<!-- written by frosttide-lab force -->"

// EmptyForce is a page with a part on words alone.
const EmptyForce = forceFrom + pageTo

// PutForce returns a page with its part on words as a run found it.
func PutForce(page string, found []Force, at Where) (string, error) {
	before, rest, ok := strings.Cut(page, forceFrom)
	_, after, ends := strings.Cut(rest, pageTo)
	if !ok || !ends {
		return "", errors.New("the page has no part for words in force")
	}
	var b strings.Builder
	fmt.Fprintf(&b, "\nOn %s, commit %s, seed %d. Seconds from an operator's call to the last member.\n\n", at.Machine, at.Commit, at.Seed)
	b.WriteString("| fault | members | words | p50 | p99 | longest | not within 30 s |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, f := range found {
		fmt.Fprintf(&b, "| %s | %d | %d | %.3g | %.3g | %.3g | %d |\n", f.Fault, f.Members, f.Words, f.P50, f.P99, f.Most, f.Missed)
	}
	return before + forceFrom + "\n" + b.String() + pageTo + after, nil
}
