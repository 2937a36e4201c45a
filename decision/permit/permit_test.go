package permit

import (
	"errors"
	"testing"
	"time"
)

// TestCheck checks that each fact alone stops an attempt, and that an attempt may begin without them.
func TestCheck(t *testing.T) {
	now := time.Now()
	good := Facts{Now: now, Deadline: now.Add(time.Second), LatestStart: now, StatedTime: time.Second + DeadlineSlack}
	for _, tc := range []struct {
		name string
		edit func(*Facts)
		want error
	}{
		{"all holds", func(*Facts) {}, nil},
		{"no latest beginning", func(f *Facts) { f.LatestStart = time.Time{} }, nil},
		{"given up", func(f *Facts) { f.Revoked = true }, ErrRevoked},
		{"the client has left", func(f *Facts) { f.ClientDisconnected = true }, ErrClientDisconnected},
		{"at the deadline", func(f *Facts) { f.Deadline = now }, ErrDeadlineExceeded},
		{"past the latest beginning", func(f *Facts) { f.LatestStart = now.Add(-1) }, ErrLatestStartPassed},
		{"the worker drains", func(f *Facts) { f.BackendChanged = true }, ErrBackendChanged},
		{"the process has stood still", func(f *Facts) { f.ProcessStalled = true }, ErrProcessStalled},
		{"more time told than is left", func(f *Facts) { f.StatedTime++ }, ErrStatedTimeTooLong},
		{"the connection has ended", func(f *Facts) { f.ConnectionUnusable = true }, ErrConnectionUnusable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			facts := good
			tc.edit(&facts)
			err := Check(facts)
			if err != tc.want {
				t.Errorf("got %v, want %v", err, tc.want)
			}
			if err != nil && !errors.Is(err, ErrNotStarted) {
				t.Errorf("%v does not say that nothing was begun", err)
			}
		})
	}
}
