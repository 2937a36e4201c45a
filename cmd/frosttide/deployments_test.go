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

// deployment is one of the examples, as far as the tests have to know it. What they expect
// is read from the file: nothing here knows which deployment it is.
type deployment struct {
	platform map[string]any
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

type deployedClass struct {
	Name   string `json:"name"`
	Effect string `json:"effect"`
}

// forEachDeployment runs a test under the settings of every example in the platform's form.
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

// applySettings lets a dispatcher start on the deployment's settings. How many dispatchers share
// the runners is left out, so that each test sees its own decisions alone.
func (dep *deployment) applySettings(d *dispatcher) {
	platform := maps.Clone(dep.platform) // several dispatchers may start on it at once
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

func (dep *deployment) entry(r *runner, state string) string {
	return strings.NewReplacer(`"az":"a"`, fmt.Sprintf(`"az":%q`, dep.Settings.Zones[0]),
		`"model":"m"`, fmt.Sprintf(`"model":%q`, dep.Settings.Kinds[0])).Replace(targetEntry(r.uid, r.addr, state))
}

// withClassHeaders puts a key on the jobs of classes that want one, and a tenant's name on all.
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

// hopAt takes the next job at any of the runners, and fails the test for a probe where the
// settings forbid them.
func (dep *deployment) hopAt(t *testing.T, runners ...*runner) (*runner, *runnerRequest) {
	t.Helper()
	over := time.After(testTimeout)
	for {
		var h *runnerRequest
		var at *runner
		select {
		case h = <-runners[0].requests:
			at = runners[0]
		case h = <-runners[len(runners)-1].requests:
			at = runners[len(runners)-1]
		case <-over:
			t.Fatal("no hop")
		}
		if h.Method == http.MethodPost {
			return at, h
		}
		if h.Method == http.MethodGet && !dep.Settings.Limits.Probing {
			t.Errorf("%s was probed: %s", at.uid, h.RequestURI)
		}
	}
}

// TestEffects guards what each class allows once a job may have run: what must not run twice
// fails, what repeats drop in one zone or everywhere goes to another runner.
func TestEffects(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
		d := startWith(t, newDiscovery(t).URL, 1024, []string{dep.entry(a, "SERVING"), dep.entry(b, "SERVING")}, dep.applySettings)
		for i, class := range dep.Settings.Classes {
			id := "x-" + class.Name
			got := submit(d.jobRequest(class.Name, id, dep.withClassHeaders(i)))
			at, h := dep.hopAt(t, a, b)
			h.reply(202, "")
			d.sendReport(jobEvent(id, at.uid, "started"))
			d.sendReport(jobEvent(id, at.uid, "lost"))
			want := 502
			if class.Effect != "unsafe" {
				want = 200
				again, h := dep.hopAt(t, a, b)
				if again == at || h.id() != id {
					t.Errorf("%s: the job %s came to %s after %s", class.Name, h.id(), again.uid, at.uid)
				}
				h.reply(202, "")
				d.sendReport(jobEvent(id, again.uid, "done"))
			}
			if ans := await(t, got, "answer"); ans.Status != want {
				t.Errorf("%s: answer %+v, want %d", class.Name, ans, want)
			}
			if len(a.requests)+len(b.requests) > 0 {
				t.Errorf("%s: there was another hop", class.Name)
			}
		}
	})
}

// TestListEitherWay guards that drains are heard of and kept whoever has to ask for the list,
// and that a planned restart answers what is open.
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
			at, h := dep.hopAt(t, a, b)
			if at != b {
				t.Errorf("job %s went to a runner that drains", id)
			}
			h.reply(202, "")
			if i == 5 {
				d.cmd.Process.Signal(syscall.SIGTERM)
				d.awaitLog("frosttide drains")
			}
			d.sendReport(jobEvent(id, at.uid, "done"))
			if ans := await(t, got, "answer"); ans.Status != 200 {
				t.Errorf("answer %+v", ans)
			}
		}
		if err := await(t, d.exited, "end"); err != nil {
			t.Errorf("ended with %v", err)
		}
	})
}

// TestFullRunner guards a job of many slots that its runner has not: turned away unseen, it
// is tried at another, and the client has one answer.
func TestFullRunner(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		for i, class := range dep.Settings.Classes { // a dispatcher each: full queues have arrivals shed
			a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
			d := startWith(t, newDiscovery(t).URL, 1024, []string{dep.entry(a, "SERVING"), dep.entry(b, "SERVING")}, dep.applySettings)
			id := "wide-" + class.Name
			got := submit(d.jobRequest(class.Name, id, dep.withClassHeaders(i), func(req *http.Request) { req.Header.Set("X-Props", "slots=4") }))
			first, h := dep.hopAt(t, a, b)
			h.reply(503, "X-Never-Ran: 1\r\n")
			second, h := dep.hopAt(t, a, b)
			if second == first {
				t.Errorf("%s: sent again to the runner that had no room", class.Name)
			}
			h.reply(202, "")
			d.sendReport(jobEvent(id, second.uid, "done"))
			if ans := await(t, got, "answer"); ans.Status != 200 {
				t.Errorf("%s: answer %+v", class.Name, ans)
			}
		}
	})
}

// TestReportsInAnswers has load reports count where reports on jobs carry them, and a report without the figures that matter say nothing.
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
		next := func() (string, <-chan response, *runner, *runnerRequest) {
			jobs++
			id := fmt.Sprintf("r%d", jobs)
			got := submit(d.jobRequest(dep.Settings.Classes[class].Name, id, dep.withClassHeaders(class), func(req *http.Request) {
				req.Header.Set("X-Size-Hint", "100000")
			}))
			at, h := dep.hopAt(t, a, b)
			return id, got, at, h
		}
		done := func(id string, at *runner, load string) {
			d.sendReport(fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"r","load":%s}`, id, at.uid, load))
		}
		id1, got1, at1, h1 := next() // both at once, so that each has one
		id2, got2, at2, h2 := next()
		if at1 == at2 {
			t.Fatalf("%s got both jobs", at1.uid)
		}
		h1.reply(202, "")
		h2.reply(202, "")
		load := map[*runner]string{a: `{"util":1,"queue":9,"x0":0,"x1":0}`, b: `{"util":0,"queue":0,"x0":4,"x1":4}`}
		done(id1, at1, load[at1])
		done(id2, at2, load[at2])
		await(t, got1, "answer")
		await(t, got2, "answer")
		for range 4 {
			id, got, at, h := next()
			if at != b {
				t.Errorf("%s went to the runner that has told of a queue", id)
			}
			h.reply(202, "")
			done(id, at, `{"util":0.2}`) // says nothing of slots
			await(t, got, "answer")
		}
	})
}

// TestClientGone guards that work nobody waits for is recalled at the runner, which stops it
// where it can.
func TestClientGone(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		a := newRunner(t, "s-1")
		d := startWith(t, newDiscovery(t).URL, 1024, []string{dep.entry(a, "SERVING")}, dep.applySettings)
		class := dep.Settings.Classes[0].Name
		c := d.dialAndWrite("POST /" + class + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: gone\r\nX-Qos: " + class +
			"\r\nX-Expires-In-Ms: 4000\r\nX-Customer: nobody-we-know\r\nContent-Length: 0\r\n\r\n")
		_, h := dep.hopAt(t, a)
		h.reply(202, "")
		d.sendReport(jobEvent("gone", a.uid, "started"))
		c.Close()
		recall := await(t, a.requests, "recall")
		if recall.Method != http.MethodDelete || recall.RequestURI != "/jobs/gone" {
			t.Errorf("the runner got %s %s", recall.Method, recall.RequestURI)
		}
	})
}

// TestLife guards a deployment's day of operations: settings reread, an upgrade and a planned
// restart, each with a job under way that keeps its runner and gets its one answer.
func TestLife(t *testing.T) {
	t.Parallel()
	forEachDeployment(t, func(t *testing.T, dep *deployment) {
		a := newRunner(t, "s-1")
		disc := newDiscovery(t)
		d := startWith(t, disc.URL, 1024, []string{dep.entry(a, "SERVING")}, dep.applySettings, withInheritedListener)
		await(t, disc.watches, "watch")
		class := dep.Settings.Classes[0].Name
		begin := func(d *dispatcher, id string) <-chan response {
			got := submit(d.jobRequest(class, id, dep.withClassHeaders(0)))
			_, h := dep.hopAt(t, a)
			if h.id() != id {
				t.Fatalf("hop of %s, want %s", h.id(), id)
			}
			h.reply(202, "")
			d.sendReport(jobEvent(id, a.uid, "started"))
			return got
		}
		over := func(what string, d *dispatcher, id string, got <-chan response) {
			for d.sendReport(jobEvent(id, a.uid, "done")) != 204 { // repeated while the job is on its way
			}
			if ans := await(t, got, "answer "+what); ans.Status != 200 {
				t.Errorf("answer %+v %s", ans, what)
			}
		}
		got := begin(d, "x-reread")
		d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(disc.URL, "http://")))
		d.awaitLog("configuration reread")
		over("across a rereading", d, "x-reread", got)

		got = begin(d, "x-upgrade")
		next := d.startSuccessor()
		if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		d.awaitLog("frosttide drains")
		over("across an upgrade", next, "x-upgrade", got)
		if err := await(t, d.exited, "end"); err != nil {
			t.Errorf("the older process ended with %v", err)
		}
		next.awaitLog("the other process has ended")

		got = begin(next, "x-restart")
		if err := next.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		next.awaitLog("frosttide drains")
		over("across a planned restart", next, "x-restart", got)
		if err := await(t, next.exited, "end"); err != nil {
			t.Errorf("the program ended with %v", err)
		}
		if len(a.requests) > 0 {
			t.Error("a job was sent twice")
		}
	})
}
