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

// TestConsole guards the operators' console: it answers each call within the second that
// a caller waits, however many callers connect and send nothing, distinguishes a bad call from
// a good one, and says not ready once the process drains.
func TestConsole(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	open := submit(d.jobRequest("render", "x1"))
	await(t, r.requests, "hop").reply(202, "")
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
			t.Errorf("%s %s %s got %d %q, want %d", tc.method, tc.path, tc.body, status, text, tc.status)
		}
	}
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("frosttide drains")
	if status, _ := d.callConsole("GET", "/api/ready", ""); status != 503 {
		t.Errorf("ready got %d while the process drains", status)
	}
	d.sendReport(jobEvent("x1", r.uid, "done"))
	await(t, open, "answer")
}

// TestInherited guards the start beside a process that serves: the socket is the
// platform's, both take from it, and the end of one closes it for neither.
func TestInherited(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-1")
	old := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener)
	next := old.startSuccessor()
	if status, text := next.callConsole("GET", "/api/ready", ""); status != 200 {
		t.Errorf("ready got %d %q", status, text)
	}
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := await(t, old.exited, "end"); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	got := submit(next.jobRequest("render", "x1"))
	await(t, r.requests, "hop").reply(202, "")
	next.sendReport(jobEvent("x1", r.uid, "done"))
	if a := await(t, got, "answer"); a.Status != 200 {
		t.Errorf("answer %+v after the old process's end", a)
	}
}

// TestExclude guards what operators say of a runner against all that discovery says
// of it later, and has it used again from the moment that they put it back.
func TestExclude(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, a.entry(), b.entry())
	w := await(t, disc.watches, "watch")
	jobs := 0
	serve := func(want string) (at *runner) {
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
			t.Fatalf("no hop for job %d", jobs)
		}
		h.reply(202, "")
		d.sendReport(jobEvent(id, at.uid, "started"))
		d.sendReport(jobEvent(id, at.uid, "done"))
		await(t, got, "answer")
		if want != "" && at.uid != want {
			t.Errorf("job %d went to %s, want %s", jobs, at.uid, want)
		}
		return at
	}
	if status, text := d.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`); status != 200 {
		t.Fatalf("exclude got %d %q", status, text)
	}
	for rev, lines := range [][]string{
		{},
		{targetList(42, false, targetEntry("s-1", a.addr, "DRAINING"))},
		{targetList(43, false, a.entry())},
		{targetList(44, true, b.entry()), targetList(45, false, a.entry())}, // removed, and back
		{targetList(46, true, a.entry(), b.entry())},
	} {
		for _, line := range lines {
			w.lines <- line
		}
		if len(lines) > 0 { // a third runner tells that they have arrived
			mark := fmt.Sprintf("s-mark%d", rev)
			w.lines <- targetList(100+rev, false, targetEntry(mark, "127.0.0.1:1", "DRAINING"))
			d.awaitLog("egress target drains\" name=n0 part=core target=" + mark)
		}
		for range 12 {
			serve("s-2")
		}
	}
	if status, text := d.callConsole("PUT", "/api/include", `{"host":"s-1"}`); status != 200 {
		t.Fatalf("include got %d %q", status, text)
	}
	serve("s-1")
}

// TestUpgrade guards the change of processes: the newer one knows what the older one
// was told, by discovery and by operators; reports find the process that holds the
// job, whichever they come to; and the older one takes nothing new, while the jobs that
// it holds, and those that come on the connections that it keeps, go on in the newer.
func TestUpgrade(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		edit func(*dispatcher)
	}{
		{"plain", func(*dispatcher) {}},
		{"leftover", func(d *dispatcher) { // of a process that was killed
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
					t.Fatalf("exclude got %d %q", status, text)
				}
			}
			kept := &http.Client{Transport: &http.Transport{}}
			send := func(d *dispatcher, id string) <-chan response {
				got := make(chan response, 1)
				go func() { got <- do(kept, d.jobRequest("render", id)) }()
				return got
			}
			first := send(old, "x0") // before there is another process, so it holds this connection
			await(t, x.requests, "hop").reply(202, "")
			stays := send(old, "x9") // no runner has taken it, so it can't be handed over
			untaken := await(t, x.requests, "hop")
			next := old.startSuccessor()
			if q := await(t, disc.watches, "the newer process's watch").query; q != "watch=1&from=57" {
				t.Errorf("the newer process asks discovery for %q", q)
			}
			if status, text := next.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`); status != 200 {
				t.Errorf("exclude got %d %q from the newer process", status, text)
			}
			if status, text := next.callConsole("PUT", "/api/include", `{"host":"s-2"}`); status != 200 {
				t.Errorf("include got %d %q from the newer process", status, text)
			}
			old.awaitLog("operators have moved a runner\" name=n0 out=false")
			if code := next.sendReport(jobEvent("x0", x.uid, "running")); code != 204 {
				t.Errorf("call-back for a job of one of both processes got %d", code)
			}
			if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			old.awaitLog("frosttide drains")
			for { // until the older one accepts no more
				status, _ := old.callConsole("GET", "/api/ready", "")
				if status == 503 {
					break
				}
			}
			// Reports come to the newer process alone from here on.
			for next.sendReport(jobEvent("x0", x.uid, "started")) != 204 { // repeated while the job is on its way
			}
			if code := next.sendReport(jobEvent("nobodys", x.uid, "started")); code != 503 {
				t.Errorf("call-back for a job that neither holds got %d", code)
			}
			untaken.reply(400, "") // until here the older one lives, and might have held that job
			if a := await(t, stays, "answer"); a.Status != 400 {
				t.Errorf("answer %+v to the job that stayed", a)
			}
			fresh := submit(next.jobRequest("render", "x1"))
			await(t, x.requests, "hop").reply(202, "")
			next.sendReport(jobEvent("x1", x.uid, "started"))
			for next.sendReport(jobEvent("x0", x.uid, "done")) != 204 {
			}
			if a := await(t, first, "answer"); a.Status != 200 || a.Close || a.Body != "clip of x0 by s-3" {
				t.Errorf("answer %+v to the job of the older process, want a result", a)
			}
			if err := await(t, old.exited, "end"); err != nil {
				t.Errorf("the older process ended with %v", err)
			}
			next.awaitLog("the other process has ended")
			if f := next.metrics(); f[`completed{lane="render"}`] != 1 || f[`upstream_requests{lane="render"}`] != 1 {
				t.Errorf("the job handed over was sent again, or counts elsewhere: %v", f)
			}
			if code := next.sendReport(jobEvent("x1", x.uid, "done")); code != 204 {
				t.Errorf("call-back got %d", code)
			}
			if a := await(t, fresh, "answer"); a.Status != 200 {
				t.Errorf("answer %+v of the newer process", a)
			}
			third := next.startSuccessor() // from the one that took over
			if status, _ := third.callConsole("PUT", "/api/exclude", `{"host":"s-2"}`); status != 200 {
				t.Errorf("exclude got %d from the third process", status)
			}
		})
	}
}

// TestBadPeer guards the start beside a process that can't be made out, and a process
// in service against one that calls and talks nonsense.
func TestBadPeer(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ name, says string }{
		{"silent", ""}, {"garbage", "\x00\xff{]\n"}, {"nonsense", `{"state":7}` + "\n"}, {"endless", strings.Repeat("x", 5<<20)},
		{"odd state", `{"state":{"discovery":"","list":{"rev":-1,"targets":7},"core":{"excluded":[""],"health":null}}}` + "\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			var path string
			began := time.Now()
			early := make(chan int, 1) // what the console says while the peer is waited for
			d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener, func(d *dispatcher) {
				path = handover.Path(tmpdir(d), d.addr)
				peer := listenUnix(t, path)
				go func() {
					c, err := peer.Accept()
					if err != nil {
						return
					}
					if a := do(&http.Client{Timeout: time.Second}, readyRequest(d)); tc.says == "" {
						early <- a.Status
					}
					io.WriteString(c, tc.says)
					io.Copy(io.Discard, c)
				}()
			})
			if tc.says == "" {
				if status := await(t, early, "answer of the console"); status != 503 {
					t.Errorf("ready got %d before the process serves", status)
				}
			}
			if took := time.Since(began); took > 6*time.Second {
				t.Errorf("the process was ready after %v", took)
			}
			c, err := net.Dial("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			go io.WriteString(c, tc.says)
			got := submit(d.jobRequest("render", "x1"))
			await(t, r.requests, "hop").reply(202, "")
			for d.sendReport(jobEvent("x1", r.uid, "done")) != 204 {
			}
			if a := await(t, got, "answer"); a.Status != 200 {
				t.Errorf("answer %+v", a)
			}
		})
	}
}

// readyRequest asks whether a dispatcher's process serves.
func readyRequest(d *dispatcher) *http.Request {
	req, err := http.NewRequest("GET", "http://"+d.consoleAddr+"/api/ready", nil)
	if err != nil {
		panic(err) // the address is ours
	}
	return req
}

func listenUnix(t *testing.T, path string) *net.UnixListener {
	t.Helper()
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// tmpdir is the folder that a dispatcher's processes share.
func tmpdir(d *dispatcher) string {
	for _, v := range slices.Backward(d.cmd.Env) {
		if dir, ok := strings.CutPrefix(v, "TMPDIR="); ok {
			return dir
		}
	}
	d.t.Fatal("no TMPDIR")
	return ""
}

// TestTelemetry guards the figures: every series is there from the start, each counts
// what its name says, also what the ingress answers by itself, and reloads.
func TestTelemetry(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	want := map[string]float64{"pending": 0, "members": 1, "members_unavailable": 0, "config_reloads": 0, "config_reload_errors": 0}
	for _, class := range []string{"render", "release", "once"} {
		for _, name := range []string{"completed", "rejected", "failed", "upstream_requests"} {
			want[name+`{lane="`+class+`"}`] = 0
		}
	}
	compare := func(when string) {
		t.Helper()
		var diff string
		for over := time.Now().Add(testTimeout); time.Now().Before(over); {
			if diff = cmp.Diff(want, d.metrics()); diff == "" {
				return
			}
		}
		t.Fatalf("%s the figures differ (-want +got):\n%s", when, diff)
	}
	compare("at the start")
	got := submit(d.jobRequest("render", "x1"))
	h := await(t, r.requests, "hop")
	want["pending"], want[`upstream_requests{lane="render"}`] = 1, 1
	compare("with a job open")
	h.reply(202, "")
	d.sendReport(jobEvent("x1", r.uid, "done"))
	await(t, got, "answer")
	want["pending"], want[`completed{lane="render"}`] = 0, 1
	got = submit(d.jobRequest("once", "x2"))
	await(t, r.requests, "hop").reply(500, "")
	await(t, got, "answer")
	want[`failed{lane="once"}`], want[`upstream_requests{lane="once"}`] = 1, 1
	got = submit(d.jobRequest("release", "x3", func(r *http.Request) { r.Header.Del("Idempotency-Key") }))
	await(t, got, "answer")
	want[`failed{lane="release"}`] = 1
	d.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`)
	want["members_unavailable"] = 1
	got = submit(d.jobRequest("render", "x4"))
	await(t, got, "answer")
	want[`rejected{lane="render"}`] = 1
	d.reload(`{"name":`)
	want["config_reload_errors"] = 1
	compare("after an end of each kind")
	d.reload(fmt.Sprintf(d.cfg, "127.0.0.1:1"))
	want["config_reloads"] = 1
	compare("after a reload")
}

// metrics reads the metrics, by their names without the prefix.
func (d *dispatcher) metrics() map[string]float64 {
	d.t.Helper()
	status, text := d.callConsole("GET", "/api/telemetry", "")
	if status != 200 {
		d.t.Fatalf("telemetry got %d %q", status, text)
	}
	got := map[string]float64{}
	for line := range strings.Lines(text) {
		if name, value, _ := strings.Cut(strings.TrimSpace(line), " "); name != "#" {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil {
				d.t.Fatalf("%q is no figure", line)
			}
			got[strings.TrimPrefix(name, "edge_balancer_")] = n
		}
	}
	return got
}

// TestSettings guards the reload of settings: classes go by name wherever they stand,
// come and go with the file, and take their effect along, while the jobs that are open,
// what operators have said and the series stay; and a file that can't be meant changes
// nothing at all, not even discovery's address.
func TestSettings(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, a.entry())
	w := await(t, disc.watches, "watch")
	accepted := submit(d.jobRequest("render", "x0"))
	await(t, a.requests, "hop").reply(202, "")
	w.lines <- targetList(42, false, b.entry())
	d.awaitLog("target=s-2")
	file := fmt.Sprintf(d.cfg, strings.TrimPrefix(disc.URL, "http://"))
	const first = `{"name":"render","effect":"safe",`
	const classes = `"request-classes":[`
	reloads, errors := 0.0, 0.0
	reload := func(cfg string) { // and await that it has been heeded
		t.Helper()
		d.reload(cfg)
		for over := time.Now().Add(testTimeout); time.Now().Before(over); {
			if f := d.metrics(); f["config_reloads"] == reloads && f["config_reload_errors"] == errors {
				return
			}
		}
		t.Fatalf("want %v reloads and %v errors, figures %v", reloads, errors, d.metrics())
	}
	bad := []struct{ was, is string }{
		{file, ""}, {file, file[:len(file)-1]}, {file, file + "x"}, {file, "[]"},
		{`"send-cap":4`, `"send-cap":0`}, {`"send-cap":4`, `"send-cap":"4"`}, {`"send-cap":4,`, ``}, {`"send-cap":4`, `"send-cap":null`},
		{`"give-up":20000000,"worth":1}`, `"give-up":-5,"worth":1}`}, {`"give-up":20000000,"worth":1}`, `"give-up":0,"worth":1}`},
		{`"give-up":20000000,"worth":1}`, `"give-up":"soon","worth":1}`}, {`"give-up":20000000,"worth":1}`, `"worth":1}`},
		{`"aim":2000000,"give-up":20000000,"worth":1}`, `"give-up":20000000,"worth":1}`},
		{`"seed":"8c1f30d27a5be964",`, ``}, {`"rules":{"ask-within":1000000,`, `"rules":{`}, {`"name":"once"`, `"name":"render"`},
	}
	var open <-chan response
	var other *runner // the one that does not have that job
	var h *runnerRequest
	for i, change := range bad {
		cfg := strings.Replace(file, change.was, change.is, 1)
		if cfg == file {
			t.Fatalf("nothing to replace by %s", change.is)
		}
		if i == len(bad)-1 { // a runner has a second to accept a job, in which all the reloads may not fit
			open = submit(d.jobRequest("render", "x1"))
			other, h = hopAtEither(t, a, b)
		}
		errors++
		reload(strings.Replace(cfg, disc.URL[len("http://"):], "127.0.0.1:1", 1))
	}
	select {
	case <-w.callEnded:
		t.Errorf("a bad file has moved discovery")
	default:
	}

	// render is gone, once has its place, and new comes before all.
	reloads++
	reload(strings.Replace(strings.Replace(file, classes, classes+strings.Replace(first, "render", "new", 1)+
		`"aim":2000000,"give-up":20000000,"worth":1},`, 1), first, `{"name":"other","effect":"unsafe",`, 1))
	if got := await(t, submit(d.jobRequest("render", "x2")), "answer"); got.Status != 400 {
		t.Errorf("a job of a class that is gone got %+v", got)
	}
	h.reply(500, "")
	h = await(t, other.requests, "second hop of the job that was open, of a class that may be repeated")
	if h.id() != "x1" {
		t.Errorf("the second hop is of %s", h.id())
	}
	h.reply(202, "")
	d.sendReport(jobEvent("x1", other.uid, "done"))
	if got := await(t, open, "answer"); got.Status != 200 {
		t.Errorf("answer %+v to the job that was open", got)
	}
	d.sendReport(jobEvent("x0", a.uid, "failed"))
	h = await(t, b.requests, "second hop of the job that a runner had accepted, of a class that may be repeated")
	if h.id() != "x0" {
		t.Errorf("the second hop is of %s", h.id())
	}
	h.reply(202, "")
	d.sendReport(jobEvent("x0", b.uid, "done"))
	if got := await(t, accepted, "answer"); got.Status != 200 {
		t.Errorf("answer %+v to the job that a runner had accepted", got)
	}
	d.callConsole("PUT", "/api/exclude", `{"host":"s-2"}`)
	// render is back with a stricter effect, and jobs get one attempt.
	reloads++
	reload(strings.Replace(strings.Replace(file, first, `{"name":"render","effect":"unsafe",`, 1), `"send-cap":4`, `"send-cap":1`, 1))
	for class, status := range map[string]int{"render": 502, "release": 502} {
		got := submit(d.jobRequest(class, "y-"+class))
		await(t, a.requests, "hop").reply(500, "")
		if got := await(t, got, "answer"); got.Status != status {
			t.Errorf("%s: answer %+v, want %d", class, got, status)
		}
	}
	f := d.metrics()
	for name, n := range map[string]float64{`completed{lane="render"}`: 2, `failed{lane="render"}`: 1, `upstream_requests{lane="render"}`: 5,
		`failed{lane="new"}`: 0, `failed{lane="release"}`: 1, `members_unavailable`: 2} {
		if got, ok := f[name]; !ok || got != n {
			t.Errorf("%s is %v, %t, want %v", name, got, ok, n)
		}
	}
}

// hopAtEither returns the next hop at one of two runners, and which of them does not have it.
func hopAtEither(t *testing.T, a, b *runner) (other *runner, h *runnerRequest) {
	t.Helper()
	select {
	case h = <-a.requests:
		return b, h
	case h = <-b.requests:
		return a, h
	case <-time.After(testTimeout):
		t.Fatal("no hop")
		panic("unreachable")
	}
}

// hearTime is within which the front hears a request to its end; it is told to clients.
const hearTime = 2750 * time.Millisecond

// slowJob writes a good job in pieces over more than 2 s on a new connection, while others fill the listener: some ask
// once and stay, some never finish. It returns the connection's answer, the ends of those that never finish, and whether
// the machine was too busy for the job to be written within hearTime: the front may end it then, rightly.
func slowJob(t *testing.T, d *dispatcher) (got <-chan response, ends []<-chan response, late bool) {
	t.Helper()
	const (
		pieces = 12
		pace   = 200 * time.Millisecond
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
		if err != nil && time.Since(began) < hearTime {
			t.Fatalf("after %v: %v", time.Since(began), err)
		}
		return err == nil
	}
	for i := range pieces - 1 { // the pace of the client is the matter here: it goes on whatever the others take
		if !write(text.Next(size)) {
			return got, ends, true
		}
		for range 10 {
			await(t, readResponse(d.dialAndWrite("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")), "answer to a health check")
		}
		for range 2 {
			ends = append(ends, readResponse(d.dialAndWrite("POST /render HTTP/1.1\r\nHost: x\r\nX-Never")))
		}
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * pace)))
	}
	written := write(text.Bytes())
	took := time.Since(began)
	if took < 2*time.Second {
		t.Fatalf("the job was written within %v", took)
	}
	return got, ends, !written || took >= hearTime
}

// TestSlowClient guards a good job that is written slowly on a new connection while others fill the listener; those that
// never finish are ended in time. On a machine so busy that the job is not written within the time in which the front
// hears a request, which the listener does not decide, it is written again.
func TestSlowClient(t *testing.T) {
	t.Parallel()
	const tries = 5
	r := newRunner(t, "s-1")
	d := start(t, newDiscovery(t).URL, 64, r.entry())
	for range tries {
		got, ends, late := slowJob(t, d)
		done := false
		select {
		case h := <-r.requests:
			h.reply(202, "")
			d.sendReport(jobEvent("x1", r.uid, "done"))
			if a := await(t, got, "answer"); a.Status != 200 {
				t.Errorf("answer %+v to the slow job", a)
			}
			done = true
		case a := <-got:
			if !late {
				t.Fatalf("answer %+v to the slow job before it was dispatched", a)
			}
		}
		for _, end := range ends {
			await(t, end, "end of a connection that never finishes")
		}
		if took := time.Since(*d.lastDial.Load()); took > 3*time.Second {
			t.Errorf("a connection that never finishes lasted %v", took)
		}
		if done {
			return
		}
	}
	t.Fatalf("the machine is too busy to write a job within %v, %d times", hearTime, tries)
}

// TestSuccessorFails guards the older process against a newer one that dies or hangs: it
// goes on as before, or gives every job its answer in time.
func TestSuccessorFails(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name   string
		signal syscall.Signal
		status int // of the job that is open at the older one's end
	}{{"killed", syscall.SIGKILL, 200}, {"stopped", syscall.SIGSTOP, 502}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			old := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener)
			open := submit(old.jobRequest("release", "x1"))
			await(t, r.requests, "hop").reply(202, "")
			next := old.startSuccessor()
			if err := next.cmd.Process.Signal(tc.signal); err != nil {
				t.Fatal(err)
			}
			if tc.signal == syscall.SIGKILL {
				old.awaitLog("the other process has ended")
				got := submit(old.jobRequest("render", "x2"))
				await(t, r.requests, "hop").reply(202, "")
				old.sendReport(jobEvent("x2", r.uid, "done"))
				if a := await(t, got, "answer"); a.Status != 200 {
					t.Errorf("answer %+v after the newer process's death", a)
				}
			}
			for over := time.Now().Add(testTimeout); tc.signal == syscall.SIGSTOP; { // it takes effect a little later
				stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", next.cmd.Process.Pid))
				if err != nil || time.Now().After(over) {
					t.Fatalf("the newer process does not stop: %s, %v", stat, err)
				}
				if strings.Contains(string(stat), ") T ") {
					break
				}
			}
			told := time.Now()
			if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			old.awaitLog("frosttide drains")
			if tc.signal == syscall.SIGKILL { // it lingers, for reports above all
				if code := old.sendReport(jobEvent("x1", r.uid, "done")); code != 204 {
					t.Errorf("call-back after SIGTERM got %d", code)
				}
			}
			if a := await(t, open, "answer"); a.Status != tc.status || time.Since(told) > 3600*time.Millisecond {
				t.Errorf("answer %+v %v after SIGTERM, want %d", a, time.Since(told), tc.status)
			}
			if err := await(t, old.exited, "end"); err != nil {
				t.Errorf("the older process ended with %v", err)
			}
		})
	}
}

// TestListInPieces guards a line of the list that takes longer to come than discovery
// may be silent.
func TestListInPieces(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024)
	w := await(t, disc.watches, "watch")
	line := targetList(42, false, r.entry())
	for len(line) > 20 { // the pace of discovery is the matter here
		w.lines <- line[:20] + partialLine
		line = line[20:]
		time.Sleep(700 * time.Millisecond)
	}
	w.lines <- line
	d.awaitLog("target=s-1")
	select {
	case <-w.callEnded:
		t.Error("the watch was broken off")
	default:
	}
}
