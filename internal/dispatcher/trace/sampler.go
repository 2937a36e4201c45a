package trace

import (
	"encoding/binary"
	"math"
)

// Sampler decides which records are kept.
type Sampler struct {
	Off    bool    // no record is
	Ratio  float64 // of the plain records, from 0 to 1
	Parent bool    // where a client sends a trace, its sampled flag decides in place of Ratio
}

// The reasons for which a record is kept.
const (
	KeptPlain   = "plain"  // selected by the ratio
	KeptResult  = "answer" // not served
	KeptRetried = "retried"
	KeptHedged  = "copied"
	KeptOverdue = "late"
)

// Keep reports whether the record of a request that has ended is kept, and why. Notable records are kept whatever the
// ratio; of the others the trace's id decides, so that all dispatchers keep the same traces.
func (s Sampler) Keep(r *Record) (keep bool, reason string) {
	if s.Off {
		return false, ""
	}
	if reason := NotableReason(r); reason != "" {
		return true, reason
	}
	return r.Selected, KeptPlain
}

// Select reports whether the record of a request that starts is kept even if it does not become notable. Runners are
// sent this decision, so that they keep the same traces. Source: OpenTelemetry's TraceIdRatioBased sampler, by the last
// 8 bytes of the id.
func (s Sampler) Select(r *Record) bool {
	if s.Off {
		return false
	}
	if s.Parent && r.Parent != (SpanID{}) {
		return r.ParentSampled
	}
	bound := uint64(s.Ratio * math.MaxInt64)
	return s.Ratio >= 1 || binary.BigEndian.Uint64(r.Trace[8:])>>1 < bound
}

// NotableReason returns why an operator will look for a record: the request was not served, hedged, retried or overdue.
// It is empty for a plain one.
func NotableReason(r *Record) string {
	switch {
	case r.Result != Served:
		return KeptResult
	case r.Hedged():
		return KeptHedged
	case r.ClientRetry || len(r.Attempts) > 1:
		return KeptRetried
	case r.Overdue:
		return KeptOverdue
	}
	return ""
}
