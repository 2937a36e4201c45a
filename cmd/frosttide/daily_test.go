package main

import (
	"net"
	"syscall"
	"testing"
)

// TestConsole guards the operators' door: it answers each call within the second that
// a caller waits, however many callers connect and say nothing, tells a bad call from
// a good one, and says not ready once the process drains.
func TestConsole(t *testing.T) {
	t.Parallel()
	d, r := one(t)
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
	} {
		if status, text := d.call(tc.method, tc.path, tc.body); status != tc.status {
			t.Errorf("%s %s %s got %d %q, want %d", tc.method, tc.path, tc.body, status, text, tc.status)
		}
	}
	open := submit(d.job("render", "x1"))
	await(t, r.hops, "hop").reply(202, "")
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
