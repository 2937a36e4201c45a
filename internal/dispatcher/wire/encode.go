package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"frosttide/decision"
)

// Reply encodes the actions that answer one batch. For each batch call Begin, then Action and Fault
// any number of times, then Bytes. It reuses its memory.
type Reply struct{ data []byte }

// Begin discards the previous reply and starts the one to the batch with sequence number seq.
func (r *Reply) Begin(seq uint32) {
	r.data = append(r.data[:0], 0, 0, 0, 0)
	r.data = binary.LittleEndian.AppendUint32(r.data, seq)
}

// Bytes completes the frame and returns it. It is valid until the next call of Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.data, uint32(len(r.data)))
	return r.data
}

// appendHeader appends the header of an action record.
func (r *Reply) appendHeader(code uint16, instance int) {
	r.data = binary.LittleEndian.AppendUint16(r.data, code)
	r.data = binary.LittleEndian.AppendUint16(r.data, uint16(instance))
}

func (r *Reply) appendUint32(v uint32) { r.data = binary.LittleEndian.AppendUint32(r.data, v) }

// Action appends an action of an instance. It returns an error if the type of the action is
// unknown.
func (r *Reply) Action(instance int, a *decision.Action) error {
	switch a.Type {
	case decision.Send:
		r.appendHeader(actionSend, instance)
		r.appendUint32(uint32(a.Request))
		r.appendUint32(toMicros32(a.After))
		r.appendUint32(uint32(a.Worker))
	case decision.Cancel:
		r.appendHeader(actionCancel, instance)
		r.appendUint32(uint32(a.Request))
		r.data = binary.LittleEndian.AppendUint16(r.data, uint16(a.Attempt))
	case decision.Reject:
		r.appendHeader(actionReject, instance)
		r.appendUint32(uint32(a.Request))
		r.appendUint32(toMicros32(a.After))
	case decision.Fail:
		r.appendHeader(actionFail, instance)
		r.appendUint32(uint32(a.Request))
	case decision.SetTimer:
		r.appendHeader(actionSetTimer, instance)
		r.data = binary.LittleEndian.AppendUint64(r.data, uint64(a.At/time.Microsecond))
		r.appendUint32(a.Token)
	case decision.Probe:
		r.appendHeader(actionProbe, instance)
		r.appendUint32(uint32(a.Worker))
	case decision.Subscribe:
		r.appendHeader(actionSubscribe, instance)
		r.data = append(r.data, 1)
	case decision.Fetch:
		r.appendHeader(actionFetch, instance)
	default:
		return fmt.Errorf("unknown action type %d", a.Type)
	}
	return nil
}

// Fault appends the report that an instance has failed for the reason in text, which is truncated
// to 65,535 bytes.
func (r *Reply) Fault(instance int, text string) {
	r.appendHeader(actionFault, instance)
	text = text[:min(len(text), math.MaxUint16)]
	r.data = binary.LittleEndian.AppendUint16(r.data, uint16(len(text)))
	r.data = append(r.data, text...)
}

// toMicros32 converts a duration to 32-bit microseconds, clamped to their range.
func toMicros32(d time.Duration) uint32 {
	return uint32(min(max(d/time.Microsecond, 0), math.MaxUint32))
}
