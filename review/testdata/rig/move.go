package main

import (
	"fmt"
	"time"
)

const moveConfig = `{"Version":3,"Routes":[` + batchRoute + `,` + otherRoute + `],"Services":[{"Name":"draftlight","HealthPath":"/health"},{"Name":"newlight","HealthPath":"/health"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

func init() { cases["move"] = move }

// move sends a queue to another service while its lasting job runs, and takes the runners of the old service away.
func move(r *rig) string {
	old := runnerConfig{service: "draftlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-1"}}
	fresh := runnerConfig{service: "newlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-2"}}
	r.start(moveConfig, batchHost, batchPrefix, old, fresh, fresh)
	const id = "00000000000000a1"
	require(r.post(batchHost, batchPrefix, id, `{"Spec":"last","Stages":[{"Count":2,"Cpu":1000,"MemMb":500,"EstimateMs":500,"LongRunning":true}]}`) == 200, "the job isn't accepted")
	require(waitFor(10*time.Second, func() bool { return len(r.running(id)) == 2 }), "the job doesn't start")
	moved := `{"Name":"r-batches","Host":"render.example","PathPrefix":"/batches/","RouteType":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":4000,"Priority":1,"Service":"newlight","MaxAttempts":4,"Stretch":4.0}`
	require(r.operator("PATCH", "3", `{"Version":5,"Upsert":{"Routes":[`+moved+`]}}`) == 200, "the change isn't acknowledged")
	time.Sleep(contactTime)
	if !r.trouble {
		return ""
	}
	r.record.logf("runner %s crashes and doesn't come back", r.runners[0].id)
	r.runners[0].close()
	time.Sleep(finishTime)
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(r.running(id)) > 0 {
			return ""
		}
	}
	return fmt.Sprintf("LOST: the lasting job is %s with nothing running, though the runners of its queue's service are idle", r.state(batchHost, batchPrefix, id))
}
