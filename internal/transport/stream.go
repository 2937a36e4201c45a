package transport

import (
	"time"

	"storj.io/drpc"

	"frosttide/internal/protocol"
)

// stream is either end of a drpc stream.
type stream interface {
	Send(*protocol.Envelope) error
	Recv() (*protocol.Envelope, error)
}

// flusher is implemented by the library's streams that collect messages until they are flushed.
type flusher interface{ RawFlush() error }

// serveLink reads and writes the stream of a link until it breaks.
func (t *Transport) serveLink(l *link, s stream) {
	t.running.Go(func() { t.writeLoop(l, s) })
	t.readLoop(l, s)
	t.removeLink(l)
}

// readLoop passes the messages of a stream to the handler, until it breaks.
func (t *Transport) readLoop(l *link, s stream) {
	for {
		e, err := s.Recv()
		if err != nil {
			return
		}
		l.touch()
		if h := e.GetHello(); h != nil {
			l.incarnation.Store(h.GetIncarnation())
			continue
		}
		t.cfg.Handle(l.address, e)
	}
}

// writeLoop writes the hello and then what is queued, many messages with one flush, until the stream breaks or the link
// ends or is idle.
func (t *Transport) writeLoop(l *link, s stream) {
	defer l.terminate()
	hello := &protocol.Hello{Address: t.cfg.Address, Role: t.cfg.Role, Incarnation: t.cfg.Incarnation}
	if err := s.Send(&protocol.Envelope{Body: &protocol.Envelope_Hello{Hello: hello}}); err != nil {
		return
	}
	flush := flushFunc(s)
	idle := time.NewTicker(idleTimeout)
	defer idle.Stop()
	for {
		for _, e := range l.drain() {
			if err := s.Send(e); err != nil {
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

// flushFunc returns the function that flushes a stream; it does nothing for streams that send each message at once.
func flushFunc(s stream) func() error {
	if holder, ok := s.(interface{ GetStream() drpc.Stream }); ok {
		if f, ok := holder.GetStream().(flusher); ok {
			return f.RawFlush
		}
	}
	return func() error { return nil }
}
