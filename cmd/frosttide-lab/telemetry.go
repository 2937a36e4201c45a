package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"frosttide/internal/testkit/fakefleet"
	"frosttide/internal/testkit/lab"
	"frosttide/internal/testkit/standin/collector"
)

// telemetryExperiment measures the overhead of telemetry: it compares runs in several modes, once
// per round each, with runs in the first mode.
type telemetryExperiment struct {
	binary, other string
	pairs         int
	rate          float64
	length        time.Duration
	modes         []string
}

// Modes of a run. The first one of the --modes flag is the baseline.
const (
	modeOff     = "off"     // without telemetry
	modeOther   = "other"   // the binary of --other, without telemetry
	modeGood    = "good"    // all traces are exported to a working collector
	modeSampled = "sampled" // 1% of the traces are exported
	modeKilled  = "killed"  // the collector is killed halfway
	modeHanging = "hanging" // the collector accepts calls and never responds
)

// telemetryCommand returns the command that measures the overhead of telemetry.
func telemetryCommand() *cobra.Command {
	e := &telemetryExperiment{}
	cmd := &cobra.Command{
		Use:   "telemetry",
		Short: "Compare service level, latency and CPU with working, killed and hanging collectors",
		Long: `telemetry runs the program in rounds, each mode once a round in rotating order, under the
same load, and prints the ratios to the first mode with 95% confidence intervals of the median.`,
		Example: `  frosttide-lab telemetry --binary bin/frosttide --rounds 20`,
		RunE:    func(cmd *cobra.Command, _ []string) error { return e.run(cmd.Context(), cmd.OutOrStdout()) },
	}
	f := cmd.Flags()
	f.StringVar(&e.binary, "binary", "bin/frosttide", "the program")
	f.StringVar(&e.other, "other", "", "another build of the program, for the mode other")
	f.IntVar(&e.pairs, "rounds", 20, "rounds, at most 200")
	f.Float64Var(&e.rate, "rate", 300, "jobs a second, at most 5000")
	f.DurationVar(&e.length, "length", 2*time.Second, "measured time of a run, at most 1m")
	f.StringSliceVar(&e.modes, "modes", []string{modeOff, modeGood, modeSampled, modeKilled, modeHanging}, "modes to run; the first is the baseline")
	return cmd
}

// runMetrics holds the results of one run: the service level, latencies in milliseconds, CPU time
// per job in microseconds, and resident memory in KiB.
type runMetrics struct {
	service, p50, p99, cpu float64
	memory                 float64
}

// run executes all rounds and prints the results.
func (e *telemetryExperiment) run(ctx context.Context, out io.Writer) error {
	if e.pairs < 1 || e.pairs > 200 || e.rate <= 0 || e.rate > 5000 || e.length <= 0 || e.length > time.Minute || len(e.modes) < 2 {
		return errors.New("--rounds, --rate, --length or --modes is out of range")
	}
	if ctx == nil {
		ctx = context.Background()
	}
	all := map[string][]runMetrics{}
	for round := range e.pairs {
		for i := range e.modes {
			mode := e.modes[(i+round)%len(e.modes)]
			r, err := e.runOnce(ctx, mode, uint64(round+1))
			if err != nil {
				return fmt.Errorf("round %d, %s: %w", round+1, mode, err)
			}
			all[mode] = append(all[mode], r)
		}
	}
	return e.write(out, all)
}

// write prints a table with the medians of each mode and its ratios to the baseline.
func (e *telemetryExperiment) write(out io.Writer, all map[string][]runMetrics) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%d rounds of %s at %g jobs/s; medians, and ratios to %s with 95%% intervals\n", e.pairs, e.length, e.rate, e.modes[0])
	fmt.Fprintln(w, "mode\tservice\tp50 ms\tp99 ms\tCPU µs/job\tRSS KiB\tservice ratio\tp50 ratio\tp99 ratio\tCPU ratio")
	figures := []func(runMetrics) float64{func(r runMetrics) float64 { return r.service }, func(r runMetrics) float64 { return r.p50 },
		func(r runMetrics) float64 { return r.p99 }, func(r runMetrics) float64 { return r.cpu }, func(r runMetrics) float64 { return r.memory }}
	for _, mode := range e.modes {
		fmt.Fprintf(w, "%s", mode)
		for _, f := range figures {
			var values []float64
			for _, r := range all[mode] {
				values = append(values, f(r))
			}
			fmt.Fprintf(w, "\t%.5g", lab.Median(values))
		}
		for _, f := range figures[:4] {
			if mode == e.modes[0] {
				fmt.Fprint(w, "\t1")
				continue
			}
			var ratios []float64
			for i, r := range all[mode] {
				ratios = append(ratios, f(r)/f(all[e.modes[0]][i]))
			}
			x := lab.Bootstrap(ratios, 1)
			fmt.Fprintf(w, "\t%.4f (%.4f to %.4f)", x.Mid, x.Low, x.High)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// Addresses on loopback, run time of a job, and warm-up time before a measurement.
const (
	labDispatcher = "127.0.0.1:18081"
	labDiscovery  = "127.0.0.1:18500"
	labWork       = 20 * time.Millisecond
	labWarm       = 500 * time.Millisecond
)

var labRunners = []string{"127.0.0.1:19101", "127.0.0.1:19102", "127.0.0.1:19103", "127.0.0.1:19104"}

// labPlatform is the configuration in the platform's JSON format, which older builds accept too.
const labPlatform = `{"name":"lab","listen":"` + labDispatcher + `","discovery":"` + labDiscovery + `","known":{"rev":0,"all":true,"targets":[]},
"settings":{"balancers":1,"me":0,"zone":0,"zones":["studio"],"kinds":["toy"],"discovery":"on_request","weights":"none",
"request-classes":[{"name":"preview-cut","effect":"safe","aim":2000000,"give-up":5000000,"worth":1}],
"policy-limits":{"connect-timeout":250000,"keepalive":5000000,"max-retry-after":2000000,"may-cancel":true,"retry-after":true,
"second-copies":false,"send-cap":4,"probing":false},"report":{"source":"none"},"family-info":{"tells-start":true},
"rules":{"ask-within":100000,"drain-grace":500000,"cold-from":1,"warm-within":0,"fall-multiple":1,"fall":1000000}}}`

// runOnce runs the program once in a mode, under a load generated from a seed.
func (e *telemetryExperiment) runOnce(ctx context.Context, mode string, seed uint64) (r runMetrics, err error) {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	fleet, err := fakefleet.Start(labDiscovery, labDispatcher, labRunners, labWork, quiet)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	dir, err := os.MkdirTemp("", "frosttide-lab-")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(labPlatform), 0o600); err != nil {
		return r, err
	}
	env, binary := []string{"BALANCER_CONFIG=" + path, "TMPDIR=" + dir, "FROSTTIDE_LOG_LEVEL=warn"}, e.binary
	var otlp *collector.Collector
	switch mode {
	case modeOff:
	case modeOther:
		binary = e.other
	default:
		if otlp, err = collector.Start("127.0.0.1:0", nil); err != nil {
			return r, err
		}
		defer otlp.Kill()
		env = append(env, "OTEL_EXPORTER_OTLP_ENDPOINT=http://"+otlp.Addr, "OTEL_BSP_SCHEDULE_DELAY=500", "OTEL_METRIC_EXPORT_INTERVAL=1000")
	}
	switch mode {
	case modeSampled:
		env = append(env, "OTEL_TRACES_SAMPLER=traceidratio", "OTEL_TRACES_SAMPLER_ARG=0.01")
	case modeHanging:
		otlp.Script(collector.Fault{Hang: true})
	case modeKilled:
		kill := time.AfterFunc(labWarm+e.length/2, otlp.Kill)
		defer kill.Stop()
	}
	p, err := lab.Start(binary, nil, env)
	if err != nil {
		return r, err
	}
	if err = p.Await("http://"+labDispatcher+"/_health", time.Now().Add(10*time.Second)); err != nil {
		return r, fmt.Errorf("%w; log:\n%s", err, p.Kill())
	}
	load := lab.Load{Addr: labDispatcher, Class: "preview-cut", Rate: e.rate, For: e.length, Warm: labWarm, Patient: 5 * time.Second,
		Seed: seed, Most: 2000}
	got := load.Run(ctx)
	cpu, cpuErr := p.CPU()
	memory, memoryErr := p.Memory()
	text := p.Kill()
	if err := errors.Join(cpuErr, memoryErr); err != nil {
		return r, fmt.Errorf("%w; log:\n%s", err, text)
	}
	if strings.Contains(text, "level=error") {
		return r, errors.New(text)
	}
	if otlp != nil {
		if err := otlp.Broken(); err != nil {
			return r, fmt.Errorf("the exporter violated the OTLP protocol: %w", err)
		}
	}
	jobs := float64(max(got.Sent, 1)) * float64(labWarm+e.length) / float64(e.length)
	return runMetrics{service: got.Service(), p50: got.Quantile(50).Seconds() * 1000, p99: got.Quantile(99).Seconds() * 1000,
		cpu: float64(cpu.Microseconds()) / jobs, memory: float64(memory)}, nil
}
