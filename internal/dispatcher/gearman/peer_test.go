package gearman

import (
	"net"
	"time"

	"pgregory.net/rapid"

	"frosttide/internal/dispatcher/gearman/proto"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// workerConn is the connection of a worker whose packets are sent one by one by the test.
type workerConn struct {
	net.Conn
	in *proto.Reader
}

// dial connects to a server, with a deadline of 30 seconds for all reads and writes.
func dial(t *rapid.T, addr string) *workerConn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &workerConn{Conn: c, in: proto.NewPeerReader(c, 64<<10)}
}

// send writes a packet.
func (w *workerConn) send(packetType proto.Type, args ...string) {
	parts := make([][]byte, len(args))
	for i, a := range args {
		parts[i] = []byte(a)
	}
	_, _ = w.Write(proto.AppendRequest(nil, packetType, parts...)) // sync fails after a write error
}

// sync waits until the server has handled all packets sent before. It sets *handle if a job was
// assigned meanwhile.
func (w *workerConn) sync(t *rapid.T, handle *string) {
	w.send(proto.EchoReq, "sync")
	for {
		packet, err := w.in.Next()
		if err != nil {
			t.Fatal(err)
		}
		if packet.Type == proto.JobAssign || packet.Type == proto.JobAssignUniq || packet.Type == proto.JobAssignAll {
			*handle = string(packet.Arg(0))
		}
		if packet.Type == proto.EchoRes {
			return
		}
	}
}
