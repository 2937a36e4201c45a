package permit

import (
	"errors"
	"testing"
	"time"
)

// TestCheck checks that each adverse fact alone prevents an attempt's start, and that without any the attempt may begin.
func TestCheck(t *testing.T) {
	now := time.Now()
	good := Facts{Now: now, Deadline: now.Add(time.Second), LatestStart: now, StatedTime: time.Second + DeadlineSlack}
	for _, tc := range []struct {
		name string
		edit func(*Facts)
		want error
	}{
		{"no adverse fact", func(*Facts) {}, nil},
		{"no latest start", func(f *Facts) { f.LatestStart = time.Time{} }, nil},
		{"canceled by the dispatcher", func(f *Facts) { f.Revoked = true }, ErrRevoked},
		{"the client has disconnected", func(f *Facts) { f.ClientDisconnected = true }, ErrClientDisconnected},
		{"at the deadline", func(f *Facts) { f.Deadline = now }, ErrDeadlineExceeded},
		{"past the latest start", func(f *Facts) { f.LatestStart = now.Add(-1) }, ErrLatestStartPassed},
		{"the worker is draining", func(f *Facts) { f.BackendChanged = true }, ErrBackendChanged},
		{"the process stalled", func(f *Facts) { f.ProcessStalled = true }, ErrProcessStalled},
		{"stated time exceeds the time left", func(f *Facts) { f.StatedTime++ }, ErrStatedTimeTooLong},
		{"the connection is closed", func(f *Facts) { f.ConnectionUnusable = true }, ErrConnectionUnusable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			facts := good
			tc.edit(&facts)
			err := Check(facts)
			if err != tc.want {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if err != nil && !errors.Is(err, ErrNotStarted) {
				t.Errorf("got %v, want an error that wraps ErrNotStarted", err)
			}
		})
	}
}
