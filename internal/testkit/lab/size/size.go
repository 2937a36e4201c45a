// Package size measures the resources that one real dispatcher uses as the number of workers grows
// while its traffic stays the same. Simulated workers, many in one process, use the real protocol
// on loopback. RunUrgent measures how long urgent jobs wait for their start at such workers.
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
	// ShortWork is the run time of a job for measurements that don't depend on it.
	ShortWork = 30 * time.Millisecond
	// changeInterval is the interval of discovery's updates if there are several changes per
	// second.
	changeInterval = 500 * time.Millisecond
	// heartbeatInterval is the heartbeat interval of a watch without changes.
	heartbeatInterval = 2 * time.Second
	// clientPatience is how long clients wait in addition to a job's run time.
	clientPatience = 5 * time.Second
	// maxOpenJobs is the maximum number of jobs in flight.
	maxOpenJobs = 4096
	// startTimeout is the timeout of the dispatcher's start.
	startTimeout = 30 * time.Second
	// MostWorkers is the number of addresses for simulated workers.
	MostWorkers = 12_000
)

// Plan holds the parameters of one measurement.
type Plan struct {
	Binary      string // path of the program
	Workers     int
	Dispatchers int           // number in the configuration; only one runs
	Rate        float64       // jobs per second
	Work        time.Duration // run time of a job
	Changes     float64       // changed entries of the list per second; 0 for none
	For         time.Duration // length of the load
	Seed        uint64        // of the arrival times
	Member      *Member       // nil for a dispatcher that is not in a cluster
}

// Member makes the dispatcher a member of a cluster whose other members the caller runs.
type Member struct {
	Listen string   // host and port of the cluster's listener
	Join   []string // addresses of other members
	Voters []string // names of all voters
	Voter  bool     // whether it is a voter and stores the log; Name is then among Voters
	// Ready is called once the dispatcher serves, and returns when the cluster is complete. Beside
	// runs in parallel with the load until its context ends.
	Ready  func(context.Context) error
	Beside func(context.Context)
}

// Name is the name of the measured dispatcher in its configuration.
const Name = "size"

// Check returns an error that names the first parameter that is out of range.
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
	case p.Rate*p.Work.Seconds() > maxOpenJobs/2:
		return fmt.Errorf("rate and work: %.0f jobs would be open at once, want up to %d", p.Rate*p.Work.Seconds(), maxOpenJobs/2)
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

// Need holds the resources that the dispatcher used.
type Need struct {
	Seconds     float64 `json:"seconds"` // of the load, until the last job's answer
	Workers     int     `json:"workers"`
	CPU         float64 `json:"cpu_seconds"`
	StartCPU    float64 `json:"start_cpu_seconds"` // of CPU, up to its first health check
	PeakKiB     int64   `json:"peak_memory_kib"`
	Descriptors int     `json:"descriptors"`             // peak of the samples
	Connections int64   `json:"connections"`             // accepted by the workers
	ListBytes   int64   `json:"list_bytes"`              // sent by discovery
	StartList   int64   `json:"start_list_bytes"`        // of ListBytes, up to its first health check
	Served      float64 `json:"served"`                  // fraction of the jobs
	Packets     int64   `json:"packet_bytes,omitempty"`  // sent to other members by UDP during the load
	Written     int64   `json:"written_bytes,omitempty"` // to streams and files during the load
	Disk        int64   `json:"disk_bytes,omitempty"`    // of Written, sent to storage
}

// Run runs one measurement. An interrupted run returns an error. Errors after the dispatcher's
// start include its log.
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
	d, err := startDispatcher(p, addr, f.at, dir)
	if err != nil {
		return n, err
	}
	defer d.Kill()
	if err := d.Await("http://"+addr+"/_health", time.Now().Add(startTimeout)); err != nil {
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

// startDispatcher writes the dispatcher's configuration to dir and starts the program.
func startDispatcher(p Plan, addr, discovery, dir string) (*lab.Process, error) {
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

// measure runs the load on a dispatcher that serves, and reads the resources that it used.
func measure(ctx context.Context, p Plan, d *lab.Process, f *fleet, addr string) (n Need, err error) {
	n.Workers = p.Workers
	cpuBefore, err := d.CPU()
	if err != nil {
		return n, err
	}
	n.StartCPU, n.StartList = cpuBefore.Seconds(), f.catalog.bytes.Load()
	before, err := memberTraffic(p, d)
	if err != nil {
		return n, err
	}
	startedAt, peakDescriptors := time.Now(), sampleDescriptors(d)
	besideCtx, cancel := context.WithCancel(ctx)
	var background sync.WaitGroup
	if p.Member != nil {
		background.Go(func() { p.Member.Beside(besideCtx) })
	}
	load := lab.Load{Addr: addr, Class: "render", Rate: p.Rate, For: p.For, Patient: p.Work + clientPatience, Seed: p.Seed, Most: maxOpenJobs}
	result := load.Run(ctx)
	n.Seconds = time.Since(startedAt).Seconds()
	cancel()
	background.Wait()
	n.Descriptors = peakDescriptors()
	if ctx.Err() != nil {
		return n, errors.New("interrupted")
	}
	cpuAfter, err := d.CPU()
	if err != nil {
		return n, err
	}
	if n.PeakKiB, err = d.Peak(); err != nil {
		return n, err
	}
	after, err := memberTraffic(p, d)
	if err != nil {
		return n, err
	}
	n.Packets, n.Written, n.Disk = after.packets-before.packets, after.written-before.written, after.disk-before.disk
	n.CPU, n.Served = cpuAfter.Seconds(), result.Service()
	n.Connections, n.ListBytes = f.connected.Load(), f.catalog.bytes.Load()
	return n, nil
}

// sampleDescriptors samples the dispatcher's open descriptors ten times per second. The function
// that it returns ends the sampling and returns the peak; it may be called once.
func sampleDescriptors(d *lab.Process) (peak func() int) {
	stop, result := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			highest = max(highest, d.Descriptors())
			select {
			case <-tick.C:
			case <-stop:
				result <- highest
				return
			}
		}
	}()
	return func() int {
		close(stop)
		return <-result
	}
}

// config returns the dispatcher's configuration in the platform's JSON format.
func config(p Plan, listen, discovery string) []byte {
	return fmt.Appendf(nil, `{"name":"size","listen":%q,"discovery":%q,"known":{"rev":0,"all":true,"targets":[]},
"limits":{"cores":1,"memory_mb":512,"sockets":4096},
"settings":{"balancers":%d,"me":1,"zone":0,"zones":["a"],"kinds":["m"],"discovery":"on_request","weights":"none",
"request-classes":[{"name":"render","effect":"safe","aim":%d,"give-up":%d,"worth":1}],
"policy-limits":{"connect-timeout":250000,"keepalive":5000000,"max-retry-after":2000000,"may-cancel":true,"retry-after":true,
"second-copies":true,"send-cap":4,"probing":true},"report":{"source":"none"},"family-info":{"tells-start":true},
"rules":{"ask-within":100000,"drain-grace":500000,"cold-from":0.2,"warm-within":20000000,"fall-multiple":2.5,"fall":1000000}}}`,
		listen, discovery, p.Dispatchers, (p.Work + clientPatience/2).Microseconds(), (p.Work + clientPatience).Microseconds())
}
