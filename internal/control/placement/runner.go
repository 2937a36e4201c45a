package placement

import (
	"time"

	"frosttide/internal/bucket"
)

// Group names the tasks that anti-affinity keeps apart: those of one step of one occurrence of a job.
type Group struct {
	Job              string
	Occurrence, Step int
}

// Reservation is what a run has of its runner until its end is known.
type Reservation struct {
	Demand Resources
	Group  Group
	tokens int
}

// Runner is a runner process as placement sees it. Its exported fields are changed by Fleet only.
type Runner struct {
	// What its agent reports.
	ID       string
	Service  string
	Rack     string // the label that names its rack, empty where it has none
	Labels   []string
	Capacity Resources

	Usable bool // it may be assigned tasks now

	// What its runs have.
	reservations map[string]Reservation // by the task's name
	groups       map[Group]int          // number of reservations by group
	used         Resources              // sum of the reservations
	tokens       bucket.Account[*Runner]

	health         health
	availableIndex int // in pool.available, or notAvailable
}

// Used returns the sum of what runs have reserved.
func (r *Runner) Used() Resources { return r.used }

// Free returns the capacity that no run has reserved. It is negative in a resource where an earlier head started more
// than the capacity that the runner reports now.
func (r *Runner) Free() Resources { return r.Capacity.Minus(r.used) }

// ReservationCount returns how many runs have a reservation.
func (r *Runner) ReservationCount() int { return len(r.reservations) }

// hasReservation reports whether the run of a task has a reservation.
func (r *Runner) hasReservation(task string) bool {
	_, ok := r.reservations[task]
	return ok
}

// Ejected reports whether the runner is ejected as an outlier: it fails what it is given.
func (r *Runner) Ejected(now time.Duration) bool { return r.health.ejected(now) }

const (
	// tokenCPU is the processor time that a token stands for, in thousandths of a core. It is below what the smallest
	// tasks ask for, so that rounding wastes nothing.
	tokenCPU = 50
	// minTokens and maxTokens bound the tokens of a runner.
	minTokens = 8
	maxTokens = 4096
)

// tokensOf returns how many tokens a runner of a given capacity has.
func tokensOf(c Resources) int { return int(min(max(c.CPU/tokenCPU, minTokens), maxTokens)) }

// tokensFor returns how many of the runner's tokens a demand takes, by its processor time, rounded down. Memory and
// GPUs are accounted for exactly beside the tokens: counted in tokens too, tasks that ask for much of one resource and
// tasks that ask for much of another would keep each other out of a runner that has both.
func (r *Runner) tokensFor(demand Resources) int {
	return min(max(1, int(demand.CPU/tokenCPU)), max(1, r.tokens.Limit))
}
