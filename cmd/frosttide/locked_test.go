package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// TestLockedDownHost checks the program on a host where the processes of an upgrade cannot connect
// to each other, for example because unix sockets are forbidden. The program logs this in one line,
// serves on the inherited socket and drains as a single process at SIGTERM.
func TestLockedDownHost(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-1")
	notADir := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(notADir, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, withInheritedListener, func(d *dispatcher) {
		d.cmd.Env = append(d.cmd.Env, "TMPDIR="+notADir) // the last value of a variable is used
	})
	reportsNoHandover := func(line string) bool { return strings.Contains(line, "no newer process will take over the state") }
	if n := len(slices.DeleteFunc(slices.Clone(d.logLines), func(l string) bool { return !reportsNoHandover(l) })); n != 1 {
		t.Fatalf("%d log lines report that no newer process can take over, want 1; log:\n%s", n, strings.Join(d.logLines, "\n"))
	}
	for _, id := range []string{"before-the-end", "during-the-end"} {
		got := submit(d.jobRequest("render", id))
		h := await(t, r.requests, "attempt")
		h.reply(202, "")
		if id == "during-the-end" {
			if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			d.awaitLog("frosttide drains")
		}
		if code := d.sendReport(jobEvent(id, r.uid, "done")); code != 204 {
			t.Fatalf("report on %s got status %d, want 204", id, code)
		}
		if a := await(t, got, "response"); a.Status != 200 {
			t.Fatalf("%s got response %d %q, %v, want status 200", id, a.Status, a.Body, a.Err)
		}
	}
	d.awaitLog("frosttide has answered everything and ends")
	if err := await(t, d.exited, "exit of the process"); err != nil {
		t.Errorf("the program exited with %v, want status 0", err)
	}
}
