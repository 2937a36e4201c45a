package wakedelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLongest checks that an overdue timer counts before it has fired, and that each measurement
// counts until sampleCount further ones have been taken.
func TestLongest(t *testing.T) {
	var m Monitor
	now := time.Unix(0, 0)
	require.Zero(t, m.Longest(now))

	m.begin(now)
	require.Equal(t, 30*time.Millisecond, m.Longest(now.Add(30*time.Millisecond)), "the delay of a timer that has not fired yet must count")
	m.finish(now.Add(50 * time.Millisecond))
	for range sampleCount - 1 {
		m.begin(now)
		m.finish(now.Add(time.Millisecond))
		require.Equal(t, 50*time.Millisecond, m.Longest(now))
	}
	m.begin(now)
	m.finish(now)
	require.Equal(t, time.Millisecond, m.Longest(now), "measurements older than the last sampleCount must not count")
}

// TestRunOnIdleMachine checks that Run measures no delay while all timers fire on time.
func TestRunOnIdleMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var m Monitor
		go m.Run(ctx)
		time.Sleep(time.Minute)
		require.Zero(t, m.Longest(time.Now()))
		stop()
	})
}
