package agent

import "frosttide/internal/protocol"

// Limits of the encoded response to a heartbeat, in bytes. A runner takes no response above
// maxResponseBytes. What does not fit goes into a later response.
const (
	maxResponseBytes = 4 << 20
	// maxStartsBytes is more than a single start takes: its spec has at most 4,000 characters, its
	// checkpoint at most protocol.MaxCheckpointBytes, and the escapes of JSON take six bytes for one.
	maxStartsBytes = 2 << 20
	maxStopsBytes  = 1 << 20
)

// responseBuilder adds starts and stops to a response within the limits of its encoded size.
type responseBuilder struct {
	response              *HeartbeatResponse
	startsLeft, stopsLeft int // encoded bytes that further starts and stops may take
}

// newResponseBuilder returns a builder for a response without starts and stops.
func newResponseBuilder(response *HeartbeatResponse) *responseBuilder {
	return &responseBuilder{response: response, startsLeft: maxStartsBytes, stopsLeft: maxStopsBytes}
}

// start adds a start if there is room for it, and reports whether it did.
func (b *responseBuilder) start(desired *desiredRun) bool {
	size := desired.encodedBytes()
	if size > b.startsLeft {
		return false
	}
	b.startsLeft -= size
	b.response.Start = append(b.response.Start, desired.order)
	return true
}

// stop adds a stop if there is room for it, and reports whether it did.
func (b *responseBuilder) stop(task string, run uint32) bool {
	ref := &protocol.RunRef{Task: task, Run: run}
	size := len(appendStops(nil, []*protocol.RunRef{ref})) + len(",")
	if size > b.stopsLeft {
		return false
	}
	b.stopsLeft -= size
	b.response.Stop = append(b.response.Stop, ref)
	return true
}

// encodedBytes returns the size of the run's start in a response.
func (d *desiredRun) encodedBytes() int {
	if d.startBytes == 0 {
		d.startBytes = len(appendStarts(nil, []*protocol.RunOrder{d.order})) + len(",")
	}
	return d.startBytes
}
