package placement

import (
	"time"

	"frosttide/internal/bucket"
)

// Group identifies the tasks that anti-affinity spreads over runners: those of one step in one
// occurrence of a job.
type Group struct {
	Job              string
	Occurrence, Step int
}

// Reservation holds the resources that a run occupies on its runner until its end is known.
type Reservation struct {
	Demand Resources
	Group  Group
	tokens int // of the runner
}

// Runner is the state of a runner process that placement depends on. Only Fleet changes its
// exported fields.
type Runner struct {
	// Reported by its agent.
	ID       string
	Service  string
	Rack     string // label that names its rack; empty if it has none
	Labels   []string
	Capacity Resources

	Usable bool // tasks may be assigned to it now

	// Reserved by its runs.
	reservations map[string]Reservation // by task name
	groups       map[Group]int          // number of reservations by group
	used         Resources              // sum of the reservations
	tokens       bucket.Account[*Runner]

	health         health
	availableIndex int // in pool.available, or notAvailable
}

// Used returns the resources that runs have reserved on the runner.
func (r *Runner) Used() Resources { return r.used }

// Free returns the capacity that no run has reserved. A resource is negative if the runs that were
// started need more of it than the capacity that the runner reports now, for example runs that an
// earlier head started.
func (r *Runner) Free() Resources { return r.Capacity.Minus(r.used) }

// ReservationCount returns the number of runs that have a reservation on the runner.
func (r *Runner) ReservationCount() int { return len(r.reservations) }

// hasReservation reports whether a run of a task has a reservation on the runner.
func (r *Runner) hasReservation(task string) bool {
	_, ok := r.reservations[task]
	return ok
}

// Ejected reports whether the runner is ejected as an outlier because its recent runs failed.
func (r *Runner) Ejected(now time.Duration) bool { return r.health.ejected(now) }

const (
	// tokenCPU is the amount of CPU that a token stands for, in thousandths of a core.
	tokenCPU = 50
	// minTokens and maxTokens bound the number of tokens of a runner.
	minTokens = 8
	maxTokens = 4096
)

// tokensOf returns the number of tokens of a runner with a given capacity.
func tokensOf(c Resources) int { return int(min(max(c.CPU/tokenCPU, minTokens), maxTokens)) }

// tokensFor returns how many of the runner's tokens a demand takes: at least 1, otherwise by its
// CPU demand, rounded down, and at most all. Tokens only order the runners: what fits is decided by the
// exact account of all resources, so that more tokens than the limit may be in use.
func (r *Runner) tokensFor(demand Resources) int {
	return min(max(1, int(demand.CPU/tokenCPU)), max(1, r.tokens.Limit))
}
