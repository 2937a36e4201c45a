package gearman

import (
	"strings"
	"testing"
)

// TestUnread checks that a peer which sends requests and does not read, over either protocol, takes
// bounded memory: above the limit nothing more is queued, and the connection is marked as broken.
func TestUnread(t *testing.T) {
	for name, write := range map[string]func(*session){
		"packets": func(x *session) { x.sendError("code", strings.Repeat("x", 1000)) },
		"lines":   func(x *session) { x.sendLine(strings.Repeat("x", 1000)) },
	} {
		x := newSession(nil, 1, nil) // its write loop does not run
		for range 5000 {
			write(x)
		}
		if !x.broken || len(x.out) > maxUnwrittenBytes+2000 {
			t.Errorf("%s: %d bytes wait, closed %t", name, len(x.out), x.broken)
		}
	}
}
