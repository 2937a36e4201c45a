package simnet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLossesStayWithinTheTolerance plays the seeds in which the plays lost more than the deployment has to bear: two
// disks in place of one, as a machine had come since they were drawn, and a disk while a machine was being replaced.
func TestLossesStayWithinTheTolerance(t *testing.T) {
	for _, seed := range []uint64{72450, 74125, 74281} {
		report := Run(DefaultOptions(seed))
		require.Empty(t, report.Violations, "seed %d", seed)
	}
}
