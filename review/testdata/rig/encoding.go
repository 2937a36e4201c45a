package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

func init() { cases["encoding"] = encoding }

// encoding sends an invalid configuration, once, while an accepted job runs. Its body isn't UTF-8: the name of a route
// holds a letter in the encoding ISO 8859-1.
func encoding(r *rig) string {
	r.coreCount = 5
	draft := runnerConfig{service: "draftlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-1"}}
	r.start(batchConfig, batchHost, batchPrefix, draft, draft)
	const id = "00000000000000d1"
	require(r.post(batchHost, batchPrefix, id, `{"Spec":"ms=8000","Stages":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":8000}]}`) == 200, "the job isn't accepted")
	require(waitFor(10*time.Second, func() bool { return len(r.running(id)) == 4 }), "the job doesn't start")
	if r.trouble {
		bad := strings.NewReplacer(`"Version":3`, `"Version":5`, `"r-other"`, "\"r-repetici\xf3n\"").Replace(batchConfig)
		core := r.cores[0]
		status, answer := r.quiet(http.MethodPut, "http://"+core.control()+"/v1/config", "", "3", bad)
		r.record.logf("operator: PUT /v1/config If-Match 3 %q at %s -> %d %s", bad, core.name, status, answer)
	}
	time.Sleep(finishTime)
	state := ""
	answered := waitFor(12*time.Second, func() bool {
		state = r.state(batchHost, batchPrefix, id)
		return slices.Contains([]string{"pending", "running", "completed", "failed", "canceled"}, state)
	})
	if answered {
		return ""
	}
	for _, e := range r.edges {
		status, answer := r.quiet(http.MethodDelete, "http://"+e.front()+batchPrefix+id, batchHost, "", "")
		r.record.logf("client: DELETE %s%s at %s -> %d %s", batchPrefix, id, e.name, status, answer)
	}
	for _, c := range r.cores {
		status, _ := r.quiet(http.MethodGet, "http://"+c.control()+"/v1/config", "", "", "")
		r.record.logf("operator: GET /v1/config at %s -> %d", c.name, status)
	}
	return fmt.Sprintf("LOST: %.0f s after the end of the traffic an accepted job isn't answered at any edge machine: %s", finishTime.Seconds(), state)
}
