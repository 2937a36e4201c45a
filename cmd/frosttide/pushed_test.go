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

// withPushedList has lists come from an agent on the dispatcher's machine, with another grace.
func withPushedList(d *dispatcher) {
	d.cfg = strings.NewReplacer(`"on_request"`, `"pushed"`, `"drain-grace":500000`, `"drain-grace":400000`).Replace(d.cfg)
	if err := os.WriteFile(d.path, fmt.Appendf(nil, d.cfg, "127.0.0.1:1"), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// awaitOnlyWorker has some jobs served, and fails the test for each that goes to another runner.
func (d *dispatcher) awaitOnlyWorker(want *runner, others ...*runner) {
	d.t.Helper()
	for i := range 6 {
		id := fmt.Sprintf("only%d-%s", i, want.uid)
		got := submit(d.jobRequest("render", id))
		await(d.t, want.requests, "hop at "+want.uid).reply(202, "")
		d.sendReport(jobEvent(id, want.uid, "done"))
		if a := await(d.t, got, "answer"); a.Status != 200 {
			d.t.Errorf("answer %+v", a)
		}
	}
	for _, r := range others {
		if len(r.requests) > 0 {
			d.t.Errorf("%s got work", r.uid)
		}
	}
}

// TestPushedList guards the rule on drains where nobody has to ask for the list: what the
// agent on the dispatcher's machine has counts as told. It is read from the start and
// again whenever a reading ends, whatever the module asks for.
func TestPushedList(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	agent := newDiscovery(t)
	d := startWith(t, agent.URL, 1024, []string{a.entry(), b.entry()}, withPushedList)
	w := await(t, agent.watches, "watch")
	if w.query != "watch=1&from=41" {
		t.Errorf("the agent was asked for %q", w.query)
	}
	w.lines <- targetList(42, false, targetEntry("s-1", a.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	d.awaitOnlyWorker(b, a)

	w.lines <- `{"rev":43,"all":true,"targets":[` + a.entry() + partialLine // cut off: b would be gone
	close(w.lines)
	begun, ended := time.Now(), 10
	for range ended {
		w = await(t, agent.watches, "watch after one that has ended")
		if w.query != "watch=1&from=42" {
			t.Errorf("the agent was asked for %q after half a list", w.query)
		}
		close(w.lines)
	}
	if took := time.Since(begun); took > time.Duration(ended)*400*time.Millisecond {
		t.Errorf("%d watches that ended at once took %v, more than the grace each", ended, took)
	}
	d.awaitOnlyWorker(b, a)
	w = await(t, agent.watches, "watch")

	moved := newDiscovery(t) // its versions may count otherwise, and its first words make no list
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(moved.URL, "http://")))
	await(t, w.callEnded, "end of the watch at the old address")
	for _, step := range []struct{ query, text string }{
		{"", `{"rev":"x"`},
		{"", targetList(7, true, a.entry(), targetEntry("s-2", b.addr, "DRAINING"))},
	} {
		w = await(t, moved.watches, "call for all that the new agent has")
		if w.query != step.query {
			t.Errorf("the new agent was asked for %q, want %q", w.query, step.query)
		}
		w.lines <- step.text
		close(w.lines)
	}
	if w = await(t, moved.watches, "watch"); w.query != "watch=1&from=7" {
		t.Errorf("the new agent was asked for %q", w.query)
	}
	d.awaitLog("egress target drains")
	d.awaitOnlyWorker(a, b)
}

// TestPushedListLate guards the start beside an agent that is not there yet.
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
		t.Error("it serves before it has asked the agent")
	}
	d.awaitOnlyWorker(a)
	agent := newDiscoveryAt(t, free.Addr().String())
	await(t, agent.watches, "watch").lines <- targetList(42, true, targetEntry("s-1", a.addr, "DRAINING"), b.entry())
	d.awaitLog("egress target drains")
	d.awaitOnlyWorker(b, a)
}

// TestPushedListFirst guards the first moment of a process: what the agent has counts as told
// before the first job comes, so no job is taken before the agent has answered.
func TestPushedListFirst(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	agent := newDiscovery(t)
	agent.noHeartbeats.Store(true)
	addr, healthy := make(chan string, 1), make(chan error, 1)
	go func() {
		w, at := <-agent.watches, <-addr
		resp, err := (&http.Client{Timeout: 100 * time.Millisecond}).Get("http://" + at + "/_health")
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
		t.Error("it is healthy before the agent has answered")
	}
	d.awaitOnlyWorker(b, a)
}

// TestPushedListUpgrade has both processes of an upgrade follow the agent.
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

// TestListUnread guards a dispatcher that has to ask from waiting for ever once the answer
// to its call for the whole list makes no sense.
func TestListUnread(t *testing.T) {
	t.Parallel()
	a := newRunner(t, "s-1")
	disc, moved := newDiscovery(t), newDiscovery(t)
	d := start(t, disc.URL, 1024, a.entry())
	await(t, disc.watches, "watch")
	d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(moved.URL, "http://")))
	for range 2 {
		w := await(t, moved.watches, "call for the whole list")
		w.lines <- "<html>"
		close(w.lines)
	}
}
