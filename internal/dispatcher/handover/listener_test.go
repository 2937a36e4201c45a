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

// TestCloseWhileBlocked guards the end of an older process: another holder of the shared
// socket makes it blocking again and again and accepts connections, until an accept here
// blocks, and Close ends all the same. Multipath TCP ignores the socket's own bound on
// that.
func TestCloseWhileBlocked(t *testing.T) {
	other, fd := sharedSocket(t)
	l, err := Listen(fd)
	if err != nil {
		t.Fatal(err)
	}
	done, accepted := make(chan struct{}), make(chan error, 1)
	go keepBlocking(other.raw, done)
	go func() { accepted <- acceptAll(l) }()
	for deadline := time.Now().Add(20 * time.Second); !blocked(t); {
		if time.Now().After(deadline) {
			t.Skip("no accept came to block")
		}
		if c, err := net.Dial("tcp", other.addr); err == nil {
			c.Close()
		}
	}
	close(done)
	closed := make(chan error, 1)
	go func() { closed <- l.Close() }()
	for name, result := range map[string]chan error{"Close": closed, "Accept": accepted} {
		select {
		case err := <-result:
			if name == "Close" && err != nil {
				t.Error(err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%s did not end", name)
		}
	}
}

// otherHolder is another process's copy of the shared socket.
type otherHolder struct {
	raw  syscall.RawConn
	addr string
}

// sharedSocket opens a listening socket with multipath TCP, and returns another holder of
// it and the descriptor of a copy.
func sharedSocket(t *testing.T) (other otherHolder, fd int) {
	t.Helper()
	lc := net.ListenConfig{}
	lc.SetMultipathTCP(true)
	held, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	f, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	raw, err := f.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd = -1
	if err := raw.Control(func(of uintptr) { fd, err = syscall.Dup(int(of)) }); err != nil || fd < 0 {
		t.Fatal(err)
	}
	return otherHolder{raw: raw, addr: held.Addr().String()}, fd
}

// keepBlocking makes a socket blocking again and again until done is closed.
func keepBlocking(socket syscall.RawConn, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		_ = socket.Control(func(of uintptr) { _ = syscall.SetNonblock(int(of), false) })
	}
}

// acceptAll accepts and closes connections until that fails.
func acceptAll(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		c.Close()
	}
}

// blocked reports whether a thread of this process is in accept4(2), at three looks in a
// row.
func blocked(t *testing.T) bool {
	t.Helper()
	inAccept := func() bool {
		paths, _ := filepath.Glob("/proc/self/task/*/syscall")
		for _, path := range paths {
			if text, err := os.ReadFile(path); err == nil && strings.HasPrefix(string(text), "288 ") {
				return true
			}
		}
		return false
	}
	for range 3 {
		if !inAccept() {
			return false
		}
	}
	return true
}
