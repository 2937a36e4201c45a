package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"frosttide/decision"
)

// Reply collects the actions that answer one batch: call Begin, then Action and Fault, then Bytes.
type Reply struct{ data []byte }

// Begin empties the reply and starts the one to the batch of a number.
func (r *Reply) Begin(seq uint32) {
	r.data = append(r.data[:0], 0, 0, 0, 0)
	r.data = binary.LittleEndian.AppendUint32(r.data, seq)
}

// Bytes returns the finished frame, valid until the next Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.data, uint32(len(r.data)))
	return r.data
}

// head appends the head of a record.
func (r *Reply) head(code uint16, instance int) {
	r.data = binary.LittleEndian.AppendUint16(r.data, code)
	r.data = binary.LittleEndian.AppendUint16(r.data, uint16(instance))
}

func (r *Reply) u32(v uint32) { r.data = binary.LittleEndian.AppendUint32(r.data, v) }

// Action appends an action of an instance. It returns an error for an unknown type.
func (r *Reply) Action(instance int, a *decision.Action) error {
	switch a.Type {
	case decision.Send:
		r.head(acIssue, instance)
		r.u32(uint32(a.Request))
		r.u32(toMicros32(a.After))
		r.u32(uint32(a.Worker))
	case decision.Cancel:
		r.head(acCancel, instance)
		r.u32(uint32(a.Request))
		r.data = binary.LittleEndian.AppendUint16(r.data, uint16(a.Attempt))
	case decision.Reject:
		r.head(acSayNo, instance)
		r.u32(uint32(a.Request))
		r.u32(toMicros32(a.After))
	case decision.Fail:
		r.head(acRespondError, instance)
		r.u32(uint32(a.Request))
	case decision.SetTimer:
		r.head(acWakeMe, instance)
		r.data = binary.LittleEndian.AppendUint64(r.data, uint64(a.At/time.Microsecond))
		r.u32(a.Token)
	case decision.Probe:
		r.head(acProbe, instance)
		r.u32(uint32(a.Worker))
	case decision.Subscribe:
		r.head(acKeepInformed, instance)
		r.data = append(r.data, 1)
	case decision.Fetch:
		r.head(acResolve, instance)
	default:
		return fmt.Errorf("unknown action type %d", a.Type)
	}
	return nil
}

// Fault appends the report that an instance has failed; text says why, cut to 65,535 bytes.
func (r *Reply) Fault(instance int, text string) {
	r.head(acBug, instance)
	text = text[:min(len(text), math.MaxUint16)]
	r.data = binary.LittleEndian.AppendUint16(r.data, uint16(len(text)))
	r.data = append(r.data, text...)
}

// toMicros32 returns a duration in 32-bit microseconds, or the nearest that they hold.
func toMicros32(d time.Duration) uint32 {
	return uint32(min(max(d/time.Microsecond, 0), math.MaxUint32))
}
