package main

import (
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestDrain guards the planned restart: clients keep their connections for a while
// and are then told to go elsewhere, everything has its answer before the platform ends the process, reports still come in, and the program ends once
// all it has taken is answered, whoever is connected and says nothing.
func TestDrain(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	got := submit(d.jobRequest("render", "x1"))
	await(t, r.requests, "hop").reply(202, "")
	long := submit(d.jobRequest("once", "long"))
	await(t, r.requests, "hop").reply(202, "")
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	told := time.Now()
	d.awaitLog("frosttide drains")
	stuck := submit(d.jobRequest("render", "stuck"))
	await(t, r.requests, "hop").reply(202, "")
	d.sendReport(jobEvent("stuck", r.uid, "started")) // late starts would have arrivals shed
	for n := 0; ; n++ {                               // the others are served, until clients are told to leave
		id := fmt.Sprintf("late-%d", n)
		late := submit(d.jobRequest("render", id))
		var h *runnerRequest
		select {
		case h = <-r.requests:
		case a := <-late:
			if a.Status != 503 || !a.Close || n == 0 {
				t.Fatalf("late answer %+v", a)
			}
		}
		if h == nil {
			break // too late for its class: refused, and told to leave
		}
		h.reply(202, "")
		d.sendReport(jobEvent(id, r.uid, "started"))
		d.sendReport(jobEvent(id, r.uid, "done"))
		a := await(t, late, "answer")
		if a.Status != 200 {
			t.Fatalf("late answer %+v", a)
		}
		if a.Close {
			break
		}
	}
	if code := d.sendReport(jobEvent("x1", r.uid, "done")); code != 204 {
		t.Errorf("call-back while draining got %d", code)
	}
	if a := await(t, got, "answer"); a.Status != 200 || a.Body != "clip of x1 by s-1" {
		t.Errorf("answer %+v", a)
	}
	d.dialAndWrite("") // says nothing, and is not waited for
	for what, got := range map[string]struct {
		from   <-chan response
		status int
	}{"before": {long, 502}, "after": {stuck, 503}} {
		if a := await(t, got.from, "answer"); a.Status != got.status || time.Since(told) > 3600*time.Millisecond {
			t.Errorf("answer %+v %v after SIGTERM to what came %s it, want %d before 3.7 s", a, time.Since(told), what, got.status)
		}
	}
	answered := time.Now()
	if err := await(t, d.exited, "end"); err != nil {
		t.Errorf("the program ended with %v", err)
	}
	if took := time.Since(answered); took > 1500*time.Millisecond {
		t.Errorf("the program ended %v after its last answer", took)
	}
}

// TestReload guards the reload: SIGHUP ends nothing, a bad file changes nothing,
// and the file's discovery, which the environment's went before at the start, is asked for
// what is new, and for its whole list where its versions are others; nothing of the old one
// counts.
func TestReload(t *testing.T) {
	t.Parallel()
	r, other := newRunner(t, "s-1"), newRunner(t, "s-2")
	first, second := newDiscovery(t), newDiscovery(t)
	d := start(t, first.URL, 1024, r.entry())
	old := await(t, first.watches, "watch")
	got := submit(d.jobRequest("render", "x1"))
	await(t, r.requests, "hop").reply(202, "")

	for _, bad := range []string{`{"name":`, fmt.Sprintf(d.cfg, "nowhere")} {
		d.reload(bad)
		d.awaitLog("configuration not taken")
	}
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(second.URL, "http://")))
	asked := await(t, second.watches, "call to the new discovery")
	await(t, old.callEnded, "end of the old watch")
	if asked.query != "watch=1&from=41" {
		t.Errorf("the new discovery was first asked for %q", asked.query)
	}
	asked.lines <- targetList(6, false, targetEntry("s-1", r.addr, "DRAINING")) // its versions are others
	whole := await(t, second.watches, "call for the whole list")
	if whole.query != "" {
		t.Errorf("the new discovery was then asked for %q, want the whole list", whole.query)
	}
	d.sendReport(jobEvent("x1", r.uid, "done"))
	if a := await(t, got, "answer"); a.Status != 200 {
		t.Errorf("answer %+v to the request that was open", a)
	}
	kept := submit(d.jobRequest("render", "x2")) // the list is kept meanwhile
	await(t, r.requests, "hop").reply(202, "")
	d.sendReport(jobEvent("x2", r.uid, "done"))
	await(t, kept, "answer")

	whole.lines <- targetList(7, true, other.entry())
	close(whole.lines)
	w := await(t, second.watches, "watch on the new discovery")
	if w.query != "watch=1&from=7" {
		t.Errorf("the new watch asks for %q", w.query)
	}
	d.awaitLog("egress target gone")
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(second.URL, "http://"))) // the same once more
	d.awaitLog("configuration reread")
	last := submit(d.jobRequest("render", "x3"))
	await(t, other.requests, "hop at the new runner").reply(202, "")

	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	d.awaitLog("frosttide drains")
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(first.URL, "http://")))
	await(t, first.watches, "call to the first discovery again")
	d.sendReport(jobEvent("x3", other.uid, "done"))
	if a := await(t, last, "answer"); a.Status != 200 {
		t.Errorf("answer %+v while draining", a)
	}
	if err := await(t, d.exited, "end"); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// TestBadConfig guards that a mistake ends the start with one clear line.
func TestBadConfig(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ cfg, says string }{
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
		if lines := strings.Count(string(out), "\n"); !failed || lines != 1 || !strings.Contains(string(out), tc.says) {
			t.Errorf("%.60s: ended with %v and said %q, want one line with %q", tc.cfg, err, out, tc.says)
		}
	}
}
