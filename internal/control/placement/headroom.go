package placement

import (
	"math"
	"time"
)

// Headroom keeps room for work that goes before other work. For each priority it remembers how much was
// wanted at once, the more faintly the longer ago; work of a lower priority leaves that much free of what
// is not in use already. So urgent tasks, which are short, seldom find every runner filled for seconds.
type Headroom struct {
	peaks map[int]*peak // by priority
}

type peak struct {
	cpu, mem, gpus float64
	observedAt     time.Duration
	running        Resources
}

// headroomDecay is the time in which a remembered peak falls to 1/e: some waves of users long, as the
// demand of the near past says most of the near future.
const headroomDecay = 12 * time.Second

// NewHeadroom returns a reserve that remembers nothing.
func NewHeadroom() *Headroom { return &Headroom{peaks: make(map[int]*peak)} }

// Observe notes what a priority's tasks hold and wait for.
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

// Required returns how much has to stay free of a service when work of a priority is placed.
func (h *Headroom) Required(priority int) (required Resources) {
	for p, peak := range h.peaks {
		if p < priority {
			required.CPU += max(0, int64(peak.cpu)-peak.running.CPU)
			required.MemMB += max(0, int64(peak.mem)-peak.running.MemMB)
			required.GPUs += max(0, int64(peak.gpus)-peak.running.GPUs)
		}
	}
	return required
}
