package gearman

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/gearman/proto"
	"frosttide/internal/mailbox"
)

const (
	// maxUnwrittenBytes bounds what waits to be written to a connection. A peer that does not read
	// is disconnected, which protects memory.
	maxUnwrittenBytes = 1 << 20
	// writeTimeout bounds one write.
	writeTimeout = 10 * time.Second
	// maxFunctions bounds the abilities of one worker.
	maxFunctions = 1000
	// maxOpenJobs bounds the open jobs of a client on one connection.
	maxOpenJobs = 1000
	// maxNameBytes bounds a function's name, a unique id, and a client's id.
	maxNameBytes = 256
)

// session is the actor of one connection, which may be a client's, a worker's or both. One
// goroutine runs the actor, another reads packets one at a time, a third writes.
type session struct {
	server     *Server
	number     uint64
	conn       net.Conn
	mailbox    *mailbox.Box[func(*session)]
	read       chan proto.Packet // a packet's arguments are valid until readNext is sent
	readNext   chan struct{}
	readErrors chan error
	stopped    bool // the actor has ended

	endMu sync.Mutex // guards ended
	ended bool       // no message is accepted any more

	outMu      sync.Mutex // guards out and broken; never held during I/O
	out        []byte
	broken     bool
	writeReady chan struct{}

	view       atomic.Pointer[workerView] // what other goroutines may see of the worker
	exceptions bool                       // the client wants WORK_EXCEPTION
	openJobs   map[string]bool            // of a client, by handle
	worker     worker
}

// newSession returns the session of a connection; run starts it.
func newSession(s *Server, number uint64, c net.Conn) *session {
	return &session{server: s, number: number, conn: c, mailbox: mailbox.New[func(*session)](), read: make(chan proto.Packet),
		readNext: make(chan struct{}, 1), readErrors: make(chan error, 1), writeReady: make(chan struct{}, 1), openJobs: map[string]bool{},
		worker: worker{functions: map[string]bool{}}}
}

// run is the loop of the actor; it ends with the connection and stops the other goroutines.
func (x *session) run() {
	stop := make(chan struct{})
	go x.readLoop(stop)
	go x.writeLoop(stop)
	defer close(stop)
	defer x.end()
	var mail []func(*session)
	for {
		select {
		case p := <-x.read:
			err := x.handlePacket(&p)
			x.readNext <- struct{}{}
			if err != nil {
				return
			}
		case err := <-x.readErrors:
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				x.server.log.WithError(err).WithField("peer", x.conn.RemoteAddr().String()).Debug("gearman connection ends")
			}
			return
		case <-x.worker.offerTimeout():
			x.offerTimedOut()
		case <-x.mailbox.Ready():
			mail = x.mailbox.Drain(mail[:0])
			for i, message := range mail {
				message(x)
				mail[i] = nil
			}
		}
	}
}

// readLoop passes packets to the actor, each after the actor is done with the one before, so that
// a peer that floods slows down only itself.
func (x *session) readLoop(stop <-chan struct{}) {
	in := proto.NewReader(x.conn, x.server.cfg.MaxPacketBytes)
	for {
		p, err := in.Next()
		if err != nil {
			x.readErrors <- err
			return
		}
		select {
		case x.read <- p:
		case <-stop:
			return
		}
		select {
		case <-x.readNext:
		case <-stop:
			return
		}
	}
}

// writeLoop writes what is queued, and closes the connection after an error or an overflow.
func (x *session) writeLoop(stop <-chan struct{}) {
	for {
		select {
		case <-x.writeReady:
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
		_ = x.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := x.conn.Write(text); err != nil {
			x.conn.Close() // the read loop fails then and ends the session
			return
		}
	}
}

// send queues a packet for writing.
func (x *session) send(kind proto.Type, args ...[]byte) {
	x.outMu.Lock()
	if x.broken = x.broken || len(x.out) > maxUnwrittenBytes; !x.broken {
		x.out = proto.Append(x.out, kind, args...)
	}
	x.outMu.Unlock()
	x.signalWriter()
}

// sendLine queues a line of the administrative protocol, within the same limit.
func (x *session) sendLine(line string) {
	x.outMu.Lock()
	if x.broken = x.broken || len(x.out) > maxUnwrittenBytes; !x.broken {
		x.out = append(x.out, line...)
	}
	x.outMu.Unlock()
	x.signalWriter()
}

// signalWriter wakes the write loop.
func (x *session) signalWriter() {
	select {
	case x.writeReady <- struct{}{}:
	default:
	}
}

// sendError sends an ERROR packet; the connection stays open.
func (x *session) sendError(code, text string) { x.send(proto.Error, []byte(code), []byte(text)) }

var errLimitExceeded = errors.New("a bound is passed")

// handlePacket handles one packet. An error ends the connection.
func (x *session) handlePacket(p *proto.Packet) error {
	switch p.Type {
	case 0:
		x.admin(p.Line)
	case proto.EchoReq:
		x.send(proto.EchoRes, p.Arg(0))
	case proto.OptionReq:
		if string(p.Arg(0)) != "exceptions" {
			x.sendError("unknown_option", "only exceptions is known")
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
		x.server.mailbox.Put(func(s *Server) { s.status(x, handle) })
	case proto.GetStatusUnique:
		unique := string(p.Arg(0))
		x.server.mailbox.Put(func(s *Server) { s.statusUnique(x, unique) })
	case proto.SubmitJobSched, proto.SubmitJobEpoch, proto.SubmitReduceJob, proto.SubmitReduceJobBg:
		x.sendError("not_supported", p.Type.String()+" is not supported")
	case proto.AllYours: // no effect: there is only this server
	default:
		return x.handleWorkerPacket(p)
	}
	return nil
}

// end releases all that the connection holds; nothing else does.
func (x *session) end() {
	x.stopped = true
	x.conn.Close()
	x.releaseWorker()
	x.server.removeSession(x)
	x.server.mailbox.Put(func(s *Server) { s.clientLeft(x) })
	x.endMu.Lock()
	x.ended = true
	x.endMu.Unlock()
	for _, message := range x.mailbox.Drain(nil) {
		message(x) // attempts that are still queued end here
	}
}

// backend is a worker as the core sees it; it implements core.Backend.
type backend struct{ session *session }

// post passes a message to the session; it returns false if that has ended.
func (x *session) post(message func(*session)) bool {
	x.endMu.Lock()
	defer x.endMu.Unlock()
	if !x.ended {
		x.mailbox.Put(message)
	}
	return !x.ended
}

// Send offers an attempt to the worker.
func (b backend) Send(attempt core.Attempt) {
	if !b.session.post(func(x *session) { x.offer(attempt) }) {
		b.session.server.core.AttemptEnded(attempt.Ref, decision.ConnectFailed, nil, core.Delivery{})
	}
}

// Cancel recalls an attempt. If the session has ended, its attempts have ended with it.
func (b backend) Cancel(attempt core.Attempt) {
	if !b.session.post(func(x *session) { x.cancelAttempt(attempt) }) {
		b.session.server.core.AttemptRecalled(attempt.Ref, true)
	}
}

// Probe does nothing: a connected worker is up.
func (b backend) Probe(time.Time) {}

// SetAddress does nothing: the address is that of the connection.
func (b backend) SetAddress(string) {}

// Close does nothing: the session ends with its connection.
func (b backend) Close() {}
