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
	Gateways int
	Runners  []fakerunner.Config // one machine each; their companions' addresses are filled in
}

const (
	firstPort     = 7380
	lastPort      = 7395
	controlPort   = 8144
	frontPort     = 8149
	readinessPort = 8141
	lockPort      = 7946
	firstNetwork  = 140 // second number of the loopback networks that are tried
	networks      = 60
)

// Machine is a machine with its process.
type Machine struct {
	Name         string
	IP           string
	command      []string
	settingsFile string
	logFile      string
	cmd          *exec.Cmd
	done         chan struct{}
}

// Control is the machine's operator's or runner's address.
func (m *Machine) Control() string { return net.JoinHostPort(m.IP, fmt.Sprint(controlPort)) }

// Front is the clients' address of a carrier.
func (m *Machine) Front() string { return net.JoinHostPort(m.IP, fmt.Sprint(frontPort)) }

// Log returns what the machine's processes have written.
func (m *Machine) Log() string {
	data, err := os.ReadFile(m.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// Cluster is the machines. Its owner closes it.
type Cluster struct {
	cfg         Config
	networkLock net.Listener
	network     int
	Cores       []*Machine
	Gateways    []*Machine
	Agents      []*Machine
	Runners     []*fakerunner.Runner
	stop        context.CancelFunc
	runners     sync.WaitGroup
}

// errNoFreeNetwork is returned where every loopback network is taken.
var errNoFreeNetwork = errors.New("small system: all loopback networks for it are in use")

// Start starts a system.
func Start(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg}
	for n := firstNetwork; n < firstNetwork+networks && c.networkLock == nil; n++ {
		if lock, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", n, lockPort)); err == nil {
			c.networkLock, c.network = lock, n
		}
	}
	if c.networkLock == nil {
		return nil, errNoFreeNetwork
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	for i := range cfg.Cores {
		c.Cores = append(c.Cores, &Machine{Name: fmt.Sprintf("core-%d", i), IP: c.ip(0, i), command: []string{cfg.Control}})
	}
	for i := range cfg.Gateways {
		c.Gateways = append(c.Gateways, &Machine{Name: fmt.Sprintf("edge-%d", i), IP: c.ip(1, i), command: []string{cfg.Data, "carrier"}})
	}
	for i := range cfg.Runners {
		c.Agents = append(c.Agents, &Machine{Name: fmt.Sprintf("side-%d", i), IP: c.ip(2, i), command: []string{cfg.Data, "companion"}})
	}
	for _, m := range c.machines() {
		if err := c.launch(m, true); err != nil {
			c.Close()
			return nil, err
		}
	}
	for i, r := range cfg.Runners {
		r.Agent = c.Agents[i].Control()
		runner := fakerunner.New(r)
		c.Runners = append(c.Runners, runner)
		c.runners.Go(func() { runner.Serve(ctx) })
	}
	return c, nil
}

func (c *Cluster) machines() []*Machine {
	return append(append(append([]*Machine(nil), c.Cores...), c.Gateways...), c.Agents...)
}

func (c *Cluster) ip(class, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, class, index+1)
}

// Seeds returns the operators' addresses that processes are told of.
func (c *Cluster) Seeds() (out []string) {
	for _, m := range c.Cores[:min(3, len(c.Cores))] {
		out = append(out, m.Control())
	}
	return out
}

// settings returns a machine's settings file.
func (c *Cluster) settings(m *Machine, bootstrap bool) string {
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nIp = %q\nZone = \"z%s\"\nPortRange = [%d, %d]\nSeeds = [%s]\nBootstrap = %v\nHeartbeatMs = 1500\n", m.Name, m.IP, m.Name[len(m.Name)-1:], firstPort, lastPort,
		`"`+strings.Join(c.Seeds(), `", "`)+`"`, bootstrap)
	fmt.Fprintf(&b, "DataDir = %q\n[ListenAddrs]\nControl = %q\nFront = %q\nReadiness = %q\n[FaultTolerance]\nMachines = %d\n[Bounds]\nHoldMaxMs = 6000\nRecoveryS = 6\nGraceS = 6\n",
		c.DataDir(m), m.Control(), m.Front(), net.JoinHostPort(m.IP, fmt.Sprint(readinessPort)), (len(c.Cores)-1)/2)
	return b.String()
}

// DataDir returns the folder of a core machine's disk.
func (c *Cluster) DataDir(m *Machine) string { return filepath.Join(c.cfg.Dir, m.Name) }

// launch starts a machine's process.
func (c *Cluster) launch(m *Machine, bootstrap bool) error {
	m.settingsFile, m.logFile = filepath.Join(c.cfg.Dir, m.Name+".toml"), filepath.Join(c.cfg.Dir, m.Name+".log")
	if err := os.WriteFile(m.settingsFile, []byte(c.settings(m, bootstrap)), 0o600); err != nil {
		return errors.Wrap(err, "small system: a settings file can't be written")
	}
	log, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "small system: a log can't be opened")
	}
	defer log.Close()
	m.cmd = exec.Command(m.command[0], m.command[1:]...)
	m.cmd.Env = append(append(os.Environ(), c.cfg.Env...), "FROSTTIDE_NODE_FILE="+m.settingsFile)
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
func (c *Cluster) Kill(m *Machine) {
	_ = m.cmd.Process.Kill()
	<-m.done
}

// Pause has a machine's process stand still until Continue.
func (c *Cluster) Pause(m *Machine) error {
	return errors.Wrap(m.cmd.Process.Signal(syscall.SIGSTOP), "small system: a process can't be stopped")
}

// Continue has a process that stands still go on.
func (c *Cluster) Continue(m *Machine) error {
	return errors.Wrap(m.cmd.Process.Signal(syscall.SIGCONT), "small system: a process can't be continued")
}

// Terminate asks a machine's process to end and returns its exit status.
func (c *Cluster) Terminate(m *Machine) int {
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	<-m.done
	return m.cmd.ProcessState.ExitCode()
}

// Restart starts a machine's process again, with an empty disk where told.
func (c *Cluster) Restart(m *Machine, wipe bool) error {
	if wipe {
		if err := os.RemoveAll(c.DataDir(m)); err != nil {
			return errors.Wrap(err, "small system: a folder can't be emptied")
		}
	}
	return c.launch(m, false)
}

// Close ends all machines.
func (c *Cluster) Close() {
	c.stop()
	for _, m := range c.machines() {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
		}
	}
	for _, m := range c.machines() {
		if m.done != nil {
			<-m.done
		}
	}
	c.runners.Wait()
	c.networkLock.Close()
}

// pollInterval is the pause between looks at what is waited for.
const pollInterval = 20 * time.Millisecond

// WaitFor waits until something holds, and tells whether it does in time.
func WaitFor(within time.Duration, condition func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
