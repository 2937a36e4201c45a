package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"frosttide/decision/freshness"
)

// TestRouteTable guards the list: what it says counts at once, in any layout, what can't be
// read costs the call and no more, and a watch that ends is opened again where it left off.
func TestRouteTable(t *testing.T) {
	t.Parallel()
	r, moved := newRunner(t, "s-1"), newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, r.entry())
	w := await(t, disc.watches, "watch")
	if w.query != "watch=1&from=41" {
		t.Errorf("the watch asks for %q", w.query)
	}
	serve := func(id string, r *runner) {
		t.Helper()
		got := submit(d.jobRequest("render", id))
		await(t, r.requests, "hop").reply(202, "")
		d.sendReport(jobEvent(id, "s-1", "done"))
		if a := await(t, got, "answer"); a.Status != 200 {
			t.Errorf("%s: answer %+v", id, a)
		}
	}
	refused := func(id string) {
		t.Helper()
		if a := await(t, submit(d.jobRequest("render", id)), "answer"); a.Status != 503 {
			t.Errorf("%s: answer %+v, want a refusal", id, a)
		}
	}
	for _, garbage := range []string{`{"rev":42,"all":true,"targets":[]} nonsense`, `{"rev":"42","all":true}`, `{"all":true}`, `{"rev":42,"all":tr!`} {
		w.lines <- garbage
		await(t, w.callEnded, "end of the call whose answer can't be read")
		if w = await(t, disc.watches, "another watch"); strings.HasPrefix(garbage, `{"rev":42,"all":true`) {
			d.awaitLog("egress target gone") // the object before the garbage counts
			w.lines <- targetList(41, true, r.entry())
			d.awaitLog("egress target listed")
			serve("after-garbage", r)
		} else if w.query != "watch=1&from=41" {
			t.Errorf("after %s the watch asks for %q", garbage, w.query)
		}
	}
	w.lines <- targetList(42, true, `{"uid":"s-1","endpoint":"nowhere","az":"a","model":"m","state":"SERVING"}`)
	d.awaitLog("list entry skipped")
	serve("after-bad-lines", r)
	w.lines <- indented(targetList(43, false, targetEntry("s-1", moved.addr, "SERVING")))
	d.awaitLog("egress target moved")
	serve("after-a-move", moved)
	w.lines <- targetList(44, false, targetEntry("s-1", moved.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	refused("while-draining")
	close(w.lines)
	w = await(t, disc.watches, "second watch")
	if w.query != "watch=1&from=44" {
		t.Errorf("the second watch asks for %q", w.query)
	}
	w.lines <- targetList(45, true, targetEntry("s-1", moved.addr, "SERVING"))
	w.lines <- targetList(46, true)
	d.awaitLog("egress target gone")
	refused("when-gone")
	// Guards against a watch whose machine has vanished: nobody ends it, and what it misses
	// binds 6.5 s after its last byte.
	disc.noHeartbeats.Store(true)
	last := time.Now()
	d.awaitLog("discovery has fallen silent")
	await(t, w.callEnded, "end of the silent watch")
	w = await(t, disc.watches, "third watch")
	if took := time.Since(last); took < time.Second || took > 5*time.Second {
		t.Errorf("asked again %v after the last byte", took)
	}
	w.lines <- targetList(47, true, targetEntry("s-1", moved.addr, "SERVING"))
	d.awaitLog("egress target listed")
}

// indented lays a list out over many lines.
func indented(list string) string {
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(list), "  ", "    "); err != nil {
		panic(err)
	}
	return out.String()
}

// TestOldListAtStart guards rule 3 at a process that begins with the list of one that died long
// ago: what has changed since binds, so that discovery is heard before a job is taken, also where a
// first call has failed in its line; and a discovery that says nothing is not waited for without end.
func TestOldListAtStart(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name             string
		dispatchers      int
		crowded, answers bool
	}{
		{"discovery answers", 20, false, true},
		{"discovery's line is long", 20, true, true},
		{"discovery is mute", 20, false, false},
		{"few, discovery answers", freshness.MaxUnspreadCallers, false, true},
		{"few, discovery is mute", 3, false, false},
	} {
		answers := tc.answers
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			gone, there := newRunner(t, "s-1"), newRunner(t, "s-2")
			disc := newDiscovery(t)
			disc.noHeartbeats.Store(true)
			sent := make(chan struct{}) // closed once a job waits at the open address
			got := make(chan response, 1)
			if answers {
				go func() {
					w := <-disc.watches
					if tc.crowded { // it fails after having waited, which the rest is about
						time.Sleep(1100 * time.Millisecond)
						close(w.lines)
						w = <-disc.watches
					}
					<-sent
					if tc.crowded { // a process that goes by the old list sends the job at once
						select {
						case <-gone.requests:
							t.Error("the runner that is gone was sent the job")
						case <-time.After(500 * time.Millisecond):
						}
					}
					w.lines <- targetList(42, true, there.entry())
					if tc.dispatchers <= freshness.MaxUnspreadCallers && w.query != "" {
						t.Errorf("one of few first asks for %q: it is answered only once something changes", w.query)
					}
				}()
			}
			d := startWith(t, disc.URL, 1024, []string{gone.entry()}, func(d *dispatcher) {
				many := strings.Replace(testSettings, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, tc.dispatchers), 1)
				if tc.dispatchers == freshness.MaxUnspreadCallers { // calls spread over seconds: as long it waits
					many = strings.Replace(many, `"ask-within":1000000`, `"ask-within":60000000`, 1)
				}
				text, err := os.ReadFile(d.path)
				if err == nil {
					err = os.WriteFile(d.path, []byte(strings.Replace(string(text), testSettings, many, 1)), 0o600)
				}
				if err != nil {
					t.Fatal(err)
				}
				req := d.jobRequest("render", "first")
				go func() {
					var c net.Conn
					var err error
					for over := time.Now().Add(testTimeout); c == nil && time.Now().Before(over); runtime.Gosched() {
						c, err = net.Dial("tcp", d.addr)
					}
					if err == nil {
						err = req.Write(c)
					}
					close(sent)
					if err != nil {
						got <- response{Err: err}
						return
					}
					defer c.Close()
					resp, err := http.ReadResponse(bufio.NewReader(c), req)
					if err != nil {
						got <- response{Err: err}
						return
					}
					resp.Body.Close()
					got <- response{Status: resp.StatusCode}
				}()
			})
			from := gone
			if answers {
				from = there
			}
			h := await(t, from.requests, "job at the runner that is listed")
			h.reply(202, "")
			d.sendReport(jobEvent(h.id(), from.uid, "done"))
			if a := await(t, got, "answer"); a.Status != 200 {
				t.Errorf("answered %+v", a)
			}
			if answers && len(gone.requests) > 0 {
				t.Error("the runner that is gone was sent the job")
			}
		})
	}
}

// TestOlderDiscovery guards drains against a discovery that a reload names and that lags behind the
// one before: what that had told counts until the new one has come as far, also over another reload.
func TestOlderDiscovery(t *testing.T) {
	t.Parallel()
	gone, drained, kept := newRunner(t, "s-gone"), newRunner(t, "s-drained"), newRunner(t, "s-kept")
	first, second, third := newDiscovery(t), newDiscovery(t), newDiscovery(t)
	d := start(t, first.URL, 1024, gone.entry(), drained.entry())
	w := await(t, first.watches, "watch")
	w.lines <- targetList(43, false, targetEntry(gone.uid, gone.addr, "DELETED"), targetEntry(drained.uid, drained.addr, "DRAINING"), kept.entry())
	d.awaitLog("target=s-kept")
	lagging := targetList(41, true, gone.entry(), drained.entry(), kept.entry())
	for i, next := range []*discovery{second, third} {
		d.reload(fmt.Sprintf(d.cfg, strings.TrimPrefix(next.URL, "http://")))
		w = await(t, next.watches, "call to the new discovery")
		w.lines <- lagging
		marker := fmt.Sprintf("s-marker-%d", i)
		w.lines <- targetList(42, false, targetEntry(marker, "127.0.0.1:1", "DRAINING"))
		d.awaitLog("target=" + marker)
		for n := range 6 {
			id := fmt.Sprintf("lagging-%d-%d", i, n)
			got := submit(d.jobRequest("render", id))
			h := await(t, kept.requests, "attempt at the runner that serves")
			h.reply(202, "")
			d.sendReport(jobEvent(id, kept.uid, "started"))
			d.sendReport(jobEvent(id, kept.uid, "done"))
			if a := await(t, got, "answer"); a.Status != 200 {
				t.Errorf("%s: answer %+v", id, a)
			}
		}
	}
	w.lines <- targetList(44, false, targetEntry(kept.uid, kept.addr, "DELETED"), drained.entry())
	d.awaitLog("egress target gone")
	submit(d.jobRequest("render", "caught-up"))
	select {
	case h := <-drained.requests:
		if h.id() != "caught-up" {
			t.Errorf("the runner got %q", h.id())
		}
	case h := <-gone.requests: // it serves by the new discovery's own word
		if h.id() != "caught-up" {
			t.Errorf("the runner got %q", h.id())
		}
	case <-time.After(testTimeout):
		t.Error("no attempt once the new discovery had come as far")
	}
}
