package faults

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"frosttide/internal/cluster"
	"frosttide/internal/members"
)

// stepTime bounds each wait for an event; a script that has to wait longer is broken.
const stepTime = 30 * time.Second

// Result is what a run came to.
type Result struct {
	Timeline []string
	Broken   []string // rules and invariants; empty for none
	Logs     string   // the ends of the processes' logs, where something is broken
	Waits    map[string]time.Duration
}

// Run plays a script with a program, in a folder of its own that exists and is empty.
func Run(s *Script, program Program, dir string) (*Result, error) {
	f, err := openFleet(s, program, dir)
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &runner{script: s, fleet: f, began: time.Now(), names: map[string][]*member{}, watch: newWatch(), rng: rand.New(rand.NewPCG(s.Seed, 3)),
		result: &Result{Waits: map[string]time.Duration{}}}
	f.runners.hold = true
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
	}
	err = r.steps()
	r.load(false)
	r.sending.Wait()
	if err == nil {
		err = r.final()
	}
	if err != nil {
		r.broken("%s", err)
	}
	r.check(err == nil)
	r.result.Broken = append(r.result.Broken, f.races()...)
	if len(r.result.Broken) > 0 {
		for _, m := range r.running() {
			if got, err := f.report(m); err == nil {
				text, _ := json.Marshal(map[string]any{"members": got.Members, "log": got.Log, "copies": got.Copies}) // plain values
				r.result.Logs += m.name + " " + string(text) + "\n"
			}
		}
		for _, m := range f.members {
			if m.log != nil {
				r.result.Logs += "--- " + m.name + "\n" + m.log.text(60) + "\n"
			}
		}
	}
	return r.result, nil
}

type runner struct {
	script *Script
	fleet  *fleet
	began  time.Time
	names  map[string][]*member // given by steps
	watch  *watch
	rng    *rand.Rand
	result *Result

	jobs    int
	sending sync.WaitGroup // clients of jobs that nobody waits for
}

func (r *runner) line(format string, args ...any) {
	r.result.Timeline = append(r.result.Timeline, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *runner) broken(format string, args ...any) {
	r.line("BROKEN "+format, args...)
	r.result.Broken = append(r.result.Broken, fmt.Sprintf(format, args...))
}

func (r *runner) steps() error {
	for _, s := range r.script.Steps {
		began := time.Now()
		if err := r.step(s); err != nil {
			return fmt.Errorf("%s:%d: %s: %w", r.script.Name, s.Line, s, err)
		}
		took := time.Since(began)
		r.result.Waits[s.String()] = took
		r.line("%s (%d ms)", s, took.Milliseconds())
	}
	return nil
}

// who finds members.
func (r *runner) who(words string) ([]*member, error) {
	var out []*member
	for _, w := range strings.Split(words, ",") {
		switch w {
		case "all":
			out = append(out, r.fleet.members...)
			continue
		case "leader", "follower":
			l, err := r.leader(r.fleet.members)
			if err != nil {
				return nil, err
			}
			if w == "leader" {
				out = append(out, l)
				continue
			}
			for _, m := range r.fleet.members[:r.fleet.voters] {
				if m != l && m.up() && !m.stopped {
					out = append(out, m)
					break
				}
			}
			continue
		case "others": // all that the last given name is not
			for _, m := range r.fleet.members {
				if !slices.Contains(r.names["last"], m) {
					out = append(out, m)
				}
			}
			continue
		}
		if given := r.names[w]; given != nil {
			out = append(out, given...)
			continue
		}
		i := slices.IndexFunc(r.fleet.members, func(m *member) bool { return m.name == w })
		if i < 0 {
			return nil, fmt.Errorf("there is no member %q", w)
		}
		out = append(out, r.fleet.members[i])
	}
	return out, nil
}

// leader returns who leads by its own word, of those given, and in the latest term.
func (r *runner) leader(of []*member) (*member, error) {
	var lead *member
	err := r.until(func() error {
		lead = nil
		term := uint64(0)
		for _, m := range of {
			got, err := r.fleet.report(m)
			if err == nil && got.Log.Role == "leader" && got.Log.Term > term {
				lead, term = m, got.Log.Term
			}
		}
		if lead == nil {
			return errors.New("nobody leads")
		}
		return nil
	})
	return lead, err
}

// until waits for an event: it looks again as soon as it has looked, with a short pause that
// spares the processes it looks at.
func (r *runner) until(ok func() error) error {
	by := time.Now().Add(stepTime)
	for {
		err := ok()
		if err == nil {
			return nil
		}
		if time.Now().After(by) {
			return fmt.Errorf("after %s: %w", stepTime, err)
		}
		<-time.After(10 * time.Millisecond)
	}
}

func numbers(list []*member) (out []int) {
	for _, m := range list {
		out = append(out, m.i)
	}
	return out
}

// step does one.
func (r *runner) step(s Step) error {
	w := s.Words
	switch w[0] {
	case "await":
		return r.await(w[1:])
	case "exclude", "include":
		return r.move(w)
	case "drain", "serve", "remove":
		return r.list(w[0], w[1])
	case "heal":
		r.fleet.net.set(numbers(r.fleet.members), numbers(r.fleet.members), func(l *link) { *l = link{kept: l.kept} })
		return nil
	case "job", "retry":
		return r.job(w)
	case "load":
		r.load(w[1] == "on")
		return nil
	case "flood":
		n, err := strconv.Atoi(w[1])
		for i := range min(n, 10_000) {
			r.fleet.catalog.change(func(t []target) []target {
				t[i%len(t)].Weight = 1 + i%7
				return t
			})
		}
		return err
	}
	who, err := r.who(w[1])
	if w[0] == "leave" {
		who, err = r.who(w[3])
	}
	if err != nil {
		return err
	}
	if n := len(w); n >= 4 && w[n-2] == "as" {
		r.names[w[n-1]], r.names["last"] = who, who
	}
	switch w[0] {
	case "cut", "lossy", "slow", "reset":
		return r.between(w, who)
	case "hold", "release":
		for _, m := range who {
			r.fleet.catalog.hold(m.i, w[0] == "hold")
		}
		return nil
	case "leave":
		_, err := r.post(who[0], "/api/cluster/remove", fmt.Sprintf(`{"name":%q}`, w[1]))
		if (err == nil) != (w[4] == "done") {
			return fmt.Errorf("it came to %v", err)
		}
		return nil
	}
	for _, m := range who {
		if err := r.process(w, m); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}

// between changes links.
func (r *runner) between(w []string, from []*member) error {
	to, err := r.who(w[3])
	if err != nil {
		return err
	}
	a, b := numbers(from), numbers(to)
	change := func(l *link) { l.cut = true }
	switch w[0] {
	case "reset":
		r.fleet.net.reset(a, b)
		return nil
	case "lossy":
		var x [3]float64
		for i := range x {
			if x[i], err = strconv.ParseFloat(w[4+i], 64); err != nil {
				return err
			}
		}
		change = func(l *link) { l.drop, l.twice, l.late = x[0], x[1], x[2] }
	case "slow":
		d, err := time.ParseDuration(w[4])
		if err != nil {
			return err
		}
		change = func(l *link) { l.delay = d }
	}
	r.fleet.net.set(a, b, change)
	if len(w) < 5 || w[4] != "oneway" {
		r.fleet.net.set(b, a, change)
	}
	return nil
}

// process does something to one member's process or disk.
func (r *runner) process(w []string, m *member) error {
	logDir := filepath.Join(m.dir, "log")
	switch w[0] {
	case "stall":
		m.stopped = true
		return m.cmd.Process.Signal(syscall.SIGSTOP)
	case "wake":
		m.stopped = false
		return m.cmd.Process.Signal(syscall.SIGCONT)
	case "kill":
		r.fleet.end(m, syscall.SIGKILL)
	case "term":
		r.fleet.end(m, syscall.SIGTERM)
	case "start":
		return r.fleet.start(m)
	case "rename":
		m.alias = w[2]
	case "full":
		return limitFiles(m.cmd.Process.Pid, 8<<10)
	case "room":
		return limitFiles(m.cmd.Process.Pid, unix.RLIM_INFINITY)
	case "foreign":
		return r.foreign(m)
	case "wipe":
		r.watch.forget(m.name)
		return os.RemoveAll(logDir)
	case "keep":
		return os.CopyFS(filepath.Join(m.dir, "kept"), os.DirFS(logDir))
	case "restore":
		if err := os.RemoveAll(logDir); err != nil {
			return err
		}
		return os.CopyFS(logDir, os.DirFS(filepath.Join(m.dir, "kept")))
	case "tear":
		return tear(logDir, w[2])
	case "snapshot":
		_, err := r.post(m, "/api/cluster/snapshot", "{}")
		return err
	case "recover":
		out, err := r.fleet.program("cluster", "recover", "--yes", "--config", filepath.Join(m.dir, "frosttide.toml")).CombinedOutput()
		if err != nil {
			return fmt.Errorf("%w: %s", err, out)
		}
		r.line("%s", strings.ReplaceAll(strings.TrimSpace(string(out)), "\n", "; "))
	case "garble":
		return r.garble(m)
	}
	return nil
}

// tear cuts a file of a member's in the middle, as a crash of its machine may.
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
		if err := os.Truncate(path, info.Size()/4); err != nil { // the log's file is mostly room at first
			return err
		}
	}
	return nil
}

// limitFiles has no file of a process grow past a size, as if the disk were full.
func limitFiles(pid int, most uint64) error {
	l := unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil)
}

// foreign tells a member what a build of tomorrow might: a fact of an unknown kind and one
// with an unknown field, of which the latter counts.
func (r *runner) foreign(m *member) error {
	c, err := net.Dial("tcp", r.fleet.net.real[m.i])
	if err != nil {
		return err
	}
	defer c.Close()
	now := time.Now().UnixMilli()
	body := fmt.Sprintf(`[{"k":99,"n":"x","t":%d},{"k":2,"n":"s-tomorrow","b":%d,"t":%d,"new":{"field":1}}]`, now, now, now)
	if _, err := fmt.Fprintf(c, "cPOST /v1/facts HTTP/1.1\r\nHost: m\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(body), body); err != nil {
		return err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.Contains(answer, " 200 ") {
		return fmt.Errorf("it answers %q, %w", answer, err)
	}
	return r.until(func() error {
		got, err := r.fleet.report(m)
		if err == nil && (got.Copies.Held["starts"] != 1 || got.Copies.Refused == 0) {
			err = fmt.Errorf("it holds %v and has refused %d", got.Copies.Held, got.Copies.Refused)
		}
		return err
	})
}

// garble sends a member what no other would.
func (r *runner) garble(m *member) error {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	defer c.Close()
	to, err := net.ResolveUDPAddr("udp", r.fleet.net.real[m.i])
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
		t, err := net.Dial("tcp", r.fleet.net.real[m.i])
		if err != nil {
			return err
		}
		_, _ = t.Write(append([]byte{"glc?"[r.rng.IntN(4)]}, b...)) // it may hang up
		t.Close()
	}
	return nil
}

func (r *runner) post(m *member, path, body string) (string, error) {
	resp, err := r.fleet.cold.Post("http://"+m.console+path, "application/json", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var text [200]byte
		n, _ := resp.Body.Read(text[:])
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, text[:n])
	}
	return "", nil
}

// move has an operator speak.
func (r *runner) move(w []string) error {
	who, err := r.who(w[3])
	if err != nil {
		return err
	}
	for _, m := range who {
		op := r.watch.call(m.name, w[1], w[0] == "exclude")
		said, why := r.fleet.move(m, w[1], w[0] == "exclude")
		r.watch.answer(op, said)
		if why != "" {
			r.line("%s says: %s", m.name, why)
		}
		if w[4] == "done" && said != done || w[4] == "refused" && said == done {
			return fmt.Errorf("at %s it came to %q", m.name, why)
		}
	}
	return nil
}

// job has a client send a keyed job, or send it again.
func (r *runner) job(w []string) error {
	who, err := r.who(w[4])
	if err != nil {
		return err
	}
	r.jobs++
	m, id := who[0], fmt.Sprintf("%s.%s-%d", who[0].name, w[1], r.jobs)
	c := &client{member: m.name, addr: m.clients, http: &http.Client{Transport: &http.Transport{}}}
	if w[0] == "job" {
		r.sending.Go(func() { c.job(context.Background(), w[2], id, w[1]) })
		return nil
	}
	defer c.http.CloseIdleConnections()
	want, err := strconv.Atoi(w[5])
	if err != nil {
		return err
	}
	if got := c.job(context.Background(), w[2], id, w[1]); want != 0 && got != want {
		return fmt.Errorf("it was answered %d", got)
	}
	return nil
}

// list has discovery change a runner.
func (r *runner) list(verb, uid string) error {
	state := map[string]string{"drain": "DRAINING", "serve": "SERVING", "remove": "DELETED"}[verb]
	found := false
	r.fleet.catalog.change(func(list []target) []target {
		for i := range list {
			if list[i].UID == uid {
				list[i].State, found = state, true
			}
		}
		return list
	})
	if !found {
		return fmt.Errorf("there is no runner %q", uid)
	}
	return nil
}

// load starts or ends the clients of all members.
func (r *runner) load(on bool) {
	for _, m := range r.fleet.members {
		if !on {
			if m.endClient != nil {
				m.endClient()
				<-m.clientOver
				m.endClient = nil
			}
			continue
		}
		if m.client == nil {
			m.client = &client{member: m.name, addr: m.clients, answers: map[int]int{}, every: 10 * time.Millisecond, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
		}
		ctx, cancel := context.WithCancel(context.Background())
		m.endClient, m.clientOver = cancel, make(chan struct{})
		go func() {
			defer close(m.clientOver)
			m.client.run(ctx)
		}()
	}
}

// reports asks the members, and has the watch look at what they say.
func (r *runner) reports(of []*member) (map[*member]cluster.Report, error) {
	out := map[*member]cluster.Report{}
	for _, m := range of {
		got, err := r.fleet.report(m)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
		r.watch.saw(m.name, got.State)
		out[m] = got
	}
	return out, nil
}

func alive(got cluster.Report) (n int) {
	for _, i := range got.Members {
		if i.Life == members.Alive {
			n++
		}
	}
	return n
}
