package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// withPushedList configures the dispatcher to get target lists from an agent on its own host, and
// shortens the drain grace to 400 ms.
func withPushedList(d *dispatcher) {
	d.cfg = strings.NewReplacer(`"on_request"`, `"pushed"`, `"drain-grace":500000`, `"drain-grace":400000`).Replace(d.cfg)
	if err := os.WriteFile(d.path, fmt.Appendf(nil, d.cfg, "127.0.0.1:1"), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// awaitOnlyWorker sends 6 jobs and fails the test unless all of them run on want and the other
// runners get none.
func (d *dispatcher) awaitOnlyWorker(want *runner, others ...*runner) {
	d.t.Helper()
	for i := range 6 {
		id := fmt.Sprintf("only%d-%s", i, want.uid)
		got := submit(d.jobRequest("render", id))
		await(d.t, want.requests, "attempt at "+want.uid).reply(202, "")
		d.sendReport(jobEvent(id, want.uid, "done"))
		if a := await(d.t, got, "response"); a.Status != 200 {
			d.t.Errorf("response %+v, want status 200", a)
		}
	}
	for _, r := range others {
		if len(r.requests) > 0 {
			d.t.Errorf("%s got a request, want none", r.uid)
		}
	}
}

// TestPushedList checks the rule on drains in pushed mode, where the dispatcher counts as informed
// of everything that the agent on its host has. The list is watched from the start, and the watch
// is reopened whenever it ends, whether or not the decision module asks for the list.
func TestPushedList(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	agent := newDiscovery(t)
	d := startWith(t, agent.URL, 1024, []string{a.entry(), b.entry()}, withPushedList)
	w := await(t, agent.watches, "watch")
	if w.query != "watch=1&from=41" {
		t.Errorf("the agent was asked for %q, want watch=1&from=41", w.query)
	}
	w.lines <- targetList(42, false, targetEntry("s-1", a.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	d.awaitOnlyWorker(b, a)

	// An incomplete list. If it took effect, b would be removed.
	w.lines <- `{"rev":43,"all":true,"targets":[` + a.entry() + partialLine
	close(w.lines)
	startedAt, endedWatches := time.Now(), 10
	for range endedWatches {
		w = await(t, agent.watches, "watch after one that has ended")
		if w.query != "watch=1&from=42" {
			t.Errorf("the agent was asked for %q after an incomplete list, want watch=1&from=42", w.query)
		}
		close(w.lines)
	}
	if took := time.Since(startedAt); took > time.Duration(endedWatches)*400*time.Millisecond {
		t.Errorf("%d watches that ended at once took %v, want at most the drain grace each", endedWatches, took)
	}
	d.awaitOnlyWorker(b, a)
	w = await(t, agent.watches, "watch")

	moved := newDiscovery(t) // its revisions are unrelated, and its first response is malformed
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(moved.URL, "http://")))
	await(t, w.callEnded, "end of the watch at the old address")
	for _, step := range []struct{ query, text string }{
		{"", `{"rev":"x"`},
		{"", targetList(7, true, a.entry(), targetEntry("s-2", b.addr, "DRAINING"))},
	} {
		w = await(t, moved.watches, "call for the full list of the new agent")
		if w.query != step.query {
			t.Errorf("the new agent was asked for %q, want %q", w.query, step.query)
		}
		w.lines <- step.text
		close(w.lines)
	}
	if w = await(t, moved.watches, "watch"); w.query != "watch=1&from=7" {
		t.Errorf("the new agent was asked for %q, want watch=1&from=7", w.query)
	}
	d.awaitLog("egress target drains")
	d.awaitOnlyWorker(a, b)
}

// TestPushedListLate checks the start on a host whose agent is not running yet.
func TestPushedListLate(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	free, err := net.Listen("tcp", uniqueIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	free.Close()
	awaitPortsFree(t, free.Addr().String())
	d := startWith(t, free.Addr().String(), 1024, []string{a.entry()}, withPushedList)
	if !strings.Contains(strings.Join(d.logLines, "\n"), "discovery call ended") {
		t.Error("the dispatcher serves before it has called the agent")
	}
	d.awaitOnlyWorker(a)
	agent := newDiscoveryAt(t, free.Addr().String())
	await(t, agent.watches, "watch").lines <- targetList(42, true, targetEntry("s-1", a.addr, "DRAINING"), b.entry())
	d.awaitLog("egress target drains")
	d.awaitOnlyWorker(b, a)
}

// TestPushedListFirst checks that a new process accepts no job before the agent has responded: it
// counts as informed of what the agent has before the first job arrives.
func TestPushedListFirst(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	agent := newDiscovery(t)
	agent.noHeartbeats.Store(true)
	addr, healthy := make(chan string, 1), make(chan error, 1)
	go func() {
		w, clientsAddr := <-agent.watches, <-addr
		resp, err := (&http.Client{Timeout: 100 * time.Millisecond}).Get("http://" + clientsAddr + "/_health")
		if err == nil {
			resp.Body.Close()
		}
		healthy <- err
		w.lines <- targetList(42, false, targetEntry("s-1", a.addr, "DRAINING"))
	}()
	d := startWith(t, agent.URL, 1024, []string{a.entry(), b.entry()}, withPushedList, func(d *dispatcher) {
		d.cfg = strings.Replace(d.cfg, `"drain-grace":400000`, `"drain-grace":5000000`, 1)
		if err := os.WriteFile(d.path, fmt.Appendf(nil, d.cfg, "127.0.0.1:1"), 0o600); err != nil {
			t.Fatal(err)
		}
		addr <- d.addr
	})
	if err := await(t, healthy, "health check"); err == nil {
		t.Error("the dispatcher is healthy before the agent has responded")
	}
	d.awaitOnlyWorker(b, a)
}

// TestPushedListUpgrade checks that both processes of an upgrade follow the agent.
func TestPushedListUpgrade(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	agent := newDiscovery(t)
	old := startWith(t, agent.URL, 1024, []string{a.entry(), b.entry()}, withPushedList, withInheritedListener)
	first := await(t, agent.watches, "watch")
	next := old.startSuccessor()
	second := await(t, agent.watches, "watch of the newer process")
	for _, w := range []*watch{first, second} {
		w.lines <- targetList(42, false, targetEntry("s-1", a.addr, "DRAINING"))
	}
	old.awaitLog("egress target drains")
	next.awaitLog("egress target drains")
	next.awaitOnlyWorker(b, a)
}

// TestListUnread checks that a dispatcher in on_request mode repeats its call for the full list
// after a malformed response, instead of waiting forever.
func TestListUnread(t *testing.T) {
	t.Parallel()
	a := newRunner(t, "s-1")
	disc, moved := newDiscovery(t), newDiscovery(t)
	d := start(t, disc.URL, 1024, a.entry())
	await(t, disc.watches, "watch")
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(moved.URL, "http://")))
	for range 2 {
		w := await(t, moved.watches, "call for the full list")
		w.lines <- "<html>"
		close(w.lines)
	}
}
