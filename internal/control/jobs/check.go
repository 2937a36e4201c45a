package jobs

import (
	"fmt"
	"unicode/utf8"

	"frosttide/internal/protocol"
)

// The bounds of a job.
const (
	mostSpec      = 4000 // characters
	mostStages    = 100
	mostTasks     = 10_000 // of a step
	mostOccasions = 100_000
)

// Check says in a line what is wrong with a job, empty where nothing is.
func Check(s *protocol.Submit) string {
	switch {
	case !validID(s.GetId()):
		return "the job's ID is not 16 hex digits"
	case !utf8.ValidString(s.GetSpec()) || utf8.RuneCountInString(s.GetSpec()) > mostSpec:
		return fmt.Sprintf("Spec: it is longer than %d characters or no text", mostSpec)
	case len(s.GetStages()) == 0 || len(s.GetStages()) > mostStages:
		return fmt.Sprintf("Stages: there are %d, 1 to %d are taken", len(s.GetStages()), mostStages)
	case s.GetMaxRuns() > mostOccasions:
		return fmt.Sprintf("MaxRuns: %d is more than %d", s.GetMaxRuns(), mostOccasions)
	case s.GetIntervalMs() < 0 || s.GetStartAtMs() < 0:
		return "StartAtMs, IntervalMs: they are below 0"
	}
	for i, stage := range s.GetStages() {
		if reason := checkStage(i, stage); reason != "" {
			return reason
		}
	}
	return ""
}

func checkStage(number int, s *protocol.Stage) string {
	at := fmt.Sprintf("Stages[%d].", number)
	switch {
	case s.GetCount() == 0 || s.GetCount() > mostTasks:
		return fmt.Sprintf("%sCount: %d is not 1 to %d", at, s.GetCount(), mostTasks)
	case s.GetCpu() < 0 || s.GetMemMb() < 0 || s.GetGpus() < 0 || s.GetEstimateMs() < 0:
		return at + "Cpu, MemMb, Gpus, EstimateMs: one is below 0"
	case !utf8.ValidString(s.GetRequirements()) || !utf8.ValidString(s.GetAffinity()):
		return at + "Requirements, Affinity: one is no text"
	}
	for _, d := range s.GetDependsOn() {
		if int(d) >= number {
			return fmt.Sprintf("%sDependsOn: step %d is not an earlier one", at, d)
		}
	}
	return ""
}

// validID tells whether a text is 16 hex digits.
func validID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
