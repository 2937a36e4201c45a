package spread

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frosttide/decision/warmupbudget"
)

// ColdDraws holds the parameters of simulated starts of a cold runner that all dispatchers of a
// fleet send work to.
type ColdDraws struct {
	Dispatchers int
	Rules       warmupbudget.Rules
	PerSecond   float64       // mean requests per second at a dispatcher; a tenth have five times as many
	Rate        float64       // dispatchers' estimate of a warm runner's requests of mean work per second
	From, Over  time.Duration // age of the runner when a draw begins, and the draw's length
}

// ColdFigures holds the results of many draws.
type ColdFigures struct {
	Falls int     // draws in which some window held more work than the runner's limit
	Worst float64 // most work in a window, as a fraction of the runner's limit
	Load  float64 // work received, as a fraction of what the runner can do at least
}

// sentRequest is a request that was sent to the runner.
type sentRequest struct {
	at   time.Duration
	work float64
}

// Run simulates a number of draws, one after the other. All dispatchers know of each runner from
// its start on, and their traffic continues from one draw to the next. Arrivals are Poisson; hints
// are lognormal with a standard deviation of twice the mean, and the work of a request is its hint
// times a lognormal factor with a coefficient of variation of one half.
func (d ColdDraws) Run(draws int, seed uint64) (f ColdFigures) {
	rng := rand.New(rand.NewPCG(seed, 1))
	traffic := make([]warmupbudget.Traffic, d.Dispatchers)
	next := make([]time.Duration, d.Dispatchers)
	now, id := time.Hour, uint64(0)
	var received, possible float64
	for range draws {
		start, worker := now, rng.Uint32()
		c := warmupbudget.WarmingWorker{Rate: d.Rate, StartedAt: start - d.From}
		// The runner's actual rules are better than the minimum in the settings, by as much as
		// those of real runners differ.
		actual := d.Rules
		actual.InitialCapacity *= 1 + 1.3*rng.Float64()
		actual.WarmUp -= time.Duration(rng.Float64() * 0.5 * float64(actual.WarmUp))
		var requests []sentRequest
		for i := range traffic {
			mean := d.PerSecond / 1.4
			if i%10 == 0 {
				mean *= 5
			}
			if next[i] == 0 {
				next[i] = start
			}
			for ; next[i] < start+d.Over; next[i] += time.Duration(rng.ExpFloat64() / mean * float64(time.Second)) {
				id++
				hint := lognormal(rng, 1, 2)
				traffic[i].RecordArrival(hint, next[i])
				if d.Rules.MaySend(&traffic[i], warmupbudget.Peer{Number: i, Count: d.Dispatchers}, c, worker, id, hint, next[i]) {
					requests = append(requests, sentRequest{next[i], hint * lognormal(rng, 1, 0.5)})
				}
			}
		}
		now += d.Over
		slices.SortFunc(requests, func(a, b sentRequest) int { return int(a.at - b.at) })
		sum, first, exceeded := 0.0, 0, false
		for _, s := range requests { // checks the window that ends with each request
			sum += s.work
			received += s.work
			for ; requests[first].at < s.at-d.Rules.OverloadWindow; first++ {
				sum -= requests[first].work
			}
			limit := warmupbudget.WindowBound(actual.OverloadMultiple * d.Rate * actual.Capacity(c.StartedAt, s.at) * actual.OverloadWindow.Seconds())
			f.Worst = max(f.Worst, sum/limit)
			exceeded = exceeded || sum > limit
		}
		if exceeded {
			f.Falls++
		}
		const steps = 100
		for i := range steps {
			possible += d.Rate * actual.Capacity(c.StartedAt, start+d.Over*time.Duration(i)/steps) * d.Over.Seconds() / steps
		}
	}
	f.Load = received / possible
	return f
}

// lognormal draws from the lognormal distribution with a mean and a coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2)
}
