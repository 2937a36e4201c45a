package wakedelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLongest(t *testing.T) {
	var m Monitor
	now := time.Unix(0, 0)
	require.Zero(t, m.Longest(now))

	m.begin(now)
	require.Equal(t, 30*time.Millisecond, m.Longest(now.Add(30*time.Millisecond)), "a timer that has not fired yet counts")
	m.finish(now.Add(50 * time.Millisecond))
	for range remembered - 1 {
		m.begin(now)
		m.finish(now.Add(time.Millisecond))
		require.Equal(t, 50*time.Millisecond, m.Longest(now))
	}
	m.begin(now)
	m.finish(now)
	require.Equal(t, time.Millisecond, m.Longest(now), "only the last measurements count")
}

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
