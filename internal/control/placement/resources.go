package placement

import "math"

// Resources is an amount of each resource: the demand of a task, or the capacity of a runner.
type Resources struct {
	CPU   int64 `json:"cpu"` // thousandths of a core
	MemMB int64 `json:"mem_mb"`
	GPUs  int64 `json:"gpus"`
}

// Fits reports whether the demand r fits into the free resources, in each resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.MemMB <= free.MemMB && r.GPUs <= free.GPUs
}

// timesIn returns how many times the demand r fits into the free resources, provided that it fits
// at least once. For an empty demand it returns math.MaxInt.
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

// Times returns each resource multiplied by n, which may be negative.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: r.CPU * int64(n), MemMB: r.MemMB * int64(n), GPUs: r.GPUs * int64(n)}
}

// Plus returns the sum of r and o for each resource.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemMB: r.MemMB + o.MemMB, GPUs: r.GPUs + o.GPUs}
}

// Minus returns r less o for each resource. The result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemMB: r.MemMB - o.MemMB, GPUs: r.GPUs - o.GPUs}
}

// Max returns the greater amount of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), MemMB: max(r.MemMB, o.MemMB), GPUs: max(r.GPUs, o.GPUs)}
}
