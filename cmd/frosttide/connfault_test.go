package main

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// connFault is an error that the next read or write on any connection returns, once. It is stored
// in a file that is removed when the fault is injected.
type connFault struct {
	write bool
	after int // number of bytes that are written before the error
	errno syscall.Errno
}

const (
	readFault  = "read"
	writeFault = "write"
)

// writeTo stores the fault in the file at path, atomically.
func (f connFault) writeTo(t *testing.T, path string) {
	t.Helper()
	op := readFault
	if f.write {
		op = writeFault
	}
	text := fmt.Sprintf("%s %d %d", op, f.after, int(f.errno))
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// takeFault removes and returns the fault in the file at path, if there is one and it is for a
// write or, with write false, for a read.
func takeFault(path string, write bool) (f connFault, ok bool) {
	text, err := os.ReadFile(path)
	if err != nil {
		return f, false
	}
	var op string
	var errno int
	if n, _ := fmt.Sscan(string(text), &op, &f.after, &errno); n != 3 || (op == writeFault) != write {
		return f, false
	}
	f.write, f.errno = write, syscall.Errno(errno)
	return f, os.Remove(path) == nil // only one connection can remove it
}

// faultyConn is a TCP connection whose reads and writes fail with the faults in a file.
type faultyConn struct {
	*net.TCPConn
	path string
}

// withFaults wraps a TCP connection in a faultyConn.
func withFaults(c net.Conn, path string) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &faultyConn{TCPConn: tcp, path: path}
	}
	return c
}

// Read reads from the connection. A fault is injected only after data has arrived, which is then
// lost.
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

// Write writes to the connection. An injected fault cuts the write off after the fault's number of
// bytes.
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

// faultyListener wraps each connection that it accepts in a faultyConn.
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
