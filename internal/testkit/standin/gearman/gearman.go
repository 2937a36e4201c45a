// Package gearman plays Gearman's clients and workers, for tests and rigs.
//
// Source: the protocol's description in the documents of gearmand.
package gearman

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"frosttide/internal/dispatcher/gearman/proto"
)

// maxPacket bounds what a peer reads.
const maxPacket = 16 << 20

// Peer is one connection to a job server.
type Peer struct {
	net.Conn
	in *proto.Reader
	by time.Time
}

// Dial connects; all that the peer does has to be done by the deadline. With a
// configuration it speaks TLS.
func Dial(addr string, by time.Time, secure *tls.Config) (*Peer, error) {
	d := net.Dialer{Deadline: by}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if secure != nil {
		c = tls.Client(c, secure)
	}
	if err := c.SetDeadline(by); err != nil {
		return nil, err
	}
	return &Peer{Conn: c, in: proto.NewPeerReader(c, maxPacket), by: by}, nil
}

// Send writes a packet; arguments are texts.
func (p *Peer) Send(kind proto.Type, args ...string) error {
	parts := make([][]byte, len(args))
	for i, a := range args {
		parts[i] = []byte(a)
	}
	_, err := p.Write(proto.AppendRequest(nil, kind, parts...))
	return err
}

// Got is a packet as a test compares it.
type Got struct {
	Type proto.Type
	Args []string
}

// String returns the packet's type and arguments, for the messages of failed tests.
func (g Got) String() string { return fmt.Sprintf("%s %q", g.Type, g.Args) }

// Next reads a packet.
func (p *Peer) Next() (Got, error) {
	packet, err := p.in.Next()
	if err != nil {
		return Got{}, err
	}
	g := Got{Type: packet.Type}
	for _, a := range packet.Args {
		g.Args = append(g.Args, string(a))
	}
	return g, nil
}

// Want reads packets up to the first of a kind, and returns that.
func (p *Peer) Want(kind proto.Type) (Got, error) {
	var seen []Got
	for {
		g, err := p.Next()
		if err != nil {
			return g, fmt.Errorf("no %s after %v: %w", kind, seen, err)
		}
		if g.Type == kind {
			return g, nil
		}
		seen = append(seen, g)
	}
}

// Job is what a worker was assigned.
type Job struct{ Handle, Function, Unique, Workload string }

// Announce tells what a worker can do.
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

// Grab asks for a job until there is one, sleeping between as workers do.
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
			return Job{}, fmt.Errorf("a worker that grabs got %s", g)
		}
	}
}
