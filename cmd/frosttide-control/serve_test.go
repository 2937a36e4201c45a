package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/testkit/devcluster"
)

// TestDemo checks that the demonstration succeeds and reports the killed head and the completed
// job.
func TestDemo(t *testing.T) {
	t.Parallel()
	out, errOut, status := run(t, nil, "demo")
	require.Zero(t, status, "%s%s", out, errOut)
	require.Contains(t, out, "is killed")
	require.Contains(t, out, "each of the job's 9 tasks was done once")
}

// TestServes submits jobs to a cluster, runs every command against it, and kills and replaces
// machines. The steps share one cluster and run in order.
func TestServes(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 2)
	steps := []struct {
		name string
		run  func(t *testing.T, c *cluster)
	}{
		{"jobs", testJobs},
		{"why", testWaitingJob},
		{"status", testStatus},
		{"metrics", testMetrics},
		{"config", testConfig},
		{"head lost", testHeadLost},
		{"planned end", testPlannedEnd},
	}
	for _, step := range steps {
		t.Run(step.name, func(t *testing.T) { step.run(t, &cluster{Cluster: c.Cluster, t: t}) })
	}
}

func testJobs(t *testing.T, c *cluster) {
	const id = "00000000000000a1"
	require.True(t, c.Submit(0, "previews", id, job))
	require.True(t, c.Submit(1, "previews", id, job), "the same job at another gateway")
	c.requireCompleted(id)
	require.Contains(t, c.requireRun("jobs", "list"), id+"  previews  completed")
	require.Contains(t, c.requireRun("jobs", "show", id), "completed")
	var jobs []struct{ ID, State string }
	require.NoError(t, json.Unmarshal([]byte(c.requireRun("jobs", "list", "--json")), &jobs))
	require.Len(t, jobs, 1)
}

// testWaitingJob submits a job that is too large for every runner, checks the reported reason for
// its waiting, and cancels it.
func testWaitingJob(t *testing.T, c *cluster) {
	const id, unknown = "00000000000000b2", "00000000000000ff"
	require.True(t, c.Submit(0, "batches", id, `{"Spec":"x","Stages":[{"Count":1,"Cpu":64000,"MemMb":10}]}`))
	require.Eventually(t, func() bool { return strings.Contains(c.requireRun("jobs", "show", id), "2 are too small") }, maxWait, 50*time.Millisecond)
	require.Contains(t, c.requireRun("status"), id+" step 0 waits")
	require.Contains(t, c.requireRun("jobs", "cancel", id), "canceled")
	require.Equal(t, "canceled", c.State(0, "batches", id))
	_, errOut, status := c.run("jobs", "cancel", unknown)
	require.Equal(t, 1, status)
	require.Contains(t, errOut, "410")
	_, _, status = c.run("jobs", "show", unknown)
	require.Equal(t, 1, status)
}

func testStatus(t *testing.T, c *cluster) {
	out := c.requireRun("status", "--at", c.Cores[1].Control())
	for _, want := range []string{"3 voters", "head", "tail", "i-toy0", "fencing token"} {
		require.Contains(t, out, want)
	}
	var got struct{ Member, Placement map[string]any }
	require.NoError(t, json.Unmarshal([]byte(c.requireRun("status", "--json")), &got))
	require.NotNil(t, got.Placement["runners"])
	require.Contains(t, c.requireRun("runners"), "i-toy1")
	require.Contains(t, c.requireRun("version"), "frosttide-control")
}

func testMetrics(t *testing.T, c *cluster) {
	text := scrape(t, c)
	for _, want := range []string{
		`frosttide_up{member="` + c.Cores[2].Control() + `"} 1`,
		"frosttide_config_version 1",
		`frosttide_jobs{state="completed"} 1`,
		`frosttide_runners{service="toy",state="ready"} 2`,
		`frosttide_runs_ended_total{how="done",service="toy"} 4`,
		`frosttide_tasks_ready_total{service="toy"} 5`,
	} {
		require.Contains(t, text, want)
	}
}

// testConfig replaces the configuration, repeats the request, which must be acknowledged, and sends
// a different one for an old version, which must be rejected with status 412.
func testConfig(t *testing.T, c *cluster) {
	require.Contains(t, c.requireRun("config", "get"), `"previews"`)
	file := filepath.Join(t.TempDir(), "config.json")
	changed := strings.Replace(strings.Replace(devcluster.Configuration, `"Version":1`, `"Version":2`, 1), `"TargetLatencyMs":800`, `"TargetLatencyMs":900`, 1)
	require.NoError(t, os.WriteFile(file, []byte(changed), 0o600))
	require.Contains(t, c.requireRun("config", "diff", file), `"TargetLatencyMs":900`)
	require.Contains(t, c.requireRun("check", "--config", file), "nothing is wrong")
	require.Contains(t, c.requireRun("config", "put", file), "in force")
	require.Contains(t, c.requireRun("config", "history"), "2  ")
	_, errOut, status := c.run("config", "put", file, "--if-match", "1")
	require.Zero(t, status, "the repeated request is not acknowledged: %s", errOut)
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(changed, `"Version":2`, `"Version":7`, 1)), 0o600))
	_, errOut, status = c.run("config", "put", file, "--if-match", "1")
	require.Equal(t, 1, status)
	require.Contains(t, errOut, "412")
}

// testHeadLost kills the head, checks that another member takes over, and restarts the killed
// member with an empty disk: it has to rejoin as a new member.
func testHeadLost(t *testing.T, c *cluster) {
	head := c.requireHead()
	c.Kill(head)
	c.requireSubmitted("00000000000000c3")
	c.requireCompleted("00000000000000c3")
	require.NoError(t, c.Restart(head, true))
	require.True(t, devcluster.WaitFor(maxWait, func() bool {
		out, _, _ := run(t, []string{"FROSTTIDE_CONTROL=" + head.Control()}, "status")
		return strings.Contains(out, "3 voters") && strings.Contains(out, "this one") && !strings.Contains(out, "being changed")
	}), "the machine with an empty disk does not rejoin as a new member")
	require.Equal(t, "completed", c.State(0, "previews", "00000000000000a1"))
}

// testPlannedEnd terminates a gateway and the head with SIGTERM. Both have to exit with status 0,
// and jobs still have to be accepted.
func testPlannedEnd(t *testing.T, c *cluster) {
	require.Zero(t, c.Terminate(c.Gateways[1]))
	require.Zero(t, c.Terminate(c.requireHead()))
	c.requireSubmitted("00000000000000d4")
}

// TestRefusals checks the status of a gateway's responses to invalid and unanswerable requests.
func TestRefusals(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 1)
	const path = "/previews/00000000000000a1"
	tests := []struct {
		name, method, path, host, body string
		want                           int
	}{
		{"unknown queue", http.MethodPost, "/none/00000000000000a1", devcluster.Host, job, http.StatusNotFound},
		{"unknown host", http.MethodPost, path, "other.example", job, http.StatusNotFound},
		{"bad ID", http.MethodPost, "/previews/xyz", devcluster.Host, job, http.StatusBadRequest},
		{"body cut short", http.MethodPost, path, devcluster.Host, "{", http.StatusBadRequest},
		{"no stages", http.MethodPost, path, devcluster.Host, `{"Stages":[]}`, http.StatusBadRequest},
		{"body too long", http.MethodPost, path, devcluster.Host, `{"Spec":"` + strings.Repeat("x", 300_000) + `"}`, http.StatusBadRequest},
		{"unknown method", http.MethodPut, path, devcluster.Host, job, http.StatusMethodNotAllowed},
		{"state of an unknown job", http.MethodGet, path, devcluster.Host, "", http.StatusGone},
		{"cancel of an unknown job", http.MethodDelete, path, devcluster.Host, "", http.StatusGone},
		{"pending jobs of an empty queue", http.MethodGet, "/previews/", devcluster.Host, "", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, body, err := devcluster.Call(test.method, "http://"+c.Gateways[0].Front()+test.path, test.host, "", []byte(test.body))
			require.NoError(t, err)
			require.Equal(t, test.want, status, "%s", body)
		})
	}
}
