// Command adapter hosts dispatchers on the bench's wire: it reads batches of
// events on standard input and writes the actions that answer them on
// standard output. Every decision is the library's.
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

// serve answers batches until the input ends. A malformed batch ends it with
// an error and without any part of a reply.
func serve(in io.Reader, out, log io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	var buf bytes.Buffer
	var reply wire.Reply
	var dec wire.Decoder
	h := server{log: log}
	for {
		batch, err := wire.ReadBatch(r, &buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := dec.Decode(batch, &h); err != nil {
			return err
		}
		reply.Begin(batch.Seq)
		h.step(batch, &reply)
		if _, err := out.Write(reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply to batch %d: %w", batch.Seq, err)
		}
	}
}

// instance is one hosted dispatcher and what the current batch holds for it.
type instance struct {
	dispatcher *decision.Dispatcher
	events     []decision.Event
	fault      string // why it could not start, to be reported once
	touched    bool
}

// server keeps the instances by number and the order in which a batch names them.
type server struct {
	instances []*instance
	touched   []int
	actions   []decision.Action
	log       io.Writer
}

func (h *server) instance(n int) *instance {
	for len(h.instances) <= n {
		h.instances = append(h.instances, nil)
	}
	if h.instances[n] == nil {
		h.instances[n] = &instance{}
	}
	in := h.instances[n]
	if !in.touched {
		in.touched = true
		h.touched = append(h.touched, n)
	}
	return in
}

// Provision starts an instance anew; what came before it is void.
func (h *server) Provision(n int, seed uint64, settings []byte) {
	in := h.instance(n)
	in.dispatcher, in.events, in.fault = nil, in.events[:0], ""
	cfg, err := wire.ParseSettings(settings)
	if err == nil {
		in.dispatcher, err = decision.New(cfg, seed)
	}
	if err != nil {
		in.fault = err.Error()
		fmt.Fprintf(h.log, "adapter: instance %d: %v\n", n, err)
	}
}

// Detach drops an instance and all it knew.
func (h *server) Detach(n int) {
	in := h.instance(n)
	in.dispatcher, in.events, in.fault = nil, in.events[:0], ""
}

// Event queues an event for its instance.
func (h *server) Event(n int, ev *decision.Event) {
	in := h.instance(n)
	if in.dispatcher == nil {
		fmt.Fprintf(h.log, "adapter: event for instance %d, which is not provisioned, is passed over\n", n)
		return
	}
	in.events = append(in.events, *ev)
}

// step lets every instance that the batch named act once.
func (h *server) step(batch wire.Batch, reply *wire.Reply) {
	for _, n := range h.touched {
		in := h.instances[n]
		h.stepInstance(n, in, batch, reply)
		clear(in.events) // lets go of worker lists
		in.events, in.touched = in.events[:0], false
	}
	h.touched = h.touched[:0]
}

func (h *server) stepInstance(n int, in *instance, batch wire.Batch, reply *wire.Reply) {
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
	h.actions = in.dispatcher.Step(batch.Clock, in.events, h.actions[:0])
	for i := range h.actions {
		if err := reply.Action(n, &h.actions[i]); err != nil {
			panic(err)
		}
	}
}
