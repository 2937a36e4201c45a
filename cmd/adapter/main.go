// Command adapter runs dispatchers under the lbsim benchmark: it reads batches of events in lbsim's
// wire format from standard input and writes the dispatchers' actions to standard output. All
// decisions are made by package decision. It exits with status 0 at the end of its input, and with
// status 1 and one line on standard error after a malformed batch.
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

// readBufferSize is the size of the read buffer for standard input, in bytes.
const readBufferSize = 1 << 20

// serve answers batches until the input ends. It fails at a malformed batch, for which no part of a
// reply is written.
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

// instance is a hosted dispatcher together with its events of the current batch.
type instance struct {
	dispatcher *decision.Dispatcher // nil if not provisioned
	events     []decision.Event
	fault      string // why provisioning failed; reported once
	touched    bool   // the current batch has a record for it
}

// server holds the instances and implements wire.Handler for the records of a batch.
type server struct {
	instances []*instance       // by number; nil if never named
	touched   []int             // numbers in the order of their first record in the batch
	actions   []decision.Action // scratch buffer for the actions of one instance
	log       io.Writer
}

// instance returns the instance with a number, creating it if necessary, and marks it as touched by
// the current batch.
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

// Provision starts or restarts an instance with a seed and JSON settings. Earlier events of the
// batch for it are dropped. Invalid settings are logged and reported as the instance's fault.
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

// Detach stops an instance and discards its state.
func (s *server) Detach(n int) {
	in := s.instance(n)
	in.dispatcher, in.events, in.fault = nil, in.events[:0], ""
}

// Event queues an event for an instance. An event for an instance that is not provisioned is logged
// and dropped.
func (s *server) Event(n int, ev *decision.Event) {
	in := s.instance(n)
	if in.dispatcher == nil {
		fmt.Fprintf(s.log, "adapter: dropping an event for instance %d, which is not provisioned\n", n)
		return
	}
	in.events = append(in.events, *ev)
}

// step makes every instance with a record in the batch handle its events, in the order of the
// instances' first records.
func (s *server) step(batch wire.Batch, reply *wire.Reply) {
	for _, n := range s.touched {
		in := s.instances[n]
		s.stepInstance(n, in, batch, reply)
		clear(in.events) // release the worker lists to the garbage collector
		in.events, in.touched = in.events[:0], false
	}
	s.touched = s.touched[:0]
}

// stepInstance appends an instance's fault or the actions of its dispatcher to the reply. A panic
// of the dispatcher is reported as a fault and stops the instance.
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
