// Package gearman implements a minimal Gearman client and worker for tests and measurements.
//
// It follows the protocol description in the documentation of gearmand.
package gearman

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"frosttide/internal/dispatcher/gearman/proto"
)

// maxPacket is the maximum size in bytes of a packet that a peer reads.
const maxPacket = 16 << 20

// Peer is a connection of a client or worker to a job server. It is not safe for concurrent use.
type Peer struct {
	net.Conn
	reader   *proto.Reader
	deadline time.Time
}

// Dial connects to a job server. The deadline applies to the connection attempt and to all later
// reads and writes. If tlsConfig is not nil, the connection uses TLS.
func Dial(addr string, deadline time.Time, tlsConfig *tls.Config) (*Peer, error) {
	d := net.Dialer{Deadline: deadline}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if tlsConfig != nil {
		c = tls.Client(c, tlsConfig)
	}
	if err := c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	return &Peer{Conn: c, reader: proto.NewPeerReader(c, maxPacket), deadline: deadline}, nil
}

// Send writes a request packet with the given arguments.
func (p *Peer) Send(kind proto.Type, args ...string) error {
	parts := make([][]byte, len(args))
	for i, a := range args {
		parts[i] = []byte(a)
	}
	_, err := p.Write(proto.AppendRequest(nil, kind, parts...))
	return err
}

// Got is a received packet, with its arguments as strings so that tests can compare it.
type Got struct {
	Type proto.Type
	Args []string
}

// String formats the packet's type and arguments for failure messages.
func (g Got) String() string { return fmt.Sprintf("%s %q", g.Type, g.Args) }

// Next reads the next packet. It fails once the deadline has passed.
func (p *Peer) Next() (Got, error) {
	packet, err := p.reader.Next()
	if err != nil {
		return Got{}, err
	}
	g := Got{Type: packet.Type}
	for _, a := range packet.Args {
		g.Args = append(g.Args, string(a))
	}
	return g, nil
}

// Want reads packets until one has the given type, and returns it. Its error lists the packets that
// were skipped.
func (p *Peer) Want(kind proto.Type) (Got, error) {
	var skipped []Got
	for {
		g, err := p.Next()
		if err != nil {
			return g, fmt.Errorf("no packet of type %s after %v: %w", kind, skipped, err)
		}
		if g.Type == kind {
			return g, nil
		}
		skipped = append(skipped, g)
	}
}

// Job is a job that a worker was assigned.
type Job struct{ Handle, Function, Unique, Workload string }

// Announce sends the worker's client ID, unless it is empty, and registers its functions.
func (p *Peer) Announce(id string, functions ...string) error {
	var out bytes.Buffer
	if id != "" {
		out.Write(proto.AppendRequest(nil, proto.SetClientID, []byte(id)))
	}
	for _, f := range functions {
		out.Write(proto.AppendRequest(nil, proto.CanDo, []byte(f)))
	}
	_, err := p.Write(out.Bytes())
	return err
}

// Grab requests a job until it is assigned one. While the queue is empty, it sends PRE_SLEEP and
// waits for a NOOP before the next request, as workers do. It skips NOOP and ERROR packets.
func (p *Peer) Grab() (Job, error) {
	for {
		if err := p.Send(proto.GrabJobUniq); err != nil {
			return Job{}, err
		}
		g, err := p.Next()
		for err == nil && (g.Type == proto.Noop || g.Type == proto.Error) {
			g, err = p.Next()
		}
		if err != nil {
			return Job{}, err
		}
		switch g.Type {
		case proto.JobAssignUniq:
			return Job{g.Args[0], g.Args[1], g.Args[2], g.Args[3]}, nil
		case proto.NoJob:
			if err := p.Send(proto.PreSleep); err != nil {
				return Job{}, err
			}
			if _, err := p.Want(proto.Noop); err != nil {
				return Job{}, err
			}
		default:
			return Job{}, fmt.Errorf("unexpected response to GRAB_JOB_UNIQ: %s", g)
		}
	}
}
