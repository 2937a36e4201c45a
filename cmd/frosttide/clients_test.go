package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestRefused guards that a job that no runner can take is refused at once with a Retry-After
// header.
func TestRefused(t *testing.T) {
	t.Parallel()
	// On 127.0.0.1 another test might get the same port.
	dead, err := net.Listen("tcp", uniqueIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	for name, known := range map[string][]string{
		"no runner": nil,
		"draining":  {targetEntry("s-1", "127.0.0.1:1", "DRAINING")},
		"dead":      {targetEntry("s-1", dead.Addr().String(), "SERVING")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, newDiscovery(t).URL, 1024, known...)
			a := await(t, submit(d.jobRequest("once", "x1")), "response")
			after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
			if a.Status != 503 || err != nil || after <= 0 || after > 2 {
				t.Errorf("got response %+v, want status 503 and Retry-After between 0 and 2 s", a)
			}
		})
	}
}

// TestBadRequests guards that malformed requests get the matching 4xx status and reach no runner,
// and that unusual but valid requests are served.
func TestBadRequests(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	set := func(name, value string) func(*http.Request) {
		return func(req *http.Request) { req.Header.Set(name, value) }
	}
	for _, tc := range []struct {
		name   string
		edit   func(*http.Request)
		status int
	}{
		{"no id", func(req *http.Request) { req.Header.Del("X-Trace-Id") }, 400},
		{"long id", set("X-Trace-Id", strings.Repeat("a", 129)), 400},
		{"id with a slash", set("X-Trace-Id", "a/b"), 400},
		{"unknown class", set("X-Qos", "karaoke"), 400},
		{"class against path", set("X-Qos", "once"), 400},
		{"no deadline", func(req *http.Request) { req.Header.Del("X-Expires-In-Ms") }, 400},
		{"deadline in words", set("X-Expires-In-Ms", "soon"), 400},
		{"deadline past", set("X-Expires-In-Ms", "-5"), 400},
		{"slots in words", set("X-Props", "slots=two"), 400},
		{"slots below nothing", set("X-Props", "slots=-1"), 400},
		{"slots not a number", set("X-Props", "slots=NaN"), 400},
		{"slots that no runner has", set("X-Props", "slots=9"), 400},
		{"two ids", func(req *http.Request) { req.Header["X-Trace-Id"] = []string{"a", "b"} }, 400},
		{"no key where one is due", func(req *http.Request) {
			*req = *d.jobRequest("release", "keyless")
			req.Header.Del("Idempotency-Key")
		}, 400},
		{"body too large", func(req *http.Request) {
			big := strings.Repeat("x", 64<<10+1)
			req.Body, req.ContentLength = http.MaxBytesReader(nil, http.NoBody, 0), 0
			*req = *d.jobRequest("render", "big")
			req.Body, req.ContentLength = readCloser{strings.NewReader(big)}, int64(len(big))
		}, 413},
		{"headers too large", set("X-Other", strings.Repeat("x", 64<<10)), 431},
		{"a GET", func(req *http.Request) { req.Method, req.Body, req.ContentLength = "GET", nil, 0 }, 405},
		{"deadline in weeks", set("X-Expires-In-Ms", "2000000000"), 200},
		{"unknown figures and headers", func(req *http.Request) {
			req.Header.Set("X-Props", "slots=2, colour=7")
			req.Header.Set("X-Other", "1")
		}, 200},
		{"path that a router would clean", func(req *http.Request) { req.URL.Opaque = "/render//a/../b" }, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			req := d.jobRequest("render", "x-"+strings.ReplaceAll(tc.name, " ", "-"), tc.edit)
			got := submit(req)
			if tc.status == 200 {
				h := await(t, r.requests, "attempt")
				h.reply(202, "")
				if left, err := strconv.Atoi(h.Header.Get("X-Expires-In-Ms")); err != nil || left > 20000 {
					t.Errorf("the runner was told %d ms, more than the 20 s limit of the class", left)
				}
				if want := req.URL.RequestURI(); h.RequestURI != want {
					t.Errorf("the runner got request URI %s, want %s", h.RequestURI, want)
				}
				d.sendReport(jobEvent(h.id(), r.uid, "done"))
			}
			if a := await(t, got, "response"); a.Status != tc.status {
				t.Errorf("got response %+v, want status %d", a, tc.status)
			}
			if len(r.requests) > 0 {
				t.Errorf("the runner got an unexpected request: %s", (<-r.requests).RequestURI)
			}
		})
	}
}

// readCloser adds a Close method that does nothing to a reader.
type readCloser struct{ *strings.Reader }

func (readCloser) Close() error { return nil }

// TestClientLeaves guards that the work of a disconnected client is canceled: before the runner's
// 202 by closing the connection to the runner, after it by recalling the job.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	for _, accepted := range []bool{false, true} {
		t.Run(fmt.Sprintf("taken %t", accepted), func(t *testing.T) {
			c, err := net.Dial("tcp", d.addr)
			if err != nil {
				t.Fatal(err)
			}
			id := fmt.Sprintf("left-%t", accepted)
			if err := d.jobRequest("render", id).Write(c); err != nil {
				t.Fatal(err)
			}
			h := await(t, r.requests, "attempt")
			if !accepted {
				c.Close()
				await(t, h.connClosed, "end of the connection to the runner")
				return
			}
			h.reply(202, "")
			// On the same connection: once this job arrives, the first 202 has been read.
			other := submit(d.jobRequest("render", "other-"+id))
			o := await(t, r.requests, "other attempt")
			o.reply(202, "")
			c.Close()
			del := await(t, r.requests, "recall")
			if diff := cmp.Diff([]string{"DELETE", "/jobs/" + id}, []string{del.Method, del.RequestURI}); diff != "" {
				t.Errorf("recall (-want +got):\n%s", diff)
			}
			del.reply(204, "")
			d.sendReport(jobEvent(o.id(), r.uid, "done"))
			await(t, other, "response")
		})
	}
}

// TestDeadline guards rule 1: a job whose runner stops responding is answered at the client's
// deadline. The upper bound leaves room for a busy machine.
func TestDeadline(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	for _, tc := range []struct {
		class    string
		accepted bool
		status   int
	}{{"render", true, 503}, {"render", false, 503}, {"once", true, 502}, {"once", false, 502}} {
		id := fmt.Sprintf("%s-%t", tc.class, tc.accepted)
		sent := time.Now()
		got := submit(d.jobRequest(tc.class, id, func(req *http.Request) { req.Header.Set("X-Expires-In-Ms", "400") }))
		h := await(t, r.requests, "attempt")
		for h.id() != id {
			h = await(t, r.requests, "attempt") // skips the recall of the previous job
		}
		if tc.accepted {
			h.reply(202, "")
		}
		a := await(t, got, "response")
		took := time.Since(sent)
		if a.Status != tc.status || took < 350*time.Millisecond || took > 1400*time.Millisecond {
			t.Errorf("%s: got response %+v after %v, want status %d at 400 ms", id, a, took, tc.status)
		}
	}
}

// TestSockets guards the limit on descriptors: jobs beyond their share are refused cleanly, and
// hundreds of connections that stay silent or never finish a request do not block reports, the
// health check or kept connections; the dispatcher closes them in time.
func TestSockets(t *testing.T) {
	t.Parallel()
	a, b, c := newRunner(t, "s-1"), newRunner(t, "s-2"), newRunner(t, "s-3")
	d := start(t, newDiscovery(t).URL, 72, a.entry(), b.entry(), c.entry())
	kept := &http.Client{Transport: &http.Transport{}}
	if a := do(kept, d.jobRequest("render", "health", func(r *http.Request) { r.URL.Path = "/_health"; r.Method = "GET" })); a.Status != 200 {
		t.Fatalf("health check: got response %+v, want status 200", a)
	}
	const jobs = 20 // half of the descriptors that are not reserved
	var got []<-chan response
	var attempts []*runnerRequest
	var uids []string
	for i := range jobs {
		got = append(got, submit(d.jobRequest("render", fmt.Sprintf("x%d", i))))
		var h *runnerRequest
		uid := ""
		select {
		case h = <-a.requests:
			uid = a.uid
		case h = <-b.requests:
			uid = b.uid
		case h = <-c.requests:
			uid = c.uid
		case <-time.After(testTimeout):
			t.Fatalf("no attempt of job %d before the timeout", i)
		}
		h.reply(202, "")
		attempts, uids = append(attempts, h), append(uids, uid)
	}
	if a := await(t, submit(d.jobRequest("render", "one-more")), "response"); a.Status != 503 || !a.Close {
		t.Errorf("got response %+v to a job beyond the limit, want status 503 and Connection: close", a)
	}
	var closes []<-chan response
	for i := range 200 {
		c := d.dialAndWrite([]string{"", "POST /render HTTP/1.1\r\nHost: x\r\nX-Never", "POST /render HTTP/1.1\r\nHost: x\r\nX-Qos: render\r\n" +
			"X-Trace-Id: y\r\nX-Expires-In-Ms: 900\r\nContent-Length: 9\r\n\r\nhalf"}[i%3])
		closes = append(closes, readResponse(c))
	}
	for i, h := range attempts {
		if code := d.sendReport(jobEvent(h.id(), uids[i], "done")); code != 204 {
			t.Errorf("a report got status %d, want 204", code)
		}
		if a := await(t, got[i], "response"); a.Status != 200 {
			t.Errorf("job %d: got response %+v, want status 200", i, a)
		}
	}
	if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)); err != nil || len(fds) > 72 {
		t.Errorf("%d descriptors are open (error %v), want at most 72", len(fds), err)
	}
	for i, end := range closes {
		if a := await(t, end, "end of a connection with an incomplete request"); a.Err == nil && a.Status/100 != 4 {
			t.Errorf("connection %d got response %+v, want a close or a 4xx status", i, a)
		}
	}
	if took := time.Since(*d.lastDial.Load()); took > 3*time.Second {
		t.Errorf("a connection with an incomplete request lasted %v, want at most 3 s", took)
	}
	if len(a.requests)+len(b.requests)+len(c.requests) > 0 {
		t.Errorf("an incomplete request was dispatched")
	}
}

// TestAmbiguousRequestLengths guards against request smuggling: a request whose end two parsers
// could see at different places is refused and its connection closed, and neither it nor a request
// hidden in its body reaches a runner.
func TestAmbiguousRequestLengths(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	head := func(id string) string {
		return "POST /render HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Qos: render\r\nX-Expires-In-Ms: 9000\r\n"
	}
	hidden := head("hidden") + "Content-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name, tail string
		status     int // status of the response
	}{
		{"both", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"both, the other way round", "transfer-encoding: chunked\r\nCONTENT-LENGTH:4\r\n\r\n0\r\n\r\n" + hidden, 400},
		{"doubled", "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody" + hidden, 400},
		{"doubled and different", "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody" + hidden, 400},
		{"negative", "Content-Length: -4\r\n\r\nbody", 400},
		{"in words", "Content-Length: four\r\n\r\nbody", 400},
		{"huge", "Content-Length: 60000000\r\n\r\nbody", 413},
		{"beyond numbers", "Content-Length: 99999999999999999999\r\n\r\nbody", 400},
		{"too short", "Content-Length: 4\r\n\r\nbody that goes on", 400},
		{"too long", "Content-Length: 40\r\n\r\nbody", 408},
		{"endless chunk", "Transfer-Encoding: chunked\r\n\r\n9\r\nbody", 408},
		{"unknown encoding", "Transfer-Encoding: gzip\r\n\r\nbody", 501},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := d.dialAndWrite(head("bad") + tc.tail)
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != tc.status || !resp.Close {
				t.Fatalf("got response %+v, error %v, want status %d and Connection: close", resp, err, tc.status)
			}
			io.Copy(io.Discard, resp.Body)
			if _, err := http.ReadResponse(in, nil); err == nil {
				t.Error("got a second response on the connection")
			}
		})
	}
	t.Run("sound", func(t *testing.T) {
		for id, tail := range map[string]string{
			// A chunked request is the last on its connection, so the hidden one is not read.
			"chunked":   "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + hidden,
			"pipelined": "Content-Length: 4\r\n\r\nbody" + head("next") + "Content-Length: 0\r\n\r\n",
		} {
			c := d.dialAndWrite(head(id) + tail)
			in := bufio.NewReader(c)
			want := []string{id}
			if id == "pipelined" {
				want = append(want, "next")
			}
			for _, id := range want {
				h := await(t, r.requests, "attempt")
				if h.id() != id {
					t.Fatalf("the runner got job %q, want %q", h.id(), id)
				}
				h.reply(202, "")
				d.sendReport(jobEvent(id, r.uid, "done"))
				if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 {
					t.Errorf("%s: got response %+v, error %v, want status 200", id, resp, err)
				} else {
					io.Copy(io.Discard, resp.Body)
				}
			}
			if len(r.requests) > 0 {
				t.Errorf("%s: the runner got an unexpected job %q", id, (<-r.requests).id())
			}
		}
	})
}

// TestJobRejectedByRunner guards the health state of a runner and the retries of other jobs: a job
// that a runner rejects as invalid is the client's fault. So no other runner is tried, the client
// gets status 400, and the runner keeps getting jobs.
func TestJobRejectedByRunner(t *testing.T) {
	t.Parallel()
	first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	d := start(t, disc.URL, 1024, first.entry())
	w := await(t, disc.watches, "watch")
	for _, status := range []int{400, 404} {
		for n := range 10 {
			id := fmt.Sprintf("bad-%d-%d", status, n)
			got := submit(d.jobRequest([]string{"render", "once"}[n%2], id))
			h := await(t, first.requests, "attempt")
			if n == 0 && status == 400 { // from here on a second runner is in the list
				w.lines <- targetList(42, false, targetEntry("s-2", second.addr, "SERVING"))
				d.awaitLog("target=s-2")
				w.lines <- targetList(43, false, targetEntry("s-2", second.addr, "DRAINING"))
				d.awaitLog("target=s-2")
			}
			h.reply(status, "")
			if a := await(t, got, "response"); a.Status != 400 {
				t.Errorf("got response %+v after the runner's status %d, want status 400", a, status)
			}
		}
	}
	good := submit(d.jobRequest("render", "good"))
	await(t, first.requests, "attempt of a valid job").reply(202, "")
	d.sendReport(jobEvent("good", "s-1", "done"))
	if a := await(t, good, "response"); a.Status != 200 {
		t.Errorf("got response %+v to a valid job, want status 200", a)
	}
	if len(first.requests)+len(second.requests) > 0 {
		t.Error("a runner got unexpected requests")
	}
}

// readResponse reads one response head from a connection in the background. A connection that ends
// without one gives an error.
func readResponse(c net.Conn) <-chan response {
	got := make(chan response, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			got <- response{Err: err}
			return
		}
		got <- response{Status: resp.StatusCode, Header: resp.Header}
	}()
	return got
}
