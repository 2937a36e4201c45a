package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"frosttide/internal/dispatcher/gearman/proto"
	"frosttide/internal/testkit/fakefleet"
	"frosttide/internal/testkit/lab"
	"frosttide/internal/testkit/standin/gearman"
)

const (
	labGearman  = "127.0.0.1:14730"
	stepTimeout = 30 * time.Second // for each step of an experiment
)

// gearmanCommand returns the command that benchmarks the Gearman front.
func gearmanCommand() *cobra.Command {
	var binary string
	var clients, rounds, idle int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "gearman",
		Short: "Compare the Gearman front with the HTTP front, and measure the cost of idle Gearman workers",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if clients < 1 || clients > 64 || rounds < 1 || rounds > 100 || idle < 1 || idle > 4000 || length <= 0 || length > time.Minute {
				return errors.New("--clients, --rounds, --workers or --length is out of range")
			}
			return measureGearman(cmd.OutOrStdout(), binary, clients, rounds, idle, length)
		},
	}
	f := cmd.Flags()
	f.StringVar(&binary, "binary", "bin/frosttide", "the program")
	f.IntVar(&clients, "clients", 16, "clients, each with one job at a time, at most 64")
	f.IntVar(&rounds, "rounds", 5, "runs of each front, at most 100")
	f.IntVar(&idle, "workers", 2000, "idle workers, at most 4000")
	f.DurationVar(&length, "length", 3*time.Second, "measured time of a run, at most 1m")
	return cmd
}

// measureGearman compares the fronts in alternating closed-loop runs and prints the medians, then
// measures idle workers.
func measureGearman(out io.Writer, binary string, clients, rounds, idle int, length time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d clients in a closed loop, jobs of %s, medians of %d runs of %s\n", clients, labWork, rounds, length)
	fmt.Fprintln(w, "front\tjobs/s\tp50 ms\tp99 ms\tCPU µs/job")
	figures := map[string][]closedLoopResult{}
	for range rounds {
		for _, front := range []string{"HTTP", "Gearman"} {
			r, err := runClosedLoop(binary, front, clients, length)
			if err != nil {
				return fmt.Errorf("%s: %w", front, err)
			}
			figures[front] = append(figures[front], r)
		}
	}
	for _, front := range []string{"HTTP", "Gearman"} {
		median := func(of func(closedLoopResult) float64) float64 {
			var values []float64
			for _, r := range figures[front] {
				values = append(values, of(r))
			}
			return lab.Median(values)
		}
		fmt.Fprintf(w, "%s\t%.0f\t%.2f\t%.2f\t%.0f\n", front, median(func(r closedLoopResult) float64 { return r.rate }),
			median(func(r closedLoopResult) float64 { return r.p50 }), median(func(r closedLoopResult) float64 { return r.p99 }),
			median(func(r closedLoopResult) float64 { return r.cpu }))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return measureIdleWorkers(out, binary, idle)
}

// closedLoopResult holds the results of a closed-loop run: served jobs per second, latencies in
// milliseconds, and the dispatcher's CPU time per job in microseconds.
type closedLoopResult struct{ rate, p50, p99, cpu float64 }

// startGearman starts the program with both fronts. done kills it and removes its folder.
func startGearman(binary string) (p *lab.Process, done func(), err error) {
	dir, err := os.MkdirTemp("", "frosttide-lab-")
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, "frosttide.toml")
	text := fmt.Sprintf(`[listen]
clients = %q
[discovery]
address = %q
ask_within = "100ms"
[fleet]
zones = ["studio"]
kinds = ["toy"]
[probes]
allowed = false
[limits]
sockets = 8192
[gearman]
listen = %q
connections = 5000
[gearman.functions]
cut = "preview-cut"
[[class]]
name = "preview-cut"
wanted_within = "2s"
give_up = "5s"
`, labDispatcher, labDiscovery, labGearman)
	if err = os.WriteFile(path, []byte(text), 0o600); err == nil {
		p, err = lab.Start(binary, []string{"serve", "--config", path}, []string{"FROSTTIDE_LOG_LEVEL=warn", "TMPDIR=" + dir})
	}
	if err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	if err := p.Await("http://"+labDispatcher+"/_health", time.Now().Add(stepTimeout)); err != nil {
		text := p.Kill()
		os.RemoveAll(dir)
		return nil, nil, fmt.Errorf("%w; log:\n%s", err, text)
	}
	return p, func() { p.Kill(); os.RemoveAll(dir) }, nil
}

// runClosedLoop measures a front with clients that each submit the next job when the last one has
// ended. Jobs of the first second are not counted.
func runClosedLoop(binary, front string, clients int, length time.Duration) (r closedLoopResult, err error) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	var runners []string
	if front == "HTTP" {
		runners = labRunners
	}
	fleet, err := fakefleet.Start(labDiscovery, labDispatcher, runners, labWork, quiet)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	p, done, err := startGearman(binary)
	if err != nil {
		return r, err
	}
	defer done()
	by := time.Now().Add(stepTimeout + length)
	var workers sync.WaitGroup
	defer workers.Wait()
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	if front == "Gearman" {
		for i := range 2 * clients {
			workers.Go(func() { runWorker(ctx, fmt.Sprint("w", i), by) })
		}
	}
	times := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	served := 0
	load := lab.Load{Addr: labDispatcher, Class: "preview-cut", Patient: 5 * time.Second}
	warm := time.Now().Add(time.Second)
	stop := warm.Add(length)
	var cpu time.Duration
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			submit, end, err := newClient(front, load, i, by)
			if err != nil {
				return
			}
			defer end()
			for n := 0; time.Now().Before(stop); n++ {
				began := time.Now()
				ok := submit(fmt.Sprintf("c%d-%d", i, n))
				if !ok {
					time.Sleep(labWork) // rejected: back off
					continue
				}
				if began.After(warm) {
					mu.Lock()
					served++
					_ = times.RecordValue(max(time.Since(began).Microseconds(), 1)) // can't fail: within the histogram's range
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Until(warm)) // the warm-up
	before, err := p.CPU()
	if err != nil {
		return r, err
	}
	all.Wait()
	if cpu, err = p.CPU(); err != nil {
		return r, err
	}
	cancel()
	if served == 0 {
		return r, errors.New("nothing was served")
	}
	return closedLoopResult{rate: float64(served) / length.Seconds(), p50: float64(times.ValueAtQuantile(50)) / 1000,
		p99: float64(times.ValueAtQuantile(99)) / 1000, cpu: float64((cpu - before).Microseconds()) / float64(served)}, nil
}

// newClient returns a function that submits a job, waits for its end and reports whether it was
// served. end closes the client's connections.
func newClient(front string, load lab.Load, number int, by time.Time) (submit func(id string) bool, end func(), err error) {
	if front == "HTTP" {
		one, end := load.Client()
		return func(id string) bool { return one(id) == 200 }, end, nil
	}
	p, err := gearman.Dial(labGearman, by, nil)
	if err != nil {
		return nil, nil, err
	}
	return func(id string) bool {
		if p.Send(proto.SubmitJob, "cut", id, "frames") != nil {
			return false
		}
		for {
			g, err := p.Next()
			if err != nil || g.Type == proto.WorkFail {
				return false
			}
			if g.Type == proto.WorkComplete {
				return true
			}
		}
	}, func() { p.Close() }, nil
}

// runWorker is a Gearman worker that runs jobs until the context ends.
func runWorker(ctx context.Context, name string, by time.Time) {
	p, err := gearman.Dial(labGearman, by, nil)
	if err != nil {
		return
	}
	defer p.Close()
	stop := context.AfterFunc(ctx, func() { p.Close() })
	defer stop()
	if p.Announce(name, "cut") != nil {
		return
	}
	for {
		job, err := p.Grab()
		if err != nil {
			return
		}
		time.Sleep(labWork) // run the job
		if p.Send(proto.WorkComplete, job.Handle, "clip") != nil {
			return
		}
	}
}

// measureIdleWorkers connects n workers simultaneously and prints the dispatcher's memory per
// worker and its CPU usage while the workers are idle.
func measureIdleWorkers(out io.Writer, binary string, n int) error {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	fleet, err := fakefleet.Start(labDiscovery, labDispatcher, nil, labWork, quiet)
	if err != nil {
		return err
	}
	defer fleet.Close()
	p, done, err := startGearman(binary)
	if err != nil {
		return err
	}
	defer done()
	memory, err := p.Memory()
	if err != nil {
		return err
	}
	by, began := time.Now().Add(stepTimeout), time.Now()
	peers := make([]*gearman.Peer, n)
	var all sync.WaitGroup
	for i := range peers {
		all.Go(func() {
			w, err := gearman.Dial(labGearman, by, nil)
			if err != nil {
				return
			}
			peers[i] = w
			if w.Announce(fmt.Sprint("idle", i), "cut") != nil || w.Send(proto.PreSleep) != nil || w.Send(proto.EchoReq, "up") != nil {
				return
			}
			_, _ = w.Want(proto.EchoRes) // the server has processed the CAN_DO before
		})
	}
	all.Wait()
	up := time.Since(began)
	connected := 0
	for _, w := range peers {
		if w != nil {
			connected++
			defer w.Close()
		}
	}
	const rest = 5 * time.Second
	time.Sleep(time.Second) // let the connection phase settle
	before, err := p.CPU()
	if err != nil {
		return err
	}
	time.Sleep(rest)
	after, err := p.CPU()
	if err != nil {
		return err
	}
	now, err := p.Memory()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%d of %d workers connected and listed in %s; %.1f KiB each; idle they take %.2f%% of a core\n", connected, n,
		up.Round(time.Millisecond), float64(now-memory)/float64(connected), 100*(after-before).Seconds()/rest.Seconds())
	return err
}
