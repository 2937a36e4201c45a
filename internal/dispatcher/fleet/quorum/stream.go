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

// A member's address in the log names the disk that it is meant for, too: DISK@HOST:PORT. The
// engine asks for votes by address alone, and a member that comes back with another disk has
// the same one. Guards what was acknowledged against such a member, which would give its vote
// to one who does not have it.
func serverAddress(disk, addr string) raft.ServerAddress {
	return raft.ServerAddress(disk + "@" + addr)
}

// plain is the address without the disk.
func withoutDisk(a raft.ServerAddress) string {
	if _, addr, ok := strings.Cut(string(a), "@"); ok {
		return addr
	}
	return string(a)
}

// noDisk stands for that of a member without one.
const noDiskID = "0000000000000000"

// streams lets the engine use the port.
type streamLayer struct {
	net.Listener
	port *clusterport.Port
	disk string
}

// Dial connects for the engine, which has no deadlines.
func (s streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(timeout))
	defer cancel()
	disk, at, ok := strings.Cut(string(addr), "@")
	if !ok || len(disk) != len(noDiskID) {
		return nil, fmt.Errorf("cluster: %q names no disk", addr)
	}
	return s.port.Dial(ctx, clusterport.Log, at, []byte(disk)...)
}

// Accept yields connections that are meant for this disk; the others end at their first byte.
func (s streamLayer) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &diskConn{Conn: c, disk: s.disk}, nil
}

// meant is a connection that has to say first which disk it is meant for.
type diskConn struct {
	net.Conn
	disk string
	once sync.Once
	err  error
}

var errOtherDisk = errors.New("cluster: meant for another disk")

// sayTime is how long a connection may take to say it.
const preambleTimeout = 2 * time.Second

func (m *diskConn) Read(b []byte) (int, error) {
	m.once.Do(func() {
		preamble := make([]byte, len(noDiskID))
		if m.err = m.SetReadDeadline(time.Now().Add(preambleTimeout)); m.err == nil {
			_, m.err = io.ReadFull(m.Conn, preamble)
		}
		if m.err == nil {
			m.err = m.SetReadDeadline(time.Time{})
		}
		if m.err == nil && string(preamble) != m.disk {
			m.err = errOtherDisk
		}
	})
	if m.err != nil {
		return 0, m.err
	}
	return m.Conn.Read(b)
}
