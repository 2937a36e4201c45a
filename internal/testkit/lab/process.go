package lab

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Process is a running program under test. Its stderr is kept in memory.
type Process struct {
	cmd *exec.Cmd
	log bytes.Buffer
}

// Start starts a program with the given arguments. env is its whole environment; nil means the
// environment of this process.
func Start(binary string, args, env []string) (*Process, error) {
	p := &Process{cmd: exec.Command(binary, args...)}
	p.cmd.Env, p.cmd.Stderr = env, &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the program: %w", err)
	}
	return p, nil
}

// Await polls a health check until it returns status 200. It returns an error if the deadline
// passes first.
func (p *Process) Await(url string, deadline time.Time) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for time.Now().Before(deadline) {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(5 * time.Millisecond) // poll interval
	}
	return errors.New("the program did not become healthy before the deadline")
}

// Memory returns the current resident memory in KiB: VmRSS of proc(5).
func (p *Process) Memory() (int64, error) { return p.status("VmRSS:") }

// CPU returns the CPU time used so far by the process's existing threads; the Go runtime ends no
// threads, so none is missed. It reads the first field of schedstat (sched-stats in the kernel's
// documentation), in nanoseconds: the hundredths of a second of proc(5) are too coarse for a run of
// seconds.
func (p *Process) CPU() (total time.Duration, err error) { return CPU(p.cmd.Process.Pid) }

// CPU returns the CPU time used so far by the existing threads of any process, as Process.CPU does.
func CPU(pid int) (total time.Duration, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, errors.Join(err, errors.New("the process has no readable threads"))
	}
	for _, path := range threads {
		text, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		n, err := strconv.ParseInt(strings.Fields(string(text))[0], 10, 64)
		if err != nil {
			return 0, err
		}
		total += time.Duration(n)
	}
	return total, nil
}

// Kill kills the program, waits for its end and returns what it wrote to stderr.
func (p *Process) Kill() string {
	_ = p.cmd.Process.Kill() // it may have ended already
	_ = p.cmd.Wait()         // reports the signal
	return p.log.String()
}

// Peak returns the peak resident memory in KiB: VmHWM of proc(5).
func (p *Process) Peak() (int64, error) { return p.status("VmHWM:") }

// Written returns the bytes that the program has passed to write calls, and those that it caused to
// be sent to storage: wchar and write_bytes of proc(5).
func (p *Process) Written() (all, disk int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.cmd.Process.Pid))
	if err != nil {
		return 0, 0, err
	}
	for name, into := range map[string]*int64{"wchar:": &all, "write_bytes:": &disk} {
		for line := range strings.Lines(string(text)) {
			if rest, ok := strings.CutPrefix(line, name); ok {
				if *into, err = strconv.ParseInt(strings.TrimSpace(rest), 10, 64); err != nil {
					return 0, 0, err
				}
			}
		}
	}
	return all, disk, nil
}

// Descriptors returns the number of open file descriptors; 0 once the process has ended.
func (p *Process) Descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(open)
}

// status returns the value of a field of /proc/PID/status; name includes the colon.
func (p *Process) status(name string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("the process's status has no field %s", name)
}
