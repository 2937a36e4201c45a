package warmupbudget

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// sampleTraffic returns a Traffic with 400 recorded requests at the given mean rate, their work chosen at random from
// works, and the time after the last one.
func sampleTraffic(rng *rand.Rand, rate float64, works ...float64) (Traffic, time.Duration) {
	var traffic Traffic
	now := time.Hour
	for range 400 {
		traffic.RecordArrival(works[rng.IntN(len(works))], now)
		now += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	return traffic, now
}

// TestFlow checks that the flow to a warming worker keeps the mean work of a window plus the safety deviations within the
// limit, is at most busyFactor times the served rate, and does not fall as the worker warms up.
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
			t.Fatalf("%.2f requests in a window: %.2f of work with the safety deviations, want %.2f at most", n, worst, limit)
		}
		served, flow := rules.minServedRate(worker, now), rules.Flow(&traffic, worker, now)
		if flow < 0 || flow*traffic.passedWork/traffic.passFraction > busyFactor*served*1.000001 {
			t.Fatalf("flow of %.2f requests a second to a worker that serves %.2f, want at least 0 and at most %g times its rate", flow, served, busyFactor)
		}
		if later := rules.Flow(&traffic, worker, now+time.Second); later < n*0.999999/rules.OverloadWindow.Seconds() {
			t.Fatalf("flow of %.3f requests a second, %.3f a second later, want no decrease", n/rules.OverloadWindow.Seconds(), later)
		}
	})
}

// TestMaySendKeepsToFlow checks that the requests sent by many dispatchers, each of which knows only its own rate, add up
// to about the flow although some dispatchers have twenty times as many requests as others, and that very long requests are
// never sent. The sum may be lower than the flow, as fewer long requests are sent and dispatchers with few requests
// underuse their share.
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
			worker.StartedAt = now - 9*time.Second // at a constant age
			id++
			work := []float64{0.2, 0.4, 3}[rng.IntN(3)]
			traffic.RecordArrival(work, now)
			peer := Peer{i, dispatchers}
			maySend := rules.MaySend(&traffic, peer, worker, 7, id, work, now)
			if maySend != rules.MaySend(&traffic, peer, worker, 7, id, work, now) {
				t.Fatal("MaySend returned different results for the same arguments")
			}
			if maySend {
				sent++
			}
			longSent = longSent || rules.MaySend(&traffic, peer, worker, 7, id, 30, now)
		}
	}
	if got := float64(sent); got > expected || got < 0.65*expected || longSent {
		t.Errorf("%d requests were sent, want %.0f to %.0f; long requests were sent: %t, want false", sent, 0.65*expected, expected, longSent)
	}
}

// TestNewDispatcherSendsNothing checks that a dispatcher that does not know its request rate yet sends nothing to a warming
// worker, as all dispatchers may have just started.
func TestNewDispatcherSendsNothing(t *testing.T) {
	worker := WarmingWorker{Rate: 1e6, StartedAt: time.Hour}
	var traffic Traffic
	if rules.MaySend(&traffic, Peer{0, 300}, worker, 7, 1, 0.1, time.Hour) {
		t.Error("a request may be sent without any recorded arrival")
	}
	if traffic.RecordArrival(0.1, time.Hour); rules.MaySend(&traffic, Peer{0, 300}, worker, 7, 1, 0.1, time.Hour) {
		t.Error("the first request may be sent")
	}
}
