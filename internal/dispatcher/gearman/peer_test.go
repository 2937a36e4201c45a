package gearman

import (
	"net"
	"time"

	"pgregory.net/rapid"

	"frosttide/internal/dispatcher/gearman/proto"
	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// raw is the connection of a worker that a test scripts packet by packet.
type raw struct {
	net.Conn
	in *proto.Reader
}

func dial(t *rapid.T, addr string) *raw {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &raw{Conn: c, in: proto.NewPeerReader(c, 64<<10)}
}

func (p *raw) write(kind proto.Type, args ...string) {
	parts := make([][]byte, len(args))
	for i, a := range args {
		parts[i] = []byte(a)
	}
	_, _ = p.Write(proto.AppendRequest(nil, kind, parts...)) // an error shows up in sync
}

// sync waits until the server has handled all that was written, and stores the handle of a job that
// was assigned meanwhile.
func (p *raw) sync(t *rapid.T, handle *string) {
	p.write(proto.EchoReq, "mark")
	for {
		packet, err := p.in.Next()
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
