// Package devcluster starts a whole small cluster scheduler on loopback, from the two programs, with toy
// runners: for the demonstration and for tests. Each machine has an address of its own in a loopback
// network that the system holds while it lives.
package devcluster

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/testkit/fakerunner"
)

// Config says what is started.
type Config struct {
	Control  string // the control plane's program
	Data     string // the data plane's program
	Env      []string
	Dir      string // for folders and logs
	Cores    int
	Carriers int
	Runners  []fakerunner.Config // one machine each; their companions' addresses are filled in
}

const (
	firstPort     = 7380
	lastPort      = 7395
	controlPort   = 8144
	frontPort     = 8149
	readinessPort = 8141
	holdPort      = 7946
	firstNetwork  = 140 // second number of the loopback networks that are tried
	networks      = 60
)

// Machine is a machine with its process.
type Machine struct {
	Name string
	IP   string
	role []string
	file string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

// Control is the machine's operator's or runner's address.
func (m *Machine) Control() string { return net.JoinHostPort(m.IP, fmt.Sprint(controlPort)) }

// Front is the clients' address of a carrier.
func (m *Machine) Front() string { return net.JoinHostPort(m.IP, fmt.Sprint(frontPort)) }

// Log returns what the machine's processes have written.
func (m *Machine) Log() string {
	data, err := os.ReadFile(m.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// System is the machines. Its owner closes it.
type System struct {
	cfg      Config
	held     net.Listener
	network  int
	Cores    []*Machine
	Carriers []*Machine
	Sides    []*Machine
	Runners  []*fakerunner.Runner
	stop     context.CancelFunc
	runners  sync.WaitGroup
}

// errNetworks is returned where every loopback network is taken.
var errNetworks = errors.New("small system: all loopback networks for it are in use")

// Start starts a system.
func Start(cfg Config) (*System, error) {
	s := &System{cfg: cfg}
	for n := firstNetwork; n < firstNetwork+networks && s.held == nil; n++ {
		if held, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", n, holdPort)); err == nil {
			s.held, s.network = held, n
		}
	}
	if s.held == nil {
		return nil, errNetworks
	}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	for i := range cfg.Cores {
		s.Cores = append(s.Cores, &Machine{Name: fmt.Sprintf("core-%d", i), IP: s.ip(0, i), role: []string{cfg.Control}})
	}
	for i := range cfg.Carriers {
		s.Carriers = append(s.Carriers, &Machine{Name: fmt.Sprintf("edge-%d", i), IP: s.ip(1, i), role: []string{cfg.Data, "carrier"}})
	}
	for i := range cfg.Runners {
		s.Sides = append(s.Sides, &Machine{Name: fmt.Sprintf("side-%d", i), IP: s.ip(2, i), role: []string{cfg.Data, "companion"}})
	}
	for _, m := range s.all() {
		if err := s.launch(m, true); err != nil {
			s.Close()
			return nil, err
		}
	}
	for i, r := range cfg.Runners {
		r.Companion = s.Sides[i].Control()
		runner := fakerunner.New(r)
		s.Runners = append(s.Runners, runner)
		s.runners.Go(func() { runner.Serve(ctx) })
	}
	return s, nil
}

func (s *System) all() []*Machine {
	return append(append(append([]*Machine(nil), s.Cores...), s.Carriers...), s.Sides...)
}

func (s *System) ip(class, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network, class, index+1)
}

// Seeds returns the operators' addresses that processes are told of.
func (s *System) Seeds() (out []string) {
	for _, m := range s.Cores[:min(3, len(s.Cores))] {
		out = append(out, m.Control())
	}
	return out
}

// settings returns a machine's settings file.
func (s *System) settings(m *Machine, bootstrap bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nIp = %q\nZone = \"z%s\"\nPortRange = [%d, %d]\nSeeds = [%s]\nBootstrap = %v\nHeartbeatMs = 1500\n", m.Name, m.IP, m.Name[len(m.Name)-1:], firstPort, lastPort,
		`"`+strings.Join(s.Seeds(), `", "`)+`"`, bootstrap)
	fmt.Fprintf(&b, "DataDir = %q\n[ListenAddrs]\nControl = %q\nFront = %q\nReadiness = %q\n[FaultTolerance]\nMachines = %d\n[Bounds]\nHoldMaxMs = 6000\nRecoveryS = 6\nGraceS = 6\n",
		s.DataDir(m), m.Control(), m.Front(), net.JoinHostPort(m.IP, fmt.Sprint(readinessPort)), (len(s.Cores)-1)/2)
	return b.String()
}

// DataDir returns the folder of a core machine's disk.
func (s *System) DataDir(m *Machine) string { return filepath.Join(s.cfg.Dir, m.Name) }

// launch starts a machine's process.
func (s *System) launch(m *Machine, bootstrap bool) error {
	m.file, m.log = filepath.Join(s.cfg.Dir, m.Name+".toml"), filepath.Join(s.cfg.Dir, m.Name+".log")
	if err := os.WriteFile(m.file, []byte(s.settings(m, bootstrap)), 0o600); err != nil {
		return errors.Wrap(err, "small system: a settings file can't be written")
	}
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "small system: a log can't be opened")
	}
	defer log.Close()
	m.cmd = exec.Command(m.role[0], m.role[1:]...)
	m.cmd.Env = append(append(os.Environ(), s.cfg.Env...), "FROSTTIDE_NODE_FILE="+m.file)
	m.cmd.Stdout, m.cmd.Stderr = log, io.Writer(log)
	if err := m.cmd.Start(); err != nil {
		return errors.Wrapf(err, "small system: %s can't be started", m.Name)
	}
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.cmd, m.done)
	return nil
}

// Kill ends a machine's process at once.
func (s *System) Kill(m *Machine) {
	_ = m.cmd.Process.Kill()
	<-m.done
}

// Pause has a machine's process stand still until Continue.
func (s *System) Pause(m *Machine) error {
	return errors.Wrap(m.cmd.Process.Signal(syscall.SIGSTOP), "small system: a process can't be stopped")
}

// Continue has a process that stands still go on.
func (s *System) Continue(m *Machine) error {
	return errors.Wrap(m.cmd.Process.Signal(syscall.SIGCONT), "small system: a process can't be continued")
}

// Terminate asks a machine's process to end and returns its exit status.
func (s *System) Terminate(m *Machine) int {
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	<-m.done
	return m.cmd.ProcessState.ExitCode()
}

// Restart starts a machine's process again, with an empty disk where told.
func (s *System) Restart(m *Machine, wipe bool) error {
	if wipe {
		if err := os.RemoveAll(s.DataDir(m)); err != nil {
			return errors.Wrap(err, "small system: a folder can't be emptied")
		}
	}
	return s.launch(m, false)
}

// Close ends all machines.
func (s *System) Close() {
	s.stop()
	for _, m := range s.all() {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
		}
	}
	for _, m := range s.all() {
		if m.done != nil {
			<-m.done
		}
	}
	s.runners.Wait()
	s.held.Close()
}

// waitPause is the pause between looks at what is waited for.
const waitPause = 20 * time.Millisecond

// Wait waits until something holds, and tells whether it does in time.
func Wait(within time.Duration, holds func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(waitPause) {
		if holds() {
			return true
		}
	}
	return holds()
}
