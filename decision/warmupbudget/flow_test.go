package warmupbudget

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// sampleTraffic returns a Traffic that has recorded requests of the given works at a rate for a while.
func sampleTraffic(rng *rand.Rand, rate float64, works ...float64) (Traffic, time.Duration) {
	var traffic Traffic
	now := time.Hour
	for range 400 {
		traffic.RecordArrival(works[rng.IntN(len(works))], now)
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	return traffic, now
}

// TestFlow checks that the flow to a warming worker keeps the mean of a window and its safety deviations
// within the limit, and is no more than keeps the worker busy.
func TestFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worker := WarmingWorker{Rate: rapid.Float64Range(0.01, 1e4).Draw(t, "rate"), StartedAt: time.Hour}
		now := time.Hour + time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "age"))
		works := rapid.SliceOfN(rapid.Float64Range(0.001, 50), 1, 5).Draw(t, "works")
		traffic, _ := sampleTraffic(rand.New(rand.NewPCG(1, 1)), 1, works...)
		n := rules.Flow(&traffic, worker, now) * rules.OverloadWindow.Seconds()
		limit := WindowBound(rules.OverloadMultiple * worker.Rate * rules.Capacity(worker.StartedAt, now))
		mean, meanSquare := traffic.passedWork/traffic.passFraction, traffic.passedWorkSquared/traffic.passFraction
		if worst := mean*n + safetyDeviations*math.Sqrt(meanSquare*n); !(worst <= limit*1.000001) {
			t.Fatalf("%.2f requests in a window: %.2f of work, the limit is %.2f", n, worst, limit)
		}
		served, all := rules.minServedRate(worker, now), rules.Flow(&traffic, worker, now)
		if all < 0 || all*traffic.passedWork/traffic.passFraction > busyFactor*served*1.000001 {
			t.Fatalf("%.2f requests a second for a worker that serves %.2f", all, served)
		}
		if later := rules.Flow(&traffic, worker, now+time.Second); later < n*0.999999/rules.OverloadWindow.Seconds() {
			t.Fatalf("the flow falls with age: %.3f, %.3f", n, later)
		}
	})
}

// TestMaySendKeepsToFlow checks the sum of what many dispatchers send, each by its own rate alone: some have
// twenty times as many requests as others, and together they come to the flow, but for long requests and for
// dispatchers that seldom get a request.
func TestMaySendKeepsToFlow(t *testing.T) {
	const dispatchers, over = 300, 200 * time.Second
	rng := rand.New(rand.NewPCG(3, 3))
	worker := WarmingWorker{Rate: 5, StartedAt: time.Hour}
	sent, expected, id := 0, 0.0, uint64(0)
	longSent := false
	for i := range dispatchers {
		rate := 0.2
		if i%10 == 0 {
			rate = 4
		}
		traffic, from := sampleTraffic(rng, rate, 0.2, 0.4, 3)
		worker.StartedAt = from - 9*time.Second
		expected += rules.Flow(&traffic, worker, from) * over.Seconds() / dispatchers
		for now := from; now < from+over; now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			worker.StartedAt = now - 9*time.Second // as old all the time
			id++
			work := []float64{0.2, 0.4, 3}[rng.IntN(3)]
			traffic.RecordArrival(work, now)
			peer := Peer{i, dispatchers}
			sends := rules.MaySend(&traffic, peer, worker, 7, id, work, now)
			if sends != rules.MaySend(&traffic, peer, worker, 7, id, work, now) {
				t.Fatal("the same request may go and may not")
			}
			if sends {
				sent++
			}
			longSent = longSent || rules.MaySend(&traffic, peer, worker, 7, id, 30, now)
		}
	}
	if got := float64(sent); got > expected || got < 0.65*expected || longSent {
		t.Errorf("%d requests were sent, want %.0f; long ones %t", sent, expected, longSent)
	}
}

// TestNewDispatcherSendsNothing checks that a dispatcher that does not know its request rate yet sends
// nothing to a warming worker, as a fleet of dispatchers may have just started.
func TestNewDispatcherSendsNothing(t *testing.T) {
	worker := WarmingWorker{Rate: 1e6, StartedAt: time.Hour}
	var traffic Traffic
	if rules.MaySend(&traffic, Peer{0, 300}, worker, 7, 1, 0.1, time.Hour) {
		t.Error("one that has met nothing sends")
	}
	if traffic.RecordArrival(0.1, time.Hour); rules.MaySend(&traffic, Peer{0, 300}, worker, 7, 1, 0.1, time.Hour) {
		t.Error("the first request may go")
	}
}
