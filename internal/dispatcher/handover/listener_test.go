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

// TestCloseWhileBlocked guards against an older process that can't end because its accept blocks.
// Another holder of the shared socket keeps making it blocking until an accept here blocks; Close
// has to return nevertheless. The socket uses multipath TCP, which ignores the time limit that
// Listen sets.
func TestCloseWhileBlocked(t *testing.T) {
	other, fd := sharedSocket(t)
	l, err := Listen(fd)
	if err != nil {
		t.Fatal(err)
	}
	done, accepted := make(chan struct{}), make(chan error, 1)
	go keepSettingBlocking(other.raw, done)
	go func() { accepted <- acceptAll(l) }()
	for deadline := time.Now().Add(20 * time.Second); !acceptBlocked(t); {
		if time.Now().After(deadline) {
			t.Skip("no accept blocked within 20 s")
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
			t.Fatalf("%s did not return within 20 s", name)
		}
	}
}

// otherHolder is the copy of the shared socket that another process holds.
type otherHolder struct {
	raw  syscall.RawConn
	addr string
}

// sharedSocket opens a listening socket with multipath TCP. It returns another holder of the socket
// and a duplicate of its descriptor.
func sharedSocket(t *testing.T) (other otherHolder, fd int) {
	t.Helper()
	lc := net.ListenConfig{}
	lc.SetMultipathTCP(true)
	listener, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	f, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	raw, err := f.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	fd = -1
	if err := raw.Control(func(socket uintptr) { fd, err = syscall.Dup(int(socket)) }); err != nil || fd < 0 {
		t.Fatal(err)
	}
	return otherHolder{raw: raw, addr: listener.Addr().String()}, fd
}

// keepSettingBlocking sets a socket to blocking mode in a loop until done is closed.
func keepSettingBlocking(socket syscall.RawConn, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		_ = socket.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), false) })
	}
}

// acceptAll accepts and closes connections until accepting fails, and returns that error.
func acceptAll(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		c.Close()
	}
}

// acceptBlocked reports whether a thread of this process is in accept4(2), which is system call 288
// on amd64, at three checks in a row.
func acceptBlocked(t *testing.T) bool {
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
