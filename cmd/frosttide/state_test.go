package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"frosttide/internal/dispatcher/rosterstore"
)

// withStoredState has a dispatcher keep its list in a folder; nothing of it is fresh enough to be
// used unasked.
func withStoredState(dir string) func(*dispatcher) {
	return func(d *dispatcher) {
		path := filepath.Join(d.t.TempDir(), "frosttide.toml")
		text := fmt.Sprintf("[state]\ndir = %q\nevery = \"10ms\"\nfresh = \"0s\"\ndoubt_for = \"1h\"\n", dir)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			d.t.Fatal(err)
		}
		d.cmd.Args = append(d.cmd.Args, "serve", "--config", path)
	}
}

// awaitSnapshot waits until a state is on disk that fits.
func awaitSnapshot(t *testing.T, dir string, fits func(*rosterstore.Snapshot) bool) *rosterstore.Snapshot {
	t.Helper()
	d, err := rosterstore.Open(dir, "n0", 3)
	if err != nil {
		t.Fatal(err)
	}
	for by := time.Now().Add(testTimeout); time.Now().Before(by); time.Sleep(5 * time.Millisecond) { // a folder tells no events here
		all, err := d.ReadAll()
		if err == nil && len(all) > 0 && all[0].Err == nil && fits(all[0].Snapshot) {
			return all[0].Snapshot
		}
	}
	t.Fatal("the state that is waited for is not on disk")
	return nil
}

// snapshotNames reports whether a snapshot has a runner in a state of discovery's.
func snapshotNames(s *rosterstore.Snapshot, uid, state string) bool {
	for _, n := range s.Nodes {
		if n.UID == uid && strings.Contains(string(n.Entry), state) {
			return true
		}
	}
	return false
}

// awaitStored has a dispatcher learn how short its jobs are, and waits until that and what fits
// are on disk.
func (d *dispatcher) awaitStored(dir string, fits func(*rosterstore.Snapshot) bool) {
	d.t.Helper()
	d.awaitLog("egress target listed")
	d.serveJobs("learn", 80)
	awaitSnapshot(d.t, dir, func(s *rosterstore.Snapshot) bool { return s.Runs["render"] < 100*time.Millisecond && fits(s) })
}

// TestStartWithoutDiscovery guards clients after a power cut: discovery is silent, and of
// the list from disk some are retired, one's address is another service's, one drains and
// one is silent. Jobs are served, and nothing goes where it should not.
func TestStartWithoutDiscovery(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	good, cold := newRunner(t, "s-good"), newRunner(t, "s-cold")
	drains, silent := newRunner(t, "s-drains"), newRunner(t, "s-silent")
	retired, swapped := newRunner(t, "s-retired"), newRunner(t, "s-swapped")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	w := await(t, disc.watches, "watch")
	w.lines <- targetList(42, true, good.entry(), cold.entry(), silent.entry(), retired.entry(), swapped.entry(), targetEntry("s-drains", drains.addr, "DRAINING"))
	var idle []func()
	for _, r := range []*runner{good, cold, silent, retired, swapped} {
		idle = append(idle, d.serveRunner(r))
	}
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool {
		return len(s.Nodes) == 6 && snapshotNames(s, "s-drains", "DRAINING")
	})
	for _, off := range idle {
		off()
	}
	d.cmd.Process.Kill() // the power goes
	await(t, d.exited, "end")
	disc.Close()
	retired.listener.Close()
	swapped.listener.Close()
	awaitPortsFree(t, swapped.addr)
	var posts sync.Map // at what answers 200 to everything
	l, err := net.Listen("tcp", swapped.addr)
	if err != nil {
		t.Fatal(err)
	}
	impostor := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			posts.Store(r.Header.Get("X-Trace-Id"), true)
		}
	})}
	go func() { _ = impostor.Serve(l) }()
	t.Cleanup(func() { impostor.Close() })

	began := time.Now()
	d = startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	if log := strings.Join(d.logLines, "\n"); !strings.Contains(log, "serving from a stored list") {
		t.Errorf("nobody says that the list is a stored one:\n%s", log)
	}
	d.serveRunner(good)
	d.serveRunner(cold)
	for served := false; !served; {
		if time.Since(began) > 5*time.Second {
			t.Fatal("no job was served within 5 s")
		}
		a := await(t, submit(d.jobRequest("render", fmt.Sprint("first-", time.Since(began)))), "answer")
		served = a.Status == 200
		if a.Status != 200 && (a.Status != 503 || a.Header.Get("Retry-After") == "") {
			t.Fatalf("a job got %d %v", a.Status, a.Err)
		}
	}
	if code, text := d.callConsole("GET", "/api/ready", ""); code != 200 || !strings.Contains(text, "serving from a stored list") {
		t.Errorf("ready says %d %q", code, text)
	}
	if _, text := d.callConsole("GET", "/api/telemetry", ""); !strings.Contains(text, "edge_balancer_stored_list_age_seconds") {
		t.Error("the figures don't tell the list's age")
	}
	// A burst: warming runners get what they bear and no more, everybody an answer.
	var burst []<-chan response
	for i := range 60 {
		burst = append(burst, submit(d.jobRequest("render", fmt.Sprint("burst-", i))))
	}
	for i, got := range burst {
		if a := await(t, got, "answer"); a.Status != 200 && a.Status != 503 {
			t.Errorf("job %d of the burst got %d %v", i, a.Status, a.Err)
		}
	}
	posts.Range(func(id, _ any) bool {
		t.Errorf("job %v went to another service", id)
		return true
	})
	for len(drains.requests) > 0 {
		if h := <-drains.requests; h.Method == http.MethodPost {
			t.Error("a draining runner got a job")
		}
	}
	for len(silent.requests) > 0 {
		if h := <-silent.requests; h.Method == http.MethodPost {
			t.Error("a silent runner got a job")
		}
	}
}

// TestColdRation guards rule 4 after a power cut, by a checker that knows what the runner
// can do: at 13% of one that does four jobs at a time it must not be sent more than 2.5
// times that in any second.
func TestColdRation(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	r := newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	await(t, disc.watches, "watch").lines <- targetList(42, true, r.entry())
	idle := d.serveRunner(r)
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool { return len(s.Nodes) == 1 })
	idle()
	d.cmd.Process.Kill()
	await(t, d.exited, "end")
	disc.Close()
	d = startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	const run = 50 * time.Millisecond // of a job, on one of four cores
	var mu sync.Mutex
	var came []time.Time
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for {
			select {
			case h := <-r.requests:
				if h.answerIfNotJob() {
					continue
				}
				mu.Lock()
				came = append(came, time.Now())
				mu.Unlock()
				h.reply(202, "")
				go func() {
					d.tryReport(jobEvent(h.id(), r.uid, "started"))
					time.AfterFunc(run, func() { d.tryReport(jobEvent(h.id(), r.uid, "done")) }) // it works
				}()
			case <-stop:
				return
			}
		}
	}()
	served := 0
	for i := 0; served < 12; i++ {
		a := await(t, submit(d.jobRequest("render", fmt.Sprint("j", i))), "answer")
		if a.Status == 200 {
			served++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i := range came {
		work := time.Duration(0)
		for j := i; j < len(came) && came[j].Before(came[i].Add(time.Second)); j++ {
			work += run
		}
		if most := time.Duration(0.13 * 2.5 * 4 * float64(time.Second)); work > most {
			t.Errorf("a second from job %d on brings %s of work, it bears %s", i, work, most)
		}
	}
}

// TestDiscoveryBack guards the fleet against a roster that comes back with nothing, and
// drains that it tells meanwhile.
func TestDiscoveryBack(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	one, two := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	await(t, disc.watches, "watch").lines <- targetList(42, true, one.entry(), two.entry())
	idle, idler := d.serveRunner(one), d.serveRunner(two)
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool { return len(s.Nodes) == 2 })
	idle()
	idler()
	d.cmd.Process.Kill()
	await(t, d.exited, "end")
	disc.Close()

	d = startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	d.serveRunner(one)
	d.serveRunner(two)
	d.awaitLog("a stored runner is judged")
	d.awaitLog("a stored runner is judged")
	back := newDiscoveryAt(t, strings.TrimPrefix(disc.URL, "http://"))
	next := func() *watch { return await(t, back.watches, "call") }
	w := next()
	if w.query != "" {
		t.Errorf("after an outage the first call is %q, not for the whole list", w.query)
	}
	w.lines <- targetList(1, true) // nothing, and a lower version
	d.awaitLog("discovery's list lacks most of what is known")
	close(w.lines)
	d.awaitRejoin("doubted", 3) // they may be cold, and bear so much work a second
	w = next()                  // the watch, or the second look
	for w.query == "" {
		w = next()
	}
	w.lines <- targetList(2, false, targetEntry("s-1", one.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	d.awaitRejoin("drained", 5)
	for len(one.requests) > 0 {
		<-one.requests
	}
	w.lines <- targetList(3, true) // the second answer that has nobody
	d.awaitLog("discovery has confirmed the list")
	d.awaitLog("egress target gone from the list")
	if a := await(t, submit(d.jobRequest("render", "gone")), "answer"); a.Status != 503 {
		t.Errorf("a job for an empty fleet got %d", a.Status)
	}
	if code, text := d.callConsole("GET", "/api/ready", ""); code != 200 || text != "" {
		t.Errorf("ready says %d %q", code, text)
	}
}

// TestExclusionsOutlive guards what operators have said against a planned restart.
func TestExclusionsOutlive(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	r := newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	await(t, disc.watches, "watch").lines <- targetList(42, true, r.entry())
	idle := d.serveRunner(r)
	d.awaitStored(dir, func(*rosterstore.Snapshot) bool { return true })
	idle()
	if code, text := d.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`); code != 200 {
		t.Fatal(code, text)
	}
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, d.exited, "end")
	awaitSnapshot(t, dir, func(s *rosterstore.Snapshot) bool { return len(s.Excluded) == 1 })
	d = startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	d.serveRunner(r)
	await(t, disc.watches, "watch").lines <- targetList(43, true, r.entry())
	d.awaitLog("discovery has confirmed the list")
	if a := await(t, submit(d.jobRequest("render", "x")), "answer"); a.Status != 503 {
		t.Errorf("a job went to a runner that operators have left out: %d %s", a.Status, a.Body)
	}
	if code, text := d.callConsole("PUT", "/api/include", `{"host":"s-1"}`); code != 200 {
		t.Fatal(code, text)
	}
	d.serveJobs("back", 1)
}

// TestStateCommands guards what an operator sees of the state.
func TestStateCommands(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	now := time.Duration(time.Now().UnixNano())
	d, err := rosterstore.Open(dir, "n0", 3)
	if err != nil {
		t.Fatal(err)
	}
	s := &rosterstore.Snapshot{Name: "n0", Saved: now, Answered: now, Rev: 7, Excluded: []string{"s-out"}}
	for uid, age := range map[string]time.Duration{"s-new": 0, "s-old": 30 * time.Minute, "s-out": 0, "s-ancient": 1000 * time.Hour} {
		s.Nodes = append(s.Nodes, rosterstore.Node{UID: uid, Entry: json.RawMessage(targetEntry(uid, "127.0.0.1:1", "SERVING")), Confirmed: now - age, By: rosterstore.ByDiscovery})
	}
	if err := d.Save(s); err != nil {
		t.Fatal(err)
	}
	out, errs, status := runCommand(t, nil, "state", "show", dir)
	if status != 0 {
		t.Errorf("status %d: %s", status, errs)
	}
	for uid, want := range map[string]string{"s-new": "used", "s-old": "withheld", "s-out": "barred", "s-ancient": "rejected"} {
		found := false
		for line := range strings.Lines(out) {
			found = found || strings.HasPrefix(line, uid+" ") && strings.Contains(line, " "+want+" ")
		}
		if !found {
			t.Errorf("show does not say that %s is %s; it says\n%s%s", uid, want, out, errs)
		}
	}
	json, _, _ := runCommand(t, nil, "state", "export", dir)
	other := t.TempDir()
	path := filepath.Join(t.TempDir(), "state.json")
	if err := os.WriteFile(path, []byte(json), 0o600); err != nil {
		t.Fatal(err)
	}
	in, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	if _, errs, status := runCommandWithStdin(t, in, nil, "state", "import", other); status != 0 {
		t.Errorf("import: status %d, said %q", status, errs)
	}
	again, _, _ := runCommand(t, nil, "state", "export", other)
	if again != json || json == "" {
		t.Errorf("exported, imported and exported it is\n%s\nand was\n%s", again, json)
	}
	if _, _, status = runCommand(t, nil, "state", "verify", other); status != 0 {
		t.Errorf("verify: status %d", status)
	}
	files, _ := filepath.Glob(filepath.Join(other, "*.state"))
	if err := os.WriteFile(files[0], []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, status := runCommand(t, nil, "state", "verify", other); status != 1 || !strings.Contains(out, "cut short") {
		t.Errorf("verify of a torn file: status %d, said %q", status, out)
	}
}

// newDiscoveryAt starts one at an address where there was one before.
func newDiscoveryAt(t *testing.T, addr string) *discovery {
	t.Helper()
	awaitPortsFree(t, addr)
	return (&discovery{watches: make(chan *watch, 64), closed: make(chan struct{})}).serveAt(t, addr)
}

// TestPlannedRestart guards the fleet's usual load from refusals after a planned restart while discovery is down.
func TestPlannedRestart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	disc := newDiscovery(t)
	fresh := func(d *dispatcher) {
		withStoredState(dir)(d)
		path := d.cmd.Args[len(d.cmd.Args)-1]
		text, err := os.ReadFile(path)
		if err == nil {
			err = os.WriteFile(path, []byte(strings.Replace(string(text), `fresh = "0s"`, `fresh = "2m"`, 1)), 0o600)
		}
		if err != nil {
			d.t.Fatal(err)
		}
	}
	var runners []*runner
	var entries []string
	for i := range 5 {
		r := newRunner(t, fmt.Sprintf("s-%d", i))
		runners, entries = append(runners, r), append(entries, r.entry())
	}
	d := startWith(t, disc.URL, 1024, nil, fresh)
	await(t, disc.watches, "watch").lines <- targetList(42, true, entries...)
	var idle []func()
	for _, r := range runners {
		idle = append(idle, d.serveRunner(r))
	}
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool { return len(s.Nodes) == 5 })
	disc.Close()
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, d.exited, "end")
	for _, off := range idle {
		off()
	}
	older := d
	d = startWith(t, disc.URL, 1024, nil, fresh)
	for _, r := range runners {
		d.serveRunner(r)
	}
	served, refusals := 0, map[string]int{}
	for round := range 10 { // ten at a time, half of what the runners do at once
		var all []<-chan response
		for i := range 10 {
			class := "render"
			if i%5 == 4 {
				class = "once"
			}
			all = append(all, submit(d.jobRequest(class, fmt.Sprintf("after-%d-%d", round, i))))
		}
		for _, got := range all {
			a := await(t, got, "answer")
			if a.Status == 200 {
				served++
				continue
			}
			refusals[fmt.Sprintf("%d %s %v", a.Status, strings.TrimSpace(a.Body), a.Err)]++
		}
	}
	if served < 100 {
		t.Errorf("%d of 100 jobs were served after a planned restart, others got %v; log:\n%s\nlog of the older process:\n%s", served, refusals, d.log(), older.log())
	}
}
