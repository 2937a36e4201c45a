package faults

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// clockFile is the name of the file with the offset of a member's clock, in seconds.
const clockFile = "clock"

// start writes a member's settings and starts its process.
func (f *fleet) start(m *member) error {
	path := filepath.Join(m.dir, "frosttide.toml")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	m.cmd, m.log, m.ended, m.stalled = f.program("serve", "--config", path), &tail{}, make(chan struct{}), false
	m.cmd.Stderr = m.log
	// Only the test binary reads the clock file.
	m.cmd.Env = append(m.cmd.Env, "FROSTTIDE_TEST_CLOCK="+filepath.Join(m.dir, clockFile))
	m.sentBefore = f.runners.count()
	if err := m.cmd.Start(); err != nil {
		m.cmd = nil
		return err
	}
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // mostly ended by a signal, which is no failure
		close(ended)
	}(m.cmd, m.ended)
	return nil
}

// end sends a signal to a member's process and waits until it has ended. A stalled one is resumed
// first.
func (f *fleet) end(m *member, sig syscall.Signal) {
	if !m.up() {
		return
	}
	if m.stalled {
		_ = m.cmd.Process.Signal(syscall.SIGCONT)
		m.markResumed()
	}
	_ = m.cmd.Process.Signal(sig) // it may have ended already
	<-m.ended
	m.cmd = nil
}

// races returns a violation for each member whose log holds a report of the race detector.
func (f *fleet) races() []string {
	var out []string
	for _, m := range f.members {
		if m.log != nil && m.log.has("WARNING: DATA RACE") {
			out = append(out, m.name+" reported a race")
		}
	}
	return out
}
