package wire

import (
	"fmt"

	"frosttide/decision"
)

// Handler receives the decoded records of a batch in their order.
type Handler interface {
	// Provision starts an instance, or restarts it with an empty state. The settings are valid only
	// during the call.
	Provision(instance int, seed uint64, settings []byte)
	// Detach stops an instance immediately.
	Detach(instance int)
	// Event delivers an event to an instance. The handler may retain ev.Members but must not modify
	// it, as other events share it.
	Event(instance int, ev *decision.Event)
}

// Decoder decodes batches. It keeps the numbered worker lists, which events of the same and of
// later batches refer to. The zero value has no lists and is ready for use.
type Decoder struct {
	lists   [maxMemberLists][]decision.Member
	defined [maxMemberLists]bool
}

// Decode passes all records of a batch to h. The error for a malformed record names the batch, the
// record and its position in the frame. The records before it have been passed to h by then; the
// caller must discard them.
func (d *Decoder) Decode(b Batch, h Handler) error {
	c := cursor{data: b.Body}
	for i := 0; i < b.Records; i++ {
		start := c.offset
		if err := d.decodeRecord(&c, h); err != nil {
			return fmt.Errorf("batch %d, record %d at byte %d: %w", b.Seq, i, batchHeaderSize+start, err)
		}
	}
	if trailing := len(c.data) - c.offset; trailing > 0 {
		return fmt.Errorf("batch %d: %d bytes follow the last of %d records", b.Seq, trailing, b.Records)
	}
	return nil
}

// decodeRecord decodes one record and passes it to h. A worker list is stored in the Decoder
// instead.
func (d *Decoder) decodeRecord(c *cursor, h Handler) error {
	code := c.u16()
	if code == eventMemberList {
		return d.decodeMemberList(c)
	}
	instance := int(c.u16())
	switch code {
	case eventProvision:
		seed, settings := c.u64(), c.countedItems(1)
		if c.truncated {
			return errTruncated
		}
		h.Provision(instance, seed, settings)
		return nil
	case eventDetach:
		if c.truncated {
			return errTruncated
		}
		h.Detach(instance)
		return nil
	case eventPeerMessage: // instances share no state, so messages between them are ignored
		c.u16()
		c.next(int(c.u16()))
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

// decodeEvent decodes the rest of an event record, after its code and instance.
func (d *Decoder) decodeEvent(code uint16, c *cursor, ev *decision.Event) error {
	switch code {
	case eventMembers:
		return d.decodeMembersEvent(c, ev)
	case eventRequestArrived:
		decodeRequestArrived(c, ev)
	case eventAttemptEnded:
		return decodeAttemptEnded(c, ev)
	case eventAttemptProgress:
		return decodeAttemptProgress(c, ev)
	case eventAttemptAccepted:
		ev.Type, ev.Request = decision.AttemptAccepted, decision.RequestID(c.u32())
		ev.Attempt, ev.Worker = int(c.u16()), decision.WorkerID(c.u32())
		c.u32() // a time, not used
	case eventRequestCanceled:
		ev.Type, ev.Request = decision.RequestCanceled, decision.RequestID(c.u32())
	case eventTimerFired:
		ev.Type, ev.Token = decision.TimerFired, c.u32()
	case eventProbeEnded:
		ev.Type, ev.Worker = decision.ProbeEnded, decision.WorkerID(c.u32())
		resultCode := c.u16()
		c.u32() // a time, not used
		return decodeLoadAndOutcome(c, resultCode, ev)
	default:
		if c.truncated {
			return errTruncated
		}
		return fmt.Errorf("unknown event code %d", code)
	}
	return nil
}

// decodeMemberList decodes a numbered worker list and replaces the earlier list with that number.
func (d *Decoder) decodeMemberList(c *cursor) error {
	number := c.u8()
	data := c.countedItems(memberRecordSize)
	if c.truncated {
		return errTruncated
	}
	if int(number) >= maxMemberLists {
		return fmt.Errorf("list number %d is out of range", number)
	}
	members := make([]decision.Member, 0, len(data)/memberRecordSize)
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

// decodeMembersEvent decodes an event about the membership, which refers to a worker list by
// number.
func (d *Decoder) decodeMembersEvent(c *cursor, ev *decision.Event) error {
	number, kind := c.u8(), c.u8()
	c.u64()
	if c.truncated {
		return errTruncated
	}
	switch kind {
	case 0:
		ev.Type = decision.MembersChanged
	case 1, 3:
		ev.Type = decision.MembersReplaced
	case 4:
		ev.Type = decision.MembersFailed
		return nil
	default:
		return fmt.Errorf("unknown kind %d of a worker list event", kind)
	}
	if int(number) >= maxMemberLists || !d.defined[number] {
		return fmt.Errorf("worker list %d was never defined", number)
	}
	ev.Members = d.lists[number]
	return nil
}

// decodeRequestArrived decodes the arrival of a request. Of the flags, bit 0 says that there is a
// hint of the run time, and bit 1 that the request is a client's retry.
func decodeRequestArrived(c *cursor, ev *decision.Event) {
	ev.Type, ev.Request = decision.RequestArrived, decision.RequestID(c.u32())
	ev.Deadline, ev.Slots, ev.Key = fromMicros(c.u64()), c.f32(), c.u64()
	ev.Memory, ev.Tenant, ev.Class = c.f32(), int(c.u32()), int(c.u8())
	hint, attrs := fromMicros(uint64(c.u32())), c.u8()
	if attrs&1 != 0 {
		ev.Hint = hint
	}
	ev.Retry = attrs&2 != 0
}

// decodeAttemptEnded decodes the end of an attempt, with its outcome and load report.
func decodeAttemptEnded(c *cursor, ev *decision.Event) error {
	ev.Type, ev.Request = decision.AttemptEnded, decision.RequestID(c.u32())
	ev.Worker, ev.Attempt = decision.WorkerID(c.u32()), int(c.u16())
	c.u8() // specific to the worker family, not used
	resultCode := c.u16()
	ev.RequestClosed = c.u8() != 0
	c.u32() // round-trip time, which package decision measures itself
	return decodeLoadAndOutcome(c, resultCode, ev)
}

// decodeAttemptProgress decodes the event that an attempt has started or made progress.
func decodeAttemptProgress(c *cursor, ev *decision.Event) error {
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
		return fmt.Errorf("unknown kind %d of an attempt progress event", kind)
	}
	return nil
}

// decodeLoadAndOutcome decodes a load report and maps a result code to an outcome, for the ends of
// attempts and of probes. It drops the values of the report after decision.MaxMetrics.
func decodeLoadAndOutcome(c *cursor, resultCode uint16, ev *decision.Event) error {
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
