package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// connFault is what the next read or write of some connection meets, once. It lies in a file, which
// goes when the fault has struck.
type connFault struct {
	write bool
	after int // bytes that are still written
	errno syscall.Errno
}

const (
	readFault  = "read"
	writeFault = "write"
)

// lay puts the fault into a file.
func (f connFault) lay(t *testing.T, path string) {
	t.Helper()
	call := readFault
	if f.write {
		call = writeFault
	}
	text := fmt.Sprintf("%s %d %d", call, f.after, int(f.errno))
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// takeFault takes a fault of a read, or of a write, out of a file, if there is one there.
func takeFault(path string, write bool) (f connFault, ok bool) {
	text, err := os.ReadFile(path)
	if err != nil {
		return f, false
	}
	var call string
	var errno int
	if n, _ := fmt.Sscan(string(text), &call, &f.after, &errno); n != 3 || (call == writeFault) != write {
		return f, false
	}
	f.write, f.errno = write, syscall.Errno(errno)
	return f, os.Remove(path) == nil // one alone takes it
}

// faultyConn is a connection whose reads and writes meet the faults of a file. It is the socket that
// it wraps in all else.
type faultyConn struct {
	*net.TCPConn
	path string
}

func withFaults(c net.Conn, path string) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &faultyConn{TCPConn: tcp, path: path}
	}
	return c
}

// Read fails by a fault once something has come, which is then lost.
func (c *faultyConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 || err != nil {
		return n, err
	}
	if f, ok := takeFault(c.path, false); ok {
		return 0, &net.OpError{Op: readFault, Net: "tcp", Err: os.NewSyscallError(readFault, f.errno)}
	}
	return n, err
}

func (c *faultyConn) Write(p []byte) (int, error) {
	f, ok := takeFault(c.path, true)
	if !ok {
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:min(f.after, len(p))])
	if err == nil {
		err = &net.OpError{Op: writeFault, Net: "tcp", Err: os.NewSyscallError(writeFault, f.errno)}
	}
	return n, err
}

// faultyListener accepts such connections.
type faultyListener struct {
	net.Listener
	path string
}

func (l *faultyListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return withFaults(c, l.path), nil
}
