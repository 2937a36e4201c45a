package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestConsole guards the operators' door: it answers each call within the second that
// a caller waits, however many callers connect and say nothing, tells a bad call from
// a good one, and says not ready once the process drains.
func TestConsole(t *testing.T) {
	t.Parallel()
	d, r := one(t)
	open := submit(d.job("render", "x1"))
	await(t, r.hops, "hop").reply(202, "")
	for range 100 {
		silent, err := net.Dial("tcp", d.ops)
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
		if status, text := d.call(tc.method, tc.path, tc.body); status != tc.status {
			t.Errorf("%s %s %s got %d %q, want %d", tc.method, tc.path, tc.body, status, text, tc.status)
		}
	}
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("frosttide drains")
	if status, _ := d.call("GET", "/api/ready", ""); status != 503 {
		t.Errorf("ready got %d while the process drains", status)
	}
	d.report(event("x1", r.uid, "done"))
	await(t, open, "answer")
}

// TestInherited guards the start beside a process that serves: the socket is the
// platform's, both take from it, and the end of one closes it for neither.
func TestInherited(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-1")
	old := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, upgradable)
	next := old.successor()
	if status, text := next.call("GET", "/api/ready", ""); status != 200 {
		t.Errorf("ready got %d %q", status, text)
	}
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := await(t, old.ended, "end"); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	got := submit(next.job("render", "x1"))
	await(t, r.hops, "hop").reply(202, "")
	next.report(event("x1", r.uid, "done"))
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
		got := submit(d.job("render", id))
		var h *hop
		select {
		case h = <-a.hops:
			at = a
		case h = <-b.hops:
			at = b
		case <-time.After(patience):
			t.Fatalf("no hop for job %d", jobs)
		}
		h.reply(202, "")
		d.report(event(id, at.uid, "started"))
		d.report(event(id, at.uid, "done"))
		await(t, got, "answer")
		if want != "" && at.uid != want {
			t.Errorf("job %d went to %s, want %s", jobs, at.uid, want)
		}
		return at
	}
	if status, text := d.call("PUT", "/api/exclude", `{"host":"s-1"}`); status != 200 {
		t.Fatalf("exclude got %d %q", status, text)
	}
	for rev, lines := range [][]string{
		{},
		{list(42, false, entry("s-1", a.addr, "DRAINING"))},
		{list(43, false, a.entry())},
		{list(44, true, b.entry()), list(45, false, a.entry())}, // removed, and back
		{list(46, true, a.entry(), b.entry())},
	} {
		for _, line := range lines {
			w.lines <- line
		}
		if len(lines) > 0 { // a third runner tells that they have arrived
			mark := fmt.Sprintf("s-mark%d", rev)
			w.lines <- list(100+rev, false, entry(mark, "127.0.0.1:1", "DRAINING"))
			d.awaitLog("egress target drains\" name=n0 part=core target=" + mark)
		}
		for range 12 {
			serve("s-2")
		}
	}
	if status, text := d.call("PUT", "/api/include", `{"host":"s-1"}`); status != 200 {
		t.Fatalf("include got %d %q", status, text)
	}
	serve("s-1")
}
