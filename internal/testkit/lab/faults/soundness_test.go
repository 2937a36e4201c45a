package faults

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequireSoon checks which first requests are a violation: those that failed on a fast disk.
func TestRequireSoon(t *testing.T) {
	at := time.Now()
	failure := errors.New("status 504")
	for _, c := range []struct {
		name       string
		answer     error
		syncs      []syncSample
		wantBroken bool
	}{
		{"success", nil, []syncSample{{at.Add(time.Millisecond), time.Millisecond}}, false},
		{"failure on a fast disk", failure, []syncSample{{at.Add(time.Millisecond), time.Millisecond}}, true},
		{"failure on a slow disk", failure, []syncSample{{at.Add(time.Millisecond), 2 * soundSyncTime}}, false},
		{"failure on a disk that was slow before", failure, []syncSample{{at.Add(-time.Millisecond), 2 * soundSyncTime}, {at.Add(time.Millisecond), time.Millisecond}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &scriptRun{probe: &diskProbe{began: time.Now(), samples: c.syncs}, result: &Result{}}
			r.requireSoon("an order", at, c.answer)
			require.Equal(t, c.wantBroken, len(r.result.Broken) > 0, "%v", r.result.Broken)
		})
	}
}

// TestDiskProbe checks that slowestSince includes a sync that is still in progress.
func TestDiskProbe(t *testing.T) {
	p, err := startDiskProbe(t.TempDir())
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.samples) > 2
	}, 20*time.Second, time.Millisecond)
	p.stop()
	p.began = time.Now().Add(-time.Minute)
	require.GreaterOrEqual(t, p.slowestSince(time.Now()), time.Minute)
}
