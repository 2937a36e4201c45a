// Package devcluster starts a whole small cluster scheduler on loopback, from the two programs, with fake runners: for
// the demonstration and for tests. Each machine is a process with an address of its own in a loopback network that the
// cluster locks while it lives, so that several clusters can run side by side.
//
// The command line's demonstration and the tests of frosttide-control use it. A Cluster is for one goroutine at a time;
// its owner closes it.
package devcluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/testkit/fakerunner"
)

// Config describes a cluster.
type Config struct {
	Control  string   // path of the control plane's program
	Data     string   // path of the data plane's program
	Env      []string // of the programs, beside this process's own
	Dir      string   // for the machines' folders and logs
	Cores    int      // machines of the control plane
	Gateways int
	Runners  []fakerunner.Config // one for each agent; the agents' addresses are filled in
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

// Cluster is the machines and the runners.
type Cluster struct {
	cfg         Config
	networkLock net.Listener // held so that no other cluster takes the network
	network     int          // second number of the machines' addresses
	Cores       []*Machine
	Gateways    []*Machine
	Agents      []*Machine
	Runners     []*fakerunner.Runner
	stopRunners context.CancelFunc
	runners     sync.WaitGroup
}

// ErrNoFreeNetwork is returned where every loopback network is locked by another cluster.
var ErrNoFreeNetwork = errors.New("dev cluster: all loopback networks are in use")

// Start starts a cluster, whose control plane founds a new system. It returns once all processes are started; they may
// not serve yet.
func Start(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg}
	if err := c.lockNetwork(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c.stopRunners = stop
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
		if err := c.launch(m, founding); err != nil {
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

// lockNetwork takes the first loopback network that no other cluster holds.
func (c *Cluster) lockNetwork() error {
	for n := firstNetwork; n < firstNetwork+networks; n++ {
		if lock, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", n, lockPort)); err == nil {
			c.networkLock, c.network = lock, n
			return nil
		}
	}
	return ErrNoFreeNetwork
}

// Close ends all processes and runners, and unlocks the network.
func (c *Cluster) Close() {
	c.stopRunners()
	for _, m := range c.machines() {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill() // it may have ended
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

// machines returns all machines.
func (c *Cluster) machines() []*Machine {
	return append(append(append([]*Machine(nil), c.Cores...), c.Gateways...), c.Agents...)
}

// ip returns the address of a machine: class is 0 for the control plane, 1 for gateways and 2 for agents.
func (c *Cluster) ip(class, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, class, index+1)
}

// Seeds returns the operators' addresses that each process is configured with: those of up to three core machines.
func (c *Cluster) Seeds() (out []string) {
	for _, m := range c.Cores[:min(3, len(c.Cores))] {
		out = append(out, m.Control())
	}
	return out
}

// DataDir returns the folder that stands for a core machine's disk.
func (c *Cluster) DataDir(m *Machine) string { return filepath.Join(c.cfg.Dir, m.Name) }

// settings returns a machine's settings file.
func (c *Cluster) settings(m *Machine, start startMode) string {
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nIp = %q\nZone = \"z%s\"\nPortRange = [%d, %d]\nSeeds = [%s]\nBootstrap = %v\nHeartbeatMs = 1500\n", m.Name, m.IP, m.Name[len(m.Name)-1:], firstPort, lastPort,
		`"`+strings.Join(c.Seeds(), `", "`)+`"`, start == founding)
	fmt.Fprintf(&b, "DataDir = %q\n[ListenAddrs]\nControl = %q\nFront = %q\nReadiness = %q\n[FaultTolerance]\nMachines = %d\n[Bounds]\nHoldMaxMs = 6000\nRecoveryS = 6\nGraceS = 6\n",
		c.DataDir(m), m.Control(), m.Front(), net.JoinHostPort(m.IP, fmt.Sprint(readinessPort)), (len(c.Cores)-1)/2)
	return b.String()
}

// Disk says what becomes of a machine's disk before its process is started again.
type Disk bool

// The two kinds of a restart.
const (
	KeepDisk Disk = false
	LoseDisk Disk = true
)

// Restart starts the process of a machine that has ended again.
func (c *Cluster) Restart(m *Machine, disk Disk) error {
	if disk == LoseDisk {
		if err := os.RemoveAll(c.DataDir(m)); err != nil {
			return errors.Wrapf(err, "dev cluster: empty the disk of %s", m.Name)
		}
	}
	return c.launch(m, rejoining)
}

// pollInterval is the time between two checks of a condition that is waited for.
const pollInterval = 20 * time.Millisecond

// WaitFor waits until a condition holds, and tells whether it does in time.
func WaitFor(within time.Duration, condition func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
