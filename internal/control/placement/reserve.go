package placement

import (
	"math"
	"time"
)

// Reserve keeps room for work that goes before other work. For each priority it remembers how much was
// wanted at once, the more faintly the longer ago; work of a lower priority leaves that much free of what
// is not in use already. So urgent tasks, which are short, seldom find every runner filled for seconds.
type Reserve struct {
	peaks map[int]*peak // by priority
}

type peak struct {
	cpu, mem, gpus float64
	at             time.Duration
	running        Resources
}

// reserveMemory is the time in which a remembered peak falls to 1/e: some waves of users long, as the
// demand of the near past says most of the near future.
const reserveMemory = 12 * time.Second

// NewReserve returns a reserve that remembers nothing.
func NewReserve() *Reserve { return &Reserve{peaks: make(map[int]*peak)} }

// Observe notes what a priority's tasks hold and wait for.
func (v *Reserve) Observe(priority int, running, waiting Resources, now time.Duration) {
	p := v.peaks[priority]
	if p == nil {
		p = &peak{at: now}
		v.peaks[priority] = p
	}
	fade := math.Exp(-float64(now-p.at) / float64(reserveMemory))
	p.at = now
	p.cpu = max(p.cpu*fade, float64(running.CPU+waiting.CPU))
	p.mem = max(p.mem*fade, float64(running.MemMB+waiting.MemMB))
	p.gpus = max(p.gpus*fade, float64(running.GPUs+waiting.GPUs))
	p.running = running
}

// Room returns how much has to stay free of a service when work of a priority is placed.
func (v *Reserve) Room(priority int) (room Resources) {
	for p, peak := range v.peaks {
		if p < priority {
			room.CPU += max(0, int64(peak.cpu)-peak.running.CPU)
			room.MemMB += max(0, int64(peak.mem)-peak.running.MemMB)
			room.GPUs += max(0, int64(peak.gpus)-peak.running.GPUs)
		}
	}
	return room
}
