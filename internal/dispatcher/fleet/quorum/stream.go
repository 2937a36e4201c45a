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

// serverAddress returns a member's address in Raft's configuration, DISK@HOST:PORT. Raft requests
// votes by address alone, and a member that returns with another disk has the same host and port.
// With the disk ID in the address, such a member cannot vote in place of the disk that acknowledged
// entries.
func serverAddress(disk, addr string) raft.ServerAddress {
	return raft.ServerAddress(disk + "@" + addr)
}

// hostPort returns a server address without the disk ID.
func hostPort(a raft.ServerAddress) string {
	if _, addr, ok := strings.Cut(string(a), "@"); ok {
		return addr
	}
	return string(a)
}

// noDiskID is the disk ID in the address of a member without a disk. All disk IDs have its length.
const noDiskID = "0000000000000000"

// streamLayer implements raft.StreamLayer on the cluster port, which also carries other protocols.
// Each connection starts with a preamble that contains the disk ID of the member that is dialed.
type streamLayer struct {
	net.Listener
	port *clusterport.Port
	disk string
}

// Dial connects to the member at addr, DISK@HOST:PORT. Raft passes a timeout rather than a context.
func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	disk, addrPort, ok := strings.Cut(string(addr), "@")
	if !ok || len(disk) != len(noDiskID) {
		return nil, fmt.Errorf("cluster: server address %q has no valid disk ID", addr)
	}
	return s.port.Dial(ctx, clusterport.Log, addrPort, []byte(disk)...)
}

// Accept returns the next connection. Its first read fails if it is addressed to another disk.
func (s streamLayer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &diskConn{Conn: c, disk: s.disk}, nil
}

// diskConn is an accepted connection whose preamble must contain the ID of this member's disk.
type diskConn struct {
	net.Conn
	disk string
	once sync.Once
	err  error
}

// errOtherDisk is returned for a connection that is addressed to another disk of this member.
var errOtherDisk = errors.New("cluster: the connection is addressed to another disk")

// preambleTimeout is how long the first read waits for the preamble.
const preambleTimeout = 2 * time.Second

// Read reads from the connection. The first call reads and checks the preamble; if that fails, Read
// keeps returning its error, which is errOtherDisk for the ID of another disk.
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
