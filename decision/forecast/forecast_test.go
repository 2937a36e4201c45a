package forecast

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "frosttide/internal/testkit/standin/fixeddraws"
)

// TestOwnJobsAreNotCountedTwice checks that the dispatcher's own jobs do not count twice, in a report and by
// themselves, and that others' jobs decay.
func TestOwnJobsAreNotCountedTwice(t *testing.T) {
	var f Fleet
	var w, other Worker
	now := time.Hour
	f.NewJob(0, 1, time.Second, 1)
	f.RecordReport(&other, 0, Report{Free: 4}, Own{}, now)
	f.RecordReport(&w, 0, Report{Free: 4}, Own{}, now)
	f.RecordReport(&w, 0, Report{Free: 0, Queued: 2, InFlight: math.NaN()}, Own{InUse: 3, Running: 3}, now)
	if got := f.Others(&w, 0, now); math.Abs(got-3) > 1e-9 {
		t.Errorf("others use %g slots, want the 3 of 6 that are not our own", got)
	}
	if got := f.Others(&w, 0, now+time.Minute); got > 0.1 {
		t.Errorf("others use %g slots a minute later, want next to none", got)
	}
	busy := f.TimeToFinish(&w, 0, Own{InUse: 3, Running: 3, Work: 3}, &Job{Slots: 1, Work: 1}, now)
	idle := f.TimeToFinish(&other, 0, Own{}, &Job{Slots: 1, Work: 1}, now)
	if busy < idle+0.3 {
		t.Errorf("a full worker needs %g s and an idle one %g s", busy, idle)
	}
	before := f.Others(&w, 0, now)
	for _, bad := range []float64{math.NaN(), math.Inf(1), -1, 1e30} {
		f.RecordReport(&w, 0, Report{Free: bad, Queued: 1, InFlight: math.NaN()}, Own{}, now)
	}
	if got := f.Others(&w, 0, now); got != before {
		t.Errorf("reports that mean nothing moved the others from %g to %g slots", before, got)
	}
}

// TestSize checks that noise of reports does not raise the size of a worker with four slots, and that the
// size is at least what own jobs have used, though reports lag.
func TestSize(t *testing.T) {
	var f Fleet
	var w Worker
	for i := range 200 {
		noise := 1 + 0.068*math.Sin(float64(i)*1.7)
		f.RecordReport(&w, 0, Report{Free: 4 * noise}, Own{}, time.Duration(i)*time.Second)
	}
	if got := f.size(&w, 0); got != 4 {
		t.Errorf("it has %g slots, want 4", got)
	}
	f.RecordStart(&w, 0, &Job{}, false, Own{InUse: 6, Running: 6}, time.Hour)
	if got := f.size(&w, 0); got != 6 {
		t.Errorf("it has %g slots, want the 6 that we have had in use at once", got)
	}
}

// TestSizeOfKind checks the size of workers that look small because they are busy: one that was never seen
// empty has as many slots as others of its kind, up to twice what it showed; one that showed nothing has the
// fleet's mean; and what was learned outlives the process.
func TestSizeOfKind(t *testing.T) {
	var f Fleet
	var empty, busy, full, next Worker
	f.RecordReport(&empty, 3, Report{Free: 4}, Own{}, time.Hour)
	f.RecordReport(&busy, 3, Report{Free: 2}, Own{InUse: 1, Running: 1}, time.Hour)
	f.RecordReport(&full, 3, Report{Free: 0, Queued: 3, InFlight: math.NaN()}, Own{}, time.Hour)
	f.RecordReport(&next, 4, Report{Free: 2}, Own{}, time.Hour)
	for _, tc := range []struct {
		w    *Worker
		kind int
		want float64
	}{{&empty, 3, 4}, {&busy, 3, 4}, {&full, 3, f.meanSlots}, {&next, 4, 2}} {
		if got := f.size(tc.w, tc.kind); got != tc.want {
			t.Errorf("it has %g slots, want %g", got, tc.want)
		}
	}
	f.RecordRun(&empty, 3, 0, 0, 1, 2, time.Hour)
	var later Fleet
	var w Worker
	w.Restore(empty.Learned(), 2*time.Hour)
	if got := later.size(&w, 3); got != 4 {
		t.Errorf("after a start it has %g slots, want 4", got)
	}
	if got := later.Pace(&w, 3, 2*time.Hour); got < 1.1 {
		t.Errorf("after a start its pace is %g, want one above 1", got)
	}
	for _, odd := range []Learned{
		{Slots: math.NaN(), Pace: math.NaN(), Jobs: 1},
		{Slots: -1, Pace: 9, Jobs: 1},
		{Slots: math.Inf(1), Jobs: math.Inf(1)},
	} {
		var w Worker
		w.Restore(odd, time.Hour)
		if got := later.TimeToFinish(&w, 3, Own{}, &Job{Slots: 1, Work: 1}, time.Hour); !(got >= 0) || math.IsInf(got, 0) {
			t.Errorf("%+v leads to %g s", odd, got)
		}
	}
}

// TestHints checks that hints worse than the class's mean are ignored, and that others are used, whatever
// multiple of the work they are.
func TestHints(t *testing.T) {
	var good, bad runEstimate
	for i := range 64 {
		took := 0.1 * float64(1+i%10)
		good.record(time.Duration(3*took*float64(time.Second)), took)
		bad.record(time.Duration(float64(1+(i*7)%13)*float64(time.Second)), took)
	}
	if got := good.work(3*time.Second, 9); math.Abs(got-1) > 0.05 {
		t.Errorf("a hint of three times the work leads to %g s, want 1", got)
	}
	if got := bad.work(13*time.Second, 9); got != bad.meanRun {
		t.Errorf("a hint that says nothing leads to %g s, want the mean of %g", got, bad.meanRun)
	}
	if got := new(runEstimate).work(0, 9); got != 9 {
		t.Errorf("without anything known a job takes %g s, want what is usual", got)
	}
}

// TestPace checks that an unknown worker has the pace of its kind, that a worker's own jobs outweigh its
// kind, and that a slow time is forgotten.
func TestPace(t *testing.T) {
	var f Fleet
	var w, like Worker
	now := time.Hour
	for range 20 {
		f.RecordRun(&w, 2, 0, 0, 1, 2, now)
	}
	if got := f.Pace(&like, 2, now); got < 1.8 || got > 2.1 {
		t.Errorf("one of its kind has a pace of %g, want about 2", got)
	}
	var slow Worker
	for range 20 {
		f.RecordRun(&slow, 2, 0, 0, 1, 6, now)
		f.RecordRun(&w, 2, 0, 0, 1, 2, now)
	}
	if a, b := f.Pace(&slow, 2, now), f.Pace(&w, 2, now); a < 1.5*b {
		t.Errorf("the slow one has a pace of %g, the other of %g", a, b)
	}
	if got, earlier := f.Pace(&slow, 2, now+5*time.Minute), f.Pace(&slow, 2, now); got > 0.8*earlier {
		t.Errorf("its pace is %g minutes later, %g before", got, earlier)
	}
}

// TestReportConfidence checks that reports of full workers are trusted less with each job that starts at
// once, and fully again once jobs do wait.
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
		t.Fatal("a queue of 30 jobs of a second is no reason to refuse one that has three")
	}
	for range 100 {
		send(0)
	}
	if rejects() {
		t.Errorf("after 100 jobs that started at once it is still refused, for a wait of %g s", f.wait(&w, 0, Own{}, 1, now))
	}
	for range 100 {
		send(10 * time.Second)
	}
	if !rejects() {
		t.Error("after 100 jobs that did wait it is not refused")
	}
}

// rounding is how far two forecasts may be apart that are equal but for the arithmetic.
const rounding = 1e-9

// TestForecastsAreFinite checks that any history leads to forecasts that are finite and not negative, no
// sooner with another own job of the mean work at the worker, and to a WaitUntil between now and the target.
// An own job lighter than the mean may replace one that is only assumed, and so lower the expected work: by
// less than a job of the mean work counts.
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
				t.Fatalf("needs %g s", needs)
			}
			mean, light := own, own // with another job of ours: a usual one, or one of a second
			mean.InUse, mean.Work = own.InUse+1, own.Work+f.meanWork
			light.InUse, light.Work = own.InUse+1, own.Work+1
			if more := f.TimeToFinish(w, kind, mean, &j, now); more < needs-rounding {
				t.Fatalf("needs %g s, and %g behind one more job of the mean work", needs, more)
			}
			usual := waitFactor * f.meanWork / f.size(w, kind) * f.Pace(w, kind, now)
			if more := f.TimeToFinish(w, kind, light, &j, now); more < needs-usual-rounding {
				t.Fatalf("needs %g s, and %g behind one more job of a second: a job of the mean work is worth %g", needs, more, usual)
			}
			if waitUntil := f.WaitUntil(w, kind, &j, now); waitUntil < now || waitUntil > j.TargetAt {
				t.Fatalf("wait until %v, it is %v and the target at %v", waitUntil, now, j.TargetAt)
			}
			f.ShouldReject(w, kind, own, &j, 4, now)
		}
	})
}

// TestQueueFromInFlight checks that a queue is derived from the jobs in flight where no column reports it,
// and that they are ignored where one does.
func TestQueueFromInFlight(t *testing.T) {
	now := time.Hour
	waits := func(r Report) float64 {
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
	if a, b := waits(full), waits(queue); b < a+1.5 {
		t.Errorf("a job needs %.2f s behind 4 jobs in 4 slots and %.2f s behind 12, want 2 s more", a, b)
	}
	reported := queue
	reported.Queued = 0
	if a, b := waits(full), waits(reported); math.Abs(a-b) > 1e-9 {
		t.Errorf("a job needs %.2f s where no queue is reported, want %.2f", b, a)
	}
}

// TestQueueFromInFlightDecays checks that a queue derived from jobs in flight ends once it has run, however
// seldom reports come, and that jobs in flight show the size of a worker where none waits.
func TestQueueFromInFlightDecays(t *testing.T) {
	now := time.Hour
	var f Fleet
	var w Worker
	f.NewJob(0, 1, time.Second, 1)
	f.RecordReport(&w, 0, Report{Free: 1, Queued: math.NaN(), InFlight: 3}, Own{}, now)
	if size := f.size(&w, 0); size != 4 {
		t.Errorf("one free slot beside 3 jobs: taken for %g slots, want 4", size)
	}
	f.RecordReport(&w, 0, Report{Free: 0, Queued: math.NaN(), InFlight: 8}, Own{}, now)
	at, later := f.Others(&w, 0, now), f.Others(&w, 0, now+2*time.Second)
	if at != 8 || later > 5 {
		t.Errorf("others use %g slots and 2 s later %g, want 8 and hardly more than the 4 that there are", at, later)
	}
}

// TestRecordNoStart checks that a job canceled before its start shows the queue that it met: the next one
// would wait at least as long, and this decays like a report.
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
		t.Errorf("a job needs %.2f s after one has waited for 2 s in vain, %.2f s before", after, before)
	}
	if later := f.TimeToFinish(&w, 0, Own{}, &next, now+10*decayTime); later > before+0.1 {
		t.Errorf("long after it needs %.2f s, want %.2f", later, before)
	}
}
