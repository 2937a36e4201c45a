package main

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// startWithRunner starts a dispatcher whose target list holds one fake runner.
func startWithRunner(t *testing.T) (*dispatcher, *runner) {
	t.Helper()
	r := newRunner(t, "s-1")
	return start(t, newDiscovery(t).URL, 1024, r.entry()), r
}

// TestServed checks that a runner receives the request as the client sent it, and that the client
// receives the result exactly once, whatever the order and number of the runner's reports.
func TestServed(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	for _, tc := range []struct {
		name   string
		report []string // states; "202": response to the attempt; "!": report by another runner
	}{
		{"done after the 202", []string{"202", "started", "running", "done"}},
		{"done before the 202", []string{"started", "done", "202"}},
		{"done twice", []string{"202", "done", "done"}},
		{"a stranger's word first", []string{"202", "!done", "!failed", "done"}},
		{"failure after the end", []string{"202", "done", "failed"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id := strings.ReplaceAll(tc.name, " ", "-")
			got := submit(d.jobRequest("release", id))
			h := await(t, r.requests, "attempt")
			remaining, err := strconv.Atoi(h.Header.Get("X-Expires-In-Ms"))
			if err != nil || remaining > 15000 || remaining < 10000 {
				t.Errorf("X-Expires-In-Ms is %q, want 10000 to 15000", h.Header.Get("X-Expires-In-Ms"))
			}
			h.Header.Del("X-Expires-In-Ms")
			h.Header.Del("Content-Length")
			want := []any{"POST", "/release/clip%2F7?q=a+b", "frames of " + id,
				http.Header{"X-Trace-Id": {id}, "Idempotency-Key": {"key-" + id}}}
			if diff := cmp.Diff(want, []any{h.Method, h.RequestURI, h.body, h.Header}); diff != "" {
				t.Errorf("the request at the runner differs (-want +got):\n%s", diff)
			}
			for _, state := range tc.report {
				if state == "202" {
					h.reply(202, "")
					continue
				}
				from := r.uid
				if strings.HasPrefix(state, "!") {
					from = "s-stranger"
				}
				if code := d.sendReport(jobEvent(id, from, strings.TrimPrefix(state, "!"))); code != 204 {
					t.Errorf("report %s got status %d, want 204", state, code)
				}
			}
			a := await(t, got, "response")
			if diff := cmp.Diff(response{Status: 200, Body: "clip of " + id + " by s-1"}, response{a.Status, a.Body, nil, a.Err, false}); diff != "" {
				t.Errorf("the response differs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOutcomes checks rule 2: whether the job may have run, as the outcome of the attempt tells,
// and the effect of its class decide which status the client gets and whether the job is retried on
// another runner.
func TestOutcomes(t *testing.T) {
	t.Parallel()
	const neverRan = "X-Never-Ran: 1\r\n"
	reply := func(status int, headers string) func(*dispatcher, *runnerRequest) {
		return func(_ *dispatcher, h *runnerRequest) { h.reply(status, headers) }
	}
	report := func(state string) func(*dispatcher, *runnerRequest) {
		return func(d *dispatcher, h *runnerRequest) {
			h.reply(202, "")
			d.sendReport(jobEvent(h.id(), "s-1", state))
		}
	}
	for _, tc := range []struct {
		name, class string
		end         func(*dispatcher, *runnerRequest)
		retried     bool // the second runner gets the job
		status      int  // of the response if the job is not retried
	}{
		{"500, safe", "render", reply(500, ""), true, 0},
		{"500, unsafe", "once", reply(500, ""), false, 502},
		{"503 unrun, unsafe", "once", reply(503, neverRan), true, 0},
		{"504 unrun, keyed", "release", reply(504, neverRan), true, 0},
		{"503 that may have run", "once", reply(503, ""), false, 502},
		{"reset, unsafe", "once", func(_ *dispatcher, h *runnerRequest) { h.conn.Close() }, false, 502},
		{"reset, safe", "render", func(_ *dispatcher, h *runnerRequest) { h.conn.Close() }, true, 0},
		{"failed, unsafe", "once", report("failed"), false, 502},
		{"returned, unsafe", "once", report("returned"), true, 0},
		{"lost, unsafe", "once", report("lost"), false, 502},
		{"lost, safe", "render", report("lost"), true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
			disc := newDiscovery(t)
			d := start(t, disc.URL, 1024, first.entry())
			w := await(t, disc.watches, "watch")
			got := submit(d.jobRequest(tc.class, "x1"))
			h := await(t, first.requests, "attempt")
			w.lines <- targetList(42, false, second.entry())
			d.awaitLog("target=s-2")
			tc.end(d, h)
			if tc.retried {
				if h := await(t, second.requests, "second attempt"); h.id() != "x1" {
					t.Errorf("the second attempt is for job %q, want x1", h.id())
				}
				d.sendReport(jobEvent("x1", "s-2", "done"))
				tc.status = 200
			}
			if a := await(t, got, "response"); a.Status != tc.status {
				t.Errorf("response %+v, want status %d", a, tc.status)
			}
			if len(second.requests) > 0 {
				t.Errorf("the second runner got a further attempt")
			}
		})
	}
}

// TestSentOnce checks rule 2 against the automatic retry of http.Transport, which repeats a request
// when a reused connection turns out to be closed and an idempotency key makes the request look
// safe to repeat.
func TestSentOnce(t *testing.T) {
	t.Parallel()
	for _, body := range []string{"", "frames"} {
		t.Run("body "+strconv.Quote(body), func(t *testing.T) {
			t.Parallel()
			d, r := startWithRunner(t)
			warm := submit(d.jobRequest("release", "warm"))
			h := await(t, r.requests, "attempt")
			h.reply(202, "")
			d.sendReport(jobEvent("warm", r.uid, "done"))
			await(t, warm, "response")
			got := submit(d.jobRequest("release", "x1", func(req *http.Request) {
				req.Body, req.ContentLength, req.GetBody = http.NoBody, int64(len(body)), nil
				if body != "" {
					req.Body = d.jobRequest("render", "-").Body
					req.ContentLength = int64(len("frames of -"))
				}
			}))
			second := await(t, r.requests, "attempt on the keep-alive connection")
			if second.conn != h.conn {
				t.Fatal("the connection was not reused")
			}
			second.conn.Close()
			if a := await(t, got, "response"); a.Status != 502 {
				t.Errorf("response %+v, want status 502: the job may have run", a)
			}
			if len(r.requests) > 0 {
				t.Errorf("the attempt was repeated: got a request for job %q", (<-r.requests).id())
			}
		})
	}
}
