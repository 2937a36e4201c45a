package simnet

import (
	"testing"
)

// TestGivenUpJobsDoNotRun guards against jobs that run after their client has given them up: a
// submission that reached the head after the cancellation of its still unknown ID was accepted.
func TestGivenUpJobsDoNotRun(t *testing.T) {
	requireNoViolations(t, []Options{DefaultOptions(48), DefaultOptions(54)})
}
