package quorum

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"frosttide/internal/dispatcher/fleet/clusterport"
)

// serverAddress returns a member's address in the log's configuration, DISK@HOST:PORT. Raft
// requests votes by address alone, and a member that returns with another disk has the same host
// and port. With the disk in the address, such a member cannot vote for a candidate in place of
// the disk that acknowledged entries.
func serverAddress(disk, addr string) raft.ServerAddress {
	return raft.ServerAddress(disk + "@" + addr)
}

// withoutDisk returns the host and port of a server address.
func withoutDisk(a raft.ServerAddress) string {
	if _, addr, ok := strings.Cut(string(a), "@"); ok {
		return addr
	}
	return string(a)
}

// noDiskID is the disk ID of a member without a disk.
const noDiskID = "0000000000000000"

// streamLayer implements raft.StreamLayer on the cluster's port.
type streamLayer struct {
	net.Listener
	port *clusterport.Port
	disk string
}

// Dial connects to another member; Raft passes a duration rather than a context.
func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	disk, at, ok := strings.Cut(string(addr), "@")
	if !ok || len(disk) != len(noDiskID) {
		return nil, fmt.Errorf("cluster: %q names no disk", addr)
	}
	return s.port.Dial(ctx, clusterport.Log, at, []byte(disk)...)
}

// Accept returns the next connection. One that is meant for another disk fails on its first read.
func (s streamLayer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &diskConn{Conn: c, disk: s.disk}, nil
}

// diskConn is an accepted connection whose preamble must name this member's disk.
type diskConn struct {
	net.Conn
	disk string
	once sync.Once
	err  error
}

var errOtherDisk = errors.New("cluster: meant for another disk")

// preambleTimeout bounds the wait for the preamble.
const preambleTimeout = 2 * time.Second

// Read reads from the connection; errOtherDisk if its preamble names another disk.
func (c *diskConn) Read(b []byte) (int, error) {
	c.once.Do(func() {
		preamble := make([]byte, len(noDiskID))
		if c.err = c.SetReadDeadline(time.Now().Add(preambleTimeout)); c.err == nil {
			_, c.err = io.ReadFull(c.Conn, preamble)
		}
		if c.err == nil {
			c.err = c.SetReadDeadline(time.Time{})
		}
		if c.err == nil && string(preamble) != c.disk {
			c.err = errOtherDisk
		}
	})
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(b)
}
