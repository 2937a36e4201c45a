package trace

import (
	"encoding/binary"
	"math"
)

// Sampler decides which records are kept.
type Sampler struct {
	Off    bool    // keeps no record
	Ratio  float64 // fraction of plain records that is kept, from 0 to 1
	Parent bool    // a client's sampled flag, if sent, overrides Ratio
}

// The reasons for which a record is kept.
const (
	KeptPlain   = "plain"  // selected by the ratio
	KeptResult  = "answer" // any result but Served
	KeptRetried = "retried"
	KeptHedged  = "copied"
	KeptOverdue = "late"
)

// Keep reports whether the record of a finished request is kept, and why. Notable records are kept
// regardless of the ratio; for the others the trace id decides, so that all dispatchers keep the
// same traces.
func (s Sampler) Keep(r *Record) (keep bool, reason string) {
	if s.Off {
		return false, ""
	}
	if reason := NotableReason(r); reason != "" {
		return true, reason
	}
	return r.Selected, KeptPlain
}

// Select reports whether the record of a new request is kept even if it does not become notable.
// Runners receive this decision, so that they keep the same traces. Source: OpenTelemetry's
// TraceIdRatioBased sampler, using the last 8 bytes of the id.
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

// NotableReason returns why a record is notable, that is, of interest to operators: the request was
// not served, hedged, retried or overdue. It returns an empty string for a plain record.
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
