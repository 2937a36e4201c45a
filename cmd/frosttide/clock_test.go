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

// TestClockSetAtUpgrade guards the deadlines of jobs that are handed to a newer process against a wall
// clock that is set by an hour between the starts of the two, either way: a job with time left is
// served there, and one whose time is over ends then.
func TestClockSetAtUpgrade(t *testing.T) {
	t.Parallel()
	const longTime, shortTime = 15 * time.Second, 3 * time.Second
	for _, by := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(by.String(), func(t *testing.T) {
			t.Parallel()
			r := newRunner(t, "s-1")
			clock := filepath.Join(t.TempDir(), "clock")
			old := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener,
				func(d *dispatcher) { d.cmd.Env = append(d.cmd.Env, "FROSTTIDE_TEST_CLOCK="+clock) })
			served := submit(old.jobRequest("render", "long"))
			await(t, r.requests, "attempt").reply(202, "")
			began := time.Now()
			ends := submit(old.jobRequest("render", "short", func(q *http.Request) {
				q.Header.Set("X-Expires-In-Ms", strconv.FormatInt(shortTime.Milliseconds(), 10))
			}))
			await(t, r.requests, "attempt").reply(202, "")
			if err := os.WriteFile(clock, []byte(strconv.Itoa(int(by/time.Second))), 0o600); err != nil {
				t.Fatal(err)
			}
			next := old.startSuccessor()
			if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := await(t, old.exited, "end of the older process"); err != nil {
				t.Errorf("the older process ended with %v", err)
			}
			if time.Since(began) < longTime { // else the machine was too slow to show anything
				next.sendReport(jobEvent("long", r.uid, "done"))
				if a := await(t, served, "answer"); a.Status != 200 {
					t.Errorf("answer %+v to a job that has time left", a)
				}
			}
			a := await(t, ends, "answer")
			if took := time.Since(began); a.Err != nil || a.Status == 200 || took > shortTime+time.Second {
				t.Errorf("answer %+v after %v to a job that had %v", a, took, shortTime)
			}
		})
	}
}
