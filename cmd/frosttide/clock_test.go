package main

import (
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// TestClockSetAtUpgrade guards the deadlines of jobs that are handed over to a newer process while
// the wall clock is set forward or back by an hour between the starts of the two: a job with time
// left is served by the newer process, and one whose deadline has passed ends on time.
func TestClockSetAtUpgrade(t *testing.T) {
	t.Parallel()
	const longTime, shortTime = 15 * time.Second, 3 * time.Second
	for _, shift := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(shift.String(), func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			clock := filepath.Join(t.TempDir(), "clock")
			old := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener,
				func(d *dispatcher) { d.cmd.Env = append(d.cmd.Env, "FROSTTIDE_TEST_CLOCK="+clock) })
			served := submit(old.jobRequest("render", "long"))
			await(t, r.requests, "attempt").reply(202, "")
			began := time.Now()
			expiring := submit(old.jobRequest("render", "short", func(q *http.Request) {
				q.Header.Set("X-Expires-In-Ms", strconv.FormatInt(shortTime.Milliseconds(), 10))
			}))
			await(t, r.requests, "attempt").reply(202, "")
			if err := os.WriteFile(clock, []byte(strconv.Itoa(int(shift/time.Second))), 0o600); err != nil {
				t.Fatal(err)
			}
			next := old.startSuccessor()
			if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := await(t, old.exited, "exit of the older process"); err != nil {
				t.Errorf("the older process exited with %v, want success", err)
			}
			if time.Since(began) < longTime { // else the machine was too slow for a verdict
				next.sendReport(jobEvent("long", r.uid, "done"))
				if a := await(t, served, "response"); a.Status != 200 {
					t.Errorf("got response %+v to a job that has time left, want status 200", a)
				}
			}
			a := await(t, expiring, "response")
			if took := time.Since(began); a.Err != nil || a.Status == 200 || took > shortTime+time.Second {
				t.Errorf("got response %+v after %v to a job with a deadline of %v, want a failure on time", a, took, shortTime)
			}
		})
	}
}
