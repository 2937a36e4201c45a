package wire

import (
	"fmt"

	"frosttide/decision"
)

// Handler takes the decoded records of a batch in their order.
type Handler interface {
	// Provision starts an instance anew. The settings text is valid during the call only.
	Provision(instance int, seed uint64, settings []byte)
	// Detach ends an instance at once.
	Detach(instance int)
	// Event brings an event of an instance. Its Members may be kept; they are shared and must not be changed.
	Event(instance int, ev *decision.Event)
}

// Decoder decodes batches. It keeps the numbered lists of workers, to which events of later batches refer. The zero value
// has no lists.
type Decoder struct {
	lists   [maxLists][]decision.Member
	defined [maxLists]bool
}

// Decode passes all records of a batch to h. After an error nothing more of the batch may be used; the error names the
// batch, the record and its position.
func (d *Decoder) Decode(b Batch, h Handler) error {
	c := cursor{data: b.Body}
	for i := 0; i < b.Records; i++ {
		start := c.offset
		if err := d.decodeRecord(&c, h); err != nil {
			return fmt.Errorf("batch %d, record %d at byte %d: %w", b.Seq, i, batchHeader+start, err)
		}
	}
	if rest := len(c.data) - c.offset; rest > 0 {
		return fmt.Errorf("batch %d: %d bytes follow the last of %d records", b.Seq, rest, b.Records)
	}
	return nil
}

// decodeRecord decodes one record and passes it to h. A census defines a numbered list and is passed to nobody.
func (d *Decoder) decodeRecord(c *cursor, h Handler) error {
	code := c.u16()
	if code == evCensus {
		return d.decodeList(c)
	}
	instance := int(c.u16())
	switch code {
	case evProvision:
		seed, settings := c.u64(), c.block(1)
		if c.truncated {
			return errTruncated
		}
		h.Provision(instance, seed, settings)
		return nil
	case evDetach:
		if c.truncated {
			return errTruncated
		}
		h.Detach(instance)
		return nil
	case evMail: // instances share nothing, so a message of a peer is ignored
		c.u16()
		c.take(int(c.u16()))
		if c.truncated {
			return errTruncated
		}
		return nil
	}
	var ev decision.Event
	if err := d.decodeEvent(code, c, &ev); err != nil {
		return err
	}
	if c.truncated {
		return errTruncated
	}
	h.Event(instance, &ev)
	return nil
}

// decodeEvent decodes the record of a code, which is one of an event, after its instance.
func (d *Decoder) decodeEvent(code uint16, c *cursor, ev *decision.Event) error {
	switch code {
	case evFleet:
		return d.decodeMembers(c, ev)
	case evArrival:
		decodeArrival(c, ev)
	case evResponse:
		return decodeResponse(c, ev)
	case evInterim:
		return decodeInterim(c, ev)
	case evAccepted:
		ev.Type, ev.Request = decision.AttemptAccepted, decision.RequestID(c.u32())
		ev.Attempt, ev.Worker = int(c.u16()), decision.WorkerID(c.u32())
		c.u32() // a time that is not used
	case evClientLeft:
		ev.Type, ev.Request = decision.RequestCanceled, decision.RequestID(c.u32())
	case evBell:
		ev.Type, ev.Token = decision.TimerFired, c.u32()
	case evProbeDone:
		ev.Type, ev.Worker = decision.ProbeEnded, decision.WorkerID(c.u32())
		resultCode := c.u16()
		c.u32() // a time that is not used
		return decodeOutcome(c, resultCode, ev)
	default:
		if c.truncated {
			return errTruncated
		}
		return fmt.Errorf("unknown event code %d", code)
	}
	return nil
}

// decodeList decodes a census: a numbered list of workers, which replaces an earlier one of the number.
func (d *Decoder) decodeList(c *cursor) error {
	number := c.u8()
	data := c.block(memberSize)
	if c.truncated {
		return errTruncated
	}
	if int(number) >= maxLists {
		return fmt.Errorf("list number %d is out of range", number)
	}
	members := make([]decision.Member, 0, len(data)/memberSize)
	for in := (cursor{data: data}); in.offset < len(data); {
		m := decision.Member{Worker: decision.WorkerID(in.u32()), Zone: int(in.u16()), Kind: int(in.u16()),
			Cell: int(in.u16())}
		state := in.u8()
		m.Weight, m.StartedAt = in.f32(), fromMicros(in.u64())
		switch state {
		case 0:
			m.State = decision.Ready
		case 1:
			m.State = decision.Removed
		case 2:
			m.State = decision.Draining
		default:
			return fmt.Errorf("list %d: worker %d has the unknown state %d", number, m.Worker, state)
		}
		members = append(members, m)
	}
	d.lists[number], d.defined[number] = members, true
	return nil
}

// decodeMembers decodes an event on the list of workers, which names a numbered list.
func (d *Decoder) decodeMembers(c *cursor, ev *decision.Event) error {
	number, form := c.u8(), c.u8()
	c.u64()
	if c.truncated {
		return errTruncated
	}
	switch form {
	case 0:
		ev.Type = decision.MembersChanged
	case 1, 3:
		ev.Type = decision.MembersReplaced
	case 4:
		ev.Type = decision.MembersFailed
		return nil
	default:
		return fmt.Errorf("unknown form %d of a worker list", form)
	}
	if int(number) >= maxLists || !d.defined[number] {
		return fmt.Errorf("worker list %d was never defined", number)
	}
	ev.Members = d.lists[number]
	return nil
}

// decodeArrival decodes the arrival of a request.
func decodeArrival(c *cursor, ev *decision.Event) {
	ev.Type, ev.Request = decision.RequestArrived, decision.RequestID(c.u32())
	ev.Deadline, ev.Slots, ev.Key = fromMicros(c.u64()), c.f32(), c.u64()
	ev.Memory, ev.Tenant, ev.Class = c.f32(), int(c.u32()), int(c.u8())
	hint, attrs := fromMicros(uint64(c.u32())), c.u8()
	if attrs&1 != 0 {
		ev.Hint = hint
	}
	ev.Retry = attrs&2 != 0
}

// decodeResponse decodes the end of an attempt.
func decodeResponse(c *cursor, ev *decision.Event) error {
	ev.Type, ev.Request = decision.AttemptEnded, decision.RequestID(c.u32())
	ev.Worker, ev.Attempt = decision.WorkerID(c.u32()), int(c.u16())
	c.u8() // a mark of the workers' family, which is not used
	resultCode := c.u16()
	ev.RequestClosed = c.u8() != 0
	c.u32() // the round-trip time, which the module measures itself
	return decodeOutcome(c, resultCode, ev)
}

// decodeInterim decodes the start or the progress of an attempt.
func decodeInterim(c *cursor, ev *decision.Event) error {
	ev.Request, ev.Worker = decision.RequestID(c.u32()), decision.WorkerID(c.u32())
	kind := c.u8()
	ev.Attempt, ev.Progress = int(c.u16()), c.f32()
	switch {
	case c.truncated:
		return errTruncated
	case kind == 1:
		ev.Type = decision.AttemptStarted
	case kind == 2:
		ev.Type = decision.AttemptProgressed
	default:
		return fmt.Errorf("unknown note %d on an attempt", kind)
	}
	return nil
}

// decodeOutcome decodes a load report and maps a result code; the ends of attempts and of probes have both.
func decodeOutcome(c *cursor, resultCode uint16, ev *decision.Event) error {
	count := int(c.u8())
	for i := range count {
		value := c.f32()
		if i < decision.MaxMetrics {
			ev.Load[i] = float32(value)
		}
	}
	ev.LoadCount = uint8(min(count, decision.MaxMetrics))
	if c.truncated {
		return errTruncated
	}
	switch resultCode {
	case 0:
		ev.Outcome = decision.Served
	case 1:
		ev.Outcome = decision.Canceled
	case 4:
		ev.Outcome = decision.TimedOut
	case 8:
		ev.Outcome = decision.Rejected
	case 9:
		ev.Outcome = decision.NotSent
	case 10:
		ev.Outcome = decision.ConnReset
	case 13:
		ev.Outcome = decision.Errored
	case 14:
		ev.Outcome = decision.ConnectFailed
	default:
		return fmt.Errorf("unknown outcome %d", resultCode)
	}
	return nil
}
