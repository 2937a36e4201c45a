package main

import (
	"fmt"
	"time"
)

func init() { cases["locality"] = locality }

// locality hands in a job whose data lies in a rack that other work fills; without the disruption, its data lies nowhere.
func locality(r *rig) string {
	near := runnerConfig{service: "draftlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-1"}}
	far := runnerConfig{service: "draftlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-2"}}
	r.start(batchConfig, batchHost, batchPrefix, near, near, far, far)
	const other, id = "00000000000000a1", "00000000000000a2"
	require(r.post(batchHost, batchPrefix, other, `{"Spec":"ms=60000","Stages":[{"Count":31,"Cpu":1000,"MemMb":500,"EstimateMs":60000,"Affinity":"r1-1"}]}`) == 200, "the other job isn't accepted")
	require(waitFor(10*time.Second, func() bool { return len(r.running(other)) == 31 }), "the other job doesn't start")
	affinity := ""
	if r.trouble {
		affinity = `,"Affinity":"r1-1"`
	}
	require(r.post(batchHost, batchPrefix, id, `{"Spec":"ms=60000","Stages":[{"Count":1,"Cpu":2000,"MemMb":500,"EstimateMs":90000`+affinity+`}]}`) == 200, "the job isn't accepted")
	time.Sleep(finishTime)
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(r.running(id)) > 0 {
			return ""
		}
	}
	state := r.state(batchHost, batchPrefix, id)
	return fmt.Sprintf("LOST: %.0f s after it was handed in, a job is %s and has had nothing running for 3 s, though 33 of 64 cores are free", (finishTime + idleTime).Seconds(), state)
}
