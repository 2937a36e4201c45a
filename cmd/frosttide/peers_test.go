package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// withCluster has a dispatcher be the only member of a cluster, whose log is in a folder.
func withCluster(dir string) func(*dispatcher) {
	return func(d *dispatcher) {
		path := filepath.Join(d.t.TempDir(), "frosttide.toml")
		host := strings.Split(d.addr, ":")[0]
		text := fmt.Sprintf("name = \"n0\"\n[cluster]\nlisten = \"%s:7946\"\nvoters = [\"n0\"]\ndir = %q\n", host, dir)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			d.t.Fatal(err)
		}
		d.cmd.Args = append(d.cmd.Args, "serve", "--config", path)
	}
}

// callUntilApplied sends an operator's order, again under its name while its answers invite to that, until it is done.
func (d *dispatcher) callUntilApplied(call, uid string) {
	d.t.Helper()
	order := fmt.Sprintf("%s-%s-%d", call, uid, time.Now().UnixNano())
	for by := time.Now().Add(testTimeout); ; {
		status, text := d.callConsole("PUT", "/api/"+call, fmt.Sprintf(`{"host":%q,"order":%q}`, uid, order))
		if status == 200 {
			return
		}
		if status != 503 && status != 504 || time.Now().After(by) {
			d.t.Fatalf("%s got %d %q", call, status, text)
		}
	}
}

// TestMemberUpgrade guards what was agreed over an upgrade: the newer process takes over the
// membership, its log and its address when the older one ends its part, says so meanwhile,
// and both leave out what was left out.
func TestMemberUpgrade(t *testing.T) {
	t.Parallel()
	a, b := newRunner(t, "s-1"), newRunner(t, "s-2")
	disc := newDiscovery(t)
	old := startWith(t, disc.URL, 1024, []string{a.entry(), b.entry()}, withCluster(t.TempDir()), withInheritedListener)
	old.callUntilApplied("exclude", "s-1")
	old.awaitLog("operators have moved a runner")
	old.awaitOnlyWorker(b, a)
	next := old.startSuccessor()
	next.awaitOnlyWorker(b, a)
	if status, text := next.callConsole("PUT", "/api/include", `{"host":"s-1"}`); status != 503 || !strings.Contains(text, "no member") {
		t.Errorf("include at a process that is no member got %d %q", status, text)
	}
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	next.awaitLog("cluster member begins")
	if err := await(t, old.exited, "end"); err != nil {
		t.Errorf("the older process ended with %v", err)
	}
	next.awaitLog("the log has a leader")
	next.awaitOnlyWorker(b, a)
	next.callUntilApplied("include", "s-1")
	next.callUntilApplied("exclude", "s-2")
	next.awaitLog("target=s-2")
	if status, text := next.callConsole("GET", "/api/cluster", ""); status != 200 || !strings.Contains(text, `"s-2"`) {
		t.Errorf("the console says %d %q", status, text)
	}
}

// TestClusterUnknown guards operators from a typing mistake that would wait in the log, and
// those of a dispatcher on its own from asking in vain.
func TestClusterUnknown(t *testing.T) {
	t.Parallel()
	a := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{a.entry()}, withCluster(t.TempDir()))
	if status, text := d.callConsole("PUT", "/api/exclude", `{"host":"s-9"}`); status != 404 {
		t.Errorf("exclude of nobody got %d %q", status, text)
	}
	alone := start(t, newDiscovery(t).URL, 1024, a.entry())
	if status, _ := alone.callConsole("GET", "/api/cluster", ""); status != 404 {
		t.Errorf("a dispatcher on its own says %d of its cluster", status)
	}
}
