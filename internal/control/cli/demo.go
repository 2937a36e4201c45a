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

	// demoJob has two stages with demoTasks tasks in total; the second depends on the first.
	demoJob   = `{"Spec":"sleep 1500ms","Stages":[{"Count":6,"Cpu":1000,"MemMb":100,"EstimateMs":1500},{"Count":3,"Cpu":2000,"MemMb":100,"EstimateMs":1500,"DependsOn":[0]}]}`
	demoJobID = "00000000000000a1"
	demoTasks = 9
	// demoGang is a gang, whose tasks start only together.
	demoGang   = `{"Spec":"sleep 2s","Stages":[{"Count":4,"Cpu":3000,"MemMb":100,"EstimateMs":2000,"Gang":true}]}`
	demoGangID = "00000000000000b2"
)

// errDemo is wrapped by the errors of a demonstration that did not go as expected.
var errDemo = errors.New("the demonstration failed")

// demoCommand starts a small system on the loopback interface, runs jobs on it, and kills the head
// while they run.
func demoCommand(ctx context.Context, c *invocation) error {
	var keep string
	err := c.parseOnlyFlags("demo", func(f *flag.FlagSet) {
		f.StringVar(&keep, "keep", "", "`directory` for settings, logs and disks, which is not removed at the end")
	})
	if err != nil {
		return err
	}
	controlProgram, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the path of this program")
	}
	dir, remove, err := demoDirectory(keep)
	if err != nil {
		return err
	}
	defer remove()
	dataProgram := filepath.Join(filepath.Dir(controlProgram), "frosttide-data")
	if _, err := os.Stat(dataProgram); err != nil {
		return errors.Wrap(err, "the data plane's program must be in the same directory as this one")
	}
	return runDemo(ctx, c.out, devcluster.Config{
		Control:  controlProgram,
		Data:     dataProgram,
		Dir:      dir,
		Cores:    demoCores,
		Gateways: demoGateways,
		Runners:  demoRunnerConfigs(),
	})
}

// demoDirectory creates the directory of the demonstration: keep if it is not empty, otherwise a
// temporary directory. remove deletes the directory if it is temporary.
func demoDirectory(keep string) (dir string, remove func(), err error) {
	if keep != "" {
		return keep, func() {}, errors.Wrap(os.MkdirAll(keep, 0o700), "create directory")
	}
	dir, err = os.MkdirTemp("", "frosttide-demo-")
	if err != nil {
		return "", nil, errors.Wrap(err, "create temporary directory")
	}
	return dir, func() { os.RemoveAll(dir) }, nil
}

// demoRunnerConfigs returns the configurations of the fake runners, two per rack.
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

// runDemo starts a cluster, submits the jobs, and kills the head after the first task is done. It
// returns an error that wraps errDemo if the jobs do not complete in time, if the head could not be
// killed, or if a task was not done exactly once.
func runDemo(ctx context.Context, out io.Writer, cfg devcluster.Config) error {
	cluster, err := devcluster.Start(cfg)
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(out, "%d control processes, %d carriers, %d companions and toy runners are started in %s\n", demoCores, demoGateways, demoRunners, cfg.Dir)
	if !cluster.Configure(demoTimeout) {
		return errors.Wrap(errDemo, "the configuration did not take effect in time")
	}
	fmt.Fprintln(out, "the configuration is in force everywhere")
	if !cluster.Submit(0, "batches", demoJobID, demoJob) || !cluster.Submit(1, "previews", demoGangID, demoGang) {
		return errors.Wrap(errDemo, "a job was not accepted")
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
		return errors.Wrap(errDemo, "the jobs did not complete in time, or no head was found")
	}
	return checkDoneOnce(out, cluster)
}

// killHead kills the process of the head and restarts it with its disk. It returns false if there
// is no head at the moment.
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

// describeRunning returns the number of running tasks on each runner, as text.
func describeRunning(cluster *devcluster.Cluster) string {
	var parts []string
	for i, r := range cluster.Runners {
		parts = append(parts, fmt.Sprintf("%d:%d", i, len(r.Running())))
	}
	return "running at " + strings.Join(parts, " ")
}

// countDone returns how often each task of demoJob was done, by task name, according to the
// runners.
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

// checkDoneOnce returns an error unless each task of demoJob was done exactly once.
func checkDoneOnce(out io.Writer, cluster *devcluster.Cluster) error {
	counts := countDone(cluster)
	for task, count := range counts {
		if count != 1 {
			return errors.Wrapf(errDemo, "task %s was done %d times", task, count)
		}
	}
	if len(counts) != demoTasks {
		return errors.Wrapf(errDemo, "%d of %d tasks were done", len(counts), demoTasks)
	}
	fmt.Fprintf(out, "both are completed; each of the job's %d tasks was done once\n", demoTasks)
	return nil
}
