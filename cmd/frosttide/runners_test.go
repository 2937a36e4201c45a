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

// TestCallbacks guards the answers to reports: a runner repeats what is not
// answered, so an unknown id is answered like any, and only nonsense is refused.
func TestCallbacks(t *testing.T) {
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
			t.Errorf("call-back %.60q got %d, want %d", body, got, status)
		}
	}
}

// TestNewcomer guards a client that is about to send its first request while others
// ask once and stay: one of them makes room, not the newcomer.
func TestNewcomer(t *testing.T) {
	t.Parallel()
	d := start(t, newDiscovery(t).URL, 64)
	ask := func(c net.Conn) error {
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
			if err := ask(c); err != nil {
				t.Fatalf("connection %d: %v", i, err)
			}
			continue
		}
		for range 3 { // each needs a place
			if err := ask(d.dialAndWrite("")); err != nil {
				t.Fatal(err)
			}
		}
		if err := ask(c); err != nil {
			t.Errorf("the first request on connection %d: %v", i, err)
		}
	}
}

// TestKept guards kept connections: the time that a request may take to arrive
// does not bound how long a good client's connection rests.
func TestKept(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	c := d.dialAndWrite("")
	in := bufio.NewReader(c)
	ask := func(id string) {
		t.Helper()
		if err := d.jobRequest("render", id).Write(c); err != nil {
			t.Fatal(err)
		}
		await(t, r.requests, "hop").reply(202, "")
		d.sendReport(jobEvent(id, r.uid, "done"))
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%s: answer %+v, %v", id, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	ask("first")
	await(t, readResponse(d.dialAndWrite("POST")), "end of a head that never ends") // opened later, closed for its silence
	ask("second")
}

// TestBreaksKept guards against a runner that breaks kept connections when the
// next request comes: one such break costs one attempt, not its rest, and from then on
// each attempt has a connection of its own.
func TestBreaksKept(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	var conns []net.Conn
	serve := func(id string) {
		t.Helper()
		got := submit(d.jobRequest("render", id))
		h := await(t, r.requests, "hop")
		conns = append(conns, h.conn)
		h.reply(202, "")
		d.sendReport(jobEvent(id, r.uid, "started"))
		d.sendReport(jobEvent(id, r.uid, "done"))
		if a := await(t, got, "answer"); a.Status != 200 {
			t.Fatalf("%s: answer %+v", id, a)
		}
	}
	serve("x0")
	got := submit(d.jobRequest("once", "x1"))
	h := await(t, r.requests, "hop")
	if h.conn != conns[0] {
		t.Fatal("the connection was not kept")
	}
	h.conn.Close()
	await(t, got, "answer")
	d.awaitLog("runner breaks kept connections")
	for _, id := range []string{"x2", "x3", "x4"} {
		serve(id)
	}
	for i, c := range conns {
		if i > 0 && c == conns[i-1] {
			t.Errorf("hops %d and %d came by one connection", i-1, i)
		}
	}
}

// TestSilentRunner guards a job whose connection has fallen silent before the 202:
// it goes to another runner long before its deadline, once the first has heard that it is given
// up, as no second copy is allowed; but not if a report has told that the job has started. One that
// does not hear of it may have the job yet: no other gets it, and the client may come again.
func TestSilentRunner(t *testing.T) {
	t.Parallel()
	first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, first.entry())
	w := await(t, disc.watches, "watch")
	began := submit(d.jobRequest("render", "began"))
	await(t, first.requests, "hop")
	d.sendReport(jobEvent("began", "s-1", "started"))
	lost := submit(d.jobRequest("render", "lost"))
	await(t, first.requests, "hop")
	recalled := func(id string) *runnerRequest {
		t.Helper()
		h := await(t, first.requests, "recall")
		if h.Method != "DELETE" || h.RequestURI != "/jobs/"+id {
			t.Fatalf("the silent runner got %s %s, want the recall of %s", h.Method, h.RequestURI, id)
		}
		return h
	}
	w.lines <- targetList(42, false, second.entry())
	d.awaitLog("target=s-2")
	recall := recalled("lost")
	if len(second.requests) > 0 {
		t.Errorf("the other runner got %q before the first had heard that it is given up", (<-second.requests).id())
	}
	recall.reply(204, "")
	if h := await(t, second.requests, "hop at the other runner"); h.id() != "lost" {
		t.Fatalf("the other runner got %q", h.id())
	}
	d.sendReport(jobEvent("lost", "s-2", "done"))
	d.sendReport(jobEvent("began", "s-1", "done"))
	for what, got := range map[string]<-chan response{"lost by s-2": lost, "began by s-1": began} {
		if a := await(t, got, "answer"); a.Status != 200 || a.Body != "clip of "+what {
			t.Errorf("answer %+v, want the clip of %s", a, what)
		}
	}
	w.lines <- targetList(43, false, targetEntry(second.uid, second.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	mute := submit(d.jobRequest("render", "mute"))
	await(t, first.requests, "hop")
	w.lines <- targetList(44, false, second.entry(), targetEntry("s-9", "127.0.0.1:1", "DRAINING"))
	d.awaitLog("target=s-9")
	recalled("mute").conn.Close()
	if a := await(t, mute, "answer"); a.Status != 503 {
		t.Errorf("answer %+v, want a refusal", a)
	}
	if len(second.requests) > 0 {
		t.Errorf("the other runner got %q as well", (<-second.requests).id())
	}
}
