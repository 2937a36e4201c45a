package trace

import (
	"encoding/binary"
	"math"
)

// Sampler decides which stories are kept.
type Sampler struct {
	Off    bool    // none is
	Ratio  float64 // share of those that nothing happened to
	Parent bool    // for those a client's trace goes before the share, where there is one
}

// The reasons for which a story is kept. A plain one was picked by the share.
const (
	KeptPlain   = "plain"
	KeptResult  = "answer" // it was not served
	KeptRetried = "retried"
	KeptHedged  = "copied"
	KeptOverdue = "late"
)

// Keep tells whether a story is kept, and why. What an operator will ask for is kept
// whatever the share: every request that was not served, tried again, copied or late.
// Of the others the trace's id decides, so that all dispatchers pick the same traces.
func (sampler Sampler) Keep(record *Record) (keep bool, reason string) {
	if sampler.Off {
		return false, ""
	}
	if reason := NotableReason(record); reason != "" {
		return true, reason
	}
	return record.Selected, KeptPlain
}

// Select tells whether a story that begins is kept even if nothing happens to it. Runners
// are told, so that they record the same traces.
func (sampler Sampler) Select(record *Record) bool {
	if sampler.Off {
		return false
	}
	if sampler.Parent && record.Parent != (SpanID{}) {
		return record.ParentSampled
	}
	// Source: OpenTelemetry's TraceIdRatioBased sampler, by the id's last 8 bytes.
	bound := uint64(sampler.Ratio * math.MaxInt64)
	return sampler.Ratio >= 1 || binary.BigEndian.Uint64(record.Trace[8:])>>1 < bound
}

// NotableReason tells why an operator will ask for a story, empty for a plain one.
func NotableReason(record *Record) string {
	switch {
	case record.Result != Served:
		return KeptResult
	case record.Hedged():
		return KeptHedged
	case record.ClientRetry || len(record.Attempts) > 1:
		return KeptRetried
	case record.Overdue:
		return KeptOverdue
	}
	return ""
}
