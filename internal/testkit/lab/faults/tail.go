package faults

import (
	"bytes"
	"strings"
	"sync"
)

// tail is an io.Writer that retains the last lines of a process's log.
type tail struct {
	mu    sync.Mutex
	lines []string
	part  []byte
}

// maxLines is how many lines of each log are retained.
const maxLines = 2000

// Write adds log output. It never fails.
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
	if n := len(t.lines) - maxLines; n > 0 {
		t.lines = append([]string(nil), t.lines[n:]...)
	}
	return len(b), nil
}

// has reports whether a retained line contains text.
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

// text returns the last lines, at most the given number.
func (t *tail) text(last int) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines[max(len(t.lines)-last, 0):], "\n")
}
