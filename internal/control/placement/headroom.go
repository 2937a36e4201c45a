package placement

import (
	"math"
	"time"
)

// headroomDecay is the time in which a remembered peak decays to 1/e. It spans a few bursts of
// requests of interactive users, because their recent demand predicts that of the near future.
const headroomDecay = 12 * time.Second

// Headroom estimates how much capacity of a service should stay free for more urgent work. For each
// priority it remembers the peak of the running and waiting demand together, which decays
// exponentially with time. Work of lower priority leaves the difference between that peak and the
// running demand free, so that urgent tasks, which are short, seldom find all runners busy for
// seconds. It is not safe for concurrent use.
type Headroom struct {
	peaks map[int]*peak // by priority; lower numbers are more urgent
}

// peak is the decaying peak demand of a priority.
type peak struct {
	cpu, mem, gpus float64 // in the units of Resources, at observedAt
	observedAt     time.Duration
	running        Resources // running demand at observedAt
}

// NewHeadroom returns a Headroom without recorded demand, which requires nothing to stay free.
func NewHeadroom() *Headroom { return &Headroom{peaks: make(map[int]*peak)} }

// Observe records the demand of the running and of the waiting tasks of a priority.
func (h *Headroom) Observe(priority int, running, waiting Resources, now time.Duration) {
	p := h.peaks[priority]
	if p == nil {
		p = &peak{observedAt: now}
		h.peaks[priority] = p
	}
	decay := math.Exp(-float64(now-p.observedAt) / float64(headroomDecay))
	p.observedAt = now
	p.cpu = max(p.cpu*decay, float64(running.CPU+waiting.CPU))
	p.mem = max(p.mem*decay, float64(running.MemMB+waiting.MemMB))
	p.gpus = max(p.gpus*decay, float64(running.GPUs+waiting.GPUs))
	p.running = running
}

// Required returns how much capacity must stay free when work of a priority is placed: the sum over
// all more urgent priorities.
func (h *Headroom) Required(priority int) (required Resources) {
	for other, p := range h.peaks {
		if other < priority {
			required.CPU += max(0, int64(p.cpu)-p.running.CPU)
			required.MemMB += max(0, int64(p.mem)-p.running.MemMB)
			required.GPUs += max(0, int64(p.gpus)-p.running.GPUs)
		}
	}
	return required
}
