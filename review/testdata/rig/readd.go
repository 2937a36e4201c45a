package main

import (
	"fmt"
	"time"
)

func init() { cases["readd"] = readd }

// readd removes a route whose queue holds an accepted job and adds it again, unchanged, while the job's task is in its
// second attempt of four.
func readd(r *rig) string {
	draft := runnerConfig{service: "draftlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-1"}}
	r.start(batchConfig, batchHost, batchPrefix, draft, draft)
	const id = "00000000000000b1"
	require(r.post(batchHost, batchPrefix, id, `{"Spec":"ms=3000 fail=2","Stages":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":3000}]}`) == 200, "the job isn't accepted")
	require(waitFor(20*time.Second, func() bool { return r.run(id+".0.0.0") == 2 }), "the second attempt doesn't start")
	if r.trouble {
		require(r.operator("PATCH", "3", `{"Version":5,"Remove":{"Routes":["r-batches"]}}`) == 200, "the removal isn't acknowledged")
		time.Sleep(4 * time.Second)
		require(r.operator("PATCH", "5", `{"Version":8,"Upsert":{"Routes":[`+batchRoute+`]}}`) == 200, "the addition isn't acknowledged")
	} else {
		time.Sleep(4 * time.Second)
	}
	time.Sleep(applyTime + time.Second)
	state := ""
	for end := time.Now().Add(finishTime); time.Now().Before(end); time.Sleep(time.Second) {
		if state = r.state(batchHost, batchPrefix, id); state != "pending" && state != "running" {
			break
		}
	}
	if state != "failed" {
		require(state == "completed", "the job is %s", state)
		return ""
	}
	return fmt.Sprintf("LOST: the job is shown as failed after %d attempts that failed; its queue has MaxAttempts 4 in every version that holds it", r.failures(id+".0.0.0"))
}
