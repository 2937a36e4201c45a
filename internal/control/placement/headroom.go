package placement

import (
	"math"
	"time"
)

// headroomDecay is the time in which a remembered peak falls to 1/e: a few waves of interactive users long, as their
// demand in the near past predicts that of the near future.
const headroomDecay = 12 * time.Second

// Headroom estimates how much capacity of a service should stay free for more urgent work. For each priority it remembers
// the peak of what was running and waiting at once, which decays with time; work of lower priority leaves free what is
// missing to that peak. So urgent tasks, which are short, seldom find all runners busy for seconds. It is not safe for
// concurrent use.
type Headroom struct {
	peaks map[int]*peak // by priority; lower numbers are more urgent
}

// peak is the remembered demand of a priority.
type peak struct {
	cpu, mem, gpus float64 // as of observedAt
	observedAt     time.Duration
	running        Resources // at observedAt
}

// NewHeadroom returns a headroom that remembers no demand.
func NewHeadroom() *Headroom { return &Headroom{peaks: make(map[int]*peak)} }

// Observe records what the tasks of a priority use and wait for now.
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

// Required returns how much of a service has to stay free when work of a priority is placed.
func (h *Headroom) Required(priority int) (required Resources) {
	for urgent, p := range h.peaks {
		if urgent < priority {
			required.CPU += max(0, int64(p.cpu)-p.running.CPU)
			required.MemMB += max(0, int64(p.mem)-p.running.MemMB)
			required.GPUs += max(0, int64(p.gpus)-p.running.GPUs)
		}
	}
	return required
}
