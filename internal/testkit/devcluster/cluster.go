// Package devcluster runs a complete small cluster on loopback for demonstrations and tests:
// processes of the control plane and the data plane, started from the two programs, and fake
// runners. Each machine is one process with its own IP address. The addresses belong to a
// 127.N.0.0/16 network that the cluster locks until it is closed, so that several clusters can run
// on one host.
//
// It is used by "frosttide-control demo" and by the tests of frosttide-control. A Cluster is not
// safe for concurrent use. Its owner must call Close.
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

// Config holds the parameters of a cluster.
type Config struct {
	Control  string              // path of the frosttide-control binary
	Data     string              // path of the frosttide-data binary
	Env      []string            // KEY=VALUE, added to this process's environment for the machines
	Dir      string              // directory for the machines' settings, data and logs
	Cores    int                 // number of control plane machines
	Gateways int                 // number of gateway machines
	Runners  []fakerunner.Config // one for each agent machine; Start sets their Agent
}

const (
	firstPort     = 7380
	lastPort      = 7395
	controlPort   = 8144
	frontPort     = 8149
	readinessPort = 8141
	lockPort      = 7946
	firstNetwork  = 140 // second octet of the first loopback network that is tried
	networks      = 60  // number of networks that are tried
)

// Cluster is a running cluster: the processes of its machines, and its fake runners.
type Cluster struct {
	cfg         Config
	networkLock net.Listener // open while the cluster holds its network
	network     int          // second octet of the machines' addresses
	Cores       []*Machine
	Gateways    []*Machine
	Agents      []*Machine
	Runners     []*fakerunner.Runner
	stopRunners context.CancelFunc
	runners     sync.WaitGroup
}

// ErrNoFreeNetwork is returned by Start if other clusters hold all loopback networks.
var ErrNoFreeNetwork = errors.New("dev cluster: all loopback networks are in use")

// Start starts a cluster whose control plane bootstraps a new system. It returns once all processes
// are started, possibly before they serve. It returns ErrNoFreeNetwork, or the error of the first
// process that can't be started.
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
		if err := c.launch(m, bootstrapSystem); err != nil {
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

// lockNetwork locks the first loopback network that no other cluster holds, by listening on an
// address of it.
func (c *Cluster) lockNetwork() error {
	for n := firstNetwork; n < firstNetwork+networks; n++ {
		if lock, err := net.Listen("tcp4", fmt.Sprintf("127.%d.255.1:%d", n, lockPort)); err == nil {
			c.networkLock, c.network = lock, n
			return nil
		}
	}
	return ErrNoFreeNetwork
}

// Close kills all processes, waits for their exit, stops the runners and unlocks the network.
func (c *Cluster) Close() {
	c.stopRunners()
	for _, m := range c.machines() {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill() // fails if the process has exited
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

// machines returns the machines of all roles.
func (c *Cluster) machines() []*Machine {
	return append(append(append([]*Machine(nil), c.Cores...), c.Gateways...), c.Agents...)
}

// ip returns the IP address of a machine: role is 0 for the control plane, 1 for gateways and 2 for
// agents.
func (c *Cluster) ip(role, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network, role, index+1)
}

// Seeds returns the Control addresses (host:port) that each process has in its setting Seeds: those
// of the first three control plane machines at most.
func (c *Cluster) Seeds() (out []string) {
	for _, m := range c.Cores[:min(3, len(c.Cores))] {
		out = append(out, m.Control())
	}
	return out
}

// DataDir returns the directory in which a control plane machine keeps its persistent state.
func (c *Cluster) DataDir(m *Machine) string { return filepath.Join(c.cfg.Dir, m.Name) }

// settings returns the content of a machine's settings file, in TOML.
func (c *Cluster) settings(m *Machine, start startMode) string {
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nIp = %q\nZone = \"z%s\"\nPortRange = [%d, %d]\nSeeds = [%s]\nBootstrap = %v\nHeartbeatMs = 1500\n", m.Name, m.IP, m.Name[len(m.Name)-1:], firstPort, lastPort,
		`"`+strings.Join(c.Seeds(), `", "`)+`"`, start == bootstrapSystem)
	fmt.Fprintf(&b, "DataDir = %q\n[ListenAddrs]\nControl = %q\nFront = %q\nReadiness = %q\n[FaultTolerance]\nMachines = %d\n[Bounds]\nHoldMaxMs = 6000\nRecoveryS = 6\nGraceS = 6\n",
		c.DataDir(m), m.Control(), m.Front(), net.JoinHostPort(m.IP, fmt.Sprint(readinessPort)), (len(c.Cores)-1)/2)
	return b.String()
}

// Disk says whether a machine keeps its persistent state over a restart.
type Disk bool

// The values of Disk.
const (
	KeepDisk Disk = false // the process recovers from its data directory
	LoseDisk Disk = true  // the data directory is removed first, as if the disk had failed
)

// Restart starts a machine's process again after it has exited.
func (c *Cluster) Restart(m *Machine, disk Disk) error {
	if disk == LoseDisk {
		if err := os.RemoveAll(c.DataDir(m)); err != nil {
			return errors.Wrapf(err, "dev cluster: empty the disk of %s", m.Name)
		}
	}
	return c.launch(m, joinSystem)
}

// pollInterval is the interval between two checks of WaitFor.
const pollInterval = 20 * time.Millisecond

// WaitFor polls a condition every 20 ms and reports whether it held within a time.
func WaitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}
