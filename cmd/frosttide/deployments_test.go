package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// deployment is one of the example configurations, with the settings that the tests depend on.
// Expectations are derived from the file, so no test is specific to one example.
type deployment struct {
	platform map[string]any // the whole file
	Settings struct {
		Discovery string `json:"discovery"`
		Tenants   []struct {
			Name string `json:"name"`
		} `json:"tenants"`
		Classes []deployedClass `json:"request-classes"`
		Limits  struct {
			Probing bool `json:"probing"`
		} `json:"policy-limits"`
		Report struct {
			Source string `json:"source"`
		} `json:"report"`
		Zones []string `json:"zones"`
		Kinds []string `json:"kinds"`
	} `json:"settings"`
}

// deployedClass is a request class of a deployment.
type deployedClass struct {
	Name   string `json:"name"`
	Effect string `json:"effect"`
}

// forEachDeployment runs a test with the settings of each example in the form of the platform's
// file.
func forEachDeployment(t *testing.T, test func(*testing.T, *deployment)) {
	for _, name := range []string{"asked.json", "pushed.json"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
			if err != nil {
				t.Fatal(err)
			}
			var dep deployment
			if err := json.Unmarshal(text, &dep); err != nil {
				t.Fatal(err)
			}
			if err := json.Unmarshal(text, &dep.platform); err != nil {
				t.Fatal(err)
			}
			test(t, &dep)
		})
	}
}

// applySettings is an edit that makes a dispatcher start with the settings of the deployment, as the
// only dispatcher of its runners, so that each test sees only its own decisions.
func (dep *deployment) applySettings(d *dispatcher) {
	platform := maps.Clone(dep.platform) // shared by dispatchers that start concurrently
	settings := maps.Clone(platform["settings"].(map[string]any))
	settings["balancers"], settings["me"] = 1, 0
	platform["settings"], platform["listen"], platform["console"], platform["discovery"] = settings, d.addr, d.consoleAddr, "%s"
	var known struct {
		Known json.RawMessage `json:"known"`
	}
	if err := json.Unmarshal(fmt.Appendf(nil, d.cfg, ""), &known); err != nil {
		d.t.Fatal(err)
	}
	platform["known"] = known.Known
	text, err := json.Marshal(platform)
	if err != nil {
		d.t.Fatal(err)
	}
	d.cfg = string(text)
	if err := os.WriteFile(d.path, fmt.Appendf(nil, d.cfg, "127.0.0.1:1"), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// entry returns the runner's target entry, in the first zone and of the first kind of the
// deployment.
func (dep *deployment) entry(r *runner, state string) string {
	return strings.NewReplacer(`"az":"a"`, fmt.Sprintf(`"az":%q`, dep.Settings.Zones[0]),
		`"model":"m"`, fmt.Sprintf(`"model":%q`, dep.Settings.Kinds[0])).Replace(targetEntry(r.uid, r.addr, state))
}

// withClassHeaders is an edit of a job request: it adds an idempotency key if the class is keyed,
// and the name of a tenant if the deployment has tenants.
func (dep *deployment) withClassHeaders(class int) func(*http.Request) {
	return func(req *http.Request) {
		if dep.Settings.Classes[class].Effect == "keyed" {
			req.Header.Set("Idempotency-Key", "key-"+req.Header.Get("X-Trace-Id"))
		}
		if n := len(dep.Settings.Tenants); n > 0 {
			req.Header.Set("X-Customer", dep.Settings.Tenants[class%n].Name)
		}
	}
}

// awaitAttempt returns the next attempt at any of the runners. It fails the test if a runner is
// probed although the settings forbid probes.
func (dep *deployment) awaitAttempt(t *testing.T, runners ...*runner) (*runner, *runnerRequest) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		var h *runnerRequest
		var at *runner
		select {
		case h = <-runners[0].requests:
			at = runners[0]
		case h = <-runners[len(runners)-1].requests:
			at = runners[len(runners)-1]
		case <-timeout:
			t.Fatal("no attempt before the timeout")
		}
		if h.Method == http.MethodPost {
			return at, h
		}
		if h.Method == http.MethodGet && !dep.Settings.Limits.Probing {
			t.Errorf("%s was probed at %s although the settings forbid probes", at.uid, h.RequestURI)
		}
	}
}

// TestEffects guards the rule of each effect for a job that may have run: an unsafe job fails,
// while a job whose repeats are harmless or dropped, in one zone or everywhere, goes to another
// runner.
func TestEffects(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
		d := startWith(t, newDiscovery(t).URL, 1024, []string{dep.entry(a, "SERVING"), dep.entry(b, "SERVING")}, dep.applySettings)
		for i, class := range dep.Settings.Classes {
			id := "x-" + class.Name
			got := submit(d.jobRequest(class.Name, id, dep.withClassHeaders(i)))
			at, h := dep.awaitAttempt(t, a, b)
			h.reply(202, "")
			d.sendReport(jobEvent(id, at.uid, "started"))
			d.sendReport(jobEvent(id, at.uid, "lost"))
			want := 502
			if class.Effect != "unsafe" {
				want = 200
				again, h := dep.awaitAttempt(t, a, b)
				if again == at || h.id() != id {
					t.Errorf("%s: job %s was retried at %s after %s, want the other runner", class.Name, h.id(), again.uid, at.uid)
				}
				h.reply(202, "")
				d.sendReport(jobEvent(id, again.uid, "done"))
			}
			if ans := await(t, got, "response"); ans.Status != want {
				t.Errorf("%s: got response %+v, want status %d", class.Name, ans, want)
			}
			if len(a.requests)+len(b.requests) > 0 {
				t.Errorf("%s: got an unexpected attempt", class.Name)
			}
		}
	})
}

// TestListEitherWay guards that drains in the target list are applied and stay applied whether the
// dispatcher requests the list or gets it pushed, and that open jobs are answered across a planned
// restart.
func TestListEitherWay(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
		disc := newDiscovery(t)
		d := startWith(t, disc.URL, 1024, []string{dep.entry(a, "SERVING")}, dep.applySettings)
		w := await(t, disc.watches, "watch")
		w.lines <- targetList(42, false, dep.entry(a, "DRAINING"), dep.entry(b, "SERVING"))
		d.awaitLog("egress target drains")
		class := dep.Settings.Classes[0].Name
		for i := range 6 {
			id := fmt.Sprintf("x%d", i)
			got := submit(d.jobRequest(class, id, dep.withClassHeaders(0)))
			at, h := dep.awaitAttempt(t, a, b)
			if at != b {
				t.Errorf("job %s went to the draining runner", id)
			}
			h.reply(202, "")
			if i == 5 {
				d.cmd.Process.Signal(syscall.SIGTERM)
				d.awaitLog("frosttide drains")
			}
			d.sendReport(jobEvent(id, at.uid, "done"))
			if ans := await(t, got, "response"); ans.Status != 200 {
				t.Errorf("got response %+v, want status 200", ans)
			}
		}
		if err := await(t, d.exited, "exit of the process"); err != nil {
			t.Errorf("the program exited with %v, want success", err)
		}
	})
}

// TestFullRunner guards a job that needs more slots than its runner has free: the runner rejects it
// before it ran, so it is tried at another runner, and the client gets one response.
func TestFullRunner(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		// Each class has its own dispatcher, because full queues cause load shedding.
		for i, class := range dep.Settings.Classes {
			a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
			d := startWith(t, newDiscovery(t).URL, 1024, []string{dep.entry(a, "SERVING"), dep.entry(b, "SERVING")}, dep.applySettings)
			id := "wide-" + class.Name
			got := submit(d.jobRequest(class.Name, id, dep.withClassHeaders(i), func(req *http.Request) { req.Header.Set("X-Props", "slots=4") }))
			first, h := dep.awaitAttempt(t, a, b)
			h.reply(503, "X-Never-Ran: 1\r\n")
			second, h := dep.awaitAttempt(t, a, b)
			if second == first {
				t.Errorf("%s: the job was sent again to the full runner", class.Name)
			}
			h.reply(202, "")
			d.sendReport(jobEvent(id, second.uid, "done"))
			if ans := await(t, got, "response"); ans.Status != 200 {
				t.Errorf("%s: got response %+v, want status 200", class.Name, ans)
			}
		}
	})
}

// TestReportsInAnswers guards deployments whose load reports are part of reports on jobs: the load
// counts, and a report without the relevant values is ignored.
func TestReportsInAnswers(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		if dep.Settings.Report.Source != "answers" {
			return
		}
		a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
		d := startWith(t, newDiscovery(t).URL, 1024, []string{dep.entry(a, "SERVING"), dep.entry(b, "SERVING")}, dep.applySettings)
		class := slices.IndexFunc(dep.Settings.Classes, func(c deployedClass) bool { return c.Effect == "keyed" })
		jobs := 0
		nextAttempt := func() (string, <-chan response, *runner, *runnerRequest) {
			jobs++
			id := fmt.Sprintf("r%d", jobs)
			got := submit(d.jobRequest(dep.Settings.Classes[class].Name, id, dep.withClassHeaders(class), func(req *http.Request) {
				req.Header.Set("X-Size-Hint", "100000")
			}))
			at, h := dep.awaitAttempt(t, a, b)
			return id, got, at, h
		}
		reportDone := func(id string, at *runner, load string) {
			d.sendReport(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r","load":%s}`, id, at.uid, load))
		}
		id1, got1, at1, h1 := nextAttempt() // both at once, so that each runner gets one
		id2, got2, at2, h2 := nextAttempt()
		if at1 == at2 {
			t.Fatalf("%s got both jobs, want one at each runner", at1.uid)
		}
		h1.reply(202, "")
		h2.reply(202, "")
		load := map[*runner]string{a: `{"util":1,"queue":9,"x0":0,"x1":0}`, b: `{"util":0,"queue":0,"x0":4,"x1":4}`}
		reportDone(id1, at1, load[at1])
		reportDone(id2, at2, load[at2])
		await(t, got1, "response")
		await(t, got2, "response")
		for range 4 {
			id, got, at, h := nextAttempt()
			if at != b {
				t.Errorf("%s went to the runner that reported a queue", id)
			}
			h.reply(202, "")
			reportDone(id, at, `{"util":0.2}`) // without the values for slots
			await(t, got, "response")
		}
	})
}

// TestClientGone guards that a job whose client has disconnected is recalled at its runner.
func TestClientGone(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		a := newRunner(t, "s-1")
		d := startWith(t, newDiscovery(t).URL, 1024, []string{dep.entry(a, "SERVING")}, dep.applySettings)
		class := dep.Settings.Classes[0].Name
		c := d.dialAndWrite("POST /" + class + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: gone\r\nX-Qos: " + class +
			"\r\nX-Expires-In-Ms: 4000\r\nX-Customer: nobody-we-know\r\nContent-Length: 0\r\n\r\n")
		_, h := dep.awaitAttempt(t, a)
		h.reply(202, "")
		d.sendReport(jobEvent("gone", a.uid, "started"))
		c.Close()
		recall := await(t, a.requests, "recall")
		if recall.Method != http.MethodDelete || recall.RequestURI != "/jobs/gone" {
			t.Errorf("the runner got %s %s, want DELETE /jobs/gone", recall.Method, recall.RequestURI)
		}
	})
}

// TestReloadUpgradeAndRestart guards the planned operations on a deployment: a reload of its
// settings, an upgrade and a planned restart. A job that is open across each of them stays at its
// runner and gets one response.
func TestReloadUpgradeAndRestart(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		a := newRunner(t, "s-1")
		disc := newDiscovery(t)
		d := startWith(t, disc.URL, 1024, []string{dep.entry(a, "SERVING")}, dep.applySettings, withInheritedListener)
		await(t, disc.watches, "watch")
		class := dep.Settings.Classes[0].Name
		beginJob := func(d *dispatcher, id string) <-chan response {
			got := submit(d.jobRequest(class, id, dep.withClassHeaders(0)))
			_, h := dep.awaitAttempt(t, a)
			if h.id() != id {
				t.Fatalf("got an attempt of job %s, want %s", h.id(), id)
			}
			h.reply(202, "")
			d.sendReport(jobEvent(id, a.uid, "started"))
			return got
		}
		finishJob := func(when string, d *dispatcher, id string, got <-chan response) {
			// The report is retried while the job is being handed over.
			for d.sendReport(jobEvent(id, a.uid, "done")) != 204 {
			}
			if ans := await(t, got, "response "+when); ans.Status != 200 {
				t.Errorf("got response %+v %s, want status 200", ans, when)
			}
		}
		got := beginJob(d, "x-reread")
		d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(disc.URL, "http://")))
		d.awaitLog("configuration reread")
		finishJob("across a reload", d, "x-reread", got)

		got = beginJob(d, "x-upgrade")
		next := d.startSuccessor()
		if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		d.awaitLog("frosttide drains")
		finishJob("across an upgrade", next, "x-upgrade", got)
		if err := await(t, d.exited, "exit of the process"); err != nil {
			t.Errorf("the older process exited with %v, want success", err)
		}
		next.awaitLog("the other process has ended")

		got = beginJob(next, "x-restart")
		if err := next.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		next.awaitLog("frosttide drains")
		finishJob("across a planned restart", next, "x-restart", got)
		if err := await(t, next.exited, "exit of the newer process"); err != nil {
			t.Errorf("the program exited with %v, want success", err)
		}
		if len(a.requests) > 0 {
			t.Error("the runner got an unexpected request, as from a job that was sent twice")
		}
	})
}
