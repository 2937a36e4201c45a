package simnet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLossesStayWithinTheTolerance guards against faults that lose more than the fault tolerance
// covers. In these seeds two disks were lost instead of one, as a machine had been added since the
// faults were drawn, or a disk was lost while a machine was being replaced.
func TestLossesStayWithinTheTolerance(t *testing.T) {
	for _, seed := range []uint64{72450, 74125, 74281} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			require.Empty(t, Run(DefaultOptions(seed)).Violations)
		})
	}
}
