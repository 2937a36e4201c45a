package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
	"frosttide/internal/testkit/fakerunner"
	"frosttide/internal/testkit/signalsoak"
)

var (
	soakFor      = flag.Duration("soak", 0, "runs random signal schedules one after the other for this long")
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of the first schedule; incremented for each further one")
	soakLength   = flag.Duration("soak.length", 20*time.Second, "period in which a schedule's signals are sent")
	soakCores    = flag.Int("soak.cores", 5, "core machines")
	soakGateways = flag.Int("soak.gateways", 4, "gateways")
	soakRunners  = flag.Int("soak.runners", 8, "runners, each with an agent")
)

// soakSize is the size of a soak's cluster and load, and the number of faults injected during
// length.
type soakSize struct {
	cores, gateways, runners, clients, restarts, signals int
	length                                               time.Duration
}

// Limits that the platform and the cluster's settings guarantee, and intervals of the soak.
const (
	// graceTime is the time after SIGTERM at which the platform sends SIGKILL.
	graceTime = 6 * time.Second
	// recoveryTime is the time after the last disruption within which the system serves again.
	recoveryTime = 6 * time.Second
	// routeTimeout is how long a client waits for the response to a request.
	routeTimeout = 3 * time.Second
	// stallTime is the scheduling delay of the test process from which on time limits are not
	// checked, because the machine is overloaded.
	stallTime = 100 * time.Millisecond
	// hangupInterval is the time between the signals of a series of SIGHUP.
	hangupInterval = 15 * time.Millisecond
	// invalidPause is the time between two requests that have to be refused.
	invalidPause = 100 * time.Millisecond
	// terminateInterval is the time between the signals of a series of SIGTERM.
	terminateInterval = 60 * time.Millisecond
)

// TestSignalSoak runs random, seeded schedules of signals, restarts and configuration changes
// against the scheduler's processes: members of the control plane, gateways and agents are
// terminated, killed, suspended, restarted in series and told to reread their settings, several at
// once, while clients submit jobs on persistent connections, with unusual texts and with texts that
// have to be refused. By default one short schedule runs;
// -soak runs as many as fit into a time.
func TestSignalSoak(t *testing.T) {
	if *soakFor == 0 {
		t.Parallel()
		runSignalSoak(t, 1, soakSize{cores: 3, gateways: 2, runners: 3, clients: 6, restarts: 8, signals: 12, length: 12 * time.Second})
		return
	}
	deadline := time.Now().Add(*soakFor)
	for seed := *soakSeed; time.Now().Before(deadline); seed++ {
		machines := *soakCores + *soakGateways + *soakRunners
		size := soakSize{cores: *soakCores, gateways: *soakGateways, runners: *soakRunners, clients: 3 * *soakGateways,
			restarts: int(soakLength.Seconds()) + machines/4, signals: int(soakLength.Seconds()) + machines/4, length: *soakLength}
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSignalSoak(t, seed, size) })
	}
}

// soak is the state of one schedule's run.
type soak struct {
	*devcluster.Cluster
	t        *testing.T
	seed     uint64
	began    time.Time
	targets  []*soakTarget
	coreDown chan struct{} // semaphore: bounds the core machines that are down at the same time
	newest   atomic.Int64  // newest version of the configuration that was acknowledged
	stalls   signalsoak.StallProbe

	mu         sync.Mutex
	accepted   map[string]bool // jobs that were acknowledged
	violations []string
}

// soakTarget is a machine together with the soak's record of its process.
type soakTarget struct {
	*devcluster.Machine
	core bool

	mu          sync.Mutex            // guards the fields below; held while the process is signalled or replaced
	running     bool                  // the process should be running and must not exit by itself
	disruptions []signalsoak.Interval // kills until the restart, and pauses: requests may be lost or late
}

// runSignalSoak runs the schedule of a seed and reports the rules that were violated.
func runSignalSoak(t *testing.T, seed uint64, size soakSize) {
	s := startSoak(t, seed, size)
	schedule := signalsoak.Draw(signalsoak.Config{Seed: seed, Targets: len(s.targets), Length: size.length, Restarts: size.restarts, Signals: size.signals})
	clientsCtx, stopClients := context.WithCancel(context.Background())
	var clients, lanes sync.WaitGroup
	clients.Go(func() { s.stalls.Run(clientsCtx) })
	counts := make([]map[string]int, size.clients+size.cores+1)
	clients.Go(func() { counts[size.clients+size.cores] = s.runInvalidClient(clientsCtx) })
	for i := range size.clients {
		clients.Go(func() { counts[i] = s.runClient(clientsCtx, i) })
	}
	for i := range size.cores {
		clients.Go(func() { counts[size.clients+i] = s.runOperator(clientsCtx, i) })
	}
	for target, lane := range schedule.Restarts {
		lanes.Go(func() { s.playRestarts(s.targets[target], lane) })
	}
	for _, a := range schedule.Signals {
		lanes.Go(func() { s.playSignal(s.targets[a.Target], a) })
	}
	lanes.Wait()
	s.requireRecovery()
	stopClients()
	clients.Wait()
	s.requireJobsEnd()
	s.requireRunning()
	total := map[string]int{}
	for _, c := range counts {
		for what, n := range c {
			total[what] += n
		}
	}
	t.Logf("seed %d: %d machines, %d restarts, %d signals, %d jobs accepted, requests %v, version %d, slowest turn %v",
		seed, len(s.targets), size.restarts, size.signals, len(s.accepted), total, s.newest.Load(), s.stalls.Longest())
	for _, finding := range s.violations {
		t.Errorf("seed %d: %s", seed, finding)
	}
}

// startSoak starts a cluster and waits until its configuration is in force.
func startSoak(t *testing.T, seed uint64, size soakSize) *soak {
	t.Helper()
	cfg := devcluster.Config{Control: program("frosttide-control"), Data: program("frosttide-data"), Dir: t.TempDir(), Cores: size.cores, Gateways: size.gateways}
	for i := range size.runners {
		cfg.Runners = append(cfg.Runners, fakerunner.Config{ID: fmt.Sprintf("i-toy%d", i), Service: "toy", Labels: []string{"a", "r1-1"}, CPU: 4000, MemMB: 8192,
			DefaultDuration: 50 * time.Millisecond})
	}
	started, err := devcluster.Start(cfg)
	require.NoError(t, err)
	s := &soak{Cluster: started, t: t, seed: seed, accepted: map[string]bool{}, coreDown: make(chan struct{}, max(1, (size.cores-1)/2))}
	t.Cleanup(func() {
		s.Close()
		if t.Failed() {
			(&cluster{Cluster: started, t: t}).printLogs()
		}
	})
	require.True(t, s.Configure(maxWait), "the configuration is not in force")
	s.newest.Store(1)
	for _, machines := range [][]*devcluster.Machine{s.Cores, s.Gateways, s.Agents} {
		for _, m := range machines {
			s.targets = append(s.targets, &soakTarget{Machine: m, core: len(s.targets) < size.cores, running: true})
		}
	}
	s.began = time.Now()
	return s
}

// reportViolation records a violated rule with the time since the start of the schedule.
func (s *soak) reportViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf("at %.2f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// sleepUntil sleeps until a time after the start of the schedule.
func (s *soak) sleepUntil(at time.Duration) { time.Sleep(time.Until(s.began.Add(at))) }

// playRestarts executes the actions on a target's process in sequence.
func (s *soak) playRestarts(target *soakTarget, actions []signalsoak.Action) {
	for _, a := range actions {
		s.sleepUntil(a.At)
		if target.core { // do not exceed the number of failures that the system tolerates
			s.coreDown <- struct{}{}
		}
		switch a.Kind {
		case signalsoak.Terminate:
			s.terminate(target, 1, a.Length)
		case signalsoak.TerminateSeries:
			s.terminate(target, 1+a.Count, a.Length)
		case signalsoak.Kill:
			s.kill(target, a.Length)
		case signalsoak.StartSeries:
			for range a.Count {
				s.kill(target, a.Length/10)
				time.Sleep(a.Length / 10)
			}
		case signalsoak.Pause:
			s.pause(target, a.Length)
		}
		if target.core {
			<-s.coreDown
		}
	}
}

// beginDisruption records that a target's process is down or suspended until the returned function
// is called.
func (target *soakTarget) beginDisruption() (end func()) {
	target.mu.Lock()
	defer target.mu.Unlock()
	at := len(target.disruptions)
	target.disruptions = append(target.disruptions, signalsoak.Interval{From: time.Now()})
	return func() {
		target.mu.Lock()
		defer target.mu.Unlock()
		target.disruptions[at].Until = time.Now()
	}
}

// wasDisrupted reports whether a disruption of a target overlaps the given interval.
func (target *soakTarget) wasDisrupted(from, until time.Time) bool {
	target.mu.Lock()
	defer target.mu.Unlock()
	return signalsoak.Overlap(target.disruptions, from, until)
}

// restart starts a target's process after a delay.
func (s *soak) restart(target *soakTarget, after time.Duration) {
	time.Sleep(after)
	target.mu.Lock()
	defer target.mu.Unlock()
	if err := s.Restart(target.Machine, devcluster.KeepDisk); err != nil {
		s.t.Error(err)
	}
	target.running = true
}

// setEnding records that a target's process is about to exit, and returns the channel that is
// closed at its exit.
func (target *soakTarget) setEnding() <-chan struct{} {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.running = false
	return target.Done()
}

// kill kills a target's process and restarts it after a delay.
func (s *soak) kill(target *soakTarget, gap time.Duration) {
	end := target.beginDisruption()
	done := target.setEnding()
	target.Signal(syscall.SIGKILL)
	<-done
	end()
	s.restart(target, gap)
}

// terminate sends SIGTERM to a target's process a number of times and restarts the process after a
// delay. The process has to exit by itself within graceTime, with status 0.
func (s *soak) terminate(target *soakTarget, times int, gap time.Duration) {
	done := target.setEnding()
	sentAt := time.Now()
	hadStarted := target.hasStarted() // before, the signal's default action kills the process
	for range times {
		target.Signal(syscall.SIGTERM)
		select {
		case <-done:
		case <-time.After(terminateInterval):
		}
	}
	select {
	case <-done:
	case <-time.After(2 * graceTime):
		s.reportViolation("%s has not exited %v after SIGTERM", target.Name, 2*graceTime)
		target.Signal(syscall.SIGKILL)
		<-done
	}
	took := time.Since(sentAt)
	if state := target.ProcessState(); hadStarted && !state.Success() {
		s.reportViolation("%s exited with %s after SIGTERM, want status 0", target.Name, state)
	}
	if took > graceTime && s.stalls.LongestSince(sentAt) < stallTime {
		s.reportViolation("%s exited %v after SIGTERM, want within the grace period of %v", target.Name, took, graceTime)
	}
	s.restart(target, gap)
}

// pause suspends a target's process for a time with SIGSTOP.
func (s *soak) pause(target *soakTarget, length time.Duration) {
	end := target.beginDisruption()
	target.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	target.Signal(syscall.SIGCONT)
	end()
}

// playSignal sends a signal to the process that a target has at that time, or changes the
// configuration.
func (s *soak) playSignal(target *soakTarget, a signalsoak.Action) {
	s.sleepUntil(a.At)
	switch a.Kind {
	case signalsoak.Hangup, signalsoak.HangupInvalid:
		s.sendHangups(target, a)
	case signalsoak.Change:
		for range a.Count {
			s.changeConfig()
		}
	}
}

// sendHangups sends SIGHUP a number of times. For HangupInvalid the settings file is replaced by an
// invalid one meanwhile, and restored afterwards.
func (s *soak) sendHangups(target *soakTarget, a signalsoak.Action) {
	if a.Kind == signalsoak.HangupInvalid {
		path := target.SettingsFile()
		valid, err := os.ReadFile(path)
		if err == nil {
			target.mu.Lock()
			err = os.WriteFile(path, []byte("NodeName = "), 0o600)
			target.mu.Unlock()
			defer func() { _ = os.WriteFile(path, valid, 0o600) }()
		}
		if err != nil {
			s.t.Error(err)
		}
	}
	for range a.Count {
		target.mu.Lock()
		if target.hasStarted() {
			target.Signal(syscall.SIGHUP)
		}
		target.mu.Unlock()
		time.Sleep(hangupInterval)
	}
}

// hasStarted reports whether a target's process has logged that it has started. Before, the default
// actions of signals are in effect. The caller holds the lock.
func (target *soakTarget) hasStarted() bool {
	log := target.Log()
	return strings.Contains(log[max(strings.LastIndex(log, devcluster.StartLine), 0):], "Process begins")
}

// changeConfig sends a configuration patch to random core machines until it is acknowledged or
// rejected because another one was applied.
func (s *soak) changeConfig() {
	version := int(s.newest.Load())
	body := patchBody(version+1, 1000+rand.IntN(2000))
	s.sendInvalidConfig(s.Cores[rand.IntN(len(s.Cores))], version)
	devcluster.WaitFor(recoveryTime, func() bool {
		switch patchConfig(s.Cores[rand.IntN(len(s.Cores))].Control(), version, body) {
		case http.StatusOK:
			for old := s.newest.Load(); old < int64(version+1) && !s.newest.CompareAndSwap(old, int64(version+1)); old = s.newest.Load() {
			}
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			return true
		}
		return false
	})
}

// runClient submits jobs on one connection after the other until the context ends. It returns the
// number of requests by outcome.
func (s *soak) runClient(ctx context.Context, number int) map[string]int {
	firstGateway := len(s.Cores)
	gateway := number
	id, serial := "", 0
	client := &signalsoak.Client{
		Timeout: routeTimeout + time.Second,
		Pause:   20 * time.Millisecond,
		Pick: func() (int, string) {
			gateway++
			g := gateway % len(s.Gateways)
			return firstGateway + g, s.Gateways[g].Front()
		},
	}
	client.Next = func(last *signalsoak.Outcome) *signalsoak.Request {
		if last == nil || last.Status/100 == 2 || last.Status/100 == 4 {
			serial++
			id = fmt.Sprintf("%08x%08x", number+1, serial)
		}
		if last != nil {
			s.checkOutcome(last)
		}
		return &signalsoak.Request{ID: id, Text: []byte(post("/previews/"+id, soakJob))}
	}
	client.Run(ctx)
	return countOutcomes("", client)
}

// runOperator reads the configuration at a core machine on one connection after the other until the
// context ends. It returns the number of requests by outcome.
func (s *soak) runOperator(ctx context.Context, core int) map[string]int {
	client := &signalsoak.Client{
		Timeout: routeTimeout,
		Pause:   20 * time.Millisecond,
		Pick:    func() (int, string) { return core, s.Cores[core].Control() },
		Next: func(last *signalsoak.Outcome) *signalsoak.Request {
			if last != nil {
				s.checkOutcome(last)
			}
			return &signalsoak.Request{ID: "the configuration", Text: []byte("GET /v1/config HTTP/1.1\r\nHost: core\r\n\r\n")}
		},
	}
	client.Run(ctx)
	return countOutcomes("operators: ", client)
}

// countOutcomes counts a client's connections, and its requests by outcome, under prefixed names.
func countOutcomes(prefix string, client *signalsoak.Client) map[string]int {
	counts := map[string]int{prefix + "connections": client.Connections}
	for what, n := range signalsoak.CountOutcomes(client) {
		counts[prefix+what] = n
	}
	return counts
}

// checkOutcome reports a violation if a request that the process had read did not get a complete
// response in time, unless the process was killed or suspended meanwhile.
func (s *soak) checkOutcome(o *signalsoak.Outcome) {
	if o.Status/100 == 2 && o.Target >= len(s.Cores) {
		s.mu.Lock()
		s.accepted[o.ID] = true
		s.mu.Unlock()
	}
	target := s.targets[o.Target]
	if o.Ending == "" || o.Ending == signalsoak.Unread || target.wasDisrupted(o.SentAt, o.EndedAt) {
		return
	}
	if o.Ending == signalsoak.Late && s.stalls.LongestSince(o.SentAt) >= stallTime {
		return
	}
	s.reportViolation("%s: %s, sent at %.2f s: %s (%v)", target.Name, o.ID, o.SentAt.Sub(s.began).Seconds(), o.Ending, o.Err)
}

// requireRecovery checks that every gateway accepts jobs within recoveryTime after the last
// disruption.
func (s *soak) requireRecovery() {
	start := time.Now()
	for i := range s.Gateways {
		id := fmt.Sprintf("ffffffff%08x", i)
		served := devcluster.WaitFor(maxWait, func() bool { return s.Submit(i, "previews", id, soakJob) })
		if took := time.Since(start); !served || took > recoveryTime && s.stalls.LongestSince(start) < stallTime {
			s.reportViolation("%s accepts jobs %v after the last disruption (accepted: %t), want within %v", s.Gateways[i].Name, took, served, recoveryTime)
		}
	}
}

// requireJobsEnd checks that each acknowledged job is known and reaches a final state.
func (s *soak) requireJobsEnd() {
	states := map[string]int{}
	for id := range s.accepted {
		state := ""
		devcluster.WaitFor(maxWait, func() bool {
			state = s.State(rand.IntN(len(s.Gateways)), "previews", id)
			return state == "completed" || state == "failed"
		})
		states[state]++
		if state != "completed" && state != "failed" {
			s.reportViolation("acknowledged job %s: got state %q, want completed or failed", id, state)
		}
	}
	s.t.Logf("seed %d: jobs' states %v", s.seed, states)
}

// requireRunning checks that no process has exited by itself, that every core machine catches up
// with the acknowledged configuration, and that no process reported a data race.
func (s *soak) requireRunning() {
	for _, target := range s.targets {
		select {
		case <-target.Done():
			s.reportViolation("%s exited by itself: %s", target.Name, target.ProcessState())
		default:
		}
	}
	for _, m := range s.Cores {
		if !devcluster.WaitFor(maxWait, func() bool { return int64(configVersion(m.Control())) >= s.newest.Load() }) {
			s.reportViolation("%s: got configuration version %d, want at least the acknowledged version %d", m.Name, configVersion(m.Control()), s.newest.Load())
		}
	}
	if s.t.Failed() {
		return
	}
	for _, target := range s.targets {
		if strings.Contains(target.Log(), "DATA RACE") {
			s.reportViolation("%s: the race detector reported a data race", target.Name)
		}
	}
}
