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

// errNoDescriptor is the error of a transfer message that came without a descriptor.
var errNoDescriptor = errors.New("the message came without a descriptor")

// descriptor is a duplicate of a connection's file descriptor that is sent to another process. The
// caller of duplicate closes it.
type descriptor struct {
	sent atomic.Bool // written to the link; the other process receives it unless it ends before

	mu sync.Mutex // held during a write
	fd int        // -1 once closed
}

// duplicate duplicates a connection's file descriptor. The connection may be wrapped by one that
// has a NetConn method.
func duplicate(c net.Conn) (*descriptor, error) {
	if w, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = w.NetConn()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("a %T has no file descriptor", c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("duplicating a connection's descriptor: %w", err)
	}
	dup, dupErr := &descriptor{fd: -1}, error(nil)
	err = raw.Control(func(fd uintptr) {
		syscall.ForkLock.RLock()
		defer syscall.ForkLock.RUnlock()
		if dup.fd, dupErr = syscall.Dup(int(fd)); dupErr == nil {
			syscall.CloseOnExec(dup.fd)
		}
	})
	if err = errors.Join(err, dupErr); err != nil {
		return nil, fmt.Errorf("duplicating a connection's descriptor: %w", err)
	}
	return dup, nil
}

// send writes a line, with the descriptor as ancillary data of its first byte. If the descriptor is
// closed, it writes nothing.
func (d *descriptor) send(to *net.UnixConn, line []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd < 0 {
		return nil // the request has stopped waiting
	}
	n, _, err := to.WriteMsgUnix(line, syscall.UnixRights(d.fd), nil)
	if err == nil && n < len(line) {
		_, err = to.Write(line[n:])
	}
	d.sent.Store(err == nil)
	return err
}

// close closes the descriptor, which is not sent from then on. It waits for a send in progress.
func (d *descriptor) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd >= 0 {
		syscall.Close(d.fd)
		d.fd = -1
	}
}

// descriptorReader reads from a link's connection and queues the descriptors that arrive as
// ancillary data.
type descriptorReader struct {
	conn *net.UnixConn
	fds  []int // received and not returned yet, oldest first
}

// Read implements io.Reader.
func (r *descriptorReader) Read(p []byte) (int, error) {
	oob := make([]byte, syscall.CmsgSpace(4*4))
	n, oobSize, _, _, err := r.conn.ReadMsgUnix(p, oob)
	messages, parseErr := syscall.ParseSocketControlMessage(oob[:oobSize])
	for i := range messages {
		if fds, err := syscall.ParseUnixRights(&messages[i]); err == nil && parseErr == nil {
			r.fds = append(r.fds, fds...)
		}
	}
	switch {
	case err != nil:
		return max(n, 0), err // n is -1 if the system call failed
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// nextConn removes the oldest descriptor from the queue and returns its connection. It fails with
// errNoDescriptor if the queue is empty.
func (r *descriptorReader) nextConn() (net.Conn, error) {
	if len(r.fds) == 0 {
		return nil, errNoDescriptor
	}
	f := os.NewFile(uintptr(r.fds[0]), "client")
	r.fds = r.fds[1:]
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("opening a transferred connection: %w", err)
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
