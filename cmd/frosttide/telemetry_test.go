package main

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"go.opentelemetry.io/collector/pdata/ptrace"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/testkit/standin/collector"
)

// newCollector starts a fake collector, with TLS if cert is not nil. At the end of the test the
// collector is stopped, and the test fails if the dispatcher has violated the protocol.
func newCollector(t *testing.T, cert *tls.Certificate) *collector.Collector {
	t.Helper()
	return newCollectorAt(t, "127.0.0.1:0", cert)
}

// newCollectorAt is like newCollector but listens on addr.
func newCollectorAt(t *testing.T, addr string, cert *tls.Certificate) *collector.Collector {
	t.Helper()
	awaitPortsFree(t, addr)
	c, err := collector.Start(addr, cert)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Kill()
		if err := c.Broken(); err != nil {
			t.Errorf("the dispatcher violated OTLP:\n%v", err)
		}
	})
	return c
}

// withTelemetry makes the dispatcher export traces to the collector at addr with short delays. The
// variables in env override its settings.
func withTelemetry(addr string, env ...string) func(*dispatcher) {
	return func(d *dispatcher) {
		d.cmd.Env = append(d.cmd.Env, "OTEL_EXPORTER_OTLP_ENDPOINT=http://"+addr, "OTEL_BSP_SCHEDULE_DELAY=20",
			"OTEL_METRIC_EXPORT_INTERVAL=100", "OTEL_METRICS_EXPORTER=none")
		d.cmd.Env = append(d.cmd.Env, env...)
	}
}

// serveRunner makes the runner complete every job that it gets, until the test ends or stopServing
// is called.
func (d *dispatcher) serveRunner(r *runner) (stopServing func()) {
	stop := make(chan struct{})
	stopServing = sync.OnceFunc(func() { close(stop) })
	d.t.Cleanup(stopServing)
	go func() {
		for {
			select {
			case h := <-r.requests:
				if !h.answerIfNotJob() {
					h.reply(202, "")
					d.tryReport(jobEvent(h.id(), r.uid, "started"))
					d.tryReport(jobEvent(h.id(), r.uid, "done"))
				}
			case <-stop:
				return
			}
		}
	}()
	return stopServing
}

// answerIfNotJob responds to requests other than jobs, as a healthy runner does: 200 to recalls and
// health probes, 404 to other GET requests. It reports whether it has responded.
func (h *runnerRequest) answerIfNotJob() bool {
	switch {
	case h.Method == http.MethodPost:
		return false
	case h.Method == http.MethodGet && h.URL.Path != "/ping":
		h.reply(404, "")
	default:
		h.reply(200, "")
	}
	return true
}

// tryReport sends a report and ignores errors, as the dispatcher may have exited.
func (d *dispatcher) tryReport(body string) {
	resp, err := http.Post("http://"+d.addr+"/v1/job-events", "application/json", strings.NewReader(body))
	if err == nil {
		resp.Body.Close()
	}
}

// serveJobs submits n jobs one after the other and fails the test unless all are served.
func (d *dispatcher) serveJobs(name string, n int) {
	d.t.Helper()
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		if a := await(d.t, submit(d.jobRequest("render", id)), "response"); a.Status != 200 {
			d.t.Fatalf("job %s got response %d %s %v, want status 200", id, a.Status, a.Body, a.Err)
		}
	}
}

// awaitRejoin submits jobs one after the other until n are served. It retries refused jobs after
// Retry-After: a cold runner is sent limited work per second, and on a slow machine each job is a
// larger part of that.
func (d *dispatcher) awaitRejoin(name string, n int) {
	d.t.Helper()
	deadline := time.Now().Add(testTimeout)
	for i, try := 0, 0; i < n; try++ {
		id := fmt.Sprintf("%s-%d-%d", name, i, try)
		a := await(d.t, submit(d.jobRequest("render", id)), "response")
		after, err := time.ParseDuration(a.Header.Get("Retry-After") + "s")
		switch {
		case a.Status == 200:
			i++
		case a.Status != 503 || err != nil || time.Now().After(deadline):
			d.t.Fatalf("job %s got response %d %s %v, want status 200", id, a.Status, a.Body, a.Err)
		default:
			<-time.After(after)
		}
	}
}

// awaitSpans waits until a collector has received the spans of the requests with the given IDs, and
// returns all spans that it has received.
func awaitSpans(t *testing.T, c *collector.Collector, ids ...string) []ptrace.Span {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		var all []ptrace.Span
		missing := slices.Clone(ids)
		for _, call := range c.Taken() {
			if call.Traces == nil {
				continue
			}
			raw, err := proto.Marshal(call.Traces)
			if err != nil {
				t.Fatal(err)
			}
			traces, err := (&ptrace.ProtoUnmarshaler{}).UnmarshalTraces(raw)
			if err != nil {
				t.Fatal(err)
			}
			for _, resource := range traces.ResourceSpans().All() {
				for _, scope := range resource.ScopeSpans().All() {
					for _, s := range scope.Spans().All() {
						all = append(all, s)
						missing = slices.DeleteFunc(missing, func(id string) bool { return attr(s, "frosttide.request") == id })
					}
				}
			}
		}
		if len(missing) == 0 {
			return all
		}
		select {
		case <-c.Calls():
		case <-timeout:
			t.Fatalf("no spans of requests %v before the timeout", missing)
		}
	}
}

// attr returns the attribute of a span as a string, or "" if it has none of that key.
func attr(s ptrace.Span, key string) string {
	v, ok := s.Attributes().Get(key)
	if !ok {
		return ""
	}
	return v.AsString()
}

// traceTrees describes the requests among spans, by request ID. The first string describes the
// server span of the request and each further one an attempt, with its events.
func traceTrees(all []ptrace.Span) map[string][]string {
	out := map[string][]string{}
	for _, s := range all {
		if s.Kind() != ptrace.SpanKindServer {
			continue
		}
		id := attr(s, "frosttide.request")
		out[id] = append(out[id], strings.Join([]string{s.Name(), attr(s, "frosttide.answer"), attr(s, "frosttide.answer.by"),
			attr(s, "frosttide.answer.why"), attr(s, "http.response.status_code"), attr(s, "frosttide.target")}, " "))
		for _, h := range all {
			if h.ParentSpanID() != s.SpanID() || h.Kind() != ptrace.SpanKindClient {
				continue
			}
			var events []string
			for _, e := range h.Events().All() {
				if e.Name() != "taken" { // a report may arrive before the 202, which is then not recorded
					events = append(events, e.Name())
				}
			}
			out[id] = append(out[id], strings.Join([]string{attr(h, "frosttide.hop"), attr(h, "frosttide.hop.kind"), attr(h, "frosttide.target"),
				attr(h, "frosttide.outcome"), attr(h, "frosttide.may_have_run"), strings.Join(events, ",")}, " "))
		}
	}
	return out
}

// TestTraces checks the content of traces: one span per request with all its attempts, and which
// part answered the request and why.
func TestTraces(t *testing.T) {
	t.Parallel()
	c := newCollector(t, nil)
	first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := startWith(t, disc.URL, 1024, []string{first.entry()}, withTelemetry(c.Addr))
	w := await(t, disc.watches, "watch")

	got := submit(d.jobRequest("render", "plain"))
	h := await(t, first.requests, "attempt")
	if p := h.Header.Get("Traceparent"); len(p) != 55 {
		t.Errorf("the runner's Traceparent is %q, want 55 characters", p)
	}
	h.reply(202, "")
	for _, state := range []string{"started", "running", "done"} {
		d.sendReport(jobEvent("plain", "s-1", state))
	}
	await(t, got, "response")

	const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
	got = submit(d.jobRequest("render", "again", func(r *http.Request) {
		r.Header.Set("Traceparent", parent)
		r.Header.Set("Tracestate", "studio=1")
	}))
	h = await(t, first.requests, "attempt")
	w.lines <- targetList(42, false, second.entry())
	d.awaitLog("target=s-2")
	h.reply(500, "")
	h = await(t, second.requests, "second attempt")
	if p := h.Header.Get("Traceparent"); !strings.HasPrefix(p, parent[:36]) || p[36:52] == parent[36:52] || h.Header.Get("Tracestate") != "studio=1" {
		t.Errorf("the runner got Traceparent %q and Tracestate %q, want the client's trace and state and a new span ID", p, h.Header.Get("Tracestate"))
	}
	h.reply(202, "")
	d.sendReport(jobEvent("again", "s-2", "done"))
	await(t, got, "response")

	got = submit(d.jobRequest("once", "lost"))
	h = await(t, firstOf(first.requests, second.requests), "attempt")
	h.conn.Close()
	await(t, got, "response")
	await(t, submit(d.jobRequest("render", "bad", func(r *http.Request) { r.Header.Set("X-Expires-In-Ms", "soon") })), "response")
	leavingClient := d.dialAndWrite("POST /render/x HTTP/1.1\r\nHost: x\r\nX-Qos: render\r\nX-Trace-Id: left\r\nX-Expires-In-Ms: 15000\r\nContent-Length: 0\r\n\r\n")
	h = await(t, firstOf(first.requests, second.requests), "attempt")
	h.reply(202, "")
	leavingClient.Close()

	all := awaitSpans(t, c, "plain", "again", "lost", "", "left")
	lost := traceTrees(all)["lost"]
	if len(lost) != 2 || lost[0] != "POST /once failed module may_have_run 502 " || !strings.Contains(lost[1], " reset true ") {
		t.Errorf("the trace of the lost job is %q", lost)
	}
	left := traceTrees(all)["left"]
	if len(left) != 2 || left[0] != "POST /render gone core client_left  " || !strings.HasSuffix(left[1], "given_up true recalled") {
		t.Errorf("the trace of the job whose client disconnected is %q", left)
	}
	trees := traceTrees(all)
	want := map[string][]string{
		"plain": {"POST /render served runner done 200 s-1", "1 first s-1 served true started,running,done"},
		"again": {"POST /render served runner done 200 s-2", "1 first s-1 errored true ", "2 retry s-2 served true done"},
		"":      {"POST /render unusable ingress malformed 400 "},
	}
	for id, wantTree := range want {
		if diff := gocmp.Diff(wantTree, trees[id]); diff != "" {
			t.Errorf("request %q (-want +got):\n%s", id, diff)
		}
	}
	for _, s := range all {
		if attr(s, "frosttide.request") == "again" {
			if s.TraceID().String() != parent[3:35] || s.ParentSpanID().String() != parent[36:52] || s.TraceState().AsRaw() != "studio=1" {
				t.Errorf("the span has trace %s and parent %s, want the client's", s.TraceID(), s.ParentSpanID())
			}
		}
	}
}

// firstOf returns a channel that yields the next request from either channel.
func firstOf(a, b <-chan *runnerRequest) <-chan *runnerRequest {
	out := make(chan *runnerRequest, 1)
	go func() {
		select {
		case h := <-a:
			out <- h
		case h := <-b:
			out <- h
		case <-time.After(testTimeout):
		}
	}()
	return out
}

// TestRepeats checks that the span of a client's retry links to the span of the previous try, which
// is found by the idempotency key or by the X-Second-Try header.
func TestRepeats(t *testing.T) {
	t.Parallel()
	c := newCollector(t, nil)
	// Without runners every job is refused.
	d := startWith(t, newDiscovery(t).URL, 1024, nil, withTelemetry(c.Addr))
	key := func(r *http.Request) { r.Header.Set("Idempotency-Key", "one-release") }
	again := func(r *http.Request) { r.Header.Set("X-Second-Try", "1") }
	for _, job := range []*http.Request{d.jobRequest("release", "r1", key), d.jobRequest("release", "r2", key),
		d.jobRequest("render", "p1"), d.jobRequest("render", "p2", again), d.jobRequest("render", "p3")} {
		await(t, submit(job), "response")
	}
	all := awaitSpans(t, c, "r1", "r2", "p1", "p2", "p3")
	span, links := map[string]string{}, map[string][]string{}
	for _, s := range all {
		id := attr(s, "frosttide.request")
		span[id] = s.TraceID().String() + s.SpanID().String()
		for _, l := range s.Links().All() {
			links[id] = append(links[id], l.TraceID().String()+l.SpanID().String())
		}
	}
	want := map[string][]string{"r2": {span["r1"]}, "p2": {span["p1"]}}
	if diff := gocmp.Diff(want, links); diff != "" {
		t.Errorf("links (-want +got):\n%s", diff)
	}
}

// TestFaultyCollector checks that faults of the collector neither disturb dispatching nor lose the
// traces of later requests.
func TestFaultyCollector(t *testing.T) {
	t.Parallel()
	const unavailable, exhausted, invalid = 14, 8, 3 // gRPC status codes
	for _, tc := range []struct {
		name  string
		grpc  bool
		fault []collector.Fault // followed by normal operation
		comes bool              // the batch that met the fault is accepted or sent again
	}{
		{"hangs", false, []collector.Fault{{Hang: true}}, true},
		{"drips", false, []collector.Fault{{Drip: true}}, false},
		{"resets", false, []collector.Fault{{Reset: true}}, false},
		{"garbage", false, []collector.Fault{{Body: []byte("\xff\xff<html>")}}, true},
		{"400", false, []collector.Fault{{Status: 400}}, false},
		{"413", false, []collector.Fault{{Status: 413}}, false},
		{"429", false, []collector.Fault{{Status: 429, RetryAfter: "1"}}, true},
		{"503", false, []collector.Fault{{Status: 503, RetryAfter: "0"}, {Status: 503}}, true},
		{"10 MB", false, []collector.Fault{{Body: bytes.Repeat([]byte{0xa}, 10<<20)}}, true},
		{"partial", false, []collector.Fault{{Rejected: 1}}, true},
		{"grpc", true, nil, true},
		{"grpc hangs", true, []collector.Fault{{Hang: true}}, true},
		{"grpc unavailable", true, []collector.Fault{{Status: unavailable, RetryAfter: "0"}}, true},
		{"grpc exhausted", true, []collector.Fault{{Status: exhausted}}, false},
		{"grpc exhausted with a time", true, []collector.Fault{{Status: exhausted, RetryAfter: "0"}}, true},
		{"grpc invalid", true, []collector.Fault{{Status: invalid}}, false},
		{"grpc partial", true, []collector.Fault{{Rejected: 1}}, true},
		{"grpc garbage", true, []collector.Fault{{Body: []byte("\xff\xff<html>")}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCollector(t, nil)
			c.Script(append(tc.fault, collector.Fault{})...)
			env := []string{"OTEL_EXPORTER_OTLP_TIMEOUT=300"}
			if tc.grpc {
				env = append(env, "OTEL_EXPORTER_OTLP_PROTOCOL=grpc", "OTEL_EXPORTER_OTLP_COMPRESSION=gzip")
			}
			r := newRunner(t, "s-1")
			d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withTelemetry(c.Addr, env...))
			d.serveRunner(r)
			d.serveJobs("first", 1)
			call := await(t, c.Calls(), "call")
			if call.GRPC != tc.grpc {
				t.Errorf("the call used path %q, which is of the wrong protocol", call.Path)
			}
			d.serveJobs("then", 3)
			ids := []string{"then-0", "then-1", "then-2"}
			if tc.comes {
				ids = append(ids, "first-0")
			}
			all := awaitSpans(t, c, ids...)
			if first := traceTrees(all)["first-0"]; !tc.comes && first != nil {
				t.Errorf("a batch that must not be sent again was: %q", first)
			}
			if accepted := len(tc.fault) == 0 || tc.fault[0].Status == 0 && tc.comes && !tc.fault[0].Hang; accepted {
				for len(d.lines) > 0 { // the first batch was exported long before
					d.logLines = append(d.logLines, <-d.lines)
				}
				if log := strings.Join(d.logLines, "\n"); strings.Contains(log, "export fails") {
					t.Errorf("a batch that the collector accepted was logged as failed:\n%s", log)
				}
			}
			if _, peak := c.Connections(); peak > 2 {
				t.Errorf("%d connections at a time, want 2 at most", peak)
			}
		})
	}
}

// TestAbsentCollector checks that jobs are served while the collector is down, and that traces are
// delivered once it is back.
func TestAbsentCollector(t *testing.T) {
	t.Parallel()
	c := newCollectorAt(t, uniqueIP()+":0", nil)
	addr := c.Addr
	c.Kill() // absent from the start
	r := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withTelemetry(addr, "OTEL_EXPORTER_OTLP_TIMEOUT=300"))
	d.serveRunner(r)
	d.serveJobs("without", 20)
	back := newCollectorAt(t, addr, nil)
	awaitSpans(t, back, "without-0", "without-19") // they were queued
	back.Kill()                                    // down again
	d.serveJobs("later", 20)
	awaitSpans(t, newCollectorAt(t, addr, nil), "later-19")
}

// maxRefusalSlowdown is how many times as long refusals may take with a collector that hangs as
// without one on a slow machine. The two are measured one after the other, and the other load on
// the machine changes.
const maxRefusalSlowdown = 2

// refuse5000 makes 20 clients submit 250 jobs each, all of which must be refused, each on a new
// connection. It returns how long all and the slowest one took.
func (d *dispatcher) refuse5000() (took, slowest time.Duration) {
	d.t.Helper()
	var clients sync.WaitGroup
	var refused, longest atomic.Int64
	began := time.Now()
	for i := range 20 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for j := range 250 {
				sentAt := time.Now()
				if a := do(client, d.jobRequest("render", fmt.Sprintf("r%d-%d", i, j))); a.Status == 503 {
					refused.Add(1)
				}
				for old, latency := longest.Load(), int64(time.Since(sentAt)); latency > old && !longest.CompareAndSwap(old, latency); old = longest.Load() {
				}
			}
		})
	}
	clients.Wait()
	if refused.Load() != 5000 {
		d.t.Errorf("%d of 5000 jobs were refused, want all", refused.Load())
	}
	return time.Since(began), time.Duration(longest.Load())
}

// TestRefusals checks that refusals do not wait for a collector that hangs, and that memory stays
// bounded while thousands of jobs are refused per second. A refusal that waited for the collector
// would take as long as a call to it, 10 s. On a machine that also runs 16 disk writers and 26
// simulators, 5000 refusals take 8 to 49 s with a collector that hangs, as each opens a connection.
// So the slowest refusal is checked on any machine, and the total is compared with that of a
// dispatcher without a collector.
func TestRefusals(t *testing.T) {
	t.Parallel()
	c := newCollector(t, nil)
	c.Script(collector.Fault{Hang: true})
	const maxTime = 8 * time.Second // a call to the collector takes 10 s
	// Without runners every job is refused.
	d := startWith(t, newDiscovery(t).URL, 1024, nil, withTelemetry(c.Addr))
	took, slowest := d.refuse5000()
	if slowest > maxTime {
		t.Errorf("a refusal took %s, want 8 s at most: it waited for the collector", slowest)
	}
	if took > maxTime {
		// The machine may be too slow for 5000 connections in that time. A dispatcher without a
		// collector shows whether it is.
		without, _ := startWith(t, newDiscovery(t).URL, 1024, nil).refuse5000()
		t.Logf("5000 refusals took %s, without a collector %s", took, without)
		if took > maxRefusalSlowdown*without {
			t.Errorf("5000 refusals took %s, without a collector %s: some waited for the collector", took, without)
		}
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	if kb, err := strconv.Atoi(strings.Fields(rest)[0]); err != nil || kb > 64<<10 && !raceEnabled {
		t.Errorf("the process uses %d KiB of memory, want 64 MiB at most; %v", kb, err)
	}
}

// TestFullQueue checks that a full export queue stays within its size and drops the traces of plain
// requests before those of notable ones.
func TestFullQueue(t *testing.T) {
	t.Parallel()
	c := newCollector(t, nil)
	c.Script(collector.Fault{Hang: true})
	path := filepath.Join(t.TempDir(), "frosttide.toml")
	if err := os.WriteFile(path, []byte("[telemetry]\nqueue = \"64KB\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	r := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withTelemetry(c.Addr, "OTEL_EXPORTER_OTLP_TIMEOUT=500"),
		func(d *dispatcher) { d.cmd.Args = append(d.cmd.Args, "serve", "--config", path) })
	d.serveRunner(r)
	d.serveJobs("hold", 1)
	await(t, c.Calls(), "call") // from here on the queue fills
	await(t, submit(d.jobRequest("render", "notable", func(r *http.Request) { r.Header.Set("X-Second-Try", "1") })), "response")
	d.serveJobs("plain", 300)
	c.Script(collector.Fault{})
	got := traceTrees(awaitSpans(t, c, "notable", "plain-299"))
	if got["plain-0"] != nil || len(got) > 200 {
		t.Errorf("%d traces were exported after 300 plain requests, want 200 at most without plain-0, which is %q", len(got), got["plain-0"])
	}
}

// TestCertificates checks that the dispatcher exports only to a collector with a trusted
// certificate.
func TestCertificates(t *testing.T) {
	t.Parallel()
	good, ca := newCertificate(t, "127.0.0.1")
	_, otherCA := newCertificate(t, "127.0.0.1")
	for _, tc := range []struct {
		name, ca string
		grpc     bool
		comes    bool
	}{{"trusted", ca, false, true}, {"trusted by gRPC", ca, true, true}, {"not trusted", otherCA, false, false}, {"not trusted by gRPC", otherCA, true, false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCollector(t, &good)
			env := []string{"OTEL_EXPORTER_OTLP_ENDPOINT=https://" + c.Addr, "OTEL_EXPORTER_OTLP_CERTIFICATE=" + tc.ca}
			if tc.grpc {
				env = append(env, "OTEL_EXPORTER_OTLP_PROTOCOL=grpc")
			}
			r := newRunner(t, "s-1")
			d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withTelemetry(c.Addr, env...))
			d.serveRunner(r)
			d.serveJobs("job", 3)
			if tc.comes {
				awaitSpans(t, c, "job-2")
				return
			}
			d.awaitLog("export fails; dispatching goes on")
			if calls := c.Taken(); len(calls) > 0 {
				t.Errorf("%d calls reached an untrusted collector, want none", len(calls))
			}
		})
	}
}

// newCertificate returns a self-signed certificate for an IP address, and the path of a PEM file
// with the certificate.
func newCertificate(t *testing.T, host string) (tls.Certificate, string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "stand-in"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign, IPAddresses: []net.IP{net.ParseIP(host)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, path
}

// TestShutdownWithHangingCollector checks that a collector that hangs does not delay the exit of
// the process, which the platform would otherwise kill.
func TestShutdownWithHangingCollector(t *testing.T) {
	t.Parallel()
	took := map[string]time.Duration{}
	for _, name := range []string{"off", "hangs"} {
		c := newCollector(t, nil)
		c.Script(collector.Fault{Hang: true})
		r := newRunner(t, "s-1")
		edit := func(*dispatcher) {}
		if name == "hangs" {
			edit = withTelemetry(c.Addr)
		}
		d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, edit)
		d.serveRunner(r)
		d.serveJobs("job", 3)
		if name == "hangs" {
			await(t, c.Calls(), "call")
		}
		began := time.Now()
		if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := await(t, d.exited, "exit of the process"); err != nil {
			t.Errorf("%s: the process exited with %v, want status 0", name, err)
		}
		took[name] = time.Since(began)
	}
	if took["hangs"] > took["off"]+200*time.Millisecond {
		t.Errorf("the exit took %v, without telemetry %v, want 200 ms more at most", took["hangs"], took["off"])
	}
}

// TestTracesFlushedAtShutdown checks that the traces of the last jobs are exported before the
// process exits.
func TestTracesFlushedAtShutdown(t *testing.T) {
	t.Parallel()
	c := newCollector(t, nil)
	r := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withTelemetry(c.Addr, "OTEL_BSP_SCHEDULE_DELAY=3600000"))
	d.serveRunner(r)
	d.serveJobs("early", 1)
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("frosttide drains")
	d.serveJobs("late", 1)
	await(t, d.exited, "exit of the process")
	awaitSpans(t, c, "early-0", "late-0")
}

// TestReloadMovesCollector checks that a reload changes the collector's endpoint, and that an
// invalid file changes nothing.
func TestReloadMovesCollector(t *testing.T) {
	t.Parallel()
	one, two := newCollector(t, nil), newCollector(t, nil)
	path := filepath.Join(t.TempDir(), "frosttide.toml")
	write := func(addr string) {
		text := fmt.Sprintf("[telemetry]\nbatch_every = \"20ms\"\n[telemetry.otlp]\nendpoint = \"http://%s\"\nmeasures = false\n", addr)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(one.Addr)
	r := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()},
		func(d *dispatcher) { d.cmd.Args = append(d.cmd.Args, "serve", "--config", path) })
	d.serveRunner(r)
	d.serveJobs("before", 2)
	awaitSpans(t, one, "before-1")
	write(two.Addr)
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("configuration reread")
	// The core applies new settings shortly after the log line.
	for i := 0; len(two.Taken()) == 0; i++ {
		d.serveJobs(fmt.Sprintf("after%d", i), 1)
		if i > 1000 {
			t.Fatal("the new collector received nothing after 1000 jobs")
		}
	}
	if err := os.WriteFile(path, []byte("[telemetry.otlp]\nendpoint = 5\nhedaers = {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("configuration not taken")
	d.serveJobs("still", 1)
	awaitSpans(t, two, "still-0")
}

// TestUpgradeKeepsTrace checks that the trace of a job that an older process hands over continues
// under the same request span.
func TestUpgradeKeepsTrace(t *testing.T) {
	t.Parallel()
	c := newCollector(t, nil)
	r := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener, withTelemetry(c.Addr))
	got := submit(d.jobRequest("render", "long"))
	h := await(t, r.requests, "attempt")
	h.reply(202, "")
	d.sendReport(jobEvent("long", "s-1", "started"))
	s := d.startSuccessor()
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	await(t, d.exited, "exit of the older process")
	s.sendReport(jobEvent("long", "s-1", "done"))
	if a := await(t, got, "response"); a.Status != 200 {
		t.Fatalf("the job got status %d %v, want 200", a.Status, a.Err)
	}
	all := awaitSpans(t, c, "long")
	want := map[string][]string{"long": {"POST /render served runner done 200 s-1", "1 first s-1 served true started,done"}}
	if diff := gocmp.Diff(want, traceTrees(all)); diff != "" {
		t.Errorf("traces (-want +got):\n%s", diff)
	}
	if p := h.Header.Get("Traceparent"); len(p) < 35 || all[0].TraceID().String() != p[3:35] {
		t.Errorf("the job was sent with Traceparent %q, but its span has trace %s", p, all[0].TraceID())
	}
}

// TestMeasures checks that the metrics count all requests, whether or not their traces are sampled.
func TestMeasures(t *testing.T) {
	t.Parallel()
	c := newCollector(t, nil)
	r := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()},
		withTelemetry(c.Addr, "OTEL_METRICS_EXPORTER=otlp", "OTEL_TRACES_SAMPLER=traceidratio", "OTEL_TRACES_SAMPLER_ARG=0"))
	d.serveRunner(r)
	d.serveJobs("job", 10)
	await(t, submit(d.jobRequest("bogus", "b")), "response")
	timeout := time.After(testTimeout)
	for {
		var call collector.Call
		select {
		case call = <-c.Calls():
		case <-timeout:
			t.Fatal("the metrics did not reach the expected counts before the timeout")
		}
		if call.Measures == nil {
			continue
		}
		got := map[string]int64{}
		for _, resource := range call.Measures.ResourceMetrics().All() {
			for _, scope := range resource.ScopeMetrics().All() {
				for _, m := range scope.Metrics().All() {
					switch m.Name() {
					case "frosttide.requests", "frosttide.hops":
						for _, p := range m.Sum().DataPoints().All() {
							got[m.Name()] += p.IntValue()
						}
					case "http.server.request.duration":
						for _, p := range m.ExponentialHistogram().DataPoints().All() {
							got[m.Name()] += int64(p.Count())
						}
					case "frosttide.tokens.limit":
						for _, p := range m.Gauge().DataPoints().All() {
							got[m.Name()] += p.IntValue()
						}
					}
				}
			}
		}
		want := map[string]int64{"frosttide.requests": 11, "frosttide.hops": 10, "http.server.request.duration": 11, "frosttide.tokens.limit": 8}
		if gocmp.Equal(want, got) {
			break
		}
	}
	if trees := traceTrees(awaitSpans(t, c, "")); trees["job-0"] != nil {
		t.Errorf("the trace of a plain request was exported: %q", trees)
	}
}

// keyPEM returns the private key of a certificate in PEM.
func keyPEM(t *testing.T, pair tls.Certificate) []byte {
	t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der})
}
