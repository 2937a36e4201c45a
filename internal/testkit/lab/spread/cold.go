package spread

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"frosttide/decision/warmupbudget"
)

// ColdDraws are drawn starts of cold runners that a fleet of dispatchers shares.
type ColdDraws struct {
	Dispatchers int
	Rules       warmupbudget.Rules
	PerSecond   float64 // requests at a dispatcher, the mean; a tenth have five times as many
	Rate        float64 // requests of mean work a second that a warm runner serves, as dispatchers take it
	From, Over  time.Duration
}

// ColdFigures are of many draws.
type ColdFigures struct {
	Falls int     // starts in which some window held more than the runner bears
	Worst float64 // the fullest window, against what it bears
	Load  float64 // work that came, against what the runner can do at least
}

// sent is one request at the runner.
type sent struct {
	at   time.Duration
	work float64
}

// Run draws starts. All dispatchers have been told of each and have taken requests for some
// time. Arrivals are Poisson, works lognormal with a deviation of twice the mean, hints off by a
// half either way.
func (d ColdDraws) Run(draws int, seed uint64) (f ColdFigures) {
	rng := rand.New(rand.NewPCG(seed, 1))
	mixes := make([]warmupbudget.Traffic, d.Dispatchers)
	next := make([]time.Duration, d.Dispatchers)
	now, id := time.Hour, uint64(0)
	var came, could float64
	for range draws {
		start, worker := now, rng.Uint32()
		c := warmupbudget.WarmingWorker{Rate: d.Rate, StartedAt: start - d.From}
		// The runner's own figures lie above the least that settings name, by as much as they do
		// between runners there.
		own := d.Rules
		own.InitialCapacity *= 1 + 1.3*rng.Float64()
		own.WarmUp -= time.Duration(rng.Float64() * 0.5 * float64(own.WarmUp))
		var all []sent
		for i := range mixes {
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
				mixes[i].RecordArrival(hint, next[i])
				if d.Rules.MaySend(&mixes[i], warmupbudget.Peer{Number: i, Count: d.Dispatchers}, c, worker, id, hint, next[i]) {
					all = append(all, sent{next[i], hint * lognormal(rng, 1, 0.5)})
				}
			}
		}
		now += d.Over
		slices.SortFunc(all, func(a, b sent) int { return int(a.at - b.at) })
		sum, first, fell := 0.0, 0, false
		for _, s := range all { // each window that ends with a request
			sum += s.work
			came += s.work
			for ; all[first].at < s.at-d.Rules.OverloadWindow; first++ {
				sum -= all[first].work
			}
			bears := warmupbudget.WindowBound(own.OverloadMultiple * d.Rate * own.Capacity(c.StartedAt, s.at) * own.OverloadWindow.Seconds())
			f.Worst = max(f.Worst, sum/bears)
			fell = fell || sum > bears
		}
		if fell {
			f.Falls++
		}
		const steps = 100
		for i := range steps {
			could += d.Rate * own.Capacity(c.StartedAt, start+d.Over*time.Duration(i)/steps) * d.Over.Seconds() / steps
		}
	}
	f.Load = came / could
	return f
}

// lognormal draws with a mean and a coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return mean * math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2)
}
