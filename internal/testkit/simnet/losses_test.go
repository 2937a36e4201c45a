package simnet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLossesStayWithinTheTolerance simulates the seeds in which faults once lost more than the fault tolerance covers: two
// disks in place of one, as a machine had come since they were drawn, and a disk while a machine was being replaced.
func TestLossesStayWithinTheTolerance(t *testing.T) {
	for _, seed := range []uint64{72450, 74125, 74281} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			require.Empty(t, Run(DefaultOptions(seed)).Violations)
		})
	}
}
