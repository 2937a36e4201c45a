package trace

import (
	"encoding/binary"
	"math"
)

// Sampler decides which stories are kept.
type Sampler struct {
	Off    bool    // none is
	Plain  float64 // share of those that nothing happened to
	Parent bool    // for those a client's trace goes before the share, where there is one
}

// The reasons for which a story is kept. A plain one was picked by the share.
const (
	KeptPlain   = "plain"
	KeptAnswer  = "answer" // it was not served
	KeptRetried = "retried"
	KeptCopied  = "copied"
	KeptLate    = "late"
)

// Keep tells whether a story is kept, and why. What an operator will ask for is kept
// whatever the share: every request that was not served, tried again, copied or late.
// Of the others the trace's id decides, so that all dispatchers pick the same traces.
func (p Sampler) Keep(s *Story) (keep bool, why string) {
	if p.Off {
		return false, ""
	}
	if why := Notable(s); why != "" {
		return true, why
	}
	return s.Picked, KeptPlain
}

// Pick tells whether a story that begins is kept even if nothing happens to it. Runners
// are told, so that they record the same traces.
func (p Sampler) Pick(s *Story) bool {
	if p.Off {
		return false
	}
	if p.Parent && s.Parent != (SpanID{}) {
		return s.Sampled
	}
	// Source: OpenTelemetry's TraceIdRatioBased sampler, by the id's last 8 bytes.
	bound := uint64(p.Plain * math.MaxInt64)
	return p.Plain >= 1 || binary.BigEndian.Uint64(s.Trace[8:])>>1 < bound
}

// Notable tells why an operator will ask for a story, empty for a plain one.
func Notable(s *Story) string {
	switch {
	case s.Answer != Served:
		return KeptAnswer
	case s.Copied():
		return KeptCopied
	case s.Repeat || len(s.Hops) > 1:
		return KeptRetried
	case s.Late:
		return KeptLate
	}
	return ""
}
