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

// withStoredState makes the dispatcher store its target list in dir. No entry of the stored list
// counts as fresh, so each is verified before use.
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

// awaitSnapshot waits until the newest snapshot in dir satisfies fits, and returns it.
func awaitSnapshot(t *testing.T, dir string, fits func(*rosterstore.Snapshot) bool) *rosterstore.Snapshot {
	t.Helper()
	d, err := rosterstore.Open(dir, "n0", 3)
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		// Polled, as no change notification is set up for dir.
		stored, err := d.ReadAll()
		if err == nil && len(stored) > 0 && stored[0].Err == nil && fits(stored[0].Snapshot) {
			return stored[0].Snapshot
		}
	}
	t.Fatal("the expected snapshot was not stored before the timeout")
	return nil
}

// snapshotNames reports whether a snapshot holds the runner with the given state in its entry.
func snapshotNames(s *rosterstore.Snapshot, uid, state string) bool {
	for _, n := range s.Nodes {
		if n.UID == uid && strings.Contains(string(n.Entry), state) {
			return true
		}
	}
	return false
}

// awaitStored runs 80 jobs so that the dispatcher learns their short run time, and waits until that
// is stored in a snapshot that satisfies fits.
func (d *dispatcher) awaitStored(dir string, fits func(*rosterstore.Snapshot) bool) {
	d.t.Helper()
	d.awaitLog("egress target listed")
	d.serveJobs("learn", 80)
	awaitSnapshot(d.t, dir, func(s *rosterstore.Snapshot) bool { return s.Runs["render"] < 100*time.Millisecond && fits(s) })
}

// TestStartWithoutDiscovery checks the start after a power loss while discovery is down. In the
// stored list one runner has been retired, the address of one now belongs to another service, one
// is draining and one does not respond. Jobs must be served, and none may be sent to these runners.
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
	var stopRunners []func()
	for _, r := range []*runner{good, cold, silent, retired, swapped} {
		stopRunners = append(stopRunners, d.serveRunner(r))
	}
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool {
		return len(s.Nodes) == 6 && snapshotNames(s, "s-drains", "DRAINING")
	})
	for _, stop := range stopRunners {
		stop()
	}
	d.cmd.Process.Kill() // the power loss
	await(t, d.exited, "exit of the process")
	disc.Close()
	retired.listener.Close()
	swapped.listener.Close()
	awaitPortsFree(t, swapped.addr)
	// The trace IDs of jobs sent to the other service, which responds 200 to everything.
	var posts sync.Map
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
		t.Errorf("no log line says that the list is a stored one; log:\n%s", log)
	}
	d.serveRunner(good)
	d.serveRunner(cold)
	for served := false; !served; {
		if time.Since(began) > 5*time.Second {
			t.Fatal("no job was served within 5 s")
		}
		a := await(t, submit(d.jobRequest("render", fmt.Sprint("first-", time.Since(began)))), "response")
		served = a.Status == 200
		if a.Status != 200 && (a.Status != 503 || a.Header.Get("Retry-After") == "") {
			t.Fatalf("a job got status %d %v, want 200, or 503 with Retry-After", a.Status, a.Err)
		}
	}
	if code, text := d.callConsole("GET", "/api/ready", ""); code != 200 || !strings.Contains(text, "serving from a stored list") {
		t.Errorf("GET /api/ready returned %d %q, want 200 and a note on the stored list", code, text)
	}
	if _, text := d.callConsole("GET", "/api/telemetry", ""); !strings.Contains(text, "edge_balancer_stored_list_age_seconds") {
		t.Error("the metrics lack edge_balancer_stored_list_age_seconds")
	}
	// A burst: warming runners get no more than they can handle, and every client gets a response.
	var burst []<-chan response
	for i := range 60 {
		burst = append(burst, submit(d.jobRequest("render", fmt.Sprint("burst-", i))))
	}
	for i, got := range burst {
		if a := await(t, got, "response"); a.Status != 200 && a.Status != 503 {
			t.Errorf("job %d of the burst got status %d %v, want 200 or 503", i, a.Status, a.Err)
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
			t.Error("an unresponsive runner got a job")
		}
	}
}

// TestWarmupLimit checks rule 4 after a power loss. A cold runner has 13% of its full capacity,
// here four jobs at a time, and must not be sent more than 2.5 times that in any second.
func TestWarmupLimit(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	r := newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	await(t, disc.watches, "watch").lines <- targetList(42, true, r.entry())
	stopRunner := d.serveRunner(r)
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool { return len(s.Nodes) == 1 })
	stopRunner()
	d.cmd.Process.Kill()
	await(t, d.exited, "exit of the process")
	disc.Close()
	d = startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	const jobTime = 50 * time.Millisecond // of a job on one of four cores
	var mu sync.Mutex
	var arrivals []time.Time
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
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				h.reply(202, "")
				go func() {
					d.tryReport(jobEvent(h.id(), r.uid, "started"))
					// The job runs.
					time.AfterFunc(jobTime, func() { d.tryReport(jobEvent(h.id(), r.uid, "done")) })
				}()
			case <-stop:
				return
			}
		}
	}()
	served := 0
	for i := 0; served < 12; i++ {
		a := await(t, submit(d.jobRequest("render", fmt.Sprint("j", i))), "response")
		if a.Status == 200 {
			served++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for i := range arrivals {
		work := time.Duration(0)
		for j := i; j < len(arrivals) && arrivals[j].Before(arrivals[i].Add(time.Second)); j++ {
			work += jobTime
		}
		if limit := time.Duration(0.13 * 2.5 * 4 * float64(time.Second)); work > limit {
			t.Errorf("in the second from job %d on the runner got %s of work, want %s at most", i, work, limit)
		}
	}
}

// TestDiscoveryBack checks the return of a discovery service that has lost its list. Its first
// empty list must not remove the stored runners, but drains that it sends are obeyed, and a second
// empty list confirms the removal.
func TestDiscoveryBack(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	one, two := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	await(t, disc.watches, "watch").lines <- targetList(42, true, one.entry(), two.entry())
	stopOne, stopTwo := d.serveRunner(one), d.serveRunner(two)
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool { return len(s.Nodes) == 2 })
	stopOne()
	stopTwo()
	d.cmd.Process.Kill()
	await(t, d.exited, "exit of the process")
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
		t.Errorf("the first call after an outage asks for %q, want the full list", w.query)
	}
	w.lines <- targetList(1, true) // an empty list with a lower revision
	d.awaitLog("discovery's list lacks most of what is known")
	close(w.lines)
	d.awaitRejoin("doubted", 3) // the runners may be cold and are sent limited work per second
	w = next()                  // the watch, or the second call for the full list
	for w.query == "" {
		w = next()
	}
	w.lines <- targetList(2, false, targetEntry("s-1", one.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	d.awaitRejoin("drained", 5)
	for len(one.requests) > 0 {
		<-one.requests
	}
	w.lines <- targetList(3, true) // the second empty list
	d.awaitLog("discovery has confirmed the list")
	d.awaitLog("egress target gone from the list")
	if a := await(t, submit(d.jobRequest("render", "gone")), "response"); a.Status != 503 {
		t.Errorf("a job without runners got status %d, want 503", a.Status)
	}
	if code, text := d.callConsole("GET", "/api/ready", ""); code != 200 || text != "" {
		t.Errorf("GET /api/ready returned %d %q, want 200 without a note", code, text)
	}
}

// TestExclusionsSurviveRestart checks that exclusions by operators survive a planned restart.
func TestExclusionsSurviveRestart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	r := newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	await(t, disc.watches, "watch").lines <- targetList(42, true, r.entry())
	stopRunner := d.serveRunner(r)
	d.awaitStored(dir, func(*rosterstore.Snapshot) bool { return true })
	stopRunner()
	if code, text := d.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`); code != 200 {
		t.Fatal(code, text)
	}
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, d.exited, "exit of the process")
	awaitSnapshot(t, dir, func(s *rosterstore.Snapshot) bool { return len(s.Excluded) == 1 })
	d = startWith(t, disc.URL, 1024, nil, withStoredState(dir))
	d.serveRunner(r)
	await(t, disc.watches, "watch").lines <- targetList(43, true, r.entry())
	d.awaitLog("discovery has confirmed the list")
	if a := await(t, submit(d.jobRequest("render", "x")), "response"); a.Status != 503 {
		t.Errorf("a job with only an excluded runner got response %d %s, want status 503", a.Status, a.Body)
	}
	if code, text := d.callConsole("PUT", "/api/include", `{"host":"s-1"}`); code != 200 {
		t.Fatal(code, text)
	}
	d.serveJobs("back", 1)
}

// TestStateCommands checks the state commands: show, export, import and verify.
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
		t.Errorf("show: status %d, want 0: %s", status, errs)
	}
	for uid, want := range map[string]string{"s-new": "used", "s-old": "withheld", "s-out": "barred", "s-ancient": "rejected"} {
		found := false
		for line := range strings.Lines(out) {
			found = found || strings.HasPrefix(line, uid+" ") && strings.Contains(line, " "+want+" ")
		}
		if !found {
			t.Errorf("show does not list %s as %s; output:\n%s%s", uid, want, out, errs)
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
		t.Errorf("import: status %d, want 0; stderr %q", status, errs)
	}
	reexported, _, _ := runCommand(t, nil, "state", "export", other)
	if reexported != json || json == "" {
		t.Errorf("after export and import the export is\n%s\nwant\n%s", reexported, json)
	}
	if _, _, status = runCommand(t, nil, "state", "verify", other); status != 0 {
		t.Errorf("verify: status %d, want 0", status)
	}
	files, _ := filepath.Glob(filepath.Join(other, "*.state"))
	if err := os.WriteFile(files[0], []byte("torn"), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, _, status := runCommand(t, nil, "state", "verify", other); status != 1 || !strings.Contains(out, "cut short") {
		t.Errorf("verify of a truncated file: status %d, printed %q, want status 1 and \"cut short\"", status, out)
	}
}

// newDiscoveryAt starts a fake discovery service at an address that another one used before. It is
// closed when the test ends.
func newDiscoveryAt(t *testing.T, addr string) *discovery {
	t.Helper()
	awaitPortsFree(t, addr)
	return (&discovery{watches: make(chan *watch, 64), closed: make(chan struct{})}).serveAt(t, addr)
}

// TestPlannedRestart checks that no job of a usual load is refused after a planned restart while
// discovery is down.
func TestPlannedRestart(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	disc := newDiscovery(t)
	withFreshState := func(d *dispatcher) {
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
	d := startWith(t, disc.URL, 1024, nil, withFreshState)
	await(t, disc.watches, "watch").lines <- targetList(42, true, entries...)
	var stopRunners []func()
	for _, r := range runners {
		stopRunners = append(stopRunners, d.serveRunner(r))
	}
	d.awaitStored(dir, func(s *rosterstore.Snapshot) bool { return len(s.Nodes) == 5 })
	disc.Close()
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, d.exited, "exit of the process")
	for _, stop := range stopRunners {
		stop()
	}
	older := d
	d = startWith(t, disc.URL, 1024, nil, withFreshState)
	for _, r := range runners {
		d.serveRunner(r)
	}
	served, refusals := 0, map[string]int{}
	for round := range 10 { // ten at a time, half of what the runners can run at once
		var responses []<-chan response
		for i := range 10 {
			class := "render"
			if i%5 == 4 {
				class = "once"
			}
			responses = append(responses, submit(d.jobRequest(class, fmt.Sprintf("after-%d-%d", round, i))))
		}
		for _, got := range responses {
			a := await(t, got, "response")
			if a.Status == 200 {
				served++
				continue
			}
			refusals[fmt.Sprintf("%d %s %v", a.Status, strings.TrimSpace(a.Body), a.Err)]++
		}
	}
	if served < 100 {
		t.Errorf("%d of 100 jobs were served after a planned restart, want all; the others got %v; log:\n%s\nlog of the older process:\n%s", served, refusals, d.log(), older.log())
	}
}
