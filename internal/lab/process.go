package lab

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
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
func (p *Process) Memory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, errors.New("no VmRSS")
}

// CPU returns the processor time so far. Source: proc(5), utime and stime in hundredths
// of a second.
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond, nil
}

// Kill ends the program at once and returns its log.
func (p *Process) Kill() string {
	_ = p.cmd.Process.Kill() // it may have ended
	_ = p.cmd.Wait()         // by the signal
	return p.log.String()
}
