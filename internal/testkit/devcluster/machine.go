package devcluster

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Machine is a machine of the cluster: an IP address, and the process that runs there.
type Machine struct {
	Name         string // the role and an index, such as core-0
	IP           string
	command      []string // program and arguments
	settingsFile string
	logFile      string
	cmd          *exec.Cmd
	done         chan struct{} // closed once the process has exited
}

// StartLine is the line that is written to a machine's log before each start of its process.
const StartLine = "--- the process is started"

// startMode says how a control plane process starts with an empty data directory.
type startMode int

const (
	bootstrapSystem startMode = iota // it bootstraps a new system
	joinSystem                       // it joins the existing system
)

// Control returns the address (host:port) that serves the operators' API or, on an agent, the
// runner's heartbeats.
func (m *Machine) Control() string { return net.JoinHostPort(m.IP, fmt.Sprint(controlPort)) }

// Front returns the address (host:port) at which a gateway serves clients.
func (m *Machine) Front() string { return net.JoinHostPort(m.IP, fmt.Sprint(frontPort)) }

// Log returns the log of all processes of the machine, or the text of the error if it can't be
// read.
func (m *Machine) Log() string {
	data, err := os.ReadFile(m.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// launch writes a machine's settings file and starts its process. The output is appended to its
// log.
func (c *Cluster) launch(m *Machine, start startMode) error {
	m.settingsFile, m.logFile = filepath.Join(c.cfg.Dir, m.Name+".toml"), filepath.Join(c.cfg.Dir, m.Name+".log")
	if err := os.WriteFile(m.settingsFile, []byte(c.settings(m, start)), 0o600); err != nil {
		return errors.Wrapf(err, "dev cluster: write the settings of %s", m.Name)
	}
	log, err := os.OpenFile(m.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "dev cluster: open the log of %s", m.Name)
	}
	defer log.Close() // the process has its own file descriptor
	if _, err := fmt.Fprintln(log, StartLine); err != nil {
		return errors.Wrapf(err, "dev cluster: write the log of %s", m.Name)
	}
	m.cmd = exec.Command(m.command[0], m.command[1:]...)
	m.cmd.Env = append(append(os.Environ(), c.cfg.Env...), "FROSTTIDE_NODE_FILE="+m.settingsFile)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	if err := m.cmd.Start(); err != nil {
		return errors.Wrapf(err, "dev cluster: start %s", m.Name)
	}
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait() // callers read the exit status from the command
		close(done)
	}(m.cmd, m.done)
	return nil
}

// Kill sends SIGKILL to a machine's process and waits for its exit.
func (c *Cluster) Kill(m *Machine) {
	_ = m.cmd.Process.Kill() // fails if the process has exited
	<-m.done
}

// Signal sends a signal to the machine's process. It does nothing if the process has exited.
func (m *Machine) Signal(signal syscall.Signal) { _ = m.cmd.Process.Signal(signal) }

// Done returns a channel that is closed once the machine's current process has exited.
func (m *Machine) Done() <-chan struct{} { return m.done }

// ProcessState returns the exit state of the machine's process. It may be called once Done is
// closed.
func (m *Machine) ProcessState() *os.ProcessState { return m.cmd.ProcessState }

// SettingsFile returns the path of the machine's settings file, for tests that edit and reload it.
func (m *Machine) SettingsFile() string { return m.settingsFile }

// Pause suspends a machine's process with SIGSTOP until Continue.
func (c *Cluster) Pause(m *Machine) error {
	return errors.Wrapf(m.cmd.Process.Signal(syscall.SIGSTOP), "dev cluster: pause %s", m.Name)
}

// Continue resumes a paused process with SIGCONT.
func (c *Cluster) Continue(m *Machine) error {
	return errors.Wrapf(m.cmd.Process.Signal(syscall.SIGCONT), "dev cluster: continue %s", m.Name)
}

// Terminate sends SIGTERM to a machine's process, waits for its exit and returns the exit status.
func (c *Cluster) Terminate(m *Machine) int {
	_ = m.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has exited
	<-m.done
	return m.cmd.ProcessState.ExitCode()
}
