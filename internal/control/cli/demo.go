package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/internal/testkit/devcluster"
	"frosttide/internal/testkit/fakerunner"
)

const (
	demoRunners      = 4
	demoTimeout      = 30 * time.Second
	demoPollInterval = 200 * time.Millisecond
	// demoJob has two steps, the second of which waits for the first; demoGang runs its tasks only together.
	demoJob    = `{"Spec":"sleep 1500ms","Stages":[{"Count":6,"Cpu":1000,"MemMb":100,"EstimateMs":1500},{"Count":3,"Cpu":2000,"MemMb":100,"EstimateMs":1500,"DependsOn":[0]}]}`
	demoGang   = `{"Spec":"sleep 2s","Stages":[{"Count":4,"Cpu":3000,"MemMb":100,"EstimateMs":2000,"Gang":true}]}`
	demoJobID  = "00000000000000a1"
	demoGangID = "00000000000000b2"
)

// errDemo is returned where the demonstration does not show what it should.
var errDemo = errors.New("the demonstration fails")

// demoCommand starts a small system, runs jobs on it and kills the head in the middle.
func demoCommand(ctx context.Context, c *invocation) error {
	var keep string
	rest, err := c.parseFlags("demo", func(f *flag.FlagSet) {
		f.StringVar(&keep, "keep", "", "`folder` for settings, logs and disks, which is kept")
	})
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usageError("it takes flags only")
	}
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "the program can't find itself")
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "frosttide-demo-"); err != nil {
			return errors.Wrap(err, "a folder can't be made")
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "the folder can't be made")
	}
	data := filepath.Join(filepath.Dir(self), "frosttide-data")
	if _, err := os.Stat(data); err != nil {
		return errors.Wrap(err, "the data plane's program has to lie beside this one")
	}
	return playDemo(ctx, c.out, devcluster.Config{Control: self, Data: data, Dir: dir, Cores: 3, Gateways: 2, Runners: demoRunnerConfigs()})
}

func demoRunnerConfigs() (out []fakerunner.Config) {
	for i := range demoRunners {
		out = append(out, fakerunner.Config{ID: fmt.Sprintf("i-toy%d", i), Service: "toy", Labels: []string{"a", fmt.Sprintf("r%d-1", i/2)}, CPU: 4000, MemMB: 8192, DefaultDuration: time.Second})
	}
	return out
}

// playDemo plays the demonstration.
func playDemo(ctx context.Context, out io.Writer, cfg devcluster.Config) error {
	s, err := devcluster.Start(cfg)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Fprintf(out, "3 control processes, 2 carriers, %d companions and toy runners are started in %s\n", demoRunners, cfg.Dir)
	if !s.Configure(demoTimeout) {
		return errors.Wrap(errDemo, "the configuration is not taken up")
	}
	fmt.Fprintln(out, "the configuration is in force everywhere")
	if !s.Submit(0, "batches", demoJobID, demoJob) || !s.Submit(1, "previews", demoGangID, demoGang) {
		return errors.Wrap(errDemo, "a job is not accepted")
	}
	fmt.Fprintln(out, "a job of two steps and a gang of four are accepted")
	killed := false
	done := devcluster.WaitFor(demoTimeout, func() bool {
		if ctx.Err() != nil {
			return true
		}
		a, b := s.State(0, "batches", demoJobID), s.State(1, "previews", demoGangID)
		fmt.Fprintf(out, "%-70s job: %-10s gang: %-10s\n", describeRunning(s), a, b)
		if !killed && countDone(s, demoJobID) > 0 {
			if head := s.Head(); head != nil {
				killed = true
				s.Kill(head)
				fmt.Fprintf(out, "the head, %s, is killed\n", head.Name)
				if err := s.Restart(head, false); err != nil {
					fmt.Fprintln(out, err)
				}
			}
		}
		time.Sleep(demoPollInterval)
		return a == "completed" && b == "completed"
	})
	if !done || !killed {
		return errors.Wrap(errDemo, "the jobs do not end, or no head was found")
	}
	return checkDoneOnce(out, s)
}

// describeRunning tells what runs where.
func describeRunning(s *devcluster.Cluster) string {
	var parts []string
	for i, r := range s.Runners {
		var tasks []string
		for _, run := range r.Running() {
			tasks = append(tasks, strings.TrimLeft(run.Task, "0"))
		}
		slices.Sort(tasks)
		parts = append(parts, fmt.Sprintf("%d:%d", i, len(tasks)))
	}
	return "running at " + strings.Join(parts, " ")
}

// countDone returns how many tasks of a job have ended well.
func countDone(s *devcluster.Cluster, job string) (count int) {
	for _, r := range s.Runners {
		for _, e := range r.History() {
			if strings.HasPrefix(e.Task, job) && e.Outcome == "done" {
				count++
			}
		}
	}
	return count
}

// checkDoneOnce checks that every task of the job has been done exactly once.
func checkDoneOnce(out io.Writer, s *devcluster.Cluster) error {
	counts := make(map[string]int)
	for _, r := range s.Runners {
		for _, e := range r.History() {
			if strings.HasPrefix(e.Task, demoJobID) && e.Outcome == "done" {
				counts[e.Task]++
			}
		}
	}
	for task, count := range counts {
		if count != 1 {
			return errors.Wrapf(errDemo, "%s is done %d times", task, count)
		}
	}
	if len(counts) != 9 {
		return errors.Wrapf(errDemo, "%d tasks of 9 are done", len(counts))
	}
	fmt.Fprintln(out, "both are completed; each of the job's 9 tasks was done once")
	return nil
}
