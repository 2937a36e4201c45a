package faults

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// clockFile holds by how many seconds a member's machine's clock is off.
const clockFile = "clock"

// start starts a member's process.
func (f *fleet) start(m *member) error {
	path := filepath.Join(m.dir, "frosttide.toml")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	m.cmd, m.log, m.ended, m.stopped = f.program("serve", "--config", path), &tail{}, make(chan struct{}), false
	m.cmd.Stderr = m.log
	m.cmd.Env = append(m.cmd.Env, "FROSTTIDE_TEST_CLOCK="+filepath.Join(m.dir, clockFile)) // the tests' program reads it
	m.since = f.runners.count()
	if err := m.cmd.Start(); err != nil {
		m.cmd = nil
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // by a signal, mostly
		close(ended)
	}(m.cmd, m.ended)
	return nil
}

// end ends a member's process and waits until it has ended.
func (f *fleet) end(m *member, sig syscall.Signal) {
	if !m.up() {
		return
	}
	if m.stopped {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		m.wakes()
	}
	_ = m.cmd.Process.Signal(sig) // it may have ended
	<-m.ended
	m.cmd = nil
}

// races tells whether a process's log holds a report of the race detector.
func (f *fleet) races() []string {
	var out []string
	for _, m := range f.members {
		if m.log != nil && m.log.has("WARNING: DATA RACE") {
			out = append(out, m.name+" reported a race")
		}
	}
	return out
}
