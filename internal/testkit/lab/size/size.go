// Package size measures what one real dispatcher needs as the number of workers grows, its traffic
// being the same: beside it hollow workers speak the real protocol on loopback, many in one process.
package size

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"frosttide/internal/testkit/lab"
)

const (
	// ShortWork is how long a hollow worker is at a job where that does not matter.
	ShortWork = 30 * time.Millisecond
	// changeEvery is how often discovery tells of changes where there are several a second.
	changeEvery = 500 * time.Millisecond
	// beatEvery is how often a watch says something while nothing changes.
	beatEvery = 2 * time.Second
	// patience is how long clients wait beyond the time that a job takes.
	patience = 5 * time.Second
	// mostOpen bounds the jobs that are open at once.
	mostOpen = 4096
	// startTime bounds the dispatcher's start.
	startTime = 30 * time.Second
	// MostWorkers is what the hollow workers have addresses for.
	MostWorkers = 12_000
)

// Plan is one measurement.
type Plan struct {
	Binary      string
	Workers     int
	Dispatchers int           // that the settings tell of; one is real
	Rate        float64       // jobs a second
	Work        time.Duration // that a worker is at a job
	Changes     float64       // entries of the list a second that change; 0 for none
	For         time.Duration // counted
	Seed        uint64
	Member      *Member // nil for a dispatcher on its own
}

// Member has the dispatcher be a member of a cluster whose other members somebody else plays.
type Member struct {
	Listen string
	Join   []string
	Voters []string
	Voter  bool // it keeps the log: its own name, Name, is among the voters
	// Ready is called once the dispatcher serves and returns when the cluster stands; Beside runs
	// while the jobs do.
	Ready  func(context.Context) error
	Beside func(context.Context)
}

// Name is the dispatcher's.
const Name = "size"

// Check tells what is wrong with a plan.
func (p Plan) Check() error {
	switch {
	case p.Workers < 1 || p.Workers > MostWorkers:
		return fmt.Errorf("workers: %d, want 1 to %d", p.Workers, MostWorkers)
	case p.Dispatchers < 1:
		return fmt.Errorf("dispatchers: %d, want 1 or more", p.Dispatchers)
	case !(p.Rate > 0 && p.Rate <= 1000):
		return fmt.Errorf("rate: %g jobs a second, want over 0 and up to 1000", p.Rate)
	case p.Work <= 0 || p.Work > time.Minute:
		return fmt.Errorf("work: %v, want over 0 and up to 1 min", p.Work)
	case p.Rate*p.Work.Seconds() > mostOpen/2:
		return fmt.Errorf("rate and work: %.0f jobs would be open at once, want up to %d", p.Rate*p.Work.Seconds(), mostOpen/2)
	case !(p.Changes >= 0 && p.Changes <= 1000):
		return fmt.Errorf("changes: %g a second, want 0 to 1000", p.Changes)
	case p.For < time.Second || p.For > 10*time.Minute:
		return fmt.Errorf("seconds: %v, want 1 s to 10 min", p.For)
	}
	if p.Member == nil {
		return nil
	}
	_, err := p.Member.console()
	return err
}

// Need is what the dispatcher used.
type Need struct {
	Seconds     float64 `json:"seconds"` // from its first answer to the last job's
	Workers     int     `json:"workers"`
	CPU         float64 `json:"cpu_seconds"`
	StartCPU    float64 `json:"start_cpu_seconds"` // up to its first answer
	PeakKiB     int64   `json:"peak_memory_kib"`
	Descriptors int     `json:"descriptors"` // the most that were seen
	Connections int64   `json:"connections"` // made to workers
	ListBytes   int64   `json:"list_bytes"`
	StartList   int64   `json:"start_list_bytes"`        // of those, up to its first answer
	Served      float64 `json:"served"`                  // share of the jobs
	Packets     int64   `json:"packet_bytes,omitempty"`  // sent to other members by UDP, while jobs ran
	Written     int64   `json:"written_bytes,omitempty"` // to streams and files, while jobs ran
	Disk        int64   `json:"disk_bytes,omitempty"`    // of those, that reached the disk's queue
}

// Run measures once.
func Run(ctx context.Context, p Plan) (n Need, err error) {
	if err := p.Check(); err != nil {
		return n, err
	}
	addr, err := dispatcherAddress()
	if err != nil {
		return n, err
	}
	f, err := openFleet(p, addr)
	if err != nil {
		return n, err
	}
	defer f.close()
	dir, err := os.MkdirTemp("", "frosttide-size-")
	if err != nil {
		return n, err
	}
	defer os.RemoveAll(dir)
	d, err := begin(p, addr, f.at, dir)
	if err != nil {
		return n, err
	}
	defer d.Kill()
	if err := d.Await("http://"+addr+"/_health", time.Now().Add(startTime)); err != nil {
		return n, fmt.Errorf("%w: %s", err, d.Kill())
	}
	if p.Member != nil {
		if err := p.Member.Ready(ctx); err != nil {
			return n, fmt.Errorf("%w: %s", err, d.Kill())
		}
	}
	n, err = measure(ctx, p, d, f, addr)
	if err != nil {
		return n, fmt.Errorf("%w: %s", err, d.Kill())
	}
	return n, nil
}

// begin starts the dispatcher.
func begin(p Plan, addr, discovery, dir string) (*lab.Process, error) {
	if p.Member != nil {
		path := filepath.Join(dir, "frosttide.toml")
		if err := os.WriteFile(path, memberConfig(p, addr, discovery, dir), 0o600); err != nil {
			return nil, err
		}
		return lab.Start(p.Binary, []string{"serve", "--config", path}, []string{"TMPDIR=" + dir, "FROSTTIDE_LOG_LEVEL=warn"})
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config(p, addr, discovery), 0o600); err != nil {
		return nil, err
	}
	return lab.Start(p.Binary, nil, []string{"BALANCER_CONFIG=" + path, "TMPDIR=" + dir, "FROSTTIDE_LOG_LEVEL=warn"})
}

// measure puts the load on a dispatcher that serves.
func measure(ctx context.Context, p Plan, d *lab.Process, f *fleet, addr string) (n Need, err error) {
	n.Workers = p.Workers
	begun, err := d.CPU()
	if err != nil {
		return n, err
	}
	n.StartCPU, n.StartList = begun.Seconds(), f.catalog.bytes.Load()
	before, err := sentBy(p, d)
	if err != nil {
		return n, err
	}
	began, watched := time.Now(), watch(d)
	beside, over := context.WithCancel(ctx)
	var ended sync.WaitGroup
	if p.Member != nil {
		ended.Go(func() { p.Member.Beside(beside) })
	}
	load := lab.Load{Addr: addr, Class: "render", Rate: p.Rate, For: p.For, Patient: p.Work + patience, Seed: p.Seed, Most: mostOpen}
	result := load.Run(ctx)
	n.Seconds = time.Since(began).Seconds()
	over()
	ended.Wait()
	n.Descriptors = watched()
	if ctx.Err() != nil {
		return n, errors.New("interrupted")
	}
	used, err := d.CPU()
	if err != nil {
		return n, err
	}
	if n.PeakKiB, err = d.Peak(); err != nil {
		return n, err
	}
	after, err := sentBy(p, d)
	if err != nil {
		return n, err
	}
	n.Packets, n.Written, n.Disk = after.packets-before.packets, after.written-before.written, after.disk-before.disk
	n.CPU, n.Served = used.Seconds(), result.Service()
	n.Connections, n.ListBytes = f.connected.Load(), f.catalog.bytes.Load()
	return n, nil
}

// watch looks at the dispatcher's descriptors until it is asked for the most that it saw.
func watch(d *lab.Process) (most func() int) {
	over, told := make(chan struct{}), make(chan int)
	go func() {
		seen := 0
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			seen = max(seen, d.Descriptors())
			select {
			case <-tick.C:
			case <-over:
				told <- seen
				return
			}
		}
	}()
	return func() int {
		close(over)
		return <-told
	}
}

// config is the dispatcher's, in the platform's form.
func config(p Plan, listen, discovery string) []byte {
	return fmt.Appendf(nil, `{"name":"size","listen":%q,"discovery":%q,"known":{"rev":0,"all":true,"targets":[]},
"limits":{"cores":1,"memory_mb":512,"sockets":4096},
"settings":{"balancers":%d,"me":1,"zone":0,"zones":["a"],"kinds":["m"],"discovery":"on_request","weights":"none",
"request-classes":[{"name":"render","effect":"safe","aim":%d,"give-up":%d,"worth":1}],
"policy-limits":{"connect-timeout":250000,"keepalive":5000000,"max-retry-after":2000000,"may-cancel":true,"retry-after":true,
"second-copies":true,"send-cap":4,"probing":true},"report":{"source":"none"},"family-info":{"tells-start":true},
"rules":{"ask-within":100000,"drain-grace":500000,"cold-from":0.2,"warm-within":20000000,"fall-multiple":2.5,"fall":1000000}}}`,
		listen, discovery, p.Dispatchers, (p.Work + patience/2).Microseconds(), (p.Work + patience).Microseconds())
}
