package gearman

import (
	"strings"
	"testing"
)

// TestUnread guards memory against a peer that asks and does not read, over either
// protocol: past the bound nothing more is kept, and the connection is marked to be closed.
func TestUnread(t *testing.T) {
	for name, write := range map[string]func(*session){
		"packets": func(x *session) { x.wrong("code", strings.Repeat("x", 1000)) },
		"lines":   func(x *session) { x.say(strings.Repeat("x", 1000)) },
	} {
		x := newSession(nil, 1, nil) // nobody writes what it has to say
		for range 5000 {
			write(x)
		}
		if !x.broken || len(x.out) > mostOut+2000 {
			t.Errorf("%s: %d bytes wait, closed %t", name, len(x.out), x.broken)
		}
	}
}
