// Command adapter hosts dispatchers on the protocol of the bench (lbsim): it reads batches of events from standard input
// and writes the actions that answer them to standard output. Every decision is that of package decision. It ends with
// status 0 at the end of its input, and with status 1 and one line on standard error at a malformed batch.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"frosttide/decision"
	"frosttide/internal/dispatcher/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// readBufferSize is the size of the buffer for standard input, in bytes.
const readBufferSize = 1 << 20

// serve answers batches until the input ends. A malformed batch ends it with an error and without any part of a reply.
func serve(in io.Reader, out, log io.Writer) error {
	input := bufio.NewReaderSize(in, readBufferSize)
	var buf bytes.Buffer
	var reply wire.Reply
	var decoder wire.Decoder
	s := server{log: log}
	for {
		batch, err := wire.ReadBatch(input, &buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := decoder.Decode(batch, &s); err != nil {
			return err
		}
		reply.Begin(batch.Seq)
		s.step(batch, &reply)
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// instance is one hosted dispatcher and what the current batch holds for it.
type instance struct {
	dispatcher *decision.Dispatcher // nil where none is provisioned
	events     []decision.Event
	fault      string // why it could not start, to be reported once
	touched    bool   // the current batch names it
}

// server holds the instances by number, and the order in which a batch names them. It is the wire.Handler of batches.
type server struct {
	instances []*instance
	touched   []int
	actions   []decision.Action // of one instance; the memory is reused
	log       io.Writer
}

// instance returns the instance of a number, a new one where it is unknown, and marks it as named by the batch.
func (s *server) instance(n int) *instance {
	for len(s.instances) <= n {
		s.instances = append(s.instances, nil)
	}
	if s.instances[n] == nil {
		s.instances[n] = &instance{}
	}
	in := s.instances[n]
	if !in.touched {
		in.touched = true
		s.touched = append(s.touched, n)
	}
	return in
}

// Provision starts an instance anew; earlier events of the batch for it are dropped. Bad settings become its fault.
func (s *server) Provision(n int, seed uint64, settings []byte) {
	in := s.instance(n)
	in.dispatcher, in.events, in.fault = nil, in.events[:0], ""
	cfg, err := wire.ParseSettings(settings)
	if err == nil {
		in.dispatcher, err = decision.New(cfg, seed)
	}
	if err != nil {
		in.fault = err.Error()
		fmt.Fprintf(s.log, "adapter: instance %d: %v\n", n, err)
	}
}

// Detach ends an instance and drops all that it knew.
func (s *server) Detach(n int) {
	in := s.instance(n)
	in.dispatcher, in.events, in.fault = nil, in.events[:0], ""
}

// Event queues an event for its instance; one for an instance that is not provisioned is logged and dropped.
func (s *server) Event(n int, ev *decision.Event) {
	in := s.instance(n)
	if in.dispatcher == nil {
		fmt.Fprintf(s.log, "adapter: event for instance %d, which is not provisioned, is passed over\n", n)
		return
	}
	in.events = append(in.events, *ev)
}

// step has every instance that the batch names handle its events, in the order of their first records.
func (s *server) step(batch wire.Batch, reply *wire.Reply) {
	for _, n := range s.touched {
		in := s.instances[n]
		s.stepInstance(n, in, batch, reply)
		clear(in.events) // so that lists of workers can be collected
		in.events, in.touched = in.events[:0], false
	}
	s.touched = s.touched[:0]
}

// stepInstance appends what an instance answers to the reply: its fault, or the actions of its dispatcher. A panic of the
// dispatcher becomes its fault and ends it.
func (s *server) stepInstance(n int, in *instance, batch wire.Batch, reply *wire.Reply) {
	if in.fault != "" {
		reply.Fault(n, in.fault)
		in.fault = ""
		return
	}
	if in.dispatcher == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			reply.Fault(n, fmt.Sprint(p))
			in.dispatcher = nil
		}
	}()
	s.actions = in.dispatcher.Step(batch.Clock, in.events, s.actions[:0])
	for i := range s.actions {
		if err := reply.Action(n, &s.actions[i]); err != nil {
			panic(err)
		}
	}
}
