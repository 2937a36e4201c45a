package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
	"frosttide/internal/testkit/fakerunner"
)

// maxWait is the timeout of every wait for a cluster. It is long because machines that run the
// tests may be slow.
const maxWait = 60 * time.Second

// job is a job with two steps and four tasks in total.
const job = `{"Spec":"sleep 300ms","Stages":[{"Count":3,"Cpu":1000,"MemMb":10,"EstimateMs":300},{"Count":1,"Cpu":1000,"MemMb":10,"EstimateMs":300,"DependsOn":[0]}]}`

// programs is the folder of the programs under test, which TestMain builds with buildFlags.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "frosttide-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	arguments := append(append([]string{"build"}, buildFlags...), "-o", dir+"/", "frosttide/cmd/frosttide-control", "frosttide/cmd/frosttide-data", "frosttide/cmd/frosttide-exporter")
	build := exec.Command("go", arguments...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		os.Exit(1)
	}
	programs = dir
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

func program(name string) string { return filepath.Join(programs, name) }

// run runs frosttide-control and returns its standard output, standard error and exit status.
func run(t *testing.T, env []string, args ...string) (out, errOut string, status int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	cmd := exec.CommandContext(ctx, program("frosttide-control"), args...)
	cmd.Env = append(os.Environ(), env...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return stdout.String(), stderr.String(), cmd.ProcessState.ExitCode()
}

// cluster is a configured cluster of three core machines, two gateways and some runners with
// agents.
type cluster struct {
	*devcluster.Cluster
	t *testing.T
}

// startCluster starts a cluster that is stopped at the end of the test. If the test fails, the logs
// of all processes are printed.
func startCluster(t *testing.T, runners int) *cluster {
	t.Helper()
	cfg := devcluster.Config{Control: program("frosttide-control"), Data: program("frosttide-data"), Dir: t.TempDir(), Cores: 3, Gateways: 2}
	for i := range runners {
		cfg.Runners = append(cfg.Runners, fakerunner.Config{
			ID:              fmt.Sprintf("i-toy%d", i),
			Service:         "toy",
			Labels:          []string{"a", "r1-1"},
			CPU:             4000,
			MemMB:           8192,
			DefaultDuration: 300 * time.Millisecond,
		})
	}
	started, err := devcluster.Start(cfg)
	require.NoError(t, err)
	c := &cluster{Cluster: started, t: t}
	t.Cleanup(func() {
		c.Close()
		if t.Failed() {
			c.printLogs()
		}
	})
	require.True(t, c.Configure(maxWait), "the configuration is not in force within maxWait")
	return c
}

func (c *cluster) printLogs() {
	for _, machines := range [][]*devcluster.Machine{c.Cores, c.Gateways, c.Agents} {
		for _, m := range machines {
			c.t.Logf("%s:\n%s", m.Name, m.Log())
		}
	}
}

// requireSubmitted submits a job to the queue previews of the first gateway until it is accepted.
func (c *cluster) requireSubmitted(id string) {
	c.t.Helper()
	require.True(c.t, devcluster.WaitFor(maxWait, func() bool { return c.Submit(0, "previews", id, job) }), "job %s is not accepted within maxWait", id)
}

// requireCompleted waits until the second gateway reports a job of the queue previews as completed.
func (c *cluster) requireCompleted(id string) {
	c.t.Helper()
	require.True(c.t, devcluster.WaitFor(maxWait, func() bool { return c.State(1, "previews", id) == "completed" }), "job %s is not completed within maxWait", id)
}

// requireHead returns the machine that serves as the head.
func (c *cluster) requireHead() *devcluster.Machine {
	c.t.Helper()
	head := c.Head()
	require.NotNil(c.t, head, "no member serves as the head")
	return head
}

// requireRun runs frosttide-control against the first core machine, requires exit status 0 and
// returns the standard output.
func (c *cluster) requireRun(args ...string) string {
	c.t.Helper()
	out, errOut, status := c.run(args...)
	require.Zero(c.t, status, "%v: %s", args, errOut)
	return out
}

// run runs frosttide-control against the first core machine.
func (c *cluster) run(args ...string) (out, errOut string, status int) {
	c.t.Helper()
	return run(c.t, []string{"FROSTTIDE_CONTROL=" + c.Cores[0].Control()}, args...)
}
