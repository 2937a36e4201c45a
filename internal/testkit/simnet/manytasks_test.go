package simnet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// seedsInTime returns the seeds to simulate: only the first one under the race detector, where
// simulations of many tasks take a minute.
func seedsInTime(seeds ...uint64) []uint64 {
	if raceDetectorOn {
		return seeds[:1]
	}
	return seeds
}

// defaultOptions returns the usual options of some seeds.
func defaultOptions(seeds []uint64) (all []Options) {
	for _, seed := range seeds {
		all = append(all, DefaultOptions(seed))
	}
	return all
}

// TestRunsOnceWithUnlistedEnds guards against tasks that run twice after the head was away while more
// tasks of a runner ended than a heartbeat lists; the ends that are not listed were taken for refusals.
func TestRunsOnceWithUnlistedEnds(t *testing.T) {
	for _, seed := range seedsInTime(86, 98, 218) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r := Run(DefaultOptions(seed))
			require.Empty(t, r.Violations)
			require.True(t, r.UnlistedEnds, "no runner had more ends than a heartbeat lists")
		})
	}
}

// TestLargeStartsComeInTime guards against tasks that never start because the starts that are due make a
// response larger than a runner takes.
func TestLargeStartsComeInTime(t *testing.T) {
	requireNoViolations(t, defaultOptions(seedsInTime(2, 26, 50)))
}

// TestRoomBesideLastingTasks guards against jobs that never run although there is room for them: small
// lasting tasks had all tokens of the only runner of their service.
func TestRoomBesideLastingTasks(t *testing.T) {
	requireNoViolations(t, defaultOptions(seedsInTime(8, 20, 44)))
}
