package forecast

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestOwnJobsAreNotCountedTwice checks that the dispatcher's own jobs are not counted both in the report and as its own
// load, that the slots of other dispatchers' jobs decay, and that invalid reports change nothing.
func TestOwnJobsAreNotCountedTwice(t *testing.T) {
	var f Fleet
	var w, other Worker
	now := time.Hour
	f.NewJob(0, 1, time.Second, 1)
	f.RecordReport(&other, 0, Report{Free: 4}, Own{}, now)
	f.RecordReport(&w, 0, Report{Free: 4}, Own{}, now)
	f.RecordReport(&w, 0, Report{Free: 0, Queued: 2, InFlight: math.NaN()}, Own{InUse: 3, Running: 3}, now)
	if got := f.OthersInUse(&w, 0, now); math.Abs(got-3) > 1e-9 {
		t.Errorf("others use %g slots, want 3: 6 less 3 of the dispatcher's own", got)
	}
	if got := f.OthersInUse(&w, 0, now+time.Minute); got > 0.1 {
		t.Errorf("others use %g slots a minute later, want 0.1 at most", got)
	}
	busy := f.TimeToFinish(&w, 0, Own{InUse: 3, Running: 3, Work: 3}, &Job{Slots: 1, Work: 1}, now)
	idle := f.TimeToFinish(&other, 0, Own{}, &Job{Slots: 1, Work: 1}, now)
	if busy < idle+0.3 {
		t.Errorf("a full worker needs %g s and an idle one %g s, want at least 0.3 s more at the full one", busy, idle)
	}
	before := f.OthersInUse(&w, 0, now)
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1, 1e30} {
		f.RecordReport(&w, 0, Report{Free: bad, Queued: 1, InFlight: math.NaN()}, Own{}, now)
	}
	if got := f.OthersInUse(&w, 0, now); got != before {
		t.Errorf("invalid reports changed the slots of others from %g to %g, want no change", before, got)
	}
}

// TestSize checks that noise in reports does not raise the size of a worker with four slots, and that the size is at least
// the number of slots that own jobs have used at once, as reports lag.
func TestSize(t *testing.T) {
	var f Fleet
	var w Worker
	for i := range 200 {
		noise := 1 + 0.068*math.Sin(float64(i)*1.7)
		f.RecordReport(&w, 0, Report{Free: 4 * noise}, Own{}, time.Duration(i)*time.Second)
	}
	if got := f.size(&w, 0); got != 4 {
		t.Errorf("size %g after noisy reports, want 4", got)
	}
	f.RecordStart(&w, 0, &Job{}, false, Own{InUse: 6, Running: 6}, time.Hour)
	if got := f.size(&w, 0); got != 6 {
		t.Errorf("size %g, want the 6 slots that own jobs have used at once", got)
	}
}

// TestSizeOfKind checks the estimated size of workers that look small because they are busy: a worker that was never
// observed empty has as many slots as others of its kind, up to twice its observed number, and a worker without an observed
// free slot has the fleet's mean. It also checks that size and pace are restored from Learned after a restart, and that
// invalid learned values do not lead to invalid forecasts.
func TestSizeOfKind(t *testing.T) {
	var f Fleet
	var empty, busy, full, otherKind Worker
	f.RecordReport(&empty, 3, Report{Free: 4}, Own{}, time.Hour)
	f.RecordReport(&busy, 3, Report{Free: 2}, Own{InUse: 1, Running: 1}, time.Hour)
	f.RecordReport(&full, 3, Report{Free: 0, Queued: 3, InFlight: math.NaN()}, Own{}, time.Hour)
	f.RecordReport(&otherKind, 4, Report{Free: 2}, Own{}, time.Hour)
	for _, tc := range []struct {
		name string
		w    *Worker
		kind int
		want float64
	}{{"empty", &empty, 3, 4}, {"busy", &busy, 3, 4}, {"full", &full, 3, f.meanSlots}, {"other kind", &otherKind, 4, 2}} {
		if got := f.size(tc.w, tc.kind); got != tc.want {
			t.Errorf("%s worker: size %g, want %g", tc.name, got, tc.want)
		}
	}
	f.RecordRun(&empty, 3, 0, 0, 1, 2, time.Hour)
	var restarted Fleet
	var w Worker
	w.Restore(empty.Learned(), 2*time.Hour)
	if got := restarted.size(&w, 3); got != 4 {
		t.Errorf("size %g after a restart, want 4", got)
	}
	if got := restarted.Pace(&w, 3, 2*time.Hour); got < 1.1 {
		t.Errorf("pace %g after a restart, want 1.1 at least", got)
	}
	for _, invalid := range []Learned{
		{Slots: math.NaN(), Pace: math.NaN(), Jobs: 1},
		{Slots: -1, Pace: 9, Jobs: 1},
		{Slots: math.Inf(1), Jobs: math.Inf(1)},
	} {
		var w Worker
		w.Restore(invalid, time.Hour)
		if got := restarted.TimeToFinish(&w, 3, Own{}, &Job{Slots: 1, Work: 1}, time.Hour); !(got >= 0) || math.IsInf(got, 0) {
			t.Errorf("%+v leads to a forecast of %g s, want a finite time of at least 0", invalid, got)
		}
	}
}

// TestHints checks that hints that are worse estimates than the class's mean are ignored, and that hints proportional to
// the work are used, whatever their ratio to it is.
func TestHints(t *testing.T) {
	var good, bad runEstimate
	for i := range 64 {
		took := 0.1 * float64(1+i%10)
		good.record(time.Duration(3*took*float64(time.Second)), took)
		bad.record(time.Duration(float64(1+(i*7)%13)*float64(time.Second)), took)
	}
	if got := good.work(3*time.Second, 9); math.Abs(got-1) > 0.05 {
		t.Errorf("a hint of 3 s, at three times the work, leads to %g s, want 1", got)
	}
	if got := bad.work(13*time.Second, 9); got != bad.meanRun {
		t.Errorf("a hint unrelated to the work leads to %g s, want the class's mean of %g", got, bad.meanRun)
	}
	if got := new(runEstimate).work(0, 9); got != 9 {
		t.Errorf("a job without a hint or recorded runs takes %g s, want the usual 9", got)
	}
}

// TestPace checks that a worker without recorded jobs has the pace of its kind, that a worker's own jobs outweigh its
// kind's, and that a slow pace decays.
func TestPace(t *testing.T) {
	var f Fleet
	var w, sameKind Worker
	now := time.Hour
	for range 20 {
		f.RecordRun(&w, 2, 0, 0, 1, 2, now)
	}
	if got := f.Pace(&sameKind, 2, now); got < 1.8 || got > 2.1 {
		t.Errorf("a worker of the same kind has a pace of %g, want 1.8 to 2.1", got)
	}
	var slow Worker
	for range 20 {
		f.RecordRun(&slow, 2, 0, 0, 1, 6, now)
		f.RecordRun(&w, 2, 0, 0, 1, 2, now)
	}
	if a, b := f.Pace(&slow, 2, now), f.Pace(&w, 2, now); a < 1.5*b {
		t.Errorf("the slow worker has a pace of %g, the other of %g, want a ratio of 1.5 at least", a, b)
	}
	if got, earlier := f.Pace(&slow, 2, now+5*time.Minute), f.Pace(&slow, 2, now); got > 0.8*earlier {
		t.Errorf("the pace is %g after five minutes, %g before, want 0.8 of that at most", got, earlier)
	}
}

// TestReportConfidence checks that jobs are no longer rejected because of reported queues after many jobs started at once
// in spite of them, and are rejected again after many jobs waited.
func TestReportConfidence(t *testing.T) {
	var f Fleet
	var w Worker
	now := time.Hour
	f.NewJob(0, 1, time.Second, 1)
	send := func(wait time.Duration) {
		f.RecordReport(&w, 0, Report{Free: 1, Queued: 30, InFlight: math.NaN()}, Own{}, now)
		j := Job{Slots: 1, Work: 1, Target: 3, TargetAt: now + 3*time.Second}
		f.RecordSent(&w, 0, Own{}, &j, now)
		now += wait
		f.RecordStart(&w, 0, &j, wait > 0, Own{InUse: 1, Running: 1}, now)
	}
	rejects := func() bool {
		f.sentAt = now
		f.RecordReport(&w, 0, Report{Free: 1, Queued: 30, InFlight: math.NaN()}, Own{}, now)
		return f.ShouldReject(&w, 0, Own{}, &Job{Slots: 1, Work: 1, Target: 3, TargetAt: now + 3*time.Second}, 4, now)
	}
	if !rejects() {
		t.Fatal("a job with a target of 3 s is not rejected behind a queue of 30 jobs of 1 s")
	}
	for range 100 {
		send(0)
	}
	if rejects() {
		t.Errorf("a job is still rejected, for a wait of %g s, after 100 jobs that started at once", f.wait(&w, 0, Own{}, 1, now))
	}
	for range 100 {
		send(10 * time.Second)
	}
	if !rejects() {
		t.Error("a job is not rejected after 100 jobs that waited for 10 s")
	}
}

// rounding is the allowed rounding error between two equal forecasts.
const rounding = 1e-9

// TestForecastsAreFinite checks for random histories that forecasts are finite and not negative, that another own job of
// the mean work at the worker does not make a forecast earlier, and that WaitUntil is between now and the target. An own
// job with less than the mean work may replace an assumed job of another dispatcher and so lower the expected work, but by
// less than the contribution of a job of the mean work.
func TestForecastsAreFinite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Fleet
		workers := make([]Worker, 3)
		now := time.Hour
		odd := rapid.OneOf(rapid.Float64Range(0, 20), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1, 1e300}))
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			w := &workers[rapid.IntRange(0, 2).Draw(t, "worker")]
			inUse := float64(rapid.IntRange(0, 9).Draw(t, "held"))
			own := Own{InUse: inUse, Running: math.Floor(inUse / 2), Work: inUse}
			kind, class := rapid.IntRange(-1, 70).Draw(t, "kind"), rapid.IntRange(-1, 3).Draw(t, "class")
			hint := time.Duration(rapid.IntRange(0, 5000).Draw(t, "hint")) * time.Millisecond
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				f.RecordReport(w, kind, Report{Free: odd.Draw(t, "free"), Queued: odd.Draw(t, "queued")}, own, now)
			case 1:
				j := Job{Slots: 1}
				f.RecordSent(w, kind, own, &j, now)
				f.RecordStart(w, kind, &j, rapid.Bool().Draw(t, "waited"), own, now)
			case 2:
				f.RecordRun(w, kind, class, hint, rapid.Float64Range(0, 9).Draw(t, "work"), rapid.Float64Range(0, 9).Draw(t, "took"), now)
			}
			j := f.NewJob(class, float64(rapid.IntRange(1, 8).Draw(t, "slots")), hint, 1)
			j.Target, j.TargetAt = 2, now+2*time.Second
			needs := f.TimeToFinish(w, kind, own, &j, now)
			if !(needs >= 0) || math.IsInf(needs, 0) {
				t.Fatalf("the job needs %g s, want a finite time of at least 0", needs)
			}
			mean, light := own, own // own load with another job: of the mean work, or of one second
			mean.InUse, mean.Work = own.InUse+1, own.Work+f.meanWork
			light.InUse, light.Work = own.InUse+1, own.Work+1
			if more := f.TimeToFinish(w, kind, mean, &j, now); more < needs-rounding {
				t.Fatalf("the job needs %g s, and %g behind another own job of the mean work, want no less", needs, more)
			}
			meanJobWait := waitFactor * f.meanWork / f.size(w, kind) * f.Pace(w, kind, now)
			if more := f.TimeToFinish(w, kind, light, &j, now); more < needs-meanJobWait-rounding {
				t.Fatalf("the job needs %g s, and %g behind another own job of 1 s, want at most %g less", needs, more, meanJobWait)
			}
			if waitUntil := f.WaitUntil(w, kind, &j, now); waitUntil < now || waitUntil > j.TargetAt {
				t.Fatalf("WaitUntil returned %v, want a time from now, %v, to the target, %v", waitUntil, now, j.TargetAt)
			}
			f.ShouldReject(w, kind, own, &j, 4, now)
		}
	})
}

// TestQueueFromInFlight checks that the queue is derived from the jobs in flight if the report has no queue length, and
// that the jobs in flight are ignored if it has one.
func TestQueueFromInFlight(t *testing.T) {
	now := time.Hour
	timeAfter := func(r Report) float64 {
		var f Fleet
		var w Worker
		f.NewJob(0, 1, time.Second, 1)
		f.RecordReport(&w, 0, Report{Free: 4, Queued: math.NaN(), InFlight: math.NaN()}, Own{}, now)
		f.RecordReport(&w, 0, r, Own{}, now)
		return f.TimeToFinish(&w, 0, Own{}, &Job{Slots: 1, Work: 1}, now)
	}
	full := Report{Free: 0, Queued: math.NaN(), InFlight: 4}
	queue := full
	queue.InFlight = 12
	if a, b := timeAfter(full), timeAfter(queue); b < a+1.5 {
		t.Errorf("a job needs %.2f s behind 4 jobs in 4 slots and %.2f s behind 12, want at least 1.5 s more", a, b)
	}
	reported := queue
	reported.Queued = 0
	if a, b := timeAfter(full), timeAfter(reported); math.Abs(a-b) > 1e-9 {
		t.Errorf("a job needs %.2f s where an empty queue is reported, want %.2f", b, a)
	}
}

// TestQueueFromInFlightDecays checks that a queue derived from jobs in flight is assumed to shrink as its jobs run, even
// without new reports, and that the size of a worker without waiting jobs includes its jobs in flight.
func TestQueueFromInFlightDecays(t *testing.T) {
	now := time.Hour
	var f Fleet
	var w Worker
	f.NewJob(0, 1, time.Second, 1)
	f.RecordReport(&w, 0, Report{Free: 1, Queued: math.NaN(), InFlight: 3}, Own{}, now)
	if size := f.size(&w, 0); size != 4 {
		t.Errorf("size %g with one free slot and 3 jobs in flight, want 4", size)
	}
	f.RecordReport(&w, 0, Report{Free: 0, Queued: math.NaN(), InFlight: 8}, Own{}, now)
	at, later := f.OthersInUse(&w, 0, now), f.OthersInUse(&w, 0, now+2*time.Second)
	if at != 8 || later > 5 {
		t.Errorf("others use %g slots and 2 s later %g, want 8 and then 5 at most, as the worker has 4", at, later)
	}
}

// TestRecordNoStart checks that a job canceled before its start reveals the queue before it: the next job is expected to
// wait about as long, and this expectation decays like a report.
func TestRecordNoStart(t *testing.T) {
	now := time.Hour
	var f Fleet
	var w Worker
	j := f.NewJob(0, 1, time.Second, 1)
	f.RecordReport(&w, 0, Report{Free: 4, Queued: 0}, Own{}, now)
	f.RecordSent(&w, 0, Own{}, &j, now)
	next := Job{Slots: 1, Work: 1}
	before := f.TimeToFinish(&w, 0, Own{}, &next, now)
	now += 2 * time.Second
	f.RecordNoStart(&w, 0, &j, Own{InUse: 1}, now)
	if after := f.TimeToFinish(&w, 0, Own{}, &next, now); after < before+1 {
		t.Errorf("a job needs %.2f s after another was canceled after a wait of 2 s, %.2f s before, want at least 1 s more", after, before)
	}
	if later := f.TimeToFinish(&w, 0, Own{}, &next, now+10*decayTime); later > before+0.1 {
		t.Errorf("long after the cancellation a job needs %.2f s, want %.2f", later, before)
	}
}
