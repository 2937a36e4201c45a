package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lateBeatRunners is the number of runners of the service, one of which crashes: one in eight.
const lateBeatRunners = 8

func init() { cases["latebeat"] = lateBeat }

// lateBeat has a runner crash, and crash again right after it has come back under a new ID. The only heartbeat of that
// short life comes some seconds late, when the runner's third life is at work.
func lateBeat(r *rig) string {
	draft := runnerConfig{service: "draftlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-1"}}
	var runners []runnerConfig
	for range lateBeatRunners {
		runners = append(runners, draft)
	}
	r.start(batchConfig, batchHost, batchPrefix, runners...)
	side := r.sides[0]
	r.record.logf("runner %s crashes", r.runners[0].id)
	r.runners[0].close()
	time.Sleep(time.Second)
	second := newRunner(r, draft, side)
	body, sent := second.account(), time.Now()
	r.record.logf("runner %s starts in its place and sends its first heartbeat, which comes late", second.id)
	time.Sleep(500 * time.Millisecond)
	r.record.logf("runner %s crashes", second.id)
	second.health.Close()
	time.Sleep(500 * time.Millisecond)
	third := startRunner(r, draft, side)
	r.runners[0] = third
	r.record.logf("runner %s starts in its place", third.id)
	time.Sleep(500 * time.Millisecond)

	// Short work fills the other runners, so that the job's tasks start on that one.
	const filler, id = "00000000000000a1", "00000000000000a2"
	post := func(id, text string, count int) {
		body := fmt.Sprintf(`{"Spec":"%s","Stages":[{"Count":%d,"Cpu":500,"MemMb":256,"EstimateMs":1000}]}`, text, count)
		require(r.post(batchHost, batchPrefix, id, body) == 200, "job %s isn't accepted", id)
	}
	post(filler, "ms=1000", 32*(lateBeatRunners-1))
	require(waitFor(5*time.Second, func() bool { return len(r.running(filler)) == 32*(lateBeatRunners-1) }), "the other job doesn't start")
	post(id, "ms=12000", 4)
	require(waitFor(5*time.Second, func() bool { return len(r.running(id)) == 4 }), "the job doesn't start")
	require(len(third.tasks()) >= 4, "the job doesn't start on the new runner")
	require(waitFor(5*time.Second, func() bool { return len(r.running(filler)) == 0 }), "the other job doesn't end")
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		request, err := http.NewRequest(http.MethodPut, "http://"+side.control()+"/v1/instances/"+second.id, bytes.NewReader(body))
		require(err == nil, "late heartbeat: %v", err)
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		require(err == nil, "late heartbeat: %v", err)
		response.Body.Close()
		r.record.logf("the heartbeat of runner %s comes, %.1f s after it was sent: %d", second.id, time.Since(sent).Seconds(), response.StatusCode)
	}
	broken := ""
	for end := time.Now().Add(16 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if broken == "" {
			broken = r.twice(id)
		}
	}
	r.state(batchHost, batchPrefix, id)
	return broken
}

// twice returns a task of a job of which two runs are going, as a sentence, or an empty string.
func (r *rig) twice(job string) string {
	at := make(map[string]string)
	for _, n := range r.runners {
		for _, task := range n.tasks() {
			if !strings.HasPrefix(task, job) {
				continue
			}
			if at[task] != "" {
				broken := fmt.Sprintf("TWICE: two runs of task %s go at the same time, on runners %s and %s, which are both up", task, at[task], n.id)
				r.record.logf("%s", broken)
				return broken
			}
			at[task] = n.id
		}
	}
	return ""
}
