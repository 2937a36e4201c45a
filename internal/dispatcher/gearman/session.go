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
	// maxUnwrittenBytes limits the bytes queued for writing on a connection. A peer that does not
	// read is disconnected above it, which bounds memory.
	maxUnwrittenBytes = 1 << 20
	// writeTimeout is the deadline of one write to a connection.
	writeTimeout = 10 * time.Second
	// maxFunctions limits the functions that a worker can register.
	maxFunctions = 1000
	// maxOpenJobs limits the open jobs that a client waits for on one connection.
	maxOpenJobs = 1000
	// maxNameBytes limits the length of a function's name, a unique id and a client id.
	maxNameBytes = 256
)

// session is one connection, whose peer may be a client, a worker or both. The goroutine of run
// owns it; a second goroutine reads packets one at a time, and a third writes.
type session struct {
	server        *Server
	number        uint64
	conn          net.Conn
	mailbox       *mailbox.Box[func(*session)]
	packets       chan proto.Packet // a packet's arguments are valid until packetHandled is sent
	packetHandled chan struct{}
	readErrors    chan error
	stopped       bool // teardown has begun; owned by the goroutine of run

	endMu sync.Mutex // guards ended
	ended bool       // post accepts no more messages

	outMu      sync.Mutex // guards out and overflowed; not held during I/O
	out        []byte
	overflowed bool
	writeReady chan struct{}

	view       atomic.Pointer[workerView] // nil until the peer acts as a worker
	exceptions bool                       // the client has requested WORK_EXCEPTION packets
	openJobs   map[string]bool            // jobs that the client waits for, by handle
	worker     worker
}

// newSession returns the session of a connection. The caller starts run.
func newSession(s *Server, number uint64, c net.Conn) *session {
	return &session{server: s, number: number, conn: c, mailbox: mailbox.New[func(*session)](), packets: make(chan proto.Packet),
		packetHandled: make(chan struct{}, 1), readErrors: make(chan error, 1), writeReady: make(chan struct{}, 1), openJobs: map[string]bool{},
		worker: worker{functions: map[string]bool{}}}
}

// run handles packets, messages and timeouts until the connection ends. It then stops the other
// goroutines of the session.
func (sess *session) run() {
	stop := make(chan struct{})
	go sess.readLoop(stop)
	go sess.writeLoop(stop)
	defer close(stop)
	defer sess.teardown()
	var messages []func(*session)
	for {
		select {
		case p := <-sess.packets:
			err := sess.handlePacket(&p)
			sess.packetHandled <- struct{}{}
			if err != nil {
				return
			}
		case err := <-sess.readErrors:
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				sess.server.log.WithError(err).WithField("peer", sess.conn.RemoteAddr().String()).Debug("gearman connection closed after a read error")
			}
			return
		case <-sess.worker.offerTimeout():
			sess.offerTimedOut()
		case <-sess.mailbox.Ready():
			messages = sess.mailbox.Drain(messages[:0])
			for i, message := range messages {
				message(sess)
				messages[i] = nil
			}
		}
	}
}

// readLoop reads packets and passes them to run. It waits until each packet is handled before it
// reads the next, so that a peer which sends too fast is throttled by TCP and delays no other.
func (sess *session) readLoop(stop <-chan struct{}) {
	reader := proto.NewReader(sess.conn, sess.server.cfg.MaxPacketBytes)
	for {
		p, err := reader.Next()
		if err != nil {
			sess.readErrors <- err
			return
		}
		select {
		case sess.packets <- p:
		case <-stop:
			return
		}
		select {
		case <-sess.packetHandled:
		case <-stop:
			return
		}
	}
}

// writeLoop writes the queued bytes. It closes the connection after a write error, or if the peer
// let more than maxUnwrittenBytes accumulate.
func (sess *session) writeLoop(stop <-chan struct{}) {
	for {
		select {
		case <-sess.writeReady:
		case <-stop:
			return
		}
		sess.outMu.Lock()
		pending := sess.out
		sess.out = nil
		overflowed := sess.overflowed
		sess.outMu.Unlock()
		if overflowed {
			sess.conn.Close()
			return
		}
		_ = sess.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := sess.conn.Write(pending); err != nil {
			sess.conn.Close() // readLoop fails then, which ends the session
			return
		}
	}
}

// send queues a packet for writing. It is safe for concurrent use.
func (sess *session) send(packetType proto.Type, args ...[]byte) {
	sess.outMu.Lock()
	if sess.overflowed = sess.overflowed || len(sess.out) > maxUnwrittenBytes; !sess.overflowed {
		sess.out = proto.Append(sess.out, packetType, args...)
	}
	sess.outMu.Unlock()
	sess.signalWriter()
}

// sendLine queues a line of the administrative protocol, under the same limit as send. It is safe
// for concurrent use.
func (sess *session) sendLine(line string) {
	sess.outMu.Lock()
	if sess.overflowed = sess.overflowed || len(sess.out) > maxUnwrittenBytes; !sess.overflowed {
		sess.out = append(sess.out, line...)
	}
	sess.outMu.Unlock()
	sess.signalWriter()
}

// signalWriter wakes writeLoop.
func (sess *session) signalWriter() {
	select {
	case sess.writeReady <- struct{}{}:
	default:
	}
}

// sendError sends an ERROR packet; the connection stays open.
func (sess *session) sendError(code, text string) { sess.send(proto.Error, []byte(code), []byte(text)) }

// errLimitExceeded ends the connection of a worker that exceeds maxFunctions or maxNameBytes.
var errLimitExceeded = errors.New("limit on functions or on the length of their names exceeded")

// handlePacket handles one packet. An error ends the connection.
func (sess *session) handlePacket(p *proto.Packet) error {
	switch p.Type {
	case 0:
		sess.handleAdmin(p.Line)
	case proto.EchoReq:
		sess.send(proto.EchoRes, p.Arg(0))
	case proto.OptionReq:
		if string(p.Arg(0)) != "exceptions" {
			sess.sendError("unknown_option", "only exceptions is known")
			break
		}
		sess.exceptions = true
		sess.send(proto.OptionRes, p.Arg(0))
	case proto.SubmitJob, proto.SubmitJobHigh, proto.SubmitJobLow:
		return sess.handleSubmit(p, false)
	case proto.SubmitJobBg, proto.SubmitJobHighBg, proto.SubmitJobLowBg:
		return sess.handleSubmit(p, true)
	case proto.GetStatus:
		handle := string(p.Arg(0))
		sess.server.mailbox.Put(func(s *Server) { s.sendStatus(sess, handle) })
	case proto.GetStatusUnique:
		unique := string(p.Arg(0))
		sess.server.mailbox.Put(func(s *Server) { s.sendStatusUnique(sess, unique) })
	case proto.SubmitJobSched, proto.SubmitJobEpoch, proto.SubmitReduceJob, proto.SubmitReduceJobBg:
		sess.sendError("not_supported", p.Type.String()+" is not supported")
	case proto.AllYours: // no effect: there is no other job server
	default:
		return sess.handleWorkerPacket(p)
	}
	return nil
}

// teardown closes the connection and releases everything that the session holds. It is the only
// place that does.
func (sess *session) teardown() {
	sess.stopped = true
	sess.conn.Close()
	sess.releaseWorker()
	sess.server.removeSession(sess)
	sess.server.mailbox.Put(func(s *Server) { s.clientLeft(sess) })
	sess.endMu.Lock()
	sess.ended = true
	sess.endMu.Unlock()
	for _, message := range sess.mailbox.Drain(nil) {
		message(sess) // ends the attempts that are still in the mailbox
	}
}

// backend implements core.Backend for the worker of a session.
type backend struct{ session *session }

// post passes a message to the goroutine of run. It returns false if the session has ended. It is
// safe for concurrent use.
func (sess *session) post(message func(*session)) bool {
	sess.endMu.Lock()
	defer sess.endMu.Unlock()
	if !sess.ended {
		sess.mailbox.Put(message)
	}
	return !sess.ended
}

// Send offers an attempt to the worker. If the session has ended, the attempt fails at once.
func (b backend) Send(attempt core.Attempt) {
	if !b.session.post(func(sess *session) { sess.offerAttempt(attempt) }) {
		b.session.server.core.AttemptEnded(attempt.Ref, decision.ConnectFailed, nil, core.Delivery{})
	}
}

// Cancel cancels an attempt. If the session has ended, so have its attempts, and the recall counts
// as confirmed.
func (b backend) Cancel(attempt core.Attempt) {
	if !b.session.post(func(sess *session) { sess.cancelAttempt(attempt) }) {
		b.session.server.core.AttemptRecalled(attempt.Ref, true)
	}
}

// Probe does nothing: a worker is healthy while it is connected, and Gearman has no load report.
func (b backend) Probe(time.Time) {}

// SetAddress does nothing: the address identifies the connection and does not change.
func (b backend) SetAddress(string) {}

// Close does nothing: the session ends when its peer disconnects or the server is closed.
func (b backend) Close() {}
