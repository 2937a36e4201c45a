package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// connectionErrors are the errors with which the kernel reports a broken connection.
var connectionErrors = []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOBUFS}

// startWithFault starts a dispatcher that injects the faults in the file at path into its
// connections to runners or to clients, as env says.
func startWithFault(t *testing.T, env string, known ...string) (d *dispatcher, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "fault")
	d = startWith(t, newDiscovery(t).URL, 1024, known, func(d *dispatcher) { d.cmd.Env = append(d.cmd.Env, env+"="+path) })
	return d, path
}

// TestWriteErrors guards an attempt whose write fails before its last byte, after any number of
// bytes and with any error: it never ran, so even a job that must not run twice goes to another
// runner, which gets the whole request.
func TestWriteErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range connectionErrors {
		// Less than a whole attempt: the shortest has 230 bytes.
		for _, after := range []int{0, 1, 17, 200} {
			t.Run(fmt.Sprintf("%v after %d", errno, after), func(t *testing.T) {
				t.Parallel()
				first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
				d, path := startWithFault(t, envBackendFault, first.entry(), second.entry())
				connFault{write: true, after: after, errno: errno}.writeTo(t, path)
				got := submit(d.jobRequest("once", "x"))
				h, at := nextRequestAtEither(t, first, second)
				if _, err := os.Stat(path); err == nil {
					t.Error("the injected fault was not used: no write has failed")
				}
				if h.id() != "x" || h.body != "frames of x" {
					t.Errorf("the runner got job %q with body %q, want x with the whole body", h.id(), h.body)
				}
				h.reply(202, "")
				d.sendReport(jobEvent("x", at.uid, "done"))
				if a := await(t, got, "response"); a.Status != 200 {
					t.Errorf("got response %+v, want status 200", a)
				}
			})
		}
	}
}

// awaitAttemptAborted waits until the dispatcher aborts an attempt: it closes the connection or, if
// it has already read the 202, recalls the job.
func awaitAttemptAborted(t *testing.T, r *runner, h *runnerRequest) {
	t.Helper()
	select {
	case <-h.connClosed:
	case recall := <-r.requests:
		if recall.Method != "DELETE" || recall.RequestURI != "/jobs/"+h.id() {
			t.Errorf("the runner got %s %s, want DELETE /jobs/%s", recall.Method, recall.RequestURI, h.id())
		}
		recall.reply(204, "")
	case <-time.After(testTimeout):
		t.Errorf("the attempt of job %s was not aborted before the timeout", h.id())
	}
}

// nextRequestAtEither returns the next request at one of two runners, and that runner.
func nextRequestAtEither(t *testing.T, a, b *runner) (*runnerRequest, *runner) {
	t.Helper()
	select {
	case h := <-a.requests:
		return h, a
	case h := <-b.requests:
		return h, b
	case <-time.After(testTimeout):
		t.Fatal("no attempt before the timeout")
		panic("unreachable")
	}
}

// TestReadErrors guards an attempt whose connection breaks before the 202 with any error: it may
// have run, so a job that must not run twice fails, and any other job is retried.
func TestReadErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range connectionErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
			d, path := startWithFault(t, envBackendFault, first.entry(), second.entry())
			got := submit(d.jobRequest("once", "once"))
			h, _ := nextRequestAtEither(t, first, second)
			connFault{errno: errno}.writeTo(t, path)
			h.reply(202, "")
			if a := await(t, got, "response"); a.Status != 502 {
				t.Errorf("got response %+v, want status 502, as the job may have run", a)
			}
			if len(first.requests)+len(second.requests) > 0 {
				t.Error("a job that may have run and must not run twice was sent again")
			}

			got = submit(d.jobRequest("render", "render"))
			h, at := nextRequestAtEither(t, first, second)
			connFault{errno: errno}.writeTo(t, path)
			h.reply(202, "")
			next, other := nextRequestAtEither(t, first, second)
			if next.id() != "render" || other == at {
				t.Fatalf("%s got %s of job %q, want a retry of job render at the other runner", other.uid, next.Method, next.id())
			}
			next.reply(202, "")
			d.sendReport(jobEvent("render", other.uid, "done"))
			if a := await(t, got, "response"); a.Status != 200 {
				t.Errorf("got response %+v, want status 200", a)
			}
		})
	}
}

// TestClientErrors guards the program against errors of clients' connections: a failed read counts
// as the client's disconnect, and a failed write of a response ends only that connection.
func TestClientErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range connectionErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			d, path := startWithFault(t, envClientFault, r.entry())
			leaving := d.dialAndWrite("")
			if err := d.jobRequest("render", "read").Write(leaving); err != nil {
				t.Fatal(err)
			}
			h := await(t, r.requests, "attempt")
			h.reply(202, "")
			connFault{errno: errno}.writeTo(t, path)
			// The fault hits the read that detects a disconnect.
			if _, err := io.WriteString(leaving, "G"); err != nil {
				t.Fatal(err)
			}
			awaitAttemptAborted(t, r, h)

			got := submit(d.jobRequest("render", "write"))
			await(t, r.requests, "attempt").reply(202, "")
			connFault{write: true, after: 9, errno: errno}.writeTo(t, path)
			// The fault may hit the response to the report itself; sendReport then sends the report
			// again.
			d.sendReport(jobEvent("write", r.uid, "done"))
			a := await(t, got, "end of the connection")
			if _, err := os.Stat(path); err == nil {
				t.Error("the injected fault was not used: no write has failed")
			}
			if a.Err == nil && a.Status != 200 {
				t.Errorf("got response %+v, want status 200", a)
			}
			later := submit(d.jobRequest("render", "later"))
			if h = await(t, r.requests, "attempt"); h.id() != "later" {
				t.Fatalf("the runner got %s of job %q, want job later", h.Method, h.id())
			}
			h.reply(202, "")
			d.sendReport(jobEvent("later", r.uid, "done"))
			if a := await(t, later, "response"); a.Status != 200 {
				t.Errorf("got response %+v, want status 200", a)
			}
		})
	}
}

// TestHalfClosed guards a client that closes only its sending side: the dispatcher treats it as a
// disconnect, recalls the job and closes the connection.
func TestHalfClosed(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	c := d.dialAndWrite("")
	if err := d.jobRequest("render", "half").Write(c); err != nil {
		t.Fatal(err)
	}
	h := await(t, r.requests, "attempt")
	h.reply(202, "")
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	awaitAttemptAborted(t, r, h)
	if a := await(t, readResponse(c), "end of the connection"); a.Err == nil {
		t.Errorf("got response %+v, want the connection closed without a response", a)
	}
}
