package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"frosttide/internal/dispatcher/handover"
)

// TestConsole guards the operators' console: it answers each request within the 1 s that callers
// wait, however many connections are open and silent, rejects malformed requests, and reports not
// ready while the process drains.
func TestConsole(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	open := submit(d.jobRequest("render", "x1"))
	await(t, r.requests, "attempt").reply(202, "")
	for range 100 {
		silent, err := net.Dial("tcp", d.consoleAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
	}
	for _, tc := range []struct {
		method, path, body string
		status             int
	}{
		{"GET", "/api/ready", "", 200},
		{"PUT", "/api/ready", "", 405},
		{"GET", "/api/else", "", 404},
		{"GET", "/api/exclude", "", 405},
		{"PUT", "/api/exclude", `{"host":"s-nobody"}`, 404},
		{"PUT", "/api/include", `{"host":"s-nobody"}`, 404},
		{"PUT", "/api/exclude", `{"host":`, 400},
		{"PUT", "/api/exclude", `{"host":7}`, 400},
		{"PUT", "/api/exclude", `{}`, 400},
		{"PUT", "/api/exclude", `{"host":"` + strings.Repeat("x", 5000) + `"}`, 400},
		{"PUT", "/api/exclude", `{"host":"s-1"}`, 200},
		{"PUT", "/api/exclude", `{"host":"s-1"}`, 200},
		{"PUT", "/api/include", `{"host":"s-1"}`, 200},
		{"PUT", "/api/include", `{"host":"s-1"}`, 200},
	} {
		if status, text := d.callConsole(tc.method, tc.path, tc.body); status != tc.status {
			t.Errorf("%s %s %s got status %d, body %q, want status %d", tc.method, tc.path, tc.body, status, text, tc.status)
		}
	}
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("frosttide drains")
	if status, _ := d.callConsole("GET", "/api/ready", ""); status != 503 {
		t.Errorf("ready got status %d while the process drains, want 503", status)
	}
	d.sendReport(jobEvent("x1", r.uid, "done"))
	await(t, open, "response")
}

// TestInheritedListener guards the start of a process next to one that serves: the platform owns
// the listening socket, both processes accept from it, and the exit of one closes it for neither.
func TestInheritedListener(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-1")
	old := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener)
	next := old.startSuccessor()
	if status, text := next.callConsole("GET", "/api/ready", ""); status != 200 {
		t.Errorf("ready got status %d, body %q, want status 200", status, text)
	}
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := await(t, old.exited, "exit of the older process"); err != nil {
		t.Errorf("the older process exited with %v, want success", err)
	}
	got := submit(next.jobRequest("render", "x1"))
	await(t, r.requests, "attempt").reply(202, "")
	next.sendReport(jobEvent("x1", r.uid, "done"))
	if a := await(t, got, "response"); a.Status != 200 {
		t.Errorf("got response %+v after the older process exited, want status 200", a)
	}
}

// TestExclude guards operators' exclusion of a runner: it holds against all later changes from
// discovery, and the runner is used again as soon as operators include it.
func TestExclude(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, a.entry(), b.entry())
	w := await(t, disc.watches, "watch")
	jobs := 0
	serveJob := func(want string) (at *runner) {
		jobs++
		id := fmt.Sprintf("x%d", jobs)
		got := submit(d.jobRequest("render", id))
		var h *runnerRequest
		select {
		case h = <-a.requests:
			at = a
		case h = <-b.requests:
			at = b
		case <-time.After(testTimeout):
			t.Fatalf("no attempt of job %d before the timeout", jobs)
		}
		h.reply(202, "")
		d.sendReport(jobEvent(id, at.uid, "started"))
		d.sendReport(jobEvent(id, at.uid, "done"))
		await(t, got, "response")
		if want != "" && at.uid != want {
			t.Errorf("job %d went to %s, want %s", jobs, at.uid, want)
		}
		return at
	}
	if status, text := d.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`); status != 200 {
		t.Fatalf("exclude got status %d, body %q, want 200", status, text)
	}
	for rev, lines := range [][]string{
		{},
		{targetList(42, false, targetEntry("s-1", a.addr, "DRAINING"))},
		{targetList(43, false, a.entry())},
		{targetList(44, true, b.entry()), targetList(45, false, a.entry())}, // removed and added again
		{targetList(46, true, a.entry(), b.entry())},
	} {
		for _, line := range lines {
			w.lines <- line
		}
		if len(lines) > 0 { // the log line of a third runner shows that they have been applied
			mark := fmt.Sprintf("s-mark%d", rev)
			w.lines <- targetList(100+rev, false, targetEntry(mark, "127.0.0.1:1", "DRAINING"))
			d.awaitLog("egress target drains\" name=n0 part=core target=" + mark)
		}
		for range 12 {
			serveJob("s-2")
		}
	}
	if status, text := d.callConsole("PUT", "/api/include", `{"host":"s-1"}`); status != 200 {
		t.Fatalf("include got status %d, body %q, want 200", status, text)
	}
	serveJob("s-1")
}

// TestUpgrade guards the handover between processes. The newer process knows what discovery and
// operators told the older one. A report reaches the process that holds the job, whichever process
// receives it. The older process accepts nothing new, while its jobs, and the requests on the
// connections that it keeps, continue in the newer one.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		edit func(*dispatcher)
	}{
		{"plain", func(*dispatcher) {}},
		{"leftover", func(d *dispatcher) { // the sockets of a killed process
			peer := listenUnix(t, handover.Path(tmpdir(d), d.addr))
			peer.SetUnlinkOnClose(false)
			peer.Close()
			if err := os.WriteFile(handover.Path(tmpdir(d), d.addr)+".new", nil, 0o600); err != nil {
				t.Fatal(err)
			}
		}},
		{"long path", func(d *dispatcher) {
			long := filepath.Join(tmpdir(d), strings.Repeat("long/", 30))
			if err := os.MkdirAll(long, 0o700); err != nil {
				t.Fatal(err)
			}
			d.cmd.Env = append(d.cmd.Env, "TMPDIR="+long)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			a, b, x := newRunner(t, "s-1"), newRunner(t, "s-2"), newRunner(t, "s-3")
			disc := newDiscovery(t)
			old := startWith(t, disc.URL, 1024, []string{a.entry()}, withInheritedListener, tc.edit)
			w := await(t, disc.watches, "watch")
			w.lines <- targetList(57, false, b.entry(), x.entry())
			old.awaitLog("target=s-3")
			for _, uid := range []string{"s-1", "s-2"} {
				if status, text := old.callConsole("PUT", "/api/exclude", `{"host":"`+uid+`"}`); status != 200 {
					t.Fatalf("exclude got status %d, body %q, want 200", status, text)
				}
			}
			kept := &http.Client{Transport: &http.Transport{}}
			send := func(d *dispatcher, id string) <-chan response {
				got := make(chan response, 1)
				go func() { got <- do(kept, d.jobRequest("render", id)) }()
				return got
			}
			// Sent before the newer process starts, so the older one holds this connection.
			first := send(old, "x0")
			await(t, x.requests, "attempt").reply(202, "")
			pending := send(old, "x9") // no runner has accepted it, so it can't be handed over
			pendingAttempt := await(t, x.requests, "attempt")
			next := old.startSuccessor()
			if q := await(t, disc.watches, "the newer process's watch").query; q != "watch=1&from=57" {
				t.Errorf("the newer process sent discovery the query %q, want watch=1&from=57", q)
			}
			if status, text := next.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`); status != 200 {
				t.Errorf("exclude at the newer process got status %d, body %q, want 200", status, text)
			}
			if status, text := next.callConsole("PUT", "/api/include", `{"host":"s-2"}`); status != 200 {
				t.Errorf("include at the newer process got status %d, body %q, want 200", status, text)
			}
			old.awaitLog("operators have moved a runner\" name=n0 out=false")
			if code := next.sendReport(jobEvent("x0", x.uid, "running")); code != 204 {
				t.Errorf("a report on a job that one of the two processes holds got status %d, want 204", code)
			}
			if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			old.awaitLog("frosttide drains")
			for { // until the older process accepts no more connections
				status, _ := old.callConsole("GET", "/api/ready", "")
				if status == 503 {
					break
				}
			}
			// From here on only the newer process receives reports. The report is retried while the
			// job is being handed over.
			for next.sendReport(jobEvent("x0", x.uid, "started")) != 204 {
			}
			if code := next.sendReport(jobEvent("nobodys", x.uid, "started")); code != 503 {
				t.Errorf("a report on a job that neither process holds got status %d, want 503", code)
			}
			// The older process ran until here and might have held the job of the last report.
			pendingAttempt.reply(400, "")
			if a := await(t, pending, "response"); a.Status != 400 {
				t.Errorf("got response %+v to the job that was not handed over, want status 400", a)
			}
			fresh := submit(next.jobRequest("render", "x1"))
			await(t, x.requests, "attempt").reply(202, "")
			next.sendReport(jobEvent("x1", x.uid, "started"))
			for next.sendReport(jobEvent("x0", x.uid, "done")) != 204 {
			}
			if a := await(t, first, "response"); a.Status != 200 || a.Close || a.Body != "clip of x0 by s-3" {
				t.Errorf("got response %+v to the job of the older process, want its result and an open connection", a)
			}
			if err := await(t, old.exited, "exit of the older process"); err != nil {
				t.Errorf("the older process exited with %v, want success", err)
			}
			next.awaitLog("the other process has ended")
			if f := next.metrics(); f[`completed{lane="render"}`] != 1 || f[`upstream_requests{lane="render"}`] != 1 {
				t.Errorf("the job that was handed over was sent again or counted elsewhere; metrics: %v", f)
			}
			if code := next.sendReport(jobEvent("x1", x.uid, "done")); code != 204 {
				t.Errorf("a report got status %d, want 204", code)
			}
			if a := await(t, fresh, "response"); a.Status != 200 {
				t.Errorf("got response %+v from the newer process, want status 200", a)
			}
			third := next.startSuccessor() // takes over from the second process
			if status, _ := third.callConsole("PUT", "/api/exclude", `{"host":"s-2"}`); status != 200 {
				t.Errorf("exclude at the third process got status %d, want 200", status)
			}
		})
	}
}

// TestMalformedHandoverPeer guards the start of a process next to one that sends invalid handover
// data, and a serving process against a peer that connects and does the same.
func TestMalformedHandoverPeer(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, text string }{
		{"silent", ""}, {"garbage", "\x00\xff{]\n"}, {"nonsense", `{"state":7}` + "\n"}, {"endless", strings.Repeat("x", 5<<20)},
		{"odd state", `{"state":{"discovery":"","list":{"rev":-1,"targets":7},"core":{"excluded":[""],"health":null}}}` + "\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			var path string
			began := time.Now()
			early := make(chan int, 1) // status of the console while the process waits for the peer
			d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener, func(d *dispatcher) {
				path = handover.Path(tmpdir(d), d.addr)
				peer := listenUnix(t, path)
				go func() {
					c, err := peer.Accept()
					if err != nil {
						return
					}
					if a := do(&http.Client{Timeout: time.Second}, readyRequest(d)); tc.text == "" {
						early <- a.Status
					}
					io.WriteString(c, tc.text)
					io.Copy(io.Discard, c)
				}()
			})
			if tc.text == "" {
				if status := await(t, early, "response of the console"); status != 503 {
					t.Errorf("ready got status %d before the process serves, want 503", status)
				}
			}
			if took := time.Since(began); took > 6*time.Second {
				t.Errorf("the process was ready after %v, want at most 6 s", took)
			}
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go io.WriteString(c, tc.text)
			got := submit(d.jobRequest("render", "x1"))
			await(t, r.requests, "attempt").reply(202, "")
			for d.sendReport(jobEvent("x1", r.uid, "done")) != 204 {
			}
			if a := await(t, got, "response"); a.Status != 200 {
				t.Errorf("got response %+v, want status 200", a)
			}
		})
	}
}

// readyRequest returns a request to the console that asks whether a process of the dispatcher
// serves.
func readyRequest(d *dispatcher) *http.Request {
	req, err := http.NewRequest("GET", "http://"+d.consoleAddr+"/api/ready", nil)
	if err != nil {
		panic(err) // cannot happen: the address is valid
	}
	return req
}

// listenUnix listens on a Unix socket that is closed when the test ends.
func listenUnix(t *testing.T, path string) *net.UnixListener {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// tmpdir returns the temporary folder that all processes of a dispatcher share.
func tmpdir(d *dispatcher) string {
	for _, v := range slices.Backward(d.cmd.Env) {
		if dir, ok := strings.CutPrefix(v, "TMPDIR="); ok {
			return dir
		}
	}
	d.t.Fatal("no TMPDIR in the environment of the program")
	return ""
}

// TestTelemetry guards the metrics: every series exists from the start, and each counts what its
// name says, including responses of the ingress itself and reloads.
func TestTelemetry(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	want := map[string]float64{"pending": 0, "members": 1, "members_unavailable": 0, "config_reloads": 0, "config_reload_errors": 0}
	for _, class := range []string{"render", "release", "once"} {
		for _, name := range []string{"completed", "rejected", "failed", "upstream_requests"} {
			want[name+`{lane="`+class+`"}`] = 0
		}
	}
	compareMetrics := func(when string) {
		t.Helper()
		var diff string
		for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
			if diff = cmp.Diff(want, d.metrics()); diff == "" {
				return
			}
		}
		t.Fatalf("%s the metrics differ (-want +got):\n%s", when, diff)
	}
	compareMetrics("at the start")
	got := submit(d.jobRequest("render", "x1"))
	h := await(t, r.requests, "attempt")
	want["pending"], want[`upstream_requests{lane="render"}`] = 1, 1
	compareMetrics("with a job open")
	h.reply(202, "")
	d.sendReport(jobEvent("x1", r.uid, "done"))
	await(t, got, "response")
	want["pending"], want[`completed{lane="render"}`] = 0, 1
	got = submit(d.jobRequest("once", "x2"))
	await(t, r.requests, "attempt").reply(500, "")
	await(t, got, "response")
	want[`failed{lane="once"}`], want[`upstream_requests{lane="once"}`] = 1, 1
	got = submit(d.jobRequest("release", "x3", func(r *http.Request) { r.Header.Del("Idempotency-Key") }))
	await(t, got, "response")
	want[`failed{lane="release"}`] = 1
	d.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`)
	want["members_unavailable"] = 1
	got = submit(d.jobRequest("render", "x4"))
	await(t, got, "response")
	want[`rejected{lane="render"}`] = 1
	d.reload(`{"name":`)
	want["config_reload_errors"] = 1
	compareMetrics("after a job of each outcome")
	d.reload(fmt.Sprintf(d.cfg, "127.0.0.1:1"))
	want["config_reloads"] = 1
	compareMetrics("after a reload")
}

// metrics reads the current metrics from the console, by name without the prefix "edge_balancer_".
func (d *dispatcher) metrics() map[string]float64 {
	d.t.Helper()
	status, text := d.callConsole("GET", "/api/telemetry", "")
	if status != 200 {
		d.t.Fatalf("telemetry got status %d, body %q, want status 200", status, text)
	}
	got := map[string]float64{}
	for line := range strings.Lines(text) {
		if name, value, _ := strings.Cut(strings.TrimSpace(line), " "); name != "#" {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				d.t.Fatalf("the metric line %q has no numeric value", line)
			}
			got[strings.TrimPrefix(name, "edge_balancer_")] = n
		}
	}
	return got
}

// TestSettings guards the reload of settings. Classes are matched by name wherever they stand in
// the file, are added, removed and changed with it, including their effect. Open jobs,
// operators' exclusions and metric series survive. An invalid file changes nothing at all, not even
// the address of discovery.
func TestSettings(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, a.entry())
	w := await(t, disc.watches, "watch")
	accepted := submit(d.jobRequest("render", "x0"))
	await(t, a.requests, "attempt").reply(202, "")
	w.lines <- targetList(42, false, b.entry())
	d.awaitLog("target=s-2")
	file := fmt.Sprintf(d.cfg, strings.TrimPrefix(disc.URL, "http://"))
	const first = `{"name":"render","effect":"safe",`
	const classes = `"request-classes":[`
	reloads, reloadErrors := 0.0, 0.0
	reload := func(cfg string) { // and waits until it has been processed
		t.Helper()
		d.reload(cfg)
		for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); {
			if f := d.metrics(); f["config_reloads"] == reloads && f["config_reload_errors"] == reloadErrors {
				return
			}
		}
		t.Fatalf("want %v reloads and %v errors, got metrics %v", reloads, reloadErrors, d.metrics())
	}
	bad := []struct{ old, new string }{
		{file, ""}, {file, file[:len(file)-1]}, {file, file + "x"}, {file, "[]"},
		{`"send-cap":4`, `"send-cap":0`}, {`"send-cap":4`, `"send-cap":"4"`}, {`"send-cap":4,`, ``}, {`"send-cap":4`, `"send-cap":null`},
		{`"give-up":20000000,"worth":1}`, `"give-up":-5,"worth":1}`}, {`"give-up":20000000,"worth":1}`, `"give-up":0,"worth":1}`},
		{`"give-up":20000000,"worth":1}`, `"give-up":"soon","worth":1}`}, {`"give-up":20000000,"worth":1}`, `"worth":1}`},
		{`"aim":2000000,"give-up":20000000,"worth":1}`, `"give-up":20000000,"worth":1}`},
		{`"seed":"8c1f30d27a5be964",`, ``}, {`"rules":{"ask-within":1000000,`, `"rules":{`}, {`"name":"once"`, `"name":"render"`},
	}
	var open <-chan response
	var other *runner // the runner that did not get this job
	var h *runnerRequest
	for i, change := range bad {
		cfg := strings.Replace(file, change.old, change.new, 1)
		if cfg == file {
			t.Fatalf("no text to replace by %s", change.new)
		}
		// A runner has 1 s to accept a job, which may be too short for all the reloads.
		if i == len(bad)-1 {
			open = submit(d.jobRequest("render", "x1"))
			other, h = nextAttemptAtEither(t, a, b)
		}
		reloadErrors++
		reload(strings.Replace(cfg, disc.URL[len("http://"):], "127.0.0.1:1", 1))
	}
	select {
	case <-w.callEnded:
		t.Errorf("an invalid file has changed the address of discovery")
	default:
	}

	// The class render is removed, another class takes its place, and a new class comes first.
	reloads++
	reload(strings.Replace(strings.Replace(file, classes, classes+strings.Replace(first, "render", "new", 1)+
		`"aim":2000000,"give-up":20000000,"worth":1},`, 1), first, `{"name":"other","effect":"unsafe",`, 1))
	if got := await(t, submit(d.jobRequest("render", "x2")), "response"); got.Status != 400 {
		t.Errorf("got response %+v to a job of a removed class, want status 400", got)
	}
	h.reply(500, "")
	h = await(t, other.requests, "second attempt of the open job, whose class may be retried")
	if h.id() != "x1" {
		t.Errorf("the second attempt is of job %s, want x1", h.id())
	}
	h.reply(202, "")
	d.sendReport(jobEvent("x1", other.uid, "done"))
	if got := await(t, open, "response"); got.Status != 200 {
		t.Errorf("got response %+v to the open job, want status 200", got)
	}
	d.sendReport(jobEvent("x0", a.uid, "failed"))
	h = await(t, b.requests, "second attempt of the accepted job, whose class may be retried")
	if h.id() != "x0" {
		t.Errorf("the second attempt is of job %s, want x0", h.id())
	}
	h.reply(202, "")
	d.sendReport(jobEvent("x0", b.uid, "done"))
	if got := await(t, accepted, "response"); got.Status != 200 {
		t.Errorf("got response %+v to the accepted job, want status 200", got)
	}
	d.callConsole("PUT", "/api/exclude", `{"host":"s-2"}`)
	// The class render is back with a stricter effect, and jobs get one attempt.
	reloads++
	reload(strings.Replace(strings.Replace(file, first, `{"name":"render","effect":"unsafe",`, 1), `"send-cap":4`, `"send-cap":1`, 1))
	for class, status := range map[string]int{"render": 502, "release": 502} {
		got := submit(d.jobRequest(class, "y-"+class))
		await(t, a.requests, "attempt").reply(500, "")
		if got := await(t, got, "response"); got.Status != status {
			t.Errorf("%s: got response %+v, want status %d", class, got, status)
		}
	}
	f := d.metrics()
	for name, n := range map[string]float64{`completed{lane="render"}`: 2, `failed{lane="render"}`: 1, `upstream_requests{lane="render"}`: 5,
		`failed{lane="new"}`: 0, `failed{lane="release"}`: 1, `members_unavailable`: 2} {
		if got, ok := f[name]; !ok || got != n {
			t.Errorf("metric %s is %v (present: %t), want %v", name, got, ok, n)
		}
	}
}

// nextAttemptAtEither returns the next attempt at one of two runners, and the runner that did not
// get it.
func nextAttemptAtEither(t *testing.T, a, b *runner) (other *runner, h *runnerRequest) {
	t.Helper()
	select {
	case h = <-a.requests:
		return b, h
	case h = <-b.requests:
		return a, h
	case <-time.After(testTimeout):
		t.Fatal("no attempt before the timeout")
		panic("unreachable")
	}
}

// requestReadTimeout is the time in which the front must have read a request completely; it is
// stated to clients.
const requestReadTimeout = 2750 * time.Millisecond

// writeJobSlowly writes a valid job in pieces over more than 2 s on a new connection, while other
// clients fill the listener: some send one request and keep the connection, some never finish a
// request. It returns the response to the job, the ends of the connections that never finish, and
// whether the machine was too busy to write the job within requestReadTimeout: in that case the
// front may abort it.
func writeJobSlowly(t *testing.T, d *dispatcher) (got <-chan response, closes []<-chan response, late bool) {
	t.Helper()
	const (
		pieces   = 12
		interval = 200 * time.Millisecond
	)
	var text bytes.Buffer
	if err := d.jobRequest("render", "x1").Write(&text); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	c := d.dialAndWrite("")
	got = readResponse(c)
	size := text.Len() / pieces
	write := func(piece []byte) bool {
		_, err := c.Write(piece)
		if err != nil && time.Since(began) < requestReadTimeout {
			t.Fatalf("write failed after %v: %v", time.Since(began), err)
		}
		return err == nil
	}
	// The pace of this client is under test, so it does not depend on the other clients.
	for i := range pieces - 1 {
		if !write(text.Next(size)) {
			return got, closes, true
		}
		for range 10 {
			await(t, readResponse(d.dialAndWrite("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")), "response to a health check")
		}
		for range 2 {
			closes = append(closes, readResponse(d.dialAndWrite("POST /render HTTP/1.1\r\nHost: x\r\nX-Never")))
		}
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * interval)))
	}
	written := write(text.Bytes())
	took := time.Since(began)
	if took < 2*time.Second {
		t.Fatalf("the job was written within %v, want at least 2 s", took)
	}
	return got, closes, !written || took >= requestReadTimeout
}

// TestSlowClient guards a valid job that is written slowly on a new connection while other clients
// fill the listener; requests that never finish are ended in time. If the machine is too busy to
// write the job within requestReadTimeout, which does not depend on the listener, the test writes
// it again.
func TestSlowClient(t *testing.T) {
	t.Parallel()
	const tries = 5
	r := newRunner(t, "s-1")
	d := start(t, newDiscovery(t).URL, 64, r.entry())
	for range tries {
		got, closes, late := writeJobSlowly(t, d)
		done := false
		select {
		case h := <-r.requests:
			h.reply(202, "")
			d.sendReport(jobEvent("x1", r.uid, "done"))
			if a := await(t, got, "response"); a.Status != 200 {
				t.Errorf("got response %+v to the slow job, want status 200", a)
			}
			done = true
		case a := <-got:
			if !late {
				t.Fatalf("got response %+v to the slow job before it was dispatched", a)
			}
		}
		for _, end := range closes {
			await(t, end, "end of a connection with an incomplete request")
		}
		if took := time.Since(*d.lastDial.Load()); took > 3*time.Second {
			t.Errorf("a connection with an incomplete request lasted %v, want at most 3 s", took)
		}
		if done {
			return
		}
	}
	t.Fatalf("the machine was too busy to write a job within %v in each of %d tries", requestReadTimeout, tries)
}

// TestSuccessorFails guards the older process against a newer one that dies or hangs: it continues
// as before, or answers every job in time.
func TestSuccessorFails(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
		status int // status of the job that is open when the older process exits
	}{{"killed", syscall.SIGKILL, 200}, {"stopped", syscall.SIGSTOP, 502}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			old := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener)
			open := submit(old.jobRequest("release", "x1"))
			await(t, r.requests, "attempt").reply(202, "")
			next := old.startSuccessor()
			if err := next.cmd.Process.Signal(tc.signal); err != nil {
				t.Fatal(err)
			}
			if tc.signal == syscall.SIGKILL {
				old.awaitLog("the other process has ended")
				got := submit(old.jobRequest("render", "x2"))
				await(t, r.requests, "attempt").reply(202, "")
				old.sendReport(jobEvent("x2", r.uid, "done"))
				if a := await(t, got, "response"); a.Status != 200 {
					t.Errorf("got response %+v after the newer process was killed, want status 200", a)
				}
			}
			// SIGSTOP takes effect asynchronously.
			for deadline := time.Now().Add(testTimeout); tc.signal == syscall.SIGSTOP; {
				stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", next.cmd.Process.Pid))
				if err != nil || time.Now().After(deadline) {
					t.Fatalf("the newer process is not stopped: stat %s, error %v", stat, err)
				}
				if strings.Contains(string(stat), ") T ") {
					break
				}
			}
			terminated := time.Now()
			if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			old.awaitLog("frosttide drains")
			if tc.signal == syscall.SIGKILL { // it still serves, above all for reports
				if code := old.sendReport(jobEvent("x1", r.uid, "done")); code != 204 {
					t.Errorf("a report after SIGTERM got status %d, want 204", code)
				}
			}
			if a := await(t, open, "response"); a.Status != tc.status || time.Since(terminated) > 3600*time.Millisecond {
				t.Errorf("got response %+v %v after SIGTERM, want status %d within 3.6 s", a, time.Since(terminated), tc.status)
			}
			if err := await(t, old.exited, "exit of the older process"); err != nil {
				t.Errorf("the older process exited with %v, want success", err)
			}
		})
	}
}

// TestSlowListLine guards a line of the target list that takes longer to arrive than discovery may
// be silent.
func TestSlowListLine(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024)
	w := await(t, disc.watches, "watch")
	line := targetList(42, false, r.entry())
	for len(line) > 20 { // the pace of discovery is under test
		w.lines <- line[:20] + partialLine
		line = line[20:]
		time.Sleep(700 * time.Millisecond)
	}
	w.lines <- line
	d.awaitLog("target=s-1")
	select {
	case <-w.callEnded:
		t.Error("the dispatcher ended the watch, want it to stay open")
	default:
	}
}
