package handover

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestCloseWhileBlocked guards the end of an older process: another holder of the shared socket
// sets it blocking again and again and takes connections, until an accept here blocks, and
// Close ends all the same. Multipath TCP does not heed the socket's own bound on that.
func TestCloseWhileBlocked(t *testing.T) {
	lc := net.ListenConfig{}
	lc.SetMultipathTCP(true)
	held, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	f, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	raw, err := f.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd := -1
	if err := raw.Control(func(of uintptr) { fd, err = syscall.Dup(int(of)) }); err != nil || fd < 0 {
		t.Fatal(err)
	}
	l, err := Listen(fd)
	if err != nil {
		t.Fatal(err)
	}
	over, taken := make(chan struct{}), make(chan error, 1)
	go func() { // the other holder
		for {
			select {
			case <-over:
				return
			default:
			}
			_ = raw.Control(func(of uintptr) { _ = syscall.SetNonblock(int(of), false) })
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				taken <- err
				return
			}
			c.Close()
		}
	}()
	for by := time.Now().Add(20 * time.Second); !blocked(t); {
		if time.Now().After(by) {
			t.Skip("no accept came to block")
		}
		if c, err := net.Dial("tcp", held.Addr().String()); err == nil {
			c.Close()
		}
	}
	close(over)
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	for name, of := range map[string]chan error{"Close": closed, "Accept": taken} {
		select {
		case err := <-of:
			if name == "Close" && err != nil {
				t.Error(err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%s did not end", name)
		}
	}
}

// blocked tells whether a thread of this process is in accept4(2), at three looks in a row.
func blocked(t *testing.T) bool {
	t.Helper()
	in := func() bool {
		paths, _ := filepath.Glob("/proc/self/task/*/syscall")
		for _, p := range paths {
			if text, err := os.ReadFile(p); err == nil && strings.HasPrefix(string(text), "288 ") {
				return true
			}
		}
		return false
	}
	for range 3 {
		if !in() {
			return false
		}
	}
	return true
}
