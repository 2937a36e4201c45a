package jobs

import (
	"fmt"
	"unicode/utf8"

	"frosttide/internal/protocol"
)

// Limits of a submission.
const (
	maxSpecLength  = 4000 // characters
	maxStages      = 100
	maxTasks       = 10_000 // per stage
	maxOccurrences = 100_000
)

// idLength is the length of a job ID in hex digits.
const idLength = 16

// ValidationError explains why a submission is invalid. Its text is returned to the client that
// submitted the job.
type ValidationError struct {
	Fields  string // invalid fields of the submission; empty for the job ID
	Problem string
}

// Error returns the fields, if any, and the problem on one line.
func (e *ValidationError) Error() string {
	if e.Fields == "" {
		return e.Problem
	}
	return e.Fields + ": " + e.Problem
}

// invalid returns a *ValidationError with a formatted problem.
func invalid(fields, format string, args ...any) error {
	return &ValidationError{Fields: fields, Problem: fmt.Sprintf(format, args...)}
}

// Validate returns a *ValidationError if a submission is invalid, and nil otherwise. A valid
// submission can be encoded, and its stages form no cycle because each depends only on earlier
// ones.
func Validate(s *protocol.Submit) error {
	switch {
	case !validID(s.GetId()):
		return invalid("", "the job's ID is not %d hex digits", idLength)
	case !utf8.ValidString(s.GetSpec()) || utf8.RuneCountInString(s.GetSpec()) > maxSpecLength:
		return invalid("Spec", "it is longer than %d characters or no text", maxSpecLength)
	case len(s.GetStages()) == 0 || len(s.GetStages()) > maxStages:
		return invalid("Stages", "there are %d, 1 to %d are taken", len(s.GetStages()), maxStages)
	case s.GetMaxRuns() > maxOccurrences:
		return invalid("MaxRuns", "%d is more than %d", s.GetMaxRuns(), maxOccurrences)
	case s.GetIntervalMs() < 0 || s.GetStartAtMs() < 0:
		return invalid("StartAtMs, IntervalMs", "they are below 0")
	}
	for i, stage := range s.GetStages() {
		if err := validateStage(i, stage); err != nil {
			return err
		}
	}
	return nil
}

// validateStage validates one stage; number is its index.
func validateStage(number int, s *protocol.Stage) error {
	field := func(names string) string { return fmt.Sprintf("Stages[%d].%s", number, names) }
	switch {
	case s.GetCount() == 0 || s.GetCount() > maxTasks:
		return invalid(field("Count"), "%d is not 1 to %d", s.GetCount(), maxTasks)
	case s.GetCpu() < 0 || s.GetMemMb() < 0 || s.GetGpus() < 0 || s.GetEstimateMs() < 0:
		return invalid(field("Cpu, MemMb, Gpus, EstimateMs"), "one is below 0")
	case !utf8.ValidString(s.GetRequirements()) || !utf8.ValidString(s.GetAffinity()):
		return invalid(field("Requirements, Affinity"), "one is no text")
	}
	for _, d := range s.GetDependsOn() {
		if int(d) >= number {
			return invalid(field("DependsOn"), "step %d is not an earlier one", d)
		}
	}
	return nil
}

// validID reports whether id has the form of a job ID.
func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}
