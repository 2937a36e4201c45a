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

// withCluster makes the dispatcher the only member of a cluster that keeps its log in dir.
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

// callUntilApplied sends an operator's command and repeats it with the same order ID while the
// response is 503 or 504, until it is applied.
func (d *dispatcher) callUntilApplied(call, uid string) {
	d.t.Helper()
	order := fmt.Sprintf("%s-%s-%d", call, uid, time.Now().UnixNano())
	for deadline := time.Now().Add(testTimeout); ; {
		status, text := d.callConsole("PUT", "/api/"+call, fmt.Sprintf(`{"host":%q,"order":%q}`, uid, order))
		if status == 200 {
			return
		}
		if status != 503 && status != 504 || time.Now().After(deadline) {
			d.t.Fatalf("%s got response %d %q, want status 200", call, status, text)
		}
	}
}

// TestMemberUpgrade checks that an upgrade keeps the state of the cluster's log. The newer process
// takes over the membership, its log and its address once the older one has left them; until then
// it refuses operators' commands because it is no member. Both processes send nothing to an
// excluded runner.
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
		t.Errorf("include at a process that is no member got response %d %q, want status 503", status, text)
	}
	if err := old.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	next.awaitLog("cluster member begins")
	if err := await(t, old.exited, "exit of the older process"); err != nil {
		t.Errorf("the older process exited with %v, want status 0", err)
	}
	next.awaitLog("the log has a leader")
	next.awaitOnlyWorker(b, a)
	next.callUntilApplied("include", "s-1")
	next.callUntilApplied("exclude", "s-2")
	next.awaitLog("target=s-2")
	if status, text := next.callConsole("GET", "/api/cluster", ""); status != 200 || !strings.Contains(text, `"s-2"`) {
		t.Errorf("the cluster's state at the console is %d %q, want status 200 and s-2 excluded", status, text)
	}
}

// TestClusterUnknown checks that commands with a mistyped runner are refused instead of waiting in
// the log, and that a dispatcher without a cluster refuses requests about one.
func TestClusterUnknown(t *testing.T) {
	t.Parallel()
	a := newRunner(t, "s-1")
	d := startWith(t, newDiscovery(t).URL, 1024, []string{a.entry()}, withCluster(t.TempDir()))
	if status, text := d.callConsole("PUT", "/api/exclude", `{"host":"s-9"}`); status != 404 {
		t.Errorf("exclude of an unknown runner got response %d %q, want status 404", status, text)
	}
	standalone := start(t, newDiscovery(t).URL, 1024, a.entry())
	if status, _ := standalone.callConsole("GET", "/api/cluster", ""); status != 404 {
		t.Errorf("a dispatcher without a cluster responds %d, want 404", status)
	}
}
