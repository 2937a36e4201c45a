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

// TestRouteTable checks the target list from discovery. Changes take effect at once, whatever the
// layout of the JSON; malformed data ends only the call that carried it; and a watch that ends is
// reopened from the last revision.
func TestRouteTable(t *testing.T) {
	t.Parallel()
	r, moved := newRunner(t, "s-1"), newRunner(t, "s-1")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, r.entry())
	w := await(t, disc.watches, "watch")
	if w.query != "watch=1&from=41" {
		t.Errorf("the watch asks for %q, want watch=1&from=41", w.query)
	}
	expectServed := func(id string, r *runner) {
		t.Helper()
		got := submit(d.jobRequest("render", id))
		await(t, r.requests, "attempt").reply(202, "")
		d.sendReport(jobEvent(id, "s-1", "done"))
		if a := await(t, got, "response"); a.Status != 200 {
			t.Errorf("%s: response %+v, want status 200", id, a)
		}
	}
	expectRefused := func(id string) {
		t.Helper()
		if a := await(t, submit(d.jobRequest("render", id)), "response"); a.Status != 503 {
			t.Errorf("%s: response %+v, want status 503", id, a)
		}
	}
	for _, garbage := range []string{`{"rev":42,"all":true,"targets":[]} nonsense`, `{"rev":"42","all":true}`, `{"all":true}`, `{"rev":42,"all":tr!`} {
		w.lines <- garbage
		await(t, w.callEnded, "end of the call with malformed data")
		if w = await(t, disc.watches, "another watch"); strings.HasPrefix(garbage, `{"rev":42,"all":true`) {
			d.awaitLog("egress target gone") // the object before the garbage takes effect
			w.lines <- targetList(41, true, r.entry())
			d.awaitLog("egress target listed")
			expectServed("after-garbage", r)
		} else if w.query != "watch=1&from=41" {
			t.Errorf("after %s the watch asks for %q, want watch=1&from=41", garbage, w.query)
		}
	}
	w.lines <- targetList(42, true, `{"uid":"s-1","endpoint":"nowhere","az":"a","model":"m","state":"SERVING"}`)
	d.awaitLog("list entry skipped")
	expectServed("after-bad-lines", r)
	w.lines <- indented(targetList(43, false, targetEntry("s-1", moved.addr, "SERVING")))
	d.awaitLog("egress target moved")
	expectServed("after-a-move", moved)
	w.lines <- targetList(44, false, targetEntry("s-1", moved.addr, "DRAINING"))
	d.awaitLog("egress target drains")
	expectRefused("while-draining")
	close(w.lines)
	w = await(t, disc.watches, "second watch")
	if w.query != "watch=1&from=44" {
		t.Errorf("the second watch asks for %q, want watch=1&from=44", w.query)
	}
	w.lines <- targetList(45, true, targetEntry("s-1", moved.addr, "SERVING"))
	w.lines <- targetList(46, true)
	d.awaitLog("egress target gone")
	expectRefused("when-gone")
	// A watch whose host is lost is never closed by the peer. Changes that it misses must be
	// obeyed from 6.5 s after its last byte on.
	disc.noHeartbeats.Store(true)
	silentSince := time.Now()
	d.awaitLog("discovery has fallen silent")
	await(t, w.callEnded, "end of the silent watch")
	w = await(t, disc.watches, "third watch")
	if took := time.Since(silentSince); took < time.Second || took > 5*time.Second {
		t.Errorf("the watch was reopened %v after the last byte, want 1 s to 5 s", took)
	}
	w.lines <- targetList(47, true, targetEntry("s-1", moved.addr, "SERVING"))
	d.awaitLog("egress target listed")
}

// indented formats a target list over many lines.
func indented(list string) string {
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(list), "  ", "    "); err != nil {
		panic(err)
	}
	return out.String()
}

// TestOldListAtStart checks rule 3 on a process that starts with the outdated target list of one
// that died long ago. Changes since then must be obeyed, so the process waits for a response of
// discovery before it accepts a job, even if its first call waited in discovery's queue and then
// failed. It does not wait forever for a discovery service that never responds.
func TestOldListAtStart(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name                     string
		dispatchers              int
		firstCallFails, responds bool
	}{
		{"discovery answers", 20, false, true},
		{"discovery's line is long", 20, true, true},
		{"discovery is mute", 20, false, false},
		{"few, discovery answers", freshness.MaxUnspreadCallers, false, true},
		{"few, discovery is mute", 3, false, false},
	} {
		responds := tc.responds
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			removed, listed := newRunner(t, "s-1"), newRunner(t, "s-2")
			disc := newDiscovery(t)
			disc.noHeartbeats.Store(true)
			sent := make(chan struct{}) // closed once a job was sent to the clients' listener
			got := make(chan response, 1)
			if responds {
				go func() {
					w := <-disc.watches
					if tc.firstCallFails { // the first call waits and then fails
						time.Sleep(1100 * time.Millisecond)
						close(w.lines)
						w = <-disc.watches
					}
					<-sent
					if tc.firstCallFails { // a process that used the old list would send the job at once
						select {
						case <-removed.requests:
							t.Error("the removed runner got the job")
						case <-time.After(500 * time.Millisecond):
						}
					}
					w.lines <- targetList(42, true, listed.entry())
					if tc.dispatchers <= freshness.MaxUnspreadCallers && w.query != "" {
						t.Errorf("with few dispatchers the first call asks for %q, want the full list: a watch is answered only once something changes", w.query)
					}
				}()
			}
			d := startWith(t, disc.URL, 1024, []string{removed.entry()}, func(d *dispatcher) {
				settings := strings.Replace(testSettings, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, tc.dispatchers), 1)
				if tc.dispatchers == freshness.MaxUnspreadCallers {
					// Calls are spread over seconds, and the start waits as long.
					settings = strings.Replace(settings, `"ask-within":1000000`, `"ask-within":60000000`, 1)
				}
				text, err := os.ReadFile(d.path)
				if err == nil {
					err = os.WriteFile(d.path, []byte(strings.Replace(string(text), testSettings, settings, 1)), 0o600)
				}
				if err != nil {
					t.Fatal(err)
				}
				req := d.jobRequest("render", "first")
				go func() {
					var c net.Conn
					var err error
					for deadline := time.Now().Add(testTimeout); c == nil && time.Now().Before(deadline); runtime.Gosched() {
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
			from := removed
			if responds {
				from = listed
			}
			h := await(t, from.requests, "job at the expected runner")
			h.reply(202, "")
			d.sendReport(jobEvent(h.id(), from.uid, "done"))
			if a := await(t, got, "response"); a.Status != 200 {
				t.Errorf("response %+v, want status 200", a)
			}
			if responds && len(removed.requests) > 0 {
				t.Error("the removed runner got the job")
			}
		})
	}
}

// TestOlderDiscovery checks that drains survive a reload that names a discovery service which lags
// behind the previous one. What the previous one reported stays in force until the new one has
// reached the same revision, also over a second reload.
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
			h := await(t, kept.requests, "attempt at the serving runner")
			h.reply(202, "")
			d.sendReport(jobEvent(id, kept.uid, "started"))
			d.sendReport(jobEvent(id, kept.uid, "done"))
			if a := await(t, got, "response"); a.Status != 200 {
				t.Errorf("%s: response %+v, want status 200", id, a)
			}
		}
	}
	w.lines <- targetList(44, false, targetEntry(kept.uid, kept.addr, "DELETED"), drained.entry())
	d.awaitLog("egress target gone")
	submit(d.jobRequest("render", "caught-up"))
	select {
	case h := <-drained.requests:
		if h.id() != "caught-up" {
			t.Errorf("the runner got job %q, want caught-up", h.id())
		}
	case h := <-gone.requests: // the new discovery service lists it as serving
		if h.id() != "caught-up" {
			t.Errorf("the runner got job %q, want caught-up", h.id())
		}
	case <-time.After(testTimeout):
		t.Error("no attempt after the new discovery service had caught up")
	}
}
