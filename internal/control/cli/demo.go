package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/testkit/devcluster"
	"frosttide/internal/testkit/fakerunner"
)

const (
	demoCores        = 3
	demoGateways     = 2
	demoRunners      = 4
	demoTimeout      = 30 * time.Second
	demoPollInterval = 200 * time.Millisecond

	// demoJob has two steps with demoTasks tasks together; the second step waits for the first.
	demoJob   = `{"Spec":"sleep 1500ms","Stages":[{"Count":6,"Cpu":1000,"MemMb":100,"EstimateMs":1500},{"Count":3,"Cpu":2000,"MemMb":100,"EstimateMs":1500,"DependsOn":[0]}]}`
	demoJobID = "00000000000000a1"
	demoTasks = 9
	// demoGang runs its tasks only together.
	demoGang   = `{"Spec":"sleep 2s","Stages":[{"Count":4,"Cpu":3000,"MemMb":100,"EstimateMs":2000,"Gang":true}]}`
	demoGangID = "00000000000000b2"
)

// errDemo is returned where the demonstration does not show what it should.
var errDemo = errors.New("the demonstration fails")

// demoCommand starts a small system on loopback, runs jobs on it and kills the head in the middle.
func demoCommand(ctx context.Context, c *invocation) error {
	var keep string
	err := c.parseOnlyFlags("demo", func(f *flag.FlagSet) {
		f.StringVar(&keep, "keep", "", "`folder` for settings, logs and disks, which is kept")
	})
	if err != nil {
		return err
	}
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "the program can't find itself")
	}
	dir, remove, err := demoFolder(keep)
	if err != nil {
		return err
	}
	defer remove()
	data := filepath.Join(filepath.Dir(self), "frosttide-data")
	if _, err := os.Stat(data); err != nil {
		return errors.Wrap(err, "the data plane's program has to lie beside this one")
	}
	return playDemo(ctx, c.out, devcluster.Config{
		Control:  self,
		Data:     data,
		Dir:      dir,
		Cores:    demoCores,
		Gateways: demoGateways,
		Runners:  demoRunnerConfigs(),
	})
}

// demoFolder creates the folder of the demonstration: the one to keep, or else one that remove removes.
func demoFolder(keep string) (dir string, remove func(), err error) {
	if keep != "" {
		return keep, func() {}, errors.Wrap(os.MkdirAll(keep, 0o700), "the folder can't be made")
	}
	dir, err = os.MkdirTemp("", "frosttide-demo-")
	if err != nil {
		return "", nil, errors.Wrap(err, "a folder can't be made")
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

func demoRunnerConfigs() (configs []fakerunner.Config) {
	for i := range demoRunners {
		configs = append(configs, fakerunner.Config{
			ID:              fmt.Sprintf("i-toy%d", i),
			Service:         "toy",
			Labels:          []string{"a", fmt.Sprintf("r%d-1", i/2)},
			CPU:             4000,
			MemMB:           8192,
			DefaultDuration: time.Second,
		})
	}
	return configs
}

// playDemo starts a cluster, submits the jobs, and kills the head once a task is done.
func playDemo(ctx context.Context, out io.Writer, cfg devcluster.Config) error {
	cluster, err := devcluster.Start(cfg)
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(out, "%d control processes, %d carriers, %d companions and toy runners are started in %s\n", demoCores, demoGateways, demoRunners, cfg.Dir)
	if !cluster.Configure(demoTimeout) {
		return errors.Wrap(errDemo, "the configuration is not taken up")
	}
	fmt.Fprintln(out, "the configuration is in force everywhere")
	if !cluster.Submit(0, "batches", demoJobID, demoJob) || !cluster.Submit(1, "previews", demoGangID, demoGang) {
		return errors.Wrap(errDemo, "a job is not accepted")
	}
	fmt.Fprintln(out, "a job of two steps and a gang of four are accepted")
	killed := false
	done := devcluster.WaitFor(demoTimeout, func() bool {
		if ctx.Err() != nil {
			return true
		}
		job, gang := cluster.State(0, "batches", demoJobID), cluster.State(1, "previews", demoGangID)
		fmt.Fprintf(out, "%-70s job: %-10s gang: %-10s\n", describeRunning(cluster), job, gang)
		if !killed && len(countDone(cluster)) > 0 {
			killed = killHead(out, cluster)
		}
		time.Sleep(demoPollInterval)
		return job == "completed" && gang == "completed"
	})
	if !done || !killed {
		return errors.Wrap(errDemo, "the jobs do not end, or no head was found")
	}
	return checkDoneOnce(out, cluster)
}

// killHead kills the head's process and starts it again on its disk. It returns false if there is no head.
func killHead(out io.Writer, cluster *devcluster.Cluster) bool {
	head := cluster.Head()
	if head == nil {
		return false
	}
	cluster.Kill(head)
	fmt.Fprintf(out, "the head, %s, is killed\n", head.Name)
	if err := cluster.Restart(head, false); err != nil {
		fmt.Fprintln(out, err)
	}
	return true
}

// describeRunning returns how many tasks run at each runner.
func describeRunning(cluster *devcluster.Cluster) string {
	var parts []string
	for i, r := range cluster.Runners {
		parts = append(parts, fmt.Sprintf("%d:%d", i, len(r.Running())))
	}
	return "running at " + strings.Join(parts, " ")
}

// countDone returns how often each of the job's tasks was done.
func countDone(cluster *devcluster.Cluster) map[string]int {
	counts := make(map[string]int)
	for _, r := range cluster.Runners {
		for _, end := range r.History() {
			if strings.HasPrefix(end.Task, demoJobID) && end.Outcome == "done" {
				counts[end.Task]++
			}
		}
	}
	return counts
}

// checkDoneOnce checks that each of the job's tasks was done exactly once.
func checkDoneOnce(out io.Writer, cluster *devcluster.Cluster) error {
	counts := countDone(cluster)
	for task, count := range counts {
		if count != 1 {
			return errors.Wrapf(errDemo, "%s is done %d times", task, count)
		}
	}
	if len(counts) != demoTasks {
		return errors.Wrapf(errDemo, "%d tasks of %d are done", len(counts), demoTasks)
	}
	fmt.Fprintf(out, "both are completed; each of the job's %d tasks was done once\n", demoTasks)
	return nil
}
