package main

import (
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"frosttide/internal/dispatcher/gearman/proto"
	"frosttide/internal/testkit/standin/gearman"
)

// gearmanFixture is a dispatcher with a Gearman front.
type gearmanFixture struct {
	*dispatcher
	jobs string // address of the Gearman front
}

// newGearman starts a gearmanFixture with a fixed list of HTTP runners. The text extraSettings is
// added to the section [gearman] of its settings.
func newGearman(t *testing.T, extraSettings string, runners ...*runner) *gearmanFixture {
	t.Helper()
	return newGearmanWith(t, extraSettings, runners, func(*dispatcher) {})
}

// newGearmanWith does the same and applies edit to the dispatcher before it starts.
func newGearmanWith(t *testing.T, extraSettings string, runners []*runner, edit func(*dispatcher)) *gearmanFixture {
	t.Helper()
	f := &gearmanFixture{}
	f.dispatcher = startWith(t, "", 1024, nil, func(d *dispatcher) {
		l, err := net.Listen("tcp", strings.Split(d.addr, ":")[0]+":0")
		if err != nil {
			t.Fatal(err)
		}
		f.jobs = l.Addr().String()
		l.Close()
		awaitPortsFree(t, f.jobs)
		text := fmt.Sprintf(`[listen]
clients = %q
console = %q
[fleet]
zones = ["a"]
[gearman]
listen = %q
packet = "64KB"
%s
[gearman.functions]
cut = "render"
out = "release"
post = "once"
[[class]]
name = "render"
wanted_within = "2s"
give_up = "20s"
[[class]]
name = "release"
effect = "keyed"
repeats_dropped_by = "zone"
window = "40s"
wanted_within = "2s"
give_up = "20s"
[[class]]
name = "once"
effect = "unsafe"
wanted_within = "2s"
give_up = "2s"
`, d.addr, d.consoleAddr, f.jobs, extraSettings)
		for _, r := range append(runners, &runner{uid: "s-none", addr: "127.0.0.1:1"}) {
			text += fmt.Sprintf("[[runner]]\nid = %q\naddress = %q\nzone = \"a\"\n", r.uid, r.addr)
		}
		path := filepath.Join(t.TempDir(), "frosttide.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d.cmd.Env = []string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}
		d.cmd.Args = append(d.cmd.Args, "serve", "--config", path)
		edit(d)
	})
	// The list must not be empty, so it holds a runner that does not exist and is excluded here.
	if code, text := f.callConsole("PUT", "/api/exclude", `{"host":"s-none"}`); code != 200 {
		t.Fatal(code, text)
	}
	return f
}

// connect opens a connection to the Gearman front, for a client or a worker.
func (f *gearmanFixture) connect() *gearman.Peer {
	f.t.Helper()
	p, err := gearman.Dial(f.jobs, time.Now().Add(testTimeout), nil)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { p.Close() })
	return p
}

// connectWorker connects a worker that offers functions, and waits until it is in the route table.
func (f *gearmanFixture) connectWorker(id string, functions ...string) *gearman.Peer {
	f.t.Helper()
	p := f.connect()
	if err := p.Announce(id, functions...); err != nil {
		f.t.Fatal(err)
	}
	f.awaitLog("target=g-" + id)
	return p
}

// must returns v, or fails the test if err is not nil.
func must[T any](t *testing.T, v T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// grabJob makes a worker grab a job and returns it.
func (f *gearmanFixture) grabJob(w *gearman.Peer) gearman.Job {
	f.t.Helper()
	job, err := w.Grab()
	return must(f.t, job, err)
}

// submitJob submits a job from a client and returns its handle.
func (f *gearmanFixture) submitJob(c *gearman.Peer, kind proto.Type, function, unique, workload string) string {
	f.t.Helper()
	if err := c.Send(kind, function, unique, workload); err != nil {
		f.t.Fatal(err)
	}
	g, err := c.Want(proto.JobCreated)
	return must(f.t, g, err).Args[0]
}

// wantPacket reads the next packet and fails the test unless it has the type kind and the arguments
// args.
func wantPacket(t *testing.T, p *gearman.Peer, kind proto.Type, args ...string) {
	t.Helper()
	g, err := p.Next()
	if err != nil {
		t.Fatalf("want %s %q: %v", kind, args, err)
	}
	if diff := cmp.Diff(gearman.Got{Type: kind, Args: args}, g); diff != "" {
		t.Fatalf("packet (-want +got):\n%s", diff)
	}
}

// TestGearmanJob guards the path of a job from client to worker and back, including its progress
// packets, and that it ends exactly once.
func TestGearmanJob(t *testing.T) {
	t.Parallel()
	f := newGearman(t, "")
	w, c := f.connectWorker("w1", "cut", "unknown"), f.connect()
	handle := f.submitJob(c, proto.SubmitJob, "cut", "u1", "frames\x00of u1")
	job := f.grabJob(w)
	if diff := cmp.Diff(gearman.Job{Handle: job.Handle, Function: "cut", Unique: "u1", Workload: "frames\x00of u1"}, job); diff != "" {
		t.Errorf("the job (-want +got):\n%s", diff)
	}
	for _, s := range []func() error{
		func() error { return w.Send(proto.WorkComplete, "W:9:9", "another's") },
		func() error { return w.Send(proto.WorkStatus, job.Handle, "1", "4") },
		func() error { return w.Send(proto.WorkData, job.Handle, "half") },
		func() error { return w.Send(proto.WorkWarning, job.Handle, "dark") },
		func() error { return w.Send(proto.WorkComplete, job.Handle, "whole") },
		func() error { return w.Send(proto.WorkComplete, job.Handle, "twice") },
		func() error { return w.Send(proto.WorkFail, "W:9:9") },
	} {
		if err := s(); err != nil {
			t.Fatal(err)
		}
	}
	wantPacket(t, c, proto.WorkStatus, handle, "25", "100")
	wantPacket(t, c, proto.WorkData, handle, "half")
	wantPacket(t, c, proto.WorkWarning, handle, "dark")
	wantPacket(t, c, proto.WorkComplete, handle, "whole")
	for range 3 {
		if g, err := w.Want(proto.Error); err != nil || g.Args[0] != "job_not_found" {
			t.Errorf("a packet on an unknown or finished job got %s, error %v, want job_not_found", g, err)
		}
	}
	if err := c.Send(proto.GetStatus, handle); err != nil {
		t.Fatal(err)
	}
	// No other packet comes before this response.
	wantPacket(t, c, proto.StatusRes, handle, "0", "0", "0", "0")
	if _, text := f.callConsole("GET", "/api/telemetry", ""); !strings.Contains(text, `edge_balancer_completed{lane="render"} 1`) ||
		!strings.Contains(text, `edge_balancer_upstream_requests{lane="render"} 1`) || !strings.Contains(text, "edge_balancer_pending 0") {
		t.Errorf("want one completed job, one attempt and none pending in the metrics, got\n%s", text)
	}
}

// TestMixedFronts guards that one core serves both fronts: jobs of either front run on workers of
// either kind, and each job ID has at most one open job.
func TestMixedFronts(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-http")
	f := newGearman(t, "", r)
	c := f.connect()
	handle := f.submitJob(c, proto.SubmitJobHigh, "cut", "u1", "frames")
	h := await(t, r.requests, "attempt at the HTTP runner")
	if h.RequestURI != "/render/cut" || h.id() != "u1" || h.body != "frames" {
		t.Errorf("the runner got %s of job %s with body %q, want /render/cut of u1", h.RequestURI, h.id(), h.body)
	}
	h.reply(202, "")
	f.sendReport(jobEvent("u1", "s-http", "done"))
	wantPacket(t, c, proto.WorkComplete, handle, "clip of u1 by s-http")

	if code, text := f.callConsole("PUT", "/api/exclude", `{"host":"s-http"}`); code != 200 {
		t.Fatal(code, text)
	}
	w := f.connectWorker("w1", "cut", "out")
	got := submit(f.jobRequest("render", "h1"))
	job := f.grabJob(w)
	if job.Function != "cut" || job.Workload != "frames of h1" {
		t.Errorf("the worker got job %+v, want h1 as function cut", job)
	}
	// The same ID over the other front while the job is open is rejected.
	duplicate := f.submitJob(c, proto.SubmitJob, "cut", "h1", "frames")
	wantPacket(t, c, proto.WorkWarning, duplicate, "a job of this id is open over another front")
	wantPacket(t, c, proto.WorkFail, duplicate)
	if err := errors.Join(w.Send(proto.WorkData, job.Handle, "a"), w.Send(proto.WorkComplete, job.Handle, "b")); err != nil {
		t.Fatal(err)
	}
	if a := await(t, got, "response"); a.Status != 200 || a.Body != "ab" {
		t.Errorf("the HTTP client got status %d, body %q, want 200 and \"ab\"", a.Status, a.Body)
	}
	handle = f.submitJob(c, proto.SubmitJob, "out", "k1", "x")
	job = f.grabJob(w)
	if a := await(t, submit(f.jobRequest("release", "k1", func(r *http.Request) { r.Header.Set("Idempotency-Key", "k1") })), "response"); a.Status != 409 {
		t.Errorf("the same ID and key over HTTP got status %d, want 409", a.Status)
	}
	if err := w.Send(proto.WorkComplete, job.Handle, "once"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, c, proto.WorkComplete, handle, "once")
}

// TestWorkerLost guards rule 2: if a worker's connection breaks while it has a job, the job may
// have run, and its class decides whether it is retried; before the grab it has not run.
func TestWorkerLost(t *testing.T) {
	t.Parallel()
	drop := func(w *gearman.Peer, job gearman.Job) { w.Close() }
	for _, tc := range []struct {
		name, function string
		lose           func(*gearman.Peer, gearman.Job)
		retried        bool
	}{
		{"safe", "cut", drop, true},
		{"keyed, in its zone", "out", drop, true},
		{"unsafe", "post", drop, false},
		{"after data", "post", func(w *gearman.Peer, job gearman.Job) {
			_ = w.Send(proto.WorkData, job.Handle, "half")
			w.Close()
		}, false},
		{"inside a packet", "cut", func(w *gearman.Peer, job gearman.Job) {
			_, _ = w.Write(proto.AppendRequest(nil, proto.WorkComplete, []byte(job.Handle), []byte("never whole"))[:20])
			w.Close()
		}, true},
		{"half-closed", "cut", func(w *gearman.Peer, job gearman.Job) { _ = w.Conn.(*net.TCPConn).CloseWrite() }, true},
		{"it fails", "cut", func(w *gearman.Peer, job gearman.Job) { _ = w.Send(proto.WorkFail, job.Handle) }, true},
		{"it fails, unsafe", "post", func(w *gearman.Peer, job gearman.Job) { _ = w.Send(proto.WorkException, job.Handle, "why") }, false},
		{"it sends what can't be read", "post", func(w *gearman.Peer, job gearman.Job) { _, _ = w.Write([]byte("\x00RUB           ")) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newGearman(t, "")
			first := f.connectWorker("w1", tc.function)
			c := f.connect()
			handle := f.submitJob(c, proto.SubmitJob, tc.function, "u1", "x")
			job := f.grabJob(first)
			second := f.connectWorker("w2", tc.function)
			tc.lose(first, job)
			if !tc.retried {
				// The job fails at once, and is not refused after another attempt.
				for failed := false; !failed; {
					g, err := c.Next()
					if err != nil || g.Type == proto.WorkWarning || g.Args[0] != handle {
						t.Fatalf("the client got %s, error %v, want only packets of its job and no warning", g, err)
					}
					failed = g.Type == proto.WorkFail
				}
				return
			}
			next := f.grabJob(second)
			if err := second.Send(proto.WorkComplete, next.Handle, "done by the second"); err != nil {
				t.Fatal(err)
			}
			wantPacket(t, c, proto.WorkComplete, handle, "done by the second")
		})
	}
}

// TestWorkerIgnoresOffer guards jobs that are offered to a sleeping worker that does not grab them:
// they have not run there, so another worker gets them.
func TestWorkerIgnoresOffer(t *testing.T) {
	t.Parallel()
	f := newGearman(t, "")
	ignoring, c := f.connectWorker("deaf", "post"), f.connect()
	if err := ignoring.Send(proto.PreSleep); err != nil {
		t.Fatal(err)
	}
	handle := f.submitJob(c, proto.SubmitJob, "post", "u1", "x")
	if _, err := ignoring.Want(proto.Noop); err != nil {
		t.Fatal(err)
	}
	good := f.connectWorker("good", "post")
	job := f.grabJob(good)
	if err := good.Send(proto.WorkComplete, job.Handle, "done"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, c, proto.WorkComplete, handle, "done")
	if err := ignoring.Send(proto.GrabJob); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, ignoring, proto.NoJob) // the offer has been withdrawn

	// A worker that grabs a job and never responds: the client gets one failure at its deadline.
	handle = f.submitJob(c, proto.SubmitJob, "post", "u2", "x")
	f.grabJob(good)
	if g, err := c.Want(proto.WorkFail); err != nil || g.Args[0] != handle {
		t.Errorf("the client got %s, error %v, want the failure of its job", g, err)
	}
}

// TestWorkerDrains guards rule 3: a worker that withdraws its functions, or that operators exclude,
// gets no new jobs.
func TestWorkerDrains(t *testing.T) {
	t.Parallel()
	f := newGearman(t, "")
	w, c := f.connectWorker("w1", "cut"), f.connect()
	wantRefused := func(id string) {
		t.Helper()
		handle := f.submitJob(c, proto.SubmitJob, "cut", id, "x")
		g, err := c.Next()
		if err != nil || g.Type != proto.WorkWarning || !strings.Contains(g.Args[1], "Retry-After: 0.") {
			t.Errorf("a job that no worker can run got %s, error %v, want a warning with Retry-After", g, err)
		}
		wantPacket(t, c, proto.WorkFail, handle)
	}
	if err := errors.Join(w.Send(proto.CantDo, "cut"), w.Send(proto.EchoReq, "heard")); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, w, proto.EchoRes, "heard")
	wantRefused("u1")
	if err := errors.Join(w.Send(proto.CanDo, "cut"), w.Send(proto.EchoReq, "heard")); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, w, proto.EchoRes, "heard")
	handle := f.submitJob(c, proto.SubmitJob, "cut", "u2", "x")
	job := f.grabJob(w)
	if code, text := f.callConsole("PUT", "/api/exclude", `{"host":"g-w1"}`); code != 200 {
		t.Fatal(code, text)
	}
	wantRefused("u3")
	if err := w.Send(proto.WorkComplete, job.Handle, "what it had goes on"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, c, proto.WorkComplete, handle, "what it had goes on")
	wantRefused("u4")
}

// TestUniqueJobs guards the rules of the protocol for unique IDs and background jobs.
func TestUniqueJobs(t *testing.T) {
	t.Parallel()
	f := newGearman(t, "")
	w, a, b := f.connectWorker("w1", "cut"), f.connect(), f.connect()
	handle := f.submitJob(a, proto.SubmitJob, "cut", "same", "x")
	if other := f.submitJob(b, proto.SubmitJobLow, "cut", "same", "y"); other != handle {
		t.Errorf("the same unique ID got the handles %s and %s, want one", handle, other)
	}
	job := f.grabJob(w)
	if err := b.Send(proto.GetStatusUnique, "same"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, b, proto.StatusResUnique, "same", "1", "1", "0", "0", "2")
	if err := w.Send(proto.WorkComplete, job.Handle, "one"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, a, proto.WorkComplete, handle, "one")
	wantPacket(t, b, proto.WorkComplete, handle, "one")

	f.submitJob(a, proto.SubmitJob, "cut", "later", "x")
	f.submitJob(b, proto.SubmitJobBg, "cut", "later", "x")
	a.Close() // a background job continues without its clients
	job = f.grabJob(w)
	if job.Unique != "later" {
		t.Errorf("the worker got job %+v, want later", job)
	}
	if err := w.Send(proto.WorkComplete, job.Handle, ""); err != nil {
		t.Fatal(err)
	}
	text := ""
	for deadline := time.Now().Add(testTimeout); !strings.Contains(text, `completed{lane="render"} 2`); _, text = f.callConsole("GET", "/api/telemetry", "") {
		if time.Now().After(deadline) {
			t.Fatalf("the background job did not complete before the timeout; metrics:\n%s", text)
		}
	}
	for _, bad := range []struct{ function, unique, code string }{{"nobody", "u", "unknown_function"}, {"out", "", "unique_missing"}} {
		if err := b.Send(proto.SubmitJob, bad.function, bad.unique, "x"); err != nil {
			t.Fatal(err)
		}
		if g, err := b.Want(proto.Error); err != nil || g.Args[0] != bad.code {
			t.Errorf("%+v got %s, error %v, want that error code", bad, g, err)
		}
	}
}

// TestMalformedGearmanInput guards the front against malformed or excessive input of one peer: it
// closes that connection, and others are served.
func TestMalformedGearmanInput(t *testing.T) {
	t.Parallel()
	f := newGearman(t, "")
	w, c := f.connectWorker("w1", "cut"), f.connect()
	var stream []byte
	for i := range 1000 {
		stream = proto.AppendRequest(stream, proto.EchoReq, []byte(fmt.Sprint(i)))
	}
	if _, err := c.Write(stream); err != nil { // 1,000 packets in one write
		t.Fatal(err)
	}
	for i := range 1000 {
		wantPacket(t, c, proto.EchoRes, fmt.Sprint(i))
	}
	for _, b := range proto.AppendRequest(nil, proto.EchoReq, []byte("slowly")) { // one byte per write
		if _, err := c.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	wantPacket(t, c, proto.EchoRes, "slowly")
	for name, text := range map[string][]byte{"4 GB by its header": []byte("\x00REQ\x00\x00\x00\x07\xff\xff\xff\xff"),
		"no packet": []byte("\x00HTTP/1.1 GET"), "a line without end": bytes.Repeat([]byte("x"), 1000)} {
		p := f.connect()
		if _, err := p.Write(text); err != nil {
			t.Fatal(err)
		}
		if _, err := p.Conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: got error %v, want the connection closed", name, err)
		}
	}
	excessive := f.connect()
	for i := range 1001 {
		if err := excessive.Send(proto.CanDo, fmt.Sprint("f", i)); err != nil {
			break // the connection has been closed
		}
	}
	if _, err := excessive.Want(proto.EchoRes); err == nil {
		t.Error("a worker that offers 1,001 functions stays connected")
	}
	for line, want := range map[string]string{"version\n": "OK frosttide\n", "shutdown\n": "ERR not_allowed", "status\n": "cut\t0\t0\t1\n",
		"workers\n": " g-w1 : cut\n", "what\n": "ERR unknown_command"} {
		p := f.connect()
		if _, err := io.WriteString(p, line); err != nil {
			t.Fatal(err)
		}
		reply := make([]byte, 4096)
		n, err := p.Conn.Read(reply)
		if err != nil || !strings.Contains(string(reply[:n]), want) {
			t.Errorf("admin command %q got unexpected reply %q, error %v", line, reply[:n], err)
		}
	}
	handle := f.submitJob(c, proto.SubmitJob, "cut", "after", "x")
	job := f.grabJob(w)
	if err := w.Send(proto.WorkComplete, job.Handle, "fine"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, c, proto.WorkComplete, handle, "fine")
}

// TestGearmanShutdown guards clients during a planned shutdown: an open job is completed, and then
// the process exits.
func TestGearmanShutdown(t *testing.T) {
	t.Parallel()
	f := newGearman(t, "")
	w, c := f.connectWorker("w1", "cut"), f.connect()
	handle := f.submitJob(c, proto.SubmitJob, "cut", "u1", "x")
	job := f.grabJob(w)
	if err := f.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	f.awaitLog("frosttide drains")
	if err := w.Send(proto.WorkComplete, job.Handle, "in time"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, c, proto.WorkComplete, handle, "in time")
	if err := await(t, f.exited, "exit of the process"); err != nil {
		t.Errorf("the process exited with %v, want success", err)
	}
}

// TestGearmanUpgrade guards the job of an HTTP client at a Gearman worker across an upgrade: the
// worker reports only to the older process, so that process keeps the job.
func TestGearmanUpgrade(t *testing.T) {
	t.Parallel()
	f := newGearmanWith(t, "", nil, withInheritedListener)
	w := f.connectWorker("w1", "cut")
	got := submit(f.jobRequest("render", "h1"))
	job := f.grabJob(w)
	s := f.startSuccessor()
	if err := f.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	f.awaitLog("frosttide drains")
	if err := w.Send(proto.WorkComplete, job.Handle, "in time"); err != nil {
		t.Fatal(err)
	}
	if a := await(t, got, "response"); a.Status != 200 || a.Body != "in time" {
		t.Errorf("the client got status %d, body %q, error %v, want 200 and \"in time\"", a.Status, a.Body, a.Err)
	}
	if err := await(t, f.exited, "exit of the older process"); err != nil {
		t.Error(err)
	}
	// The newer process accepts workers at the same address.
	next := f.connect()
	if err := next.Announce("w2", "cut"); err != nil {
		t.Fatal(err)
	}
	s.awaitLog("target=g-w2")
}

// TestGearmanTLS guards that with a certificate the front serves peers over TLS and none without
// it.
func TestGearmanTLS(t *testing.T) {
	t.Parallel()
	pair, ca := newCertificate(t, "127.0.0.1")
	key := filepath.Join(t.TempDir(), "key.pem")
	if err := os.WriteFile(key, keyPEM(t, pair), 0o600); err != nil {
		t.Fatal(err)
	}
	f := newGearman(t, fmt.Sprintf("certificate = %q\nkey = %q\n", ca, key))
	deadline := time.Now().Add(testTimeout)
	// The certificate is made by the test, so it is not verified.
	p, err := gearman.Dial(f.jobs, deadline, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	if err := p.Send(proto.EchoReq, "secret"); err != nil {
		t.Fatal(err)
	}
	wantPacket(t, p, proto.EchoRes, "secret")
	plain := f.connect()
	if err := plain.Send(proto.EchoReq, "open"); err != nil {
		t.Fatal(err)
	}
	if g, err := plain.Next(); err == nil {
		t.Errorf("a peer without TLS got %s, want an error", g)
	}
}
