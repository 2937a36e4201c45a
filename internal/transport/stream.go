package transport

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"
	"storj.io/drpc"

	"frosttide/internal/protocol"
)

// stream is the client's or the server's end of a drpc stream.
type stream interface {
	Send(*protocol.Envelope) error
	Recv() (*protocol.Envelope, error)
}

// flusher is implemented by drpc streams that buffer messages until they are flushed.
type flusher interface{ RawFlush() error }

// readLoop passes the messages that follow the Hello on a link to the handler, until the stream
// fails or a later link from the same address supersedes it.
func (t *Transport) readLoop(l *link, s stream, peer *inboundPeer) {
	defer t.removeLink(l)
	defer t.unregisterReader(peer)
	for {
		e, err := s.Recv()
		if err != nil {
			return
		}
		l.touch()
		if e.GetHello() != nil { // only the first Hello of a link is used
			continue
		}
		replaced, handled := peer.deliver(l, func() { t.cfg.Handle(l.address, e) })
		if !handled {
			return
		}
		if replaced != nil {
			t.goroutines.Go(replaced.terminate) // closing a connection may block
		}
	}
}

// writeLoop writes the Hello and then the queued messages, with one flush for each batch, until the
// stream fails, the link is terminated, or it has been idle for idleTimeout.
func (t *Transport) writeLoop(l *link, s stream) {
	defer l.terminate()
	if err := s.Send(&protocol.Envelope{Body: &protocol.Envelope_Hello{Hello: t.hello(l)}}); err != nil {
		return
	}
	flush := flushFunc(s)
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	for {
		for _, e := range l.drain() {
			if err := send(l, s, e); err != nil {
				return
			}
		}
		if err := flush(); err != nil {
			return
		}
		select {
		case <-l.wakeup:
		case <-l.done:
			return
		case <-idle.C:
			if l.idle() {
				return
			}
		}
	}
}

// send sends a message on a link's stream. A message that can't be encoded is dropped: it is no fault of
// the link, and what is queued behind it is sent.
func send(l *link, s stream, e *protocol.Envelope) error {
	err := s.Send(e)
	if errors.Is(err, proto.Error) {
		klog.ErrorS(err, "Message can't be encoded and is dropped", "to", l.address)
		return nil
	}
	return err
}

// hello returns the Hello that this process sends as the first message on a link.
func (t *Transport) hello(l *link) *protocol.Hello {
	return &protocol.Hello{
		Address:     t.cfg.Address,
		Role:        t.cfg.Role,
		Incarnation: t.cfg.Incarnation,
		Generation:  l.sendGeneration,
	}
}

// flushFunc returns a function that flushes a stream. It is a no-op for streams that do not buffer.
func flushFunc(s stream) func() error {
	if holder, ok := s.(interface{ GetStream() drpc.Stream }); ok {
		if f, ok := holder.GetStream().(flusher); ok {
			return f.RawFlush
		}
	}
	return func() error { return nil }
}
