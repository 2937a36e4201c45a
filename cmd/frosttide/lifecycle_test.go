package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestDrain checks a planned restart. Clients keep their connections for a while and are then told
// to reconnect elsewhere, every request is answered before the platform kills the process, reports
// are still accepted, and the program exits once every accepted request is answered, even while
// idle connections are open.
func TestDrain(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	got := submit(d.jobRequest("render", "x1"))
	await(t, r.requests, "attempt").reply(202, "")
	unreported := submit(d.jobRequest("once", "long"))
	await(t, r.requests, "attempt").reply(202, "")
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	terminatedAt := time.Now()
	d.awaitLog("frosttide drains")
	stuck := submit(d.jobRequest("render", "stuck"))
	await(t, r.requests, "attempt").reply(202, "")
	d.sendReport(jobEvent("stuck", r.uid, "started")) // a late start would cause load shedding
	// Further jobs are served until clients are told to reconnect.
	for n := 0; ; n++ {
		id := fmt.Sprintf("late-%d", n)
		late := submit(d.jobRequest("render", id))
		var h *runnerRequest
		select {
		case h = <-r.requests:
		case a := <-late:
			if a.Status != 503 || !a.Close || n == 0 {
				t.Fatalf("late request got response %+v, want 503 with Connection: close after the first", a)
			}
		}
		if h == nil {
			break // too late for its class: refused, and the connection is closed
		}
		h.reply(202, "")
		d.sendReport(jobEvent(id, r.uid, "started"))
		d.sendReport(jobEvent(id, r.uid, "done"))
		a := await(t, late, "response")
		if a.Status != 200 {
			t.Fatalf("late request got response %+v, want status 200", a)
		}
		if a.Close {
			break
		}
	}
	if code := d.sendReport(jobEvent("x1", r.uid, "done")); code != 204 {
		t.Errorf("report while draining got status %d, want 204", code)
	}
	if a := await(t, got, "response"); a.Status != 200 || a.Body != "clip of x1 by s-1" {
		t.Errorf("response %+v, want the clip of x1", a)
	}
	d.dialAndWrite("") // an idle connection does not delay the exit
	for what, got := range map[string]struct {
		from   <-chan response
		status int
	}{"before": {unreported, 502}, "after": {stuck, 503}} {
		if a := await(t, got.from, "response"); a.Status != got.status || time.Since(terminatedAt) > 3600*time.Millisecond {
			t.Errorf("response %+v %v after SIGTERM to the request sent %s it, want status %d within 3.6 s", a, time.Since(terminatedAt), what, got.status)
		}
	}
	answeredAt := time.Now()
	if err := await(t, d.exited, "exit of the process"); err != nil {
		t.Errorf("the program exited with %v, want status 0", err)
	}
	if took := time.Since(answeredAt); took > 1500*time.Millisecond {
		t.Errorf("the program exited %v after its last response, want 1.5 s at most", took)
	}
}

// TestReload checks the reload of the configuration. SIGHUP interrupts no request, and an invalid
// file changes nothing. The discovery address in the file, which the environment overrode at the
// start, is then asked for changes, or for the full list if its revisions are unrelated. Nothing
// that the old discovery service sends has an effect.
func TestReload(t *testing.T) {
	t.Parallel()
	r, other := newRunner(t, "s-1"), newRunner(t, "s-2")
	first, second := newDiscovery(t), newDiscovery(t)
	d := start(t, first.URL, 1024, r.entry())
	oldWatch := await(t, first.watches, "watch")
	got := submit(d.jobRequest("render", "x1"))
	await(t, r.requests, "attempt").reply(202, "")

	for _, bad := range []string{`{"name":`, fmt.Sprintf(d.cfg, "nowhere")} {
		d.reload(bad)
		d.awaitLog("configuration not taken")
	}
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(second.URL, "http://")))
	call := await(t, second.watches, "call to the new discovery")
	await(t, oldWatch.callEnded, "end of the old watch")
	if call.query != "watch=1&from=41" {
		t.Errorf("the new discovery was first asked for %q, want watch=1&from=41", call.query)
	}
	// The lower revision shows that the revisions are unrelated.
	call.lines <- targetList(6, false, targetEntry("s-1", r.addr, "DRAINING"))
	fullList := await(t, second.watches, "call for the full list")
	if fullList.query != "" {
		t.Errorf("the new discovery was then asked for %q, want the full list", fullList.query)
	}
	d.sendReport(jobEvent("x1", r.uid, "done"))
	if a := await(t, got, "response"); a.Status != 200 {
		t.Errorf("response %+v to the request that was open, want status 200", a)
	}
	kept := submit(d.jobRequest("render", "x2")) // the old list stays in use meanwhile
	await(t, r.requests, "attempt").reply(202, "")
	d.sendReport(jobEvent("x2", r.uid, "done"))
	await(t, kept, "response")

	fullList.lines <- targetList(7, true, other.entry())
	close(fullList.lines)
	w := await(t, second.watches, "watch on the new discovery")
	if w.query != "watch=1&from=7" {
		t.Errorf("the new watch asks for %q, want watch=1&from=7", w.query)
	}
	d.awaitLog("egress target gone")
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(second.URL, "http://"))) // the same file again
	d.awaitLog("configuration reread")
	last := submit(d.jobRequest("render", "x3"))
	await(t, other.requests, "attempt at the new runner").reply(202, "")

	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("frosttide drains")
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(first.URL, "http://")))
	await(t, first.watches, "call to the first discovery again")
	d.sendReport(jobEvent("x3", other.uid, "done"))
	if a := await(t, last, "response"); a.Status != 200 {
		t.Errorf("response %+v while draining, want status 200", a)
	}
	if err := await(t, d.exited, "exit of the process"); err != nil {
		t.Errorf("the program exited with %v, want status 0", err)
	}
}

// TestBadConfig checks that a configuration error ends the start with one line that names it.
func TestBadConfig(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ cfg, want string }{
		{`{"name":`, "unexpected end of JSON"},
		{`{"discovery":"127.0.0.1:1","settings":` + testSettings + `}`, "listen: the address is missing"},
		{`{"listen":"127.0.0.1","discovery":"127.0.0.1:1","settings":` + testSettings + `}`, "missing port"},
		{`{"listen":"127.0.0.1:99999","discovery":"127.0.0.1:1","settings":` + testSettings + `}`, "not a port"},
		{`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1"}`, "settings are missing"},
		{`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{}}`, "request-classes: there are none"},
		{`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","settings":{"request-classes":[{"name":"a"}]}}`, "settings: discovery is missing"},
		{`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"xyz","settings":` + testSettings + `}`, "seed"},
		{`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","limits":{"sockets":3},"settings":` + testSettings + `}`, "limits.sockets"},
		{`{"listen":"192.0.2.1:9","discovery":"127.0.0.1:1","settings":` + testSettings + `}`, "listen"},
	} {
		cmd, _ := program(t, tc.cfg)
		out, err := cmd.CombinedOutput()
		_, failed := err.(*exec.ExitError)
		if lines := strings.Count(string(out), "\n"); !failed || lines != 1 || !strings.Contains(string(out), tc.want) {
			t.Errorf("%.60s: exited with %v and printed %q, want one line that contains %q", tc.cfg, err, out, tc.want)
		}
	}
}
