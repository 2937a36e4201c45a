package handover

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
)

// errNoDescriptor is the error of a message that should have brought a connection.
var errNoDescriptor = errors.New("no connection came along")

// socket is a copy of a connection's descriptor on its way to another process. Its
// maker closes it.
type socket struct {
	sent atomic.Bool // the other process gets it, unless it ends before it has read it

	mu sync.Mutex // held during a write
	fd int        // -1 when it is closed
}

// duplicate makes a copy of a connection's descriptor. The connection may be wrapped.
func duplicate(c net.Conn) (*socket, error) {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T has no descriptor", c)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("copying a connection: %w", err)
	}
	out, failed := &socket{fd: -1}, error(nil)
	err = raw.Control(func(fd uintptr) {
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		if out.fd, failed = syscall.Dup(int(fd)); failed == nil {
			syscall.CloseOnExec(out.fd)
		}
	})
	if err = errors.Join(err, failed); err != nil {
		return nil, fmt.Errorf("copying a connection: %w", err)
	}
	return out, nil
}

// send writes a line, with the descriptor beside its first byte. A closed socket is
// not sent.
func (s *socket) send(to *net.UnixConn, line []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fd < 0 {
		return nil // nobody waits for it any more
	}
	n, _, err := to.WriteMsgUnix(line, syscall.UnixRights(s.fd), nil)
	if err == nil && n < len(line) {
		_, err = to.Write(line[n:])
	}
	s.sent.Store(err == nil)
	return err
}

// close closes the copy, which is not sent any more.
func (s *socket) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fd >= 0 {
		syscall.Close(s.fd)
		s.fd = -1
	}
}

// descriptorReader reads a link and keeps the descriptors that come beside the bytes,
// in their order.
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int
}

// Read implements io.Reader.
func (r *descriptorReader) Read(p []byte) (int, error) {
	beside := make([]byte, syscall.CmsgSpace(4*4))
	n, size, _, _, err := r.conn.ReadMsgUnix(p, beside)
	messages, bad := syscall.ParseSocketControlMessage(beside[:size])
	for i := range messages {
		if fds, err := syscall.ParseUnixRights(&messages[i]); err == nil && bad == nil {
			r.fds = append(r.fds, fds...)
		}
	}
	switch {
	case err != nil:
		return max(n, 0), err // n is -1 after an error of the system
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// nextConn returns the connection that came first and has not been returned. Without
// one it fails with errNoDescriptor.
func (r *descriptorReader) nextConn() (net.Conn, error) {
	if len(r.fds) == 0 {
		return nil, errNoDescriptor
	}
	f := os.NewFile(uintptr(r.fds[0]), "client")
	r.fds = r.fds[1:]
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("a connection handed over: %w", err)
	}
	return c, nil
}

// close closes the descriptors that nextConn has not returned.
func (r *descriptorReader) close() {
	for _, fd := range r.fds {
		syscall.Close(fd)
	}
	r.fds = nil
}
