package jobs

import (
	"fmt"
	"unicode/utf8"

	"frosttide/internal/protocol"
)

// The bounds of a job.
const (
	maxSpecLength  = 4000 // characters
	maxStages      = 100
	maxTasks       = 10_000 // of a step
	maxOccurrences = 100_000
)

// Validate says in a line what is wrong with a job, empty where nothing is.
func Validate(s *protocol.Submit) string {
	switch {
	case !validID(s.GetId()):
		return "the job's ID is not 16 hex digits"
	case !utf8.ValidString(s.GetSpec()) || utf8.RuneCountInString(s.GetSpec()) > maxSpecLength:
		return fmt.Sprintf("Spec: it is longer than %d characters or no text", maxSpecLength)
	case len(s.GetStages()) == 0 || len(s.GetStages()) > maxStages:
		return fmt.Sprintf("Stages: there are %d, 1 to %d are taken", len(s.GetStages()), maxStages)
	case s.GetMaxRuns() > maxOccurrences:
		return fmt.Sprintf("MaxRuns: %d is more than %d", s.GetMaxRuns(), maxOccurrences)
	case s.GetIntervalMs() < 0 || s.GetStartAtMs() < 0:
		return "StartAtMs, IntervalMs: they are below 0"
	}
	for i, stage := range s.GetStages() {
		if reason := validateStage(i, stage); reason != "" {
			return reason
		}
	}
	return ""
}

func validateStage(number int, s *protocol.Stage) string {
	field := fmt.Sprintf("Stages[%d].", number)
	switch {
	case s.GetCount() == 0 || s.GetCount() > maxTasks:
		return fmt.Sprintf("%sCount: %d is not 1 to %d", field, s.GetCount(), maxTasks)
	case s.GetCpu() < 0 || s.GetMemMb() < 0 || s.GetGpus() < 0 || s.GetEstimateMs() < 0:
		return field + "Cpu, MemMb, Gpus, EstimateMs: one is below 0"
	case !utf8.ValidString(s.GetRequirements()) || !utf8.ValidString(s.GetAffinity()):
		return field + "Requirements, Affinity: one is no text"
	}
	for _, d := range s.GetDependsOn() {
		if int(d) >= number {
			return fmt.Sprintf("%sDependsOn: step %d is not an earlier one", field, d)
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
