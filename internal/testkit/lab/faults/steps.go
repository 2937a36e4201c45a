package faults

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process applies a step to one member's process or disk.
func (r *scriptRun) process(w []string, m *member) error {
	logDir := filepath.Join(m.dir, "log")
	switch w[0] {
	case "stall":
		m.stalled = true
		m.stalls = append(m.stalls, span{from: time.Now()})
		return m.cmd.Process.Signal(syscall.SIGSTOP)
	case "wake":
		m.markResumed()
		return m.cmd.Process.Signal(syscall.SIGCONT)
	case "kill":
		r.recordFault()
		r.fleet.end(m, syscall.SIGKILL)
	case "term":
		r.fleet.end(m, syscall.SIGTERM)
	case "start":
		r.startAt = time.Now()
		return r.fleet.start(m)
	case "rename":
		m.alias = w[2]
	case "full", "room":
		if !m.up() { // the limit ended with the process
			return nil
		}
		if w[0] == "room" {
			return limitFiles(m.cmd.Process.Pid, unix.RLIM_INFINITY)
		}
		return limitFiles(m.cmd.Process.Pid, 8<<10)
	case "foreign":
		return r.foreign(m)
	case "wipe":
		r.observer.recordDiskLoss(m.name)
		return os.RemoveAll(logDir)
	case "lose":
		r.observer.recordDiskLoss(m.name)
		return errors.Join(os.RemoveAll(logDir), os.RemoveAll(filepath.Join(m.dir, watermarkDir)))
	case "keep":
		to := filepath.Join(m.dir, "kept")
		// Replaces an earlier copy.
		return errors.Join(os.RemoveAll(to), os.CopyFS(to, os.DirFS(logDir)))
	case "restore":
		if err := os.RemoveAll(logDir); err != nil {
			return err
		}
		return os.CopyFS(logDir, os.DirFS(filepath.Join(m.dir, "kept")))
	case "tear":
		return tear(logDir, w[2])
	case "clock":
		return os.WriteFile(filepath.Join(m.dir, clockFile), []byte(w[2]), 0o600)
	case "snapshot":
		_, err := r.post(m, "/api/cluster/snapshot", "{}")
		return err
	case "cli":
		out, err := r.fleet.program("cluster", w[2], "--console", m.consoleAddr).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		for _, word := range w[3:] {
			if !strings.Contains(string(out), word) {
				return fmt.Errorf("%q is not in what it prints:\n%s", word, out)
			}
		}
	case "recover":
		out, err := r.fleet.program("cluster", "recover", "--yes", "--config", filepath.Join(m.dir, "frosttide.toml")).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		r.logf("%s", strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", "; "))
	case "garble":
		return r.garble(m)
	}
	return nil
}

// tear truncates a file of a member, as a crash of its machine may.
func tear(dir, what string) error {
	pattern := map[string]string{"log": "log.db", "disk": "disk", "snapshot": "snapshots/*/state.bin"}[what]
	files, err := filepath.Glob(filepath.Join(dir, pattern))
	if err != nil || len(files) == 0 {
		return fmt.Errorf("there is no %s to tear (%v)", what, err)
	}
	for _, path := range files {
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		// A quarter: a new log's file is mostly preallocated space.
		if err := os.Truncate(path, info.Size()/4); err != nil {
			return err
		}
	}
	return nil
}

// limitFiles limits the size of the files that a process writes, to simulate a full disk. most is
// in bytes.
func limitFiles(pid int, most uint64) error {
	l := unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil)
}

// foreign sends a member what a newer build might: a fact of an unknown kind, which it must reject,
// and one with an unknown field, which it must accept.
func (r *scriptRun) foreign(m *member) error {
	c, err := net.Dial("tcp", r.fleet.net.listenAddrs[m.i])
	if err != nil {
		return err
	}
	defer c.Close()
	now := time.Now().UnixMilli()
	body := fmt.Sprintf(`[{"k":99,"n":"x","t":%d},{"k":3,"n":"s-tomorrow","e":{},"t":%d,"new":{"field":1}}]`, now, now)
	if _, err := fmt.Fprintf(c, "cPOST /v1/facts HTTP/1.1\r\nHost: m\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body); err != nil {
		return err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.Contains(answer, " 200 ") {
		return fmt.Errorf("it answers %q, %w", answer, err)
	}
	return r.retryUntil(func() error {
		got, err := r.fleet.report(m)
		if err == nil && (got.Replicas.Stored["health"] != 1 || got.Replicas.Rejected == 0) {
			err = fmt.Errorf("it holds %v and has refused %d", got.Replicas.Stored, got.Replicas.Rejected)
		}
		return err
	})
}

// garble sends a member random datagrams and connections with random content.
func (r *scriptRun) garble(m *member) error {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer c.Close()
	to, err := net.ResolveUDPAddr("udp", r.fleet.net.listenAddrs[m.i])
	if err != nil {
		return err
	}
	for range 200 {
		b := make([]byte, r.rng.IntN(1500))
		for i := range b {
			b[i] = byte(r.rng.Uint32())
		}
		if _, err := c.WriteTo(b, to); err != nil {
			return err
		}
		t, err := net.Dial("tcp", r.fleet.net.listenAddrs[m.i])
		if err != nil {
			return err
		}
		// The member may close the connection.
		_, _ = t.Write(append([]byte{"glc?"[r.rng.IntN(4)]}, b...))
		t.Close()
	}
	return nil
}

// post calls a member's console. Any status but 200 is returned as a *callError.
func (r *scriptRun) post(m *member, path, body string) (string, error) {
	resp, err := r.fleet.http.Post("http://"+m.consoleAddr+path, "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var text [200]byte
		n, _ := resp.Body.Read(text[:])
		return "", &callError{resp.StatusCode, string(text[:n])}
	}
	return "", nil
}

// callError is an answer whose status is not 200.
type callError struct {
	status int
	text   string
}

// Error returns the status and the beginning of the body.
func (e *callError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.text) }

// postUntilDone repeats a call until it succeeds or is refused with a status other than 503. It
// also checks by requireSoon that the first request succeeded.
func (r *scriptRun) postUntilDone(m *member, path, body string) error {
	var last error
	first := true
	_ = r.retryUntil(func() error { // the last answer is returned below
		began := time.Now()
		_, last = r.post(m, path, body)
		if first {
			r.requireSoon(path+" at "+m.name, began, last)
		}
		first = false
		var no *callError
		if errors.As(last, &no) && no.status != http.StatusServiceUnavailable {
			return nil
		}
		return last
	})
	return last
}

// operatorOrder has an operator exclude or include a runner at members, and checks the outcome.
func (r *scriptRun) operatorOrder(w []string) error {
	who, err := r.resolveMembers(w[3])
	if err != nil {
		return err
	}
	for _, m := range who {
		r.orders++
		o := order{id: fmt.Sprintf("%s-%d", m.name, r.orders), uid: w[1], exclude: w[0] == "exclude"}
		op := r.observer.recordCall(m.name, o)
		var said outcome
		var why string
		if w[4] == "done" {
			said, why = r.sendOrderUntilDone(m, o)
		} else {
			said, why = r.fleet.sendOrder(m, o)
		}
		r.observer.recordAnswer(op, said)
		if why != "" {
			r.logf("%s says: %s", m.name, why)
		}
		if w[4] == "done" && said != done || w[4] == "refused" && said == done {
			return fmt.Errorf("at %s it came to %q", m.name, why)
		}
	}
	return nil
}

// job has a client send a keyed job in the background, or repeat it and check the status.
func (r *scriptRun) job(w []string) error {
	who, err := r.resolveMembers(w[4])
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.jobs++
	m, id := who[0], fmt.Sprintf("%s.%s-%d", who[0].name, w[1], r.jobs)
	r.mu.Unlock()
	c := &client{member: m.name, addr: m.clientAddr, http: &http.Client{Transport: &http.Transport{}}}
	if w[0] == "job" {
		r.sentAt[w[1]] = time.Now()
		r.sending.Go(func() {
			c.job(context.Background(), w[2], id, w[1])
			r.mu.Lock()
			defer r.mu.Unlock()
			r.answered[w[1]] = true
		})
		return nil
	}
	defer c.http.CloseIdleConnections()
	before, began := r.fleet.runners.count(), time.Now()
	if got := c.job(context.Background(), w[2], id, w[1]); w[5] != "0" && !slices.Contains(strings.Split(w[5], ","), strconv.Itoa(got)) {
		return fmt.Errorf("it was answered %d after %d ms; %s", got, time.Since(began).Milliseconds(), r.describeSendings(m, before, began))
	}
	return nil
}

// describeSendings lists the jobs that a member has sent after the first since sendings, with their
// times after began.
func (r *scriptRun) describeSendings(m *member, since int, began time.Time) string {
	var said []string
	for _, s := range r.fleet.runners.since(since) {
		if s.member == m.name {
			said = append(said, fmt.Sprintf("%s %d ms", s.runner, s.at.Sub(began).Milliseconds()))
		}
	}
	return fmt.Sprintf("%s has sent: %s", m.name, cmp.Or(strings.Join(said, ", "), "nothing"))
}

// changeTarget has discovery report another state of a runner.
func (r *scriptRun) changeTarget(verb, uid string) error {
	state := map[string]string{"drain": "DRAINING", "serve": "SERVING", "remove": "DELETED"}[verb]
	i := slices.Index(r.fleet.uids, uid)
	if i < 0 {
		return fmt.Errorf("there is no runner %q", uid)
	}
	r.fleet.catalog.change(i, func(t *target) { t.State = state })
	r.observer.recordTargetChange(uid, state != "SERVING", func(m int) bool { return r.fleet.catalog.isStale(m) })
	return nil
}

// load starts or stops the clients of all members.
func (r *scriptRun) load(on bool) {
	for _, m := range r.fleet.members {
		if !on {
			if m.stopClient != nil {
				m.stopClient()
				<-m.clientDone
				m.stopClient = nil
			}
			continue
		}
		if m.client == nil {
			m.client = &client{tally: &tally{began: r.observer.began}, member: m.name, addr: m.clientAddr, answers: map[int]int{}, every: 10 * time.Millisecond, memberNames: r.addresses(), http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
		}
		ctx, cancel := context.WithCancel(context.Background())
		m.stopClient, m.clientDone = cancel, make(chan struct{})
		go func() {
			defer close(m.clientDone)
			if r.rate > 0 {
				m.client.runOpenLoop(ctx, r.rate, r.others(m), uint64(m.i)+r.script.Seed)
				return
			}
			m.client.run(ctx)
		}()
	}
}
