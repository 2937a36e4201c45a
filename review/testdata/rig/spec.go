package main

import (
	"fmt"
	"time"
)

func init() { cases["spec"] = spec }

// englishFlag is the flag of England: one character to its reader, a text of seven code points.
const englishFlag = "\U0001f3f4\U000e0067\U000e0062\U000e0065\U000e006e\U000e0067\U000e007f"

// spec hands in a job whose Spec is a text with quotation marks and the flag of England; without the disruption, it has
// the word in its place.
func spec(r *rig) string {
	draft := runnerConfig{service: "draftlight", cpu: 16000, mem: 32768, labels: []string{"a", "r1-1"}}
	r.start(batchConfig, batchHost, batchPrefix, draft, draft, draft, draft)
	title := "England"
	if r.trouble {
		title = englishFlag
	}
	const id = "00000000000000e1"
	body := `{"Spec":"ms=500 title=\"` + title + ` - Mexico\"","Stages":[{"Count":4,"Cpu":500,"MemMb":256,"EstimateMs":500}]}`
	require(r.post(batchHost, batchPrefix, id, body) == 200, "the job isn't accepted")
	time.Sleep(finishTime)
	state := r.state(batchHost, batchPrefix, id)
	if state == "completed" {
		return ""
	}
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(r.running(id)) > 0 {
			return ""
		}
	}
	if state = r.state(batchHost, batchPrefix, id); state == "completed" {
		return ""
	}
	return fmt.Sprintf("LOST: %.0f s after it was handed in, a job is %s and has had nothing running for 3 s, though four runners are sound and idle; they couldn't read %d answers",
		(finishTime + idleTime).Seconds(), state, r.badAnswers())
}
