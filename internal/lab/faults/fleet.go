package faults

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"frosttide/internal/cluster"
)

// Program makes the command that runs frosttide with arguments.
type Program func(args ...string) *exec.Cmd

// member is one process of the program, and what it needs.
type member struct {
	i                      int
	name, alias, dir       string // alias is the name in its settings, empty for the same
	clients, console, disc string
	cmd                    *exec.Cmd
	ended                  chan struct{} // closed when the process has ended
	stopped                bool
	stood                  []span // when its process stood still
	since                  int    // jobs that had been sent by all when it started
	log                    *tail
	client                 *client
	endClient              context.CancelFunc
	clientOver             chan struct{}
}

// wakes notes that the process no longer stands still.
func (m *member) wakes() {
	if m.stopped {
		m.stopped, m.stood[len(m.stood)-1].till = false, time.Now()
	}
}

func (m *member) up() bool { return m.cmd != nil }

// tail keeps the end of a process's log.
type tail struct {
	mu    sync.Mutex
	lines []string
	part  []byte
}

// kept is how many lines of each log are kept.
const kept = 2000

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.part = append(t.part, b...)
	for {
		line, rest, ok := bytes.Cut(t.part, []byte("\n"))
		if !ok {
			break
		}
		t.lines = append(t.lines, string(line))
		t.part = rest
	}
	if n := len(t.lines) - kept; n > 0 {
		t.lines = append([]string(nil), t.lines[n:]...)
	}
	return len(b), nil
}

func (t *tail) has(text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.lines {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}

func (t *tail) text(last int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines[max(len(t.lines)-last, 0):], "\n")
}

// fleet is everything that runs.
type fleet struct {
	program Program
	dir     string
	net     *relays
	catalog *catalog
	runners *runners
	members []*member
	voters  int
	zones   int
	alone   bool
	extra   string // of the settings
	coldOf  string // the settings of cold runners
	flows   bool
	gangs   bool
	servers []*http.Server
	uids    []string
	cold    *http.Client
}

func openFleet(s *Script, program Program, dir string) (f *fleet, err error) {
	f = &fleet{program: program, dir: dir, catalog: newCatalog(), voters: s.Voters, zones: s.Zones, alone: s.Alone, extra: s.extra(), coldOf: s.Cold.settings(), flows: s.Flows, gangs: s.Gangs, cold: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.net, err = openRelays(s.Members, s.Seed); err != nil {
		return f, err
	}
	f.runners = &runners{slots: s.Slots, queue: s.Queue, at: map[string]*busy{}, work: s.Work, effects: map[string]map[string]int{}, broken: map[string]bool{}, spoilt: map[string]bool{}, turns: map[string]bool{}, cold: s.Cold, warming: map[string]*warming{}, lags: map[string]float64{}, hung: map[string]bool{}, parts: map[string]chan struct{}{}, tries: map[string]int{}, clients: f.clientsOf}
	for i := range s.Runners {
		uid := fmt.Sprintf("s-%d", i+1)
		server, addr, err := serve("127.0.0.1:0", f.runners.handler(uid, f.zone(i)))
		if err != nil {
			return f, err
		}
		f.servers, f.uids = append(f.servers, server), append(f.uids, uid)
		f.catalog.change(i, func(t *target) {
			*t = target{UID: uid, Endpoint: addr, Zone: f.zone(i), Kind: "m", State: "SERVING", Weight: 1}
		})
	}
	for i := range s.Members {
		m := &member{i: i, name: fmt.Sprintf("d%d", i+1)}
		m.dir = filepath.Join(dir, m.name)
		if err := os.MkdirAll(m.dir, 0o700); err != nil {
			return f, err
		}
		server, addr, err := serve("127.0.0.1:0", f.catalog.handler(i))
		if err != nil {
			return f, err
		}
		f.servers = append(f.servers, server)
		m.disc = addr
		host, _, _ := net.SplitHostPort(f.net.real[i])
		m.clients, m.console = host+":8081", host+":8090"
		f.members = append(f.members, m)
	}
	return f, nil
}

func (f *fleet) clientsOf(name string) string {
	for _, m := range f.members {
		if m.name == name {
			return m.clients
		}
	}
	return "127.0.0.1:9" // nobody's
}

// zone is that of a runner or a member, in turn.
func (f *fleet) zone(i int) string { return string(rune('a' + i%f.zones)) }

func (f *fleet) settings(m *member) string {
	var voters, join []string
	for _, o := range f.members[:f.voters] {
		voters = append(voters, fmt.Sprintf("%q", o.name))
	}
	for _, a := range f.net.public {
		join = append(join, fmt.Sprintf("%q", a))
	}
	var zones []string
	for i := range f.zones {
		zones = append(zones, fmt.Sprintf("%q", f.zone(i)))
	}
	cluster := ""
	if !f.alone {
		cluster = fmt.Sprintf("[cluster]\nlisten = %q\nadvertise = %q\njoin = [%s]\nvoters = [%s]\ndir = %q\ndiscovery = \"one\"\n[recovery]\nkeep = %q\n%s",
			f.net.real[m.i], f.net.public[m.i], strings.Join(join, ", "), strings.Join(voters, ", "), filepath.Join(m.dir, "log"), filepath.Join(m.dir, "apart"), f.extra)
		if f.flows {
			cluster += "[workflow]\nenabled = true\n"
		}
	}
	if f.gangs {
		cluster += "[gang]\nenabled = true\nreports_every = \"100ms\"\n[attempts]\nsecond_copies = true\n"
	}
	return fmt.Sprintf(`name = %q
[listen]
clients = %q
console = %q
[discovery]
address = %q
ask_within = "1s"
[fleet]
zones = [%s]
zone = %q
far_price = 0.3
kinds = ["m"]
dispatchers = %d
number = %d
[drain]
grace = "500ms"
[limits]
sockets = 1024
%s%s
[[class]]
name = "render"
wanted_within = "1s"
give_up = "2s"
[[class]]
name = "reel"
wanted_within = "10s"
give_up = "30s"
[[class]]
name = "release"
effect = "keyed"
repeats_dropped_by = "zone"
window = "40s"
wanted_within = "1s"
give_up = "2s"
[[class]]
name = "once"
effect = "unsafe"
wanted_within = "1s"
give_up = "2s"
`, cmp.Or(m.alias, m.name), m.clients, m.console, m.disc, strings.Join(zones, ", "), f.zone(m.i), len(f.members), m.i, f.coldOf, cluster)
}

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

func (f *fleet) close() {
	for _, m := range f.members {
		if m.endClient != nil {
			m.endClient()
			<-m.clientOver
		}
	}
	for _, m := range f.members {
		f.end(m, syscall.SIGKILL)
	}
	for _, s := range f.servers {
		s.Close()
	}
	if f.net != nil {
		f.net.close()
	}
}

// report asks a member's console.
func (f *fleet) report(m *member) (r cluster.Report, err error) {
	if !m.up() || m.stopped {
		return r, errors.New("it does not run")
	}
	resp, err := f.cold.Get("http://" + m.console + "/api/cluster")
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return r, err
	}
	if resp.StatusCode != http.StatusOK {
		return r, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return r, json.Unmarshal(text, &r)
}

// said is what an operator's call came to.
type said uint8

const (
	done    said = iota // it was acknowledged
	refused             // it was said not to be done
	unclear             // no answer came
)

// move has an operator leave a runner out at a member, or put it back.
func (f *fleet) move(m *member, uid string, out bool) (said, string) {
	path := "/api/include"
	if out {
		path = "/api/exclude"
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+m.console+path, strings.NewReader(fmt.Sprintf(`{"host":%q}`, uid)))
	if err != nil {
		return unclear, err.Error()
	}
	resp, err := f.cold.Do(req)
	if err != nil {
		return unclear, err.Error()
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return done, ""
	}
	return refused, strings.TrimSpace(string(text))
}
