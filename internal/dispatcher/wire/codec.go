// Package wire speaks the binary wire of the bench: it decodes batches of
// events and settings into the library's terms and encodes its actions.
// It decides nothing.
package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"frosttide/decision"
)

// Sizes of the fixed parts of the wire, in bytes.
const (
	batchHeader = 20
	replyHeader = 8
	memberSize  = 23
	minRecord   = 4
	maxLists    = 16
)

// Event codes.
const (
	evDetach     = 256
	evAccepted   = 257
	evBell       = 258
	evResponse   = 259
	evProbeDone  = 260
	evCensus     = 261
	evInterim    = 262
	evClientLeft = 263
	evArrival    = 264
	evProvision  = 265
	evMail       = 266
	evFleet      = 267
)

// Action codes.
const (
	acIssue        = 256
	acSayNo        = 259
	acRespondError = 261
	acResolve      = 262
	acBug          = 263
	acWakeMe       = 264
	acCancel       = 265
	acProbe        = 266
	acKeepInformed = 267
)

// Batch is one frame of events, not yet decoded.
type Batch struct {
	Records int
	Clock   time.Duration
	Seq     uint32
	Body    []byte
}

// ReadBatch reads the next frame into buf and returns it; the batch is valid
// until buf is used again. It returns io.EOF at the end of input between
// frames, and an error that names the fault for anything malformed. Memory
// grows with what has arrived, never with what a header claims.
func ReadBatch(r io.Reader, buf *bytes.Buffer) (Batch, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("frame header cut off after %d of %d bytes: %w", n, batchHeader, err)
	}
	le := binary.LittleEndian
	records, size := le.Uint32(head[0:]), le.Uint32(head[4:])
	b := Batch{Records: int(records), Clock: fromMicros(le.Uint64(head[8:])), Seq: le.Uint32(head[16:])}
	if size < batchHeader {
		return Batch{}, fmt.Errorf("batch %d: frame length %d is less than its header", b.Seq, size)
	}
	body := int64(size) - batchHeader
	if int64(records)*minRecord > body {
		return Batch{}, fmt.Errorf("batch %d: %d records cannot fit in %d bytes", b.Seq, records, body)
	}
	buf.Reset()
	if n, err := io.CopyN(buf, r, body); err != nil {
		return Batch{}, fmt.Errorf("batch %d: body cut off after %d of %d bytes: %w", b.Seq, n, body, err)
	}
	b.Body = buf.Bytes()
	return b, nil
}

// Handler takes the decoded records of a batch in their order.
type Handler interface {
	// Provision starts an instance. The settings text is valid during the call.
	Provision(instance int, seed uint64, settings []byte)
	// Detach kills an instance.
	Detach(instance int)
	// Event hands over an event for an instance. Members may be kept; they
	// are shared and must not be changed.
	Event(instance int, ev *decision.Event)
}

// Decoder decodes batches. It holds the numbered worker lists, which outlive
// a batch.
type Decoder struct {
	lists   [maxLists][]decision.Member
	defined [maxLists]bool
}

// Decode hands all records of a batch to h. On an error nothing more of the
// batch may be used.
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

func (d *Decoder) decodeRecord(c *cursor, h Handler) error {
	code := c.u16()
	if code == evCensus {
		return d.decodeList(c)
	}
	who := int(c.u16())
	var ev decision.Event
	switch code {
	case evProvision:
		seed, info := c.u64(), c.block(1)
		if c.truncated {
			return errTruncated
		}
		h.Provision(who, seed, info)
		return nil
	case evDetach:
		if c.truncated {
			return errTruncated
		}
		h.Detach(who)
		return nil
	case evFleet:
		if err := d.decodeMembers(c, &ev); err != nil {
			return err
		}
	case evArrival:
		decodeArrival(c, &ev)
	case evResponse:
		if err := decodeResponse(c, &ev); err != nil {
			return err
		}
	case evInterim:
		if err := decodeInterim(c, &ev); err != nil {
			return err
		}
	case evAccepted:
		ev.Type, ev.Request = decision.AttemptAccepted, decision.RequestID(c.u32())
		ev.Attempt, ev.Worker = int(c.u16()), decision.WorkerID(c.u32())
		c.u32()
	case evClientLeft:
		ev.Type, ev.Request = decision.RequestCanceled, decision.RequestID(c.u32())
	case evBell:
		ev.Type, ev.Token = decision.TimerFired, c.u32()
	case evProbeDone:
		ev.Type, ev.Worker = decision.ProbeEnded, decision.WorkerID(c.u32())
		rc := c.u16()
		c.u32()
		if err := decodeOutcome(c, rc, &ev); err != nil {
			return err
		}
	case evMail: // instances share nothing, so word from a peer is passed over
		c.u16()
		c.take(int(c.u16()))
		if c.truncated {
			return errTruncated
		}
		return nil
	default:
		if c.truncated {
			return errTruncated
		}
		return fmt.Errorf("unknown event code %d", code)
	}
	if c.truncated {
		return errTruncated
	}
	h.Event(who, &ev)
	return nil
}

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

func decodeResponse(c *cursor, ev *decision.Event) error {
	ev.Type, ev.Request = decision.AttemptEnded, decision.RequestID(c.u32())
	ev.Worker, ev.Attempt = decision.WorkerID(c.u32()), int(c.u16())
	c.u8() // the family note
	rc := c.u16()
	ev.RequestClosed = c.u8() != 0
	c.u32() // the round-trip time: the module keeps its own
	return decodeOutcome(c, rc, ev)
}

func decodeInterim(c *cursor, ev *decision.Event) error {
	ev.Request, ev.Worker = decision.RequestID(c.u32()), decision.WorkerID(c.u32())
	sort := c.u8()
	ev.Attempt, ev.Progress = int(c.u16()), c.f32()
	switch {
	case c.truncated:
		return errTruncated
	case sort == 1:
		ev.Type = decision.AttemptStarted
	case sort == 2:
		ev.Type = decision.AttemptProgressed
	default:
		return fmt.Errorf("unknown note %d on an attempt", sort)
	}
	return nil
}

// decodeOutcome reads a load report and maps a result code; both stand in results
// of attempts and of probes.
func decodeOutcome(c *cursor, rc uint16, ev *decision.Event) error {
	n := int(c.u8())
	for i := range n {
		v := c.f32()
		if i < decision.MaxMetrics {
			ev.Load[i] = float32(v)
		}
	}
	ev.LoadCount = uint8(min(n, decision.MaxMetrics))
	if c.truncated {
		return errTruncated
	}
	switch rc {
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
		return fmt.Errorf("unknown outcome %d", rc)
	}
	return nil
}

var errTruncated = errors.New("the frame ends inside it")

// cursor reads little-endian fields. Reading past the end sets short and
// yields zeros, so that a record is checked once, at its end.
type cursor struct {
	data      []byte
	offset    int
	truncated bool
}

func (c *cursor) take(n int) []byte {
	if n > len(c.data)-c.offset {
		c.truncated = true
		return zeros[:min(n, len(zeros))]
	}
	c.offset += n
	return c.data[c.offset-n : c.offset]
}

// block reads a u32 count and that many items of the given size.
func (c *cursor) block(size int) []byte {
	n := int64(c.u32())
	if n*int64(size) > int64(len(c.data)-c.offset) {
		c.truncated = true
		return nil
	}
	return c.take(int(n) * size)
}

var zeros [8]byte

func (c *cursor) u8() uint8    { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float64 { return float64(math.Float32frombits(c.u32())) }

// fromMicros converts clock microseconds; a value past what a Duration holds
// becomes the largest one.
func fromMicros(us uint64) time.Duration {
	const maxMicros = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(us, uint64(maxMicros))) * time.Microsecond
}
