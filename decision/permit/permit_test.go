package permit

import (
	"errors"
	"testing"
	"time"
)

// TestCheck has each fact alone stop an attempt, and none of them stop one that may begin.
func TestCheck(t *testing.T) {
	now := time.Now()
	good := Facts{Now: now, Deadline: now.Add(time.Second), Latest: now, Told: time.Second + DeadlineSlack}
	for _, tc := range []struct {
		name string
		edit func(*Facts)
		want error
	}{
		{"all holds", func(*Facts) {}, nil},
		{"no latest beginning", func(f *Facts) { f.Latest = time.Time{} }, nil},
		{"given up", func(f *Facts) { f.Revoked = true }, ErrRevoked},
		{"the client has left", func(f *Facts) { f.ClientGone = true }, ErrClientGone},
		{"at the deadline", func(f *Facts) { f.Deadline = now }, ErrDeadline},
		{"past the latest beginning", func(f *Facts) { f.Latest = now.Add(-1) }, ErrTooLate},
		{"the worker drains", func(f *Facts) { f.Changed = true }, ErrBackend},
		{"the process has stood still", func(f *Facts) { f.StoodStill = true }, ErrStoodStill},
		{"more time told than is left", func(f *Facts) { f.Told++ }, ErrToldTooMuch},
		{"the connection has ended", func(f *Facts) { f.Unusable = true }, ErrConnection},
	} {
		f := good
		tc.edit(&f)
		err := Check(f)
		if err != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, err, tc.want)
		}
		if err != nil && !errors.Is(err, ErrNotBegun) {
			t.Errorf("%s: %v does not say that nothing was begun", tc.name, err)
		}
	}
}
