package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of every machine; each machine has an address of its own.
const (
	firstPort     = 7380
	lastPort      = 7395
	controlPort   = 8144
	frontPort     = 8149
	readinessPort = 8141
	appPort       = 8152
	lockPort      = 7379
)

// machine is a machine with one process of the system.
type machine struct {
	name, ip, class string
	arguments       []string
	seeds           []string
	bootstrap       bool
	settings        string
	cmd             *exec.Cmd
	done            chan struct{}
	expected        atomic.Bool // the rig has ended the process
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }

// cluster is a small deployment: core, edge and side machines on loopback addresses.
type cluster struct {
	world   *world
	lock    net.Listener
	network string // first three octets
	core    []*machine
	edge    []*machine
	side    []*machine
}

// startCluster starts a deployment with empty disks.
func (w *world) startCluster(core, edge, side int) {
	c := &cluster{world: w}
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d", 60+rand.IntN(60), 1+rand.IntN(250))
		if lock, err := net.Listen("tcp4", fmt.Sprintf("%s.254:%d", c.network, lockPort)); err == nil {
			c.lock = lock
			break
		}
	}
	if c.lock == nil {
		stop("no free loopback network")
	}
	w.cluster = c
	for i := range core {
		c.core = append(c.core, &machine{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.%d", c.network, 10+i), class: "core", arguments: []string{"target/frosttide-control"}})
	}
	for i := range edge {
		c.edge = append(c.edge, &machine{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", c.network, 40+i), class: "edge", arguments: []string{"target/frosttide-data", "carrier"}})
	}
	for i := range side {
		c.side = append(c.side, &machine{name: fmt.Sprintf("side-%d", i+1), ip: fmt.Sprintf("%s.%d", c.network, 70+i), class: "side", arguments: []string{"target/frosttide-data", "companion"}})
	}
	for _, m := range c.all() {
		m.bootstrap = true
		for _, s := range c.core[:min(3, core)] {
			m.seeds = append(m.seeds, s.address(controlPort))
		}
		c.start(m)
	}
}

func (c *cluster) all() []*machine {
	return append(append(append([]*machine(nil), c.core...), c.edge...), c.side...)
}

// settingsOf returns the settings file of a machine, with the keys and the bounds of a small site.
func (c *cluster) settingsOf(m *machine) string {
	var b strings.Builder
	serves := map[string]string{"core": "control_plane", "edge": "edge", "side": "side"}[m.class]
	role := map[string]string{"core": "control", "edge": "carrier", "side": "companion"}[m.class]
	zone := "zone-" + m.name[len(m.name)-1:]
	fmt.Fprintf(&b, "NodeName = %q\nRole = %q\nMachineClass = %q\nServes = [%q]\nIp = %q\nZone = %q\nRegion = \"region-1\"\nPortRange = [%d,%d]\n", m.name, role, m.class, serves, m.ip, zone, firstPort, lastPort)
	fmt.Fprintf(&b, "Seeds = [\"%s\"]\nBootstrap = %v\nCountsForQuorum = %v\nDiscovery = \"local\"\nEntry = \"virtual_ip\"\nHeartbeatMs = 1500\n", strings.Join(m.seeds, `","`), m.bootstrap, m.class == "core")
	b.WriteString("Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\nCommands = \"heartbeat\"\n")
	if m.class == "core" {
		fmt.Fprintf(&b, "DataDir = %q\n", filepath.Join(c.world.dir, "data-"+m.name))
	}
	if m.class == "side" {
		fmt.Fprintf(&b, "app = %q\n", m.address(appPort))
	}
	b.WriteString("[ListenAddrs]\n")
	if m.class == "edge" {
		fmt.Fprintf(&b, "Front = %q\nReadiness = %q\n", m.address(frontPort), m.address(readinessPort))
	} else {
		fmt.Fprintf(&b, "Control = %q\n", m.address(controlPort))
	}
	b.WriteString("[Limits]\nCpuShare = 0.8\nCores = 1\nMemoryMb = 284\nMaxFds = 4096\nLinkMbps = 1000.0\nDiskMb = 128\n[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n")
	b.WriteString("[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = 6\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeMs = 250\nMaxStretchMs = 5000\nRecoveryS = 12\nHoldMaxMs = 10000\n")
	b.WriteString("stop_ms = 400\ngang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfar_x = 1.5\nsave_s = 2\nrestore_ms = 100\n")
	return b.String()
}

// start starts the process of a machine.
func (c *cluster) start(m *machine) {
	m.settings = filepath.Join(c.world.dir, m.name+".toml")
	if err := os.WriteFile(m.settings, []byte(c.settingsOf(m)), 0o600); err != nil {
		stop("settings of %s: %v", m.name, err)
	}
	log, err := os.OpenFile(filepath.Join(c.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		stop("log of %s: %v", m.name, err)
	}
	defer log.Close()
	m.cmd = exec.Command(m.arguments[0], m.arguments[1:]...)
	m.cmd.Env = []string{"FROSTTIDE_NODE_FILE=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		stop("start of %s: %v", m.name, err)
	}
	m.expected.Store(false)
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(m.cmd, m.done)
}

// signal sends a signal to the process of a machine.
func (c *cluster) signal(m *machine, s syscall.Signal) {
	c.world.log("platform: %v to %s", s, m.name)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected.Store(true)
	}
	_ = m.cmd.Process.Signal(s)
}

// endedByItself returns the name of a process that has ended although the rig did not end it.
func (c *cluster) endedByItself() string {
	for _, m := range c.all() {
		if m.done == nil || m.expected.Load() {
			continue
		}
		select {
		case <-m.done:
			return m.name
		default:
		}
	}
	return ""
}

// close ends all processes.
func (c *cluster) close() {
	for _, m := range c.all() {
		if m.done != nil {
			m.expected.Store(true)
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	for _, m := range c.all() {
		if m.done != nil {
			<-m.done
		}
	}
	if keep := os.Getenv("RIG_KEEP"); keep != "" { // logs of the processes, for a look at a failure
		for _, m := range c.all() {
			if data, err := os.ReadFile(filepath.Join(c.world.dir, m.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, m.name+".log"), data, 0o600)
			}
		}
	}
	c.lock.Close()
}

// await polls a condition until it holds or the time is over, and reports whether it held.
func await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(25 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
