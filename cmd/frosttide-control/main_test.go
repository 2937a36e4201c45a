package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
	"frosttide/internal/testkit/fakerunner"
)

// maxWait bounds what a system is waited for; machines that run the tests may be slow.
const maxWait = 60 * time.Second

// programs are the programs as they are built for an installation.
var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "frosttide-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "frosttide/cmd/frosttide-control", "frosttide/cmd/frosttide-data", "frosttide/cmd/frosttide-exporter")
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

// run runs the control plane's program and returns what it printed and its exit status.
func run(t *testing.T, env []string, args ...string) (out, errOut string, status int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
	defer cancel()
	cmd := exec.CommandContext(ctx, program("frosttide-control"), args...)
	cmd.Env = append(os.Environ(), env...)
	var a, b bytes.Buffer
	cmd.Stdout, cmd.Stderr = &a, &b
	err := cmd.Run()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return a.String(), b.String(), cmd.ProcessState.ExitCode()
}

func runners(count int) (out []fakerunner.Config) {
	for i := range count {
		out = append(out, fakerunner.Config{ID: fmt.Sprintf("i-toy%d", i), Service: "toy", Labels: []string{"a", "r1-1"}, CPU: 4000, MemMB: 8192, DefaultDuration: 300 * time.Millisecond})
	}
	return out
}

// start starts a configured system.
func start(t *testing.T, runnerCount int) *devcluster.Cluster {
	t.Helper()
	s, err := devcluster.Start(devcluster.Config{Control: program("frosttide-control"), Data: program("frosttide-data"), Dir: t.TempDir(), Cores: 3, Gateways: 2, Runners: runners(runnerCount)})
	require.NoError(t, err)
	t.Cleanup(func() {
		s.Close()
		if t.Failed() {
			for _, m := range append(append(append([]*devcluster.Machine(nil), s.Cores...), s.Gateways...), s.Agents...) {
				t.Logf("%s:\n%s", m.Name, m.Log())
			}
		}
	})
	require.True(t, s.Configure(maxWait), "the configuration is not in force")
	return s
}

const job = `{"Spec":"sleep 300ms","Stages":[{"Count":3,"Cpu":1000,"MemMb":10,"EstimateMs":300},{"Count":1,"Cpu":1000,"MemMb":10,"EstimateMs":300,"DependsOn":[0]}]}`

func completed(s *devcluster.Cluster, queue, id string) bool {
	return devcluster.WaitFor(maxWait, func() bool { return s.State(1, queue, id) == "completed" })
}

func TestDemo(t *testing.T) {
	t.Parallel()
	out, errOut, status := run(t, nil, "demo")
	require.Zero(t, status, "%s%s", out, errOut)
	require.Contains(t, out, "is killed")
	require.Contains(t, out, "each of the job's 9 tasks was done once")
}

// TestServes hands jobs in, asks for them by every command, and loses and replaces machines.
func TestServes(t *testing.T) {
	t.Parallel()
	s := start(t, 2)
	at := []string{"FROSTTIDE_CONTROL=" + s.Cores[0].Control()}
	ok := func(args ...string) string {
		t.Helper()
		out, errOut, status := run(t, at, args...)
		require.Zero(t, status, "%v: %s", args, errOut)
		return out
	}

	t.Run("jobs", func(t *testing.T) {
		require.True(t, s.Submit(0, "previews", "00000000000000a1", job))
		require.True(t, s.Submit(1, "previews", "00000000000000a1", job), "the same job at another carrier")
		require.True(t, completed(s, "previews", "00000000000000a1"))
		require.Contains(t, ok("jobs", "list"), "00000000000000a1  previews  completed")
		require.Contains(t, ok("jobs", "show", "00000000000000a1"), "completed")
		var jobs []struct{ ID, State string }
		require.NoError(t, json.Unmarshal([]byte(ok("jobs", "list", "--json")), &jobs))
		require.Len(t, jobs, 1)
	})
	t.Run("why", func(t *testing.T) {
		require.True(t, s.Submit(0, "batches", "00000000000000b2", `{"Spec":"x","Stages":[{"Count":1,"Cpu":64000,"MemMb":10}]}`))
		require.Eventually(t, func() bool { return strings.Contains(ok("jobs", "show", "00000000000000b2"), "2 are too small") }, maxWait, 50*time.Millisecond)
		require.Contains(t, ok("status"), "00000000000000b2 step 0 waits")
		require.Contains(t, ok("jobs", "cancel", "00000000000000b2"), "canceled")
		require.Equal(t, "canceled", s.State(0, "batches", "00000000000000b2"))
		_, errOut, status := run(t, at, "jobs", "cancel", "00000000000000ff")
		require.Equal(t, 1, status)
		require.Contains(t, errOut, "410")
		_, _, status = run(t, at, "jobs", "show", "00000000000000ff")
		require.Equal(t, 1, status)
	})
	t.Run("status", func(t *testing.T) {
		out := ok("status", "--at", s.Cores[1].Control())
		for _, want := range []string{"3 voters", "head", "tail", "i-toy0", "fencing token"} {
			require.Contains(t, out, want)
		}
		var got struct{ Member, Placement map[string]any }
		require.NoError(t, json.Unmarshal([]byte(ok("status", "--json")), &got))
		require.NotNil(t, got.Placement["runners"])
		require.Contains(t, ok("runners"), "i-toy1")
		require.Contains(t, ok("version"), "frosttide-control")
	})
	t.Run("metrics", func(t *testing.T) {
		text := scrape(t, s)
		for _, want := range []string{`frosttide_up{member="` + s.Cores[2].Control() + `"} 1`, "frosttide_config_version 1", `frosttide_jobs{state="completed"} 1`,
			`frosttide_runners{service="toy",state="ready"} 2`, `frosttide_runs_ended_total{how="done",service="toy"} 4`, `frosttide_tasks_ready_total{service="toy"} 5`} {
			require.Contains(t, text, want)
		}
	})
	t.Run("config", func(t *testing.T) {
		require.Contains(t, ok("config", "get"), `"previews"`)
		file := filepath.Join(t.TempDir(), "config.json")
		changed := strings.Replace(strings.Replace(devcluster.Configuration, `"Version":1`, `"Version":2`, 1), `"TargetLatencyMs":800`, `"TargetLatencyMs":900`, 1)
		require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
		require.Contains(t, ok("config", "diff", file), `"TargetLatencyMs":900`)
		require.Contains(t, ok("check", "--config", file), "nothing is wrong")
		require.Contains(t, ok("config", "put", file), "in force")
		require.Contains(t, ok("config", "history"), "2  ")
		_, errOut, status := run(t, at, "config", "put", file, "--if-match", "1")
		require.Zero(t, status, "the same order is acknowledged again: %s", errOut)
		require.NoError(t, os.WriteFile(file, []byte(strings.Replace(changed, `"Version":2`, `"Version":7`, 1)), 0o600))
		_, errOut, status = run(t, at, "config", "put", file, "--if-match", "1")
		require.Equal(t, 1, status)
		require.Contains(t, errOut, "412")
	})
	t.Run("head lost", func(t *testing.T) {
		head := s.Head()
		require.NotNil(t, head)
		s.Kill(head)
		require.True(t, devcluster.WaitFor(maxWait, func() bool { return s.Submit(0, "previews", "00000000000000c3", job) }))
		require.True(t, completed(s, "previews", "00000000000000c3"))
		require.NoError(t, s.Restart(head, true), "it comes back without its disk")
		require.True(t, devcluster.WaitFor(maxWait, func() bool {
			out, _, _ := run(t, []string{"FROSTTIDE_CONTROL=" + head.Control()}, "status")
			return strings.Contains(out, "3 voters") && strings.Contains(out, "this one") && !strings.Contains(out, "being changed")
		}), "it is not taken in as a new member")
		require.Equal(t, "completed", s.State(0, "previews", "00000000000000a1"))
	})
	t.Run("planned end", func(t *testing.T) {
		require.Zero(t, s.Terminate(s.Gateways[1]))
		head := s.Head()
		require.NotNil(t, head)
		require.Zero(t, s.Terminate(head))
		require.True(t, devcluster.WaitFor(maxWait, func() bool { return s.Submit(0, "previews", "00000000000000d4", job) }))
	})
}

// scrape starts the exporter beside a system and returns what it tells.
func scrape(t *testing.T, s *devcluster.Cluster) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	exporter := exec.Command(program("frosttide-exporter"), "-listen", address, "-at", s.Cores[0].Control()+","+s.Cores[1].Control()+","+s.Cores[2].Control())
	require.NoError(t, exporter.Start())
	var text string
	require.True(t, devcluster.WaitFor(maxWait, func() bool {
		response, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		text = string(body)
		return err == nil && strings.Contains(text, "frosttide_fencing_token")
	}), "the exporter tells nothing of the placement role: %s", text)
	require.NoError(t, exporter.Process.Signal(syscall.SIGTERM))
	require.NoError(t, exporter.Wait())
	return text
}

// TestExporterArguments checks that what can't be understood is said in a line.
func TestExporterArguments(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{nil, 2, "-at has to name the core machines"},
		{[]string{"-at", "127.0.0.1:1", "more"}, 2, "-at has to name"},
		{[]string{"-at", "127.0.0.1:1", "-listen", "nowhere"}, 1, "-listen"},
		{[]string{"-help"}, 0, "addresses of the core machines' API"},
	} {
		cmd := exec.Command(program("frosttide-exporter"), c.args...)
		cmd.Env = append(os.Environ(), "FROSTTIDE_CONTROL=")
		out, err := cmd.CombinedOutput()
		require.NotNil(t, cmd.ProcessState, "%v", err)
		require.Equal(t, c.status, cmd.ProcessState.ExitCode(), "%v: %s", c.args, out)
		require.Contains(t, string(out), c.want)
	}
}

// TestAllCoreMachinesLost restores a system of which one snapshot is left.
func TestAllCoreMachinesLost(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	require.True(t, s.Submit(0, "previews", "00000000000000a1", job))
	require.True(t, completed(s, "previews", "00000000000000a1"))
	file := filepath.Join(t.TempDir(), "snapshot")
	var saved string
	require.True(t, devcluster.WaitFor(maxWait, func() bool {
		out, _, status := run(t, nil, "snapshot", "save", s.DataDir(s.Head()), file)
		saved = out
		return status == 0 && strings.Contains(out, "1 completed")
	}), "%s", saved)
	out, _, status := run(t, nil, "snapshot", "verify", file)
	require.Zero(t, status)
	require.Contains(t, out, "configuration 1")
	for _, m := range s.Cores {
		s.Kill(m)
		require.NoError(t, os.RemoveAll(s.DataDir(m)))
	}
	first := s.Cores[0]
	settings := filepath.Join(filepath.Dir(s.DataDir(first)), first.Name+".toml")
	out, errOut, status := run(t, nil, "snapshot", "restore", file, s.DataDir(first), "--settings", settings)
	require.Zero(t, status, errOut)
	require.Contains(t, out, "Lost is what was acknowledged after the snapshot")
	_, _, status = run(t, nil, "snapshot", "restore", file, s.DataDir(first), "--settings", settings)
	require.Equal(t, 1, status, "a folder that holds a file is left alone")
	for _, m := range s.Cores {
		require.NoError(t, s.Restart(m, m != first))
	}
	require.True(t, devcluster.WaitFor(maxWait, func() bool { return s.State(0, "previews", "00000000000000a1") == "completed" }), "what the snapshot holds is not known")
	require.True(t, devcluster.WaitFor(maxWait, func() bool { return s.Submit(0, "previews", "00000000000000b2", job) }))
	require.True(t, completed(s, "previews", "00000000000000b2"), "the runners don't take orders of the restored system")
	bad := filepath.Join(t.TempDir(), "bad")
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(bad, data[:20], 0o600))
	_, _, status = run(t, nil, "snapshot", "verify", bad)
	require.Equal(t, 1, status)
}

func TestArguments(t *testing.T) {
	t.Parallel()
	none := []string{"FROSTTIDE_CONTROL=", "FROSTTIDE_NODE_FILE="}
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"help"}, 0, "frosttide-control demo"},
		{[]string{"nonsense"}, 2, "there is no command"},
		{[]string{"jobs"}, 2, "usage"},
		{[]string{"jobs", "list"}, 2, "no address"},
		{[]string{"jobs", "list", "--at", "127.0.0.1:1"}, 1, "does not answer"},
		{[]string{"status", "--bad"}, 2, "usage"},
		{[]string{"serve"}, 1, "FROSTTIDE_NODE_FILE is not set"},
		{[]string{"check"}, 2, "wanted"},
		{[]string{"check", "--settings", "/nonexistent"}, 1, "can't be read"},
		{[]string{"snapshot", "verify", "/nonexistent"}, 1, "can't be read"},
	} {
		out, errOut, status := run(t, none, c.args...)
		require.Equal(t, c.status, status, "%v: %s%s", c.args, out, errOut)
		require.Contains(t, out+errOut, c.want, "%v", c.args)
	}
	file := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(file, []byte("Ip = 7\n"), 0o600))
	_, errOut, status := run(t, []string{"FROSTTIDE_NODE_FILE=" + file})
	require.Equal(t, 1, status)
	require.Equal(t, 1, strings.Count(errOut, "\n"), "one line: %q", errOut)
	require.Contains(t, errOut, "Ip")
}

// TestRefusals asks a carrier for what it can't give.
func TestRefusals(t *testing.T) {
	t.Parallel()
	s := start(t, 1)
	front := "http://" + s.Gateways[0].Front()
	for _, c := range []struct {
		method, path, host, body string
		want                     int
	}{
		{http.MethodPost, "/none/00000000000000a1", devcluster.Host, job, http.StatusNotFound},
		{http.MethodPost, "/previews/00000000000000a1", "other.example", job, http.StatusNotFound},
		{http.MethodPost, "/previews/xyz", devcluster.Host, job, http.StatusBadRequest},
		{http.MethodPost, "/previews/00000000000000a1", devcluster.Host, "{", http.StatusBadRequest},
		{http.MethodPost, "/previews/00000000000000a1", devcluster.Host, `{"Stages":[]}`, http.StatusBadRequest},
		{http.MethodPost, "/previews/00000000000000a1", devcluster.Host, `{"Spec":"` + strings.Repeat("x", 300_000) + `"}`, http.StatusBadRequest},
		{http.MethodPut, "/previews/00000000000000a1", devcluster.Host, job, http.StatusMethodNotAllowed},
		{http.MethodGet, "/previews/00000000000000a1", devcluster.Host, "", http.StatusGone},
		{http.MethodDelete, "/previews/00000000000000a1", devcluster.Host, "", http.StatusGone},
		{http.MethodGet, "/previews/", devcluster.Host, "", http.StatusOK},
	} {
		status, body, err := devcluster.Call(c.method, front+c.path, c.host, "", []byte(c.body))
		require.NoError(t, err)
		require.Equal(t, c.want, status, "%s %s: %s", c.method, c.path, body)
	}
}
