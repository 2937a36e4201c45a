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

// broken are the errors by which the kernel reports that a connection has ended.
var broken = []syscall.Errno{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ENOBUFS}

// withFault starts a dispatcher whose connections of one side meet the faults that a file names.
func withFault(t *testing.T, env string, known ...string) (d *dispatcher, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "fault")
	d = startWith(t, newDiscovery(t).URL, 1024, known, func(d *dispatcher) { d.cmd.Env = append(d.cmd.Env, env+"="+path) })
	return d, path
}

// TestWriteErrors guards an attempt whose write fails before its last byte, after any number of them
// and by whatever error: it never ran, so that even a job that must not run twice goes to another
// runner, which gets it whole.
func TestWriteErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range broken {
		for _, after := range []int{0, 1, 17, 200} { // less than a whole attempt, the shortest has 230 bytes
			t.Run(fmt.Sprintf("%v after %d", errno, after), func(t *testing.T) {
				t.Parallel()
				first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
				d, path := withFault(t, envBackendFault, first.entry(), second.entry())
				connFault{write: true, after: after, errno: errno}.lay(t, path)
				got := submit(d.jobRequest("once", "x"))
				h, by := either(t, first, second)
				if _, err := os.Stat(path); err == nil {
					t.Error("the write did not fail")
				}
				if h.id() != "x" || h.body != "frames of x" {
					t.Errorf("the runner got %s %q", h.id(), h.body)
				}
				h.reply(202, "")
				d.sendReport(jobEvent("x", by.uid, "done"))
				if a := await(t, got, "answer"); a.Status != 200 {
					t.Errorf("answer %+v", a)
				}
			})
		}
	}
}

// awaitGivenUp waits until an attempt is given up at its runner: its connection ends or, where the
// dispatcher has seen the 202 by then, its job is recalled.
func awaitGivenUp(t *testing.T, r *runner, h *runnerRequest) {
	t.Helper()
	select {
	case <-h.connClosed:
	case recall := <-r.requests:
		if recall.Method != "DELETE" || recall.RequestURI != "/jobs/"+h.id() {
			t.Errorf("the runner got %s %s, want the recall of %s", recall.Method, recall.RequestURI, h.id())
		}
		recall.reply(204, "")
	case <-time.After(testTimeout):
		t.Errorf("%s is not given up", h.id())
	}
}

// either returns the next request at one of two runners, and which.
func either(t *testing.T, a, b *runner) (*runnerRequest, *runner) {
	t.Helper()
	select {
	case h := <-a.requests:
		return h, a
	case h := <-b.requests:
		return h, b
	case <-time.After(testTimeout):
		t.Fatal("no attempt")
		panic("unreachable")
	}
}

// TestReadErrors guards an attempt whose connection breaks before the 202 by whatever error: it may
// have run, so that a job which must not run twice gets its failure, and one that may goes on.
func TestReadErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range broken {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			first, second := newRunner(t, "s-1"), newRunner(t, "s-2")
			d, path := withFault(t, envBackendFault, first.entry(), second.entry())
			got := submit(d.jobRequest("once", "once"))
			h, _ := either(t, first, second)
			connFault{errno: errno}.lay(t, path)
			h.reply(202, "")
			if a := await(t, got, "answer"); a.Status != 502 {
				t.Errorf("answer %+v, want a failure, as the job may have run", a)
			}
			if len(first.requests)+len(second.requests) > 0 {
				t.Error("a job that may have run and must not run twice was sent again")
			}

			got = submit(d.jobRequest("render", "render"))
			h, by := either(t, first, second)
			connFault{errno: errno}.lay(t, path)
			h.reply(202, "")
			next, other := either(t, first, second)
			if next.id() != "render" || other == by {
				t.Fatalf("%s got %s %q", other.uid, next.Method, next.id())
			}
			next.reply(202, "")
			d.sendReport(jobEvent("render", other.uid, "done"))
			if a := await(t, got, "answer"); a.Status != 200 {
				t.Errorf("answer %+v", a)
			}
		})
	}
}

// TestClientErrors guards the program against errors of its clients' connections: one that breaks
// under a read is the client's end, one that breaks under an answer ends alone.
func TestClientErrors(t *testing.T) {
	t.Parallel()
	for _, errno := range broken {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			d, path := withFault(t, envClientFault, r.entry())
			leaving := d.dialAndWrite("")
			if err := d.jobRequest("render", "read").Write(leaving); err != nil {
				t.Fatal(err)
			}
			h := await(t, r.requests, "attempt")
			h.reply(202, "")
			connFault{errno: errno}.lay(t, path)
			if _, err := io.WriteString(leaving, "G"); err != nil { // the read that looks for its end fails
				t.Fatal(err)
			}
			awaitGivenUp(t, r, h)

			got := submit(d.jobRequest("render", "write"))
			await(t, r.requests, "attempt").reply(202, "")
			connFault{write: true, after: 9, errno: errno}.lay(t, path)
			// The report's own answer may be what the fault strikes: it is made again.
			d.sendReport(jobEvent("write", r.uid, "done"))
			a := await(t, got, "end of the connection")
			if _, err := os.Stat(path); err == nil {
				t.Error("no write has failed")
			}
			if a.Err == nil && a.Status != 200 {
				t.Errorf("answer %+v", a)
			}
			later := submit(d.jobRequest("render", "later"))
			if h = await(t, r.requests, "attempt"); h.id() != "later" {
				t.Fatalf("the runner got %s %q, want the next job", h.Method, h.id())
			}
			h.reply(202, "")
			d.sendReport(jobEvent("later", r.uid, "done"))
			if a := await(t, later, "answer"); a.Status != 200 {
				t.Errorf("answer %+v", a)
			}
		})
	}
}

// TestHalfClosed guards a client that ends its own side alone: to the system that is a close, so it
// has gone. Its job is recalled, and its connection ended.
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
	awaitGivenUp(t, r, h)
	if a := await(t, readResponse(c), "end of the connection"); a.Err == nil {
		t.Errorf("answer %+v, want the end alone", a)
	}
}
