package gearman

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/gearman/proto"
	"frosttide/internal/mailbox"
)

const (
	// mostOut bounds what waits to be written to a connection. Guards memory against a
	// peer that does not read: its connection is closed.
	mostOut = 1 << 20
	// writeTime is how long one write may take.
	writeTime = 10 * time.Second
	// mostFunctions bounds what a worker may claim to do.
	mostFunctions = 1000
	// mostOpen bounds the jobs that a client has open on one connection.
	mostOpen = 1000
	// mostName bounds a function's name, a unique id, and a client's id.
	mostName = 256
)

// session is the actor of one connection, which may be a client's, a worker's or both. A
// goroutine reads packets, one at a time, another writes.
type session struct {
	server *Server
	number uint64
	conn   net.Conn
	box    *mailbox.Box[func(*session)]
	read   chan proto.Packet // its arguments are the reader's until next is sent
	next   chan struct{}
	fails  chan error
	over   bool // the actor has ended

	endMu sync.Mutex // guards ended
	ended bool       // nothing more is taken in

	outMu  sync.Mutex // guards out and broken, held for no I/O
	out    []byte
	broken bool
	wakes  chan struct{}

	shown      atomic.Pointer[shown] // what others may see of the worker
	exceptions bool                  // a client that wants WORK_EXCEPTION
	open       map[string]bool       // a client's jobs, by handle
	worker     worker
}

func newSession(s *Server, number uint64, c net.Conn) *session {
	return &session{server: s, number: number, conn: c, box: mailbox.New[func(*session)](), read: make(chan proto.Packet),
		next: make(chan struct{}, 1), fails: make(chan error, 1), wakes: make(chan struct{}, 1), open: map[string]bool{},
		worker: worker{can: map[string]bool{}}}
}

func (x *session) run() {
	stop := make(chan struct{})
	go x.reading(stop)
	go x.writing(stop)
	defer close(stop)
	defer x.end()
	var mail []func(*session)
	for {
		select {
		case p := <-x.read:
			err := x.packet(&p)
			x.next <- struct{}{}
			if err != nil {
				return
			}
		case err := <-x.fails:
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				x.server.log.WithError(err).WithField("peer", x.conn.RemoteAddr().String()).Debug("gearman connection ends")
			}
			return
		case <-x.worker.timer():
			x.late()
		case <-x.box.Ready():
			mail = x.box.Drain(mail[:0])
			for i, message := range mail {
				message(x)
				mail[i] = nil
			}
		}
	}
}

// reading hands packets to the actor, the next one when that is done with the last: a peer
// that floods waits for itself alone.
func (x *session) reading(stop <-chan struct{}) {
	in := proto.NewReader(x.conn, x.server.cfg.Packet)
	for {
		p, err := in.Next()
		if err != nil {
			x.fails <- err
			return
		}
		select {
		case x.read <- p:
		case <-stop:
			return
		}
		select {
		case <-x.next:
		case <-stop:
			return
		}
	}
}

func (x *session) writing(stop <-chan struct{}) {
	for {
		select {
		case <-x.wakes:
		case <-stop:
			return
		}
		x.outMu.Lock()
		text := x.out
		x.out = nil
		broken := x.broken
		x.outMu.Unlock()
		if broken {
			x.conn.Close()
			return
		}
		_ = x.conn.SetWriteDeadline(time.Now().Add(writeTime))
		if _, err := x.conn.Write(text); err != nil {
			x.conn.Close() // the reader sees it too
			return
		}
	}
}

// send writes a packet, later.
func (x *session) send(kind proto.Type, args ...[]byte) {
	x.outMu.Lock()
	if x.broken = x.broken || len(x.out) > mostOut; !x.broken {
		x.out = proto.Append(x.out, kind, args...)
	}
	x.outMu.Unlock()
	x.wake()
}

// say writes a line of the administrative protocol, within the same bound.
func (x *session) say(line string) {
	x.outMu.Lock()
	if x.broken = x.broken || len(x.out) > mostOut; !x.broken {
		x.out = append(x.out, line...)
	}
	x.outMu.Unlock()
	x.wake()
}

func (x *session) wake() {
	select {
	case x.wakes <- struct{}{}:
	default:
	}
}

// wrong answers what can't be done; the connection goes on.
func (x *session) wrong(code, text string) { x.send(proto.Error, []byte(code), []byte(text)) }

var errBound = errors.New("a bound is passed")

// packet acts on one packet. An error ends the connection.
func (x *session) packet(p *proto.Packet) error {
	switch p.Type {
	case 0:
		x.admin(p.Line)
	case proto.EchoReq:
		x.send(proto.EchoRes, p.Arg(0))
	case proto.OptionReq:
		if string(p.Arg(0)) != "exceptions" {
			x.wrong("unknown_option", "only exceptions is known")
			break
		}
		x.exceptions = true
		x.send(proto.OptionRes, p.Arg(0))
	case proto.SubmitJob, proto.SubmitJobHigh, proto.SubmitJobLow:
		return x.submit(p, false)
	case proto.SubmitJobBg, proto.SubmitJobHighBg, proto.SubmitJobLowBg:
		return x.submit(p, true)
	case proto.GetStatus:
		handle := string(p.Arg(0))
		x.server.box.Put(func(s *Server) { s.status(x, handle) })
	case proto.GetStatusUnique:
		unique := string(p.Arg(0))
		x.server.box.Put(func(s *Server) { s.statusUnique(x, unique) })
	case proto.SubmitJobSched, proto.SubmitJobEpoch, proto.SubmitReduceJob, proto.SubmitReduceJobBg:
		x.wrong("not_supported", p.Type.String()+" is not supported")
	case proto.AllYours: // it is the only server anyway
	default:
		return x.work(p)
	}
	return nil
}

// end gives back all that the connection holds; it is the one place where that happens.
func (x *session) end() {
	x.over = true
	x.conn.Close()
	x.lost()
	x.server.gone(x)
	x.server.box.Put(func(s *Server) { s.left(x) })
	x.endMu.Lock()
	x.ended = true
	x.endMu.Unlock()
	for _, message := range x.box.Drain(nil) {
		message(x) // hops that were on their way are given back
	}
}

// target is a worker as the core sees it.
type target struct{ x *session }

// tell hands a message to the session; it reports false if that has ended.
func (x *session) tell(message func(*session)) bool {
	x.endMu.Lock()
	defer x.endMu.Unlock()
	if !x.ended {
		x.box.Put(message)
	}
	return !x.ended
}

func (t target) Send(h core.Attempt) {
	if !t.x.tell(func(x *session) { x.offer(h) }) {
		t.x.server.core.AttemptEnded(h.Ref, decision.ConnectFailed, nil, core.Delivery{})
	}
}

func (t target) Cancel(h core.Attempt) {
	if !t.x.tell(func(x *session) { x.giveUp(h) }) { // its jobs have ended with it
		t.x.server.core.AttemptRecalled(h.Ref, true)
	}
}
func (t target) Probe(time.Time)   {} // a worker that is connected is up
func (t target) SetAddress(string) {}
func (t target) Close()            {}
