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

// Process is a program under test.
type Process struct {
	cmd *exec.Cmd
	log bytes.Buffer
}

// Start starts a program with an environment of its own.
func Start(binary string, args, env []string) (*Process, error) {
	p := &Process{cmd: exec.Command(binary, args...)}
	p.cmd.Env, p.cmd.Stderr = env, &p.log
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the program: %w", err)
	}
	return p, nil
}

// Await waits until a health check answers 200, at most until the deadline.
func (p *Process) Await(url string, by time.Time) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for time.Now().Before(by) {
		resp, err := client.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(5 * time.Millisecond) // between two looks
	}
	return errors.New("the program did not come up")
}

// Memory returns the resident memory now, in KiB. Source: proc(5).
func (p *Process) Memory() (int64, error) { return p.status("VmRSS:") }

// CPU returns the processor time so far, of the threads that there are: the runtime ends
// none. Source: the kernel's sched-stats, the first figure of schedstat in nanoseconds;
// the hundredths of a second of proc(5) are too rough for a run of seconds.
func (p *Process) CPU() (total time.Duration, err error) { return CPU(p.cmd.Process.Pid) }

// CPU is that of any process.
func CPU(pid int) (total time.Duration, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(threads) == 0 {
		return 0, errors.Join(err, errors.New("no threads"))
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

// Kill ends the program at once and returns its log.
func (p *Process) Kill() string {
	_ = p.cmd.Process.Kill() // it may have ended
	_ = p.cmd.Wait()         // by the signal
	return p.log.String()
}

// Peak returns the most memory that was resident, in KiB. Source: proc(5).
func (p *Process) Peak() (int64, error) { return p.status("VmHWM:") }

// Written returns the bytes that the program has written to streams and files, and those that went
// to a disk. Source: proc(5).
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

// Descriptors returns how many descriptors are open; 0 once the process has ended.
func (p *Process) Descriptors() int {
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(open)
}

// status returns a figure of the process's status. Source: proc(5).
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
	return 0, fmt.Errorf("the process's status has no %s", name)
}
