package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestReportStatuses checks the responses to runners' reports. A runner repeats a report until it
// gets a response, so reports on unknown jobs are accepted like any other and only malformed ones
// are rejected.
func TestReportStatuses(t *testing.T) {
	t.Parallel()
	d, _ := startWithRunner(t)
	for body, status := range map[string]int{
		jobEvent("nobody", "s-1", "done"):                 204,
		jobEvent("nobody", "s-9", "started"):              204,
		`{"id":"a","from":"s-1","state":"done"}`:          204,
		`{"id":"a","from":"s-1","state":"dancing"}`:       400,
		`{"id":"","from":"s-1","state":"done"}`:           400,
		`{"id":"a","state":"done"}`:                       400,
		`{"id":7,"from":"s-1","state":"done"}`:            400,
		`{"id":"a","from":"s-1","state":"running","share`: 400,
		``:                                 400,
		strings.Repeat(" ", 64<<10) + `{}`: 413,
	} {
		if got := d.sendReport(body); got != status {
			t.Errorf("report %.60q got status %d, want %d", body, got, status)
		}
	}
}

// TestNewConnectionIsNotEvicted checks that when connections run out, the dispatcher closes idle
// ones that have sent a request, not a new one that has yet to send its first.
func TestNewConnectionIsNotEvicted(t *testing.T) {
	t.Parallel()
	d := start(t, newDiscovery(t).URL, 64)
	checkHealth := func(c net.Conn) error {
		if _, err := io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil && resp.StatusCode != 200 {
			err = fmt.Errorf("status %d", resp.StatusCode)
		}
		return err
	}
	for i := range 100 {
		c := d.dialAndWrite("")
		if i%10 != 9 {
			if err := checkHealth(c); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
			continue
		}
		for range 3 { // each needs a free connection slot
			if err := checkHealth(d.dialAndWrite("")); err != nil {
				t.Fatal(err)
			}
		}
		if err := checkHealth(c); err != nil {
			t.Errorf("the first request on connection %d: %v", i, err)
		}
	}
}

// TestKept checks that the timeout for the arrival of a request does not apply to a keep-alive
// connection that is idle between requests.
func TestKept(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	c := d.dialAndWrite("")
	in := bufio.NewReader(c)
	serve := func(id string) {
		t.Helper()
		if err := d.jobRequest("render", id).Write(c); err != nil {
			t.Fatal(err)
		}
		await(t, r.requests, "attempt").reply(202, "")
		d.sendReport(jobEvent(id, r.uid, "done"))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: response %+v, %v, want status 200", id, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	serve("first")
	// A connection that was opened later is closed by the timeout.
	await(t, readResponse(d.dialAndWrite("POST")), "end of the connection with an incomplete request")
	serve("second")
}

// TestBreaksKept checks the reaction to a runner that closes keep-alive connections when the next
// request arrives. The first such close costs only that attempt, and from then on each attempt uses
// a new connection.
func TestBreaksKept(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	var conns []net.Conn
	serve := func(id string) {
		t.Helper()
		got := submit(d.jobRequest("render", id))
		h := await(t, r.requests, "attempt")
		conns = append(conns, h.conn)
		h.reply(202, "")
		d.sendReport(jobEvent(id, r.uid, "started"))
		d.sendReport(jobEvent(id, r.uid, "done"))
		if a := await(t, got, "response"); a.Status != 200 {
			t.Fatalf("%s: response %+v, want status 200", id, a)
		}
	}
	serve("x0")
	got := submit(d.jobRequest("once", "x1"))
	h := await(t, r.requests, "attempt")
	if h.conn != conns[0] {
		t.Fatal("the connection was not reused")
	}
	h.conn.Close()
	await(t, got, "response")
	d.awaitLog("runner breaks kept connections")
	for _, id := range []string{"x2", "x3", "x4"} {
		serve(id)
	}
	for i, c := range conns {
		if i > 0 && c == conns[i-1] {
			t.Errorf("attempts %d and %d used the same connection", i-1, i)
		}
	}
}

// TestSilentRunner checks a job whose runner sends nothing before the 202. The job moves to another
// runner long before its deadline, but only once the first has confirmed the recall, as second
// copies are not allowed. A job that was reported as started does not move. If the recall is not
// confirmed, the first runner may still have the job: no other runner gets it, and the client gets
// a 503 and may retry.
func TestSilentRunner(t *testing.T) {
	t.Parallel()
	first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, first.entry())
	w := await(t, disc.watches, "watch")
	started := submit(d.jobRequest("render", "began"))
	await(t, first.requests, "attempt")
	d.sendReport(jobEvent("began", "s-1", "started"))
	lost := submit(d.jobRequest("render", "lost"))
	await(t, first.requests, "attempt")
	awaitRecall := func(id string) *runnerRequest {
		t.Helper()
		h := await(t, first.requests, "recall")
		if h.Method != "DELETE" || h.RequestURI != "/jobs/"+id {
			t.Fatalf("the silent runner got %s %s, want the recall of %s", h.Method, h.RequestURI, id)
		}
		return h
	}
	w.lines <- targetList(42, false, second.entry())
	d.awaitLog("target=s-2")
	recall := awaitRecall("lost")
	if len(second.requests) > 0 {
		t.Errorf("the other runner got %q before the first had confirmed the recall", (<-second.requests).id())
	}
	recall.reply(204, "")
	if h := await(t, second.requests, "attempt at the other runner"); h.id() != "lost" {
		t.Fatalf("the other runner got job %q, want lost", h.id())
	}
	d.sendReport(jobEvent("lost", "s-2", "done"))
	d.sendReport(jobEvent("began", "s-1", "done"))
	for what, got := range map[string]<-chan response{"lost by s-2": lost, "began by s-1": started} {
		if a := await(t, got, "response"); a.Status != 200 || a.Body != "clip of "+what {
			t.Errorf("response %+v, want the clip of %s", a, what)
		}
	}
	w.lines <- targetList(43, false, targetEntry(second.uid, second.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	unconfirmed := submit(d.jobRequest("render", "mute"))
	await(t, first.requests, "attempt")
	w.lines <- targetList(44, false, second.entry(), targetEntry("s-9", "127.0.0.1:1", "DRAINING"))
	d.awaitLog("target=s-9")
	awaitRecall("mute").conn.Close()
	if a := await(t, unconfirmed, "response"); a.Status != 503 {
		t.Errorf("response %+v, want status 503", a)
	}
	if len(second.requests) > 0 {
		t.Errorf("the other runner got job %q, want none", (<-second.requests).id())
	}
}
