package placement

import "math"

// Resources is what a task asks for, or what a runner has.
type Resources struct {
	CPU   int64 `json:"cpu"` // thousandths of a core
	MemMB int64 `json:"mem_mb"`
	GPUs  int64 `json:"gpus"`
}

// Fits reports whether a demand fits into free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPUs <= free.GPUs
}

// timesIn returns how many times a demand fits into free resources that it fits into at least once, math.MaxInt for a
// demand of nothing.
func (r Resources) timesIn(free Resources) int {
	times := math.MaxInt
	if r.CPU > 0 {
		times = min(times, int(free.CPU/r.CPU))
	}
	if r.MemMB > 0 {
		times = min(times, int(free.MemMB/r.MemMB))
	}
	if r.GPUs > 0 {
		times = min(times, int(free.GPUs/r.GPUs))
	}
	return times
}

// Times returns the resources n times; n may be negative.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPUs: r.GPUs * int64(n)}
}

// Plus returns the sum of two.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns the difference of two.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPUs: r.GPUs - o.GPUs}
}

// Max returns the greater of two in each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemMB: max(r.MemMB, o.MemMB), GPUs: max(r.GPUs, o.GPUs)}
}
