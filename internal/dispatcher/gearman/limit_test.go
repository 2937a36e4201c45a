package gearman

import (
	"strings"
	"testing"
)

// TestUnwrittenBytesAreLimited checks that a peer which sends requests but does not read the
// responses, over either protocol, takes bounded memory: above maxUnwrittenBytes nothing more is
// queued, and the connection is marked as overflowed.
func TestUnwrittenBytesAreLimited(t *testing.T) {
	for name, write := range map[string]func(*session){
		"packets": func(sess *session) { sess.sendError("code", strings.Repeat("x", 1000)) },
		"lines":   func(sess *session) { sess.sendLine(strings.Repeat("x", 1000)) },
	} {
		sess := newSession(nil, 1, nil) // writeLoop does not run, so nothing is written
		for range 5000 {
			write(sess)
		}
		if !sess.overflowed || len(sess.out) > maxUnwrittenBytes+2000 {
			t.Errorf("%s: got %d queued bytes and overflowed %t, want at most maxUnwrittenBytes+2000 and true", name, len(sess.out), sess.overflowed)
		}
	}
}
