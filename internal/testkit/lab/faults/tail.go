package faults

import (
	"bytes"
	"strings"
	"sync"
)

// tail keeps the end of a process's log.
type tail struct {
	mu    sync.Mutex
	lines []string
	part  []byte
}

// kept is how many lines of each log are kept.
const kept = 2000

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.part = append(t.part, b...)
	for {
		line, rest, ok := bytes.Cut(t.part, []byte("\n"))
		if !ok {
			break
		}
		t.lines = append(t.lines, string(line))
		t.part = rest
	}
	if n := len(t.lines) - kept; n > 0 {
		t.lines = append([]string(nil), t.lines[n:]...)
	}
	return len(b), nil
}

func (t *tail) has(text string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.lines {
		if strings.Contains(l, text) {
			return true
		}
	}
	return false
}

func (t *tail) text(last int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines[max(len(t.lines)-last, 0):], "\n")
}
