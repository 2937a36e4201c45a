package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// finish is finish_s of the settings.
const finish = 14 * time.Second

// cases are the cases by name; each returns whether the rule was broken.
var cases = map[string]func(*world) bool{
	"cancel":   cancelCase,
	"suspect":  suspectCase,
	"tokens":   tokensCase,
	"answer":   answerCase,
	"rename":   renameCase,
	"locality": localityCase,
	"ends":     endsCase,
	"budget":   budgetCase,
	"poison":   poisonCase,
	"swap":     swapCase,
}

// idle waits until finish_s after the end of the traffic and then watches a job of one-task steps for 5 s. It reports
// whether, for 3 s, the job had nothing running and was not at its end, although there was room for it twice over and
// less than half of the capacity was in use.
func (w *world) idle(j job) bool {
	w.log("the traffic has ended")
	time.Sleep(finish)
	s := j.Stages[0]
	var since time.Time
	for begun := time.Now(); time.Since(begun) < 5*time.Second; time.Sleep(100 * time.Millisecond) {
		cpu, cpuAll, memMb, memMbAll := w.usage()
		_, state := w.state(0, j.Prefix, j.ID)
		waits := (state == "pending" || state == "running") && w.runningOf(j.ID) == 0 && w.fits(s) >= 2*s.Count && 2*cpu < cpuAll && 2*memMb < memMbAll
		if !waits {
			since = time.Time{}
			continue
		}
		if since.IsZero() {
			since = time.Now()
			w.log("job %s is %s and has nothing running; in use: %d of %d thousandths of a core, %d of %d MB; room for %d such tasks", j.ID, state, cpu, cpuAll, memMb, memMbAll, w.fits(s))
		}
		if time.Since(since) > 3100*time.Millisecond {
			w.log("job %s has had nothing running for more than 3 s: LOST", j.ID)
			return true
		}
	}
	w.logState(0, j.Prefix, j.ID)
	return false
}

// cancelCase freezes a carrier while a job is handed in there; the client gives up and cancels at the other one.
func cancelCase(w *world) bool {
	const cancelTime = 3 * time.Second
	w.startCluster(3, 2, 2)
	w.addRunner(0, "i-00000001", 16000, 32768, "a", "r1-1")
	w.addRunner(1, "i-00000002", 16000, 32768, "a", "r1-2")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-work", "/batches/", 1, 2)))
	w.awaitReady()
	warm := w.tasks.add(job{ID: "00000000000000aa", Prefix: "/batches/", Spec: "warm", Stages: []stage{{Count: 2, CPU: 1000, MemMb: 256, EstimateMs: 300}}}, behavior{duration: 300 * time.Millisecond})
	w.submit(warm)
	if !await(5*time.Second, func() bool { return w.logState(0, "/batches/", warm.ID) == "completed" }) {
		stop("the first job does not complete")
	}
	j := w.tasks.add(job{ID: "00000000000000c1", Prefix: "/batches/", Spec: "two steps", Stages: []stage{
		{Count: 1, CPU: 1000, MemMb: 256, EstimateMs: 4000}, {Count: 1, CPU: 1000, MemMb: 256, EstimateMs: 4000, DependsOn: []int{0}}}}, behavior{duration: 4 * time.Second})
	if w.trouble {
		w.cluster.signal(w.cluster.edge[0], syscall.SIGSTOP)
		time.AfterFunc(3500*time.Millisecond, func() { w.cluster.signal(w.cluster.edge[0], syscall.SIGCONT) })
	}
	posted := time.Now()
	w.post(0, j, deadline)
	time.Sleep(deadline - time.Since(posted)) // the client's patience
	canceledAt := time.Duration(0)
	for range 5 {
		status, _ := call(deadline, http.MethodDelete, w.url(1, "/batches/", j.ID), host, "", nil)
		w.log("client: DELETE /batches/%s at edge-2: %d", j.ID, status)
		if status/100 == 2 || status == http.StatusGone {
			canceledAt = w.now()
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if canceledAt == 0 {
		stop("the cancelling is not acknowledged")
	}
	time.Sleep(12 * time.Second)
	w.logState(1, "/batches/", j.ID)
	bad := false
	for _, s := range w.startsOf(j.ID) {
		if s.at > canceledAt+cancelTime {
			w.log("%s started %.3f s after the acknowledgement of the cancelling: UNASKED", s.task, (s.at - canceledAt).Seconds())
			bad = true
		}
	}
	return bad
}

// suspectCase has one of four runners fail all that it starts for some seconds, while the only other one of its kind is
// full.
func suspectCase(w *world) bool {
	w.startCluster(3, 2, 4)
	big := w.addRunner(0, "i-00000001", 16000, 32768, "b", "r1-1")
	w.addRunner(1, "i-00000002", 8000, 16384, "b", "r1-2")
	w.addRunner(2, "i-00000003", 16000, 32768, "a", "r1-1")
	w.addRunner(3, "i-00000004", 16000, 32768, "a", "r1-1")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-work", "/batches/", 1, 2), newRoute("r-watch", "/watch/", 1, 2)))
	w.awaitReady()
	watch := w.tasks.add(job{ID: "00000000000000b0", Prefix: "/watch/", Spec: "watch", Stages: []stage{{Count: 8, CPU: 1000, MemMb: 1024, EstimateMs: 500, Requirements: "r1-2", LongRunning: true}}}, behavior{last: true})
	w.submit(watch)
	if !await(5*time.Second, func() bool { return w.runningOf(watch.ID) == 8 }) {
		stop("the watchers do not start")
	}
	if w.trouble {
		big.setGrey(true)
		time.AfterFunc(5*time.Second, func() { big.setGrey(false) })
	}
	var all []job
	for _, id := range []string{"00000000000000c1", "00000000000000c2", "00000000000000c3"} {
		j := w.tasks.add(job{ID: id, Prefix: "/batches/", Spec: "work", Stages: []stage{{Count: 1, CPU: 2000, MemMb: 512, EstimateMs: 800, Requirements: "b"}}}, behavior{duration: 800 * time.Millisecond})
		all = append(all, j)
	}
	w.submitAll(all)
	time.Sleep(5 * time.Second)
	for _, j := range all {
		w.logState(0, "/batches/", j.ID)
	}
	return w.idle(all[0])
}

// tokensCase has many small lasting tasks at work, and then an ordinary job.
func tokensCase(w *world) bool {
	const width = 32
	w.startCluster(3, 2, 2)
	w.addRunner(0, "i-00000001", 8000, 16384, "a", "r1-1")
	w.addRunner(1, "i-00000002", 8000, 16384, "a", "r1-2")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-work", "/batches/", 1, 2), newRoute("r-watch", "/watch/", 1, 2)))
	w.awaitReady()
	count := 10
	if !w.trouble {
		count = 4
	}
	total := 0
	for i := range count {
		watch := w.tasks.add(job{ID: "00000000000000b" + string(rune('0'+i)), Prefix: "/watch/", Spec: "watch",
			Stages: []stage{{Count: width, CPU: 20, MemMb: 16, EstimateMs: 500, LongRunning: true}}}, behavior{last: true})
		w.submit(watch)
		total += width
	}
	if !await(10*time.Second, func() bool {
		going := 0
		for _, r := range w.runners {
			r.mu.Lock()
			going += len(r.running)
			r.mu.Unlock()
		}
		return going == total
	}) {
		stop("the lasting tasks do not start")
	}
	j := w.tasks.add(job{ID: "00000000000000c1", Prefix: "/batches/", Spec: "work", Stages: []stage{{Count: 2, CPU: 1000, MemMb: 512, EstimateMs: 800}}}, behavior{duration: 800 * time.Millisecond})
	w.submit(j)
	return w.idle(j)
}

// crowd returns jobs of 64 tasks each.
func (w *world) crowd(count int, spec string, cpu, memMb int, duration time.Duration) (all []job) {
	for i := range count {
		all = append(all, w.tasks.add(job{ID: fmt.Sprintf("00000000000c%04d", i), Prefix: "/batches/", Spec: spec,
			Stages: []stage{{Count: 64, CPU: cpu, MemMb: memMb, EstimateMs: int(duration.Milliseconds())}}}, behavior{duration: duration}))
	}
	return all
}

// submitAll hands jobs in at the same time.
func (w *world) submitAll(all []job) {
	done := make(chan any, len(all))
	for _, j := range all {
		go func() {
			defer func() { done <- recover() }()
			w.submit(j)
		}()
	}
	for range all {
		if p := <-done; p != nil {
			panic(p)
		}
	}
}

// completed returns how many of some jobs are shown as completed.
func (w *world) completed(all []job) (count int) {
	for _, j := range all {
		if _, state := w.state(0, j.Prefix, j.ID); state == "completed" {
			count++
		}
	}
	return count
}

// answerCase has the runner of a service crash and come back while jobs are handed in.
func answerCase(w *world) bool {
	w.startCluster(3, 2, 1)
	r := w.addRunner(0, "i-00000001", 32000, 131072, "a", "r1-1")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-work", "/batches/", 1, 2)))
	w.awaitReady()
	spec := strings.Repeat("{\\\"k\\\":\\\"\\\"}\n", 400)[:4000]
	all := w.crowd(11, spec, 24, 100, 800*time.Millisecond)
	if w.trouble {
		r.close()
		w.log("runner %s crashes", r.id)
		time.Sleep(time.Second)
	}
	for _, j := range all {
		w.submit(j)
		time.Sleep(200 * time.Millisecond)
	}
	if w.trouble {
		time.Sleep(time.Second)
		w.runners = nil
		r = w.addRunner(0, "i-00000002", 32000, 131072, "a", "r1-1")
		w.log("the runner is back as %s", r.id)
	}
	bad := w.idle(all[0])
	r.mu.Lock()
	w.log("runner %s: %d answers above 4 MiB, largest %d bytes, %d answers missing or late, %d starts", r.id, r.oversized, r.largest, r.notAnswered, len(r.starts))
	r.mu.Unlock()
	w.log("%d of %d jobs are completed", w.completed(all), len(all))
	return bad
}

// renameCase renames a route while a job of it runs.
func renameCase(w *world) bool {
	const attempts = 4
	w.startCluster(3, 2, 2)
	w.addRunner(0, "i-00000001", 16000, 32768, "a", "r1-1")
	w.addRunner(1, "i-00000002", 16000, 32768, "a", "r1-2")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-old", "/batches/", 1, attempts)))
	w.awaitReady()
	j := w.tasks.add(job{ID: "00000000000000c1", Prefix: "/batches/", Spec: "work", Stages: []stage{{Count: 1, CPU: 1000, MemMb: 512, EstimateMs: 1500}}}, behavior{duration: 1500 * time.Millisecond, failures: attempts - 1})
	w.submit(j)
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		body := patch(3, []route{newRoute("r-new", "/batches/", 1, attempts)}, []string{"r-old"})
		w.operate(http.MethodPatch, "1", body)
	}
	state := ""
	await(40*time.Second, func() bool {
		state = w.logState(0, "/batches/", j.ID)
		time.Sleep(400 * time.Millisecond)
		return state == "completed" || state == "failed"
	})
	n := w.endsOf(j.ID, "failed")
	w.log("job %s is %s after %d ends failed; MaxAttempts is %d in every version", j.ID, state, n, attempts)
	return state == "failed" && n < attempts
}

// localityCase hands in a job whose data lies in a rack that is full.
func localityCase(w *world) bool {
	w.startCluster(3, 2, 3)
	w.addRunner(0, "i-00000001", 16000, 32768, "a", "r1-1")
	w.addRunner(1, "i-00000002", 16000, 32768, "a", "r1-2")
	w.addRunner(2, "i-00000003", 16000, 32768, "a", "r1-2")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-work", "/batches/", 1, 2), newRoute("r-watch", "/watch/", 1, 2)))
	w.awaitReady()
	if w.trouble {
		watch := w.tasks.add(job{ID: "00000000000000b0", Prefix: "/watch/", Spec: "watch", Stages: []stage{{Count: 15, CPU: 1000, MemMb: 512, EstimateMs: 500, Affinity: "r1-1", LongRunning: true}}}, behavior{last: true})
		w.submit(watch)
		await(5*time.Second, func() bool { return w.runningOf(watch.ID) == 15 })
	}
	j := w.tasks.add(job{ID: "00000000000000c1", Prefix: "/batches/", Spec: "work", Stages: []stage{{Count: 1, CPU: 2000, MemMb: 512, EstimateMs: 120000, Affinity: "r1-1"}}}, behavior{duration: 90 * time.Second})
	w.submit(j)
	return w.idle(j)
}

// endsCase kills all core processes while many short tasks of one runner end.
func endsCase(w *world) bool {
	const outage = 5 * time.Second
	w.startCluster(3, 2, 1)
	r := w.addRunner(0, "i-00000001", 32000, 131072, "a", "r1-1")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-work", "/batches/", 1, 2)))
	w.awaitReady()
	all := w.crowd(10, "work", 50, 100, 3*time.Second)
	w.submitAll(all)
	total := 0
	if !await(2500*time.Millisecond, func() bool {
		total = 0
		for _, j := range all {
			total += w.runningOf(j.ID)
		}
		return total == 640
	}) {
		stop("the tasks do not start: %d", total)
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.killCore(outage)
	}
	if !await(30*time.Second, func() bool { return w.completed(all) == len(all) }) {
		w.log("the jobs do not complete in time")
	}
	w.log("%d of %d jobs are completed", w.completed(all), len(all))
	time.Sleep(3 * time.Second)
	return r.startsAfterDone()
}

// killCore kills all core processes and starts them again after a while.
func (w *world) killCore(down time.Duration) {
	for _, m := range w.cluster.core {
		w.cluster.signal(m, syscall.SIGKILL)
	}
	for _, m := range w.cluster.core {
		<-m.done
	}
	time.Sleep(down)
	for _, m := range w.cluster.core {
		m.bootstrap = false
		w.cluster.start(m)
		w.log("platform: %s is started again", m.name)
	}
}

// startsAfterDone reports whether a task was started after a run of it had ended done, where that end was taken note of
// and the hold of the runner did not lapse.
func (r *runner) startsAfterDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	done, lapsed, count := make(map[string]*ended), 0, 0
	for _, e := range r.ends {
		if e.how == "done" && done[e.task] == nil {
			done[e.task] = e
		}
		if e.how == "lapsed" {
			lapsed++
		}
	}
	for _, s := range r.starts {
		if e := done[s.task]; e != nil && e.at < s.at && e.forgotten {
			if count++; count <= 5 {
				r.world.log("%s run %d started at %.3f, although run %d had ended done at %.3f as end %d, which was taken note of: TWICE", s.task, s.number, s.at.Seconds(), e.number, e.at.Seconds(), e.n)
			}
		}
	}
	r.world.log("%d starts, %d of them after an end done of the same task; runs that lapsed: %d; times that the hold was over: %d", len(r.starts), count, lapsed, r.lapses)
	return count > 0 && r.lapses == 0
}

// budgetCase removes the route of a job whose task may fail once.
func budgetCase(w *world) bool {
	w.startCluster(3, 2, 2)
	w.addRunner(0, "i-00000001", 16000, 32768, "a", "r1-1")
	w.addRunner(1, "i-00000002", 16000, 32768, "a", "r1-2")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-old", "/batches/", 1, 1), newRoute("r-other", "/other/", 1, 1)))
	w.awaitReady()
	j := w.tasks.add(job{ID: "00000000000000c1", Prefix: "/batches/", Spec: "work", Stages: []stage{{Count: 1, CPU: 1000, MemMb: 512, EstimateMs: 1500}}}, behavior{duration: 1500 * time.Millisecond, failures: 1})
	w.submit(j)
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.operate(http.MethodPatch, "1", patch(3, []route{}, []string{"r-old"}))
	}
	time.Sleep(6 * time.Second)
	n := len(w.startsOf(j.ID))
	w.log("%d starts, %d ends failed; MaxAttempts was 1", n, w.endsOf(j.ID, "failed"))
	return n > 1
}

// poisonCase hands in an urgent job that no runner can take, and then a lasting task fails once.
func poisonCase(w *world) bool {
	w.startCluster(3, 2, 2)
	w.addRunner(0, "i-00000001", 16000, 32768, "a", "r1-1")
	w.addRunner(1, "i-00000002", 16000, 32768, "a", "r1-2")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-urgent", "/urgent/", 0, 2), newRoute("r-watch", "/watch/", 1, 2)))
	w.awaitReady()
	watch := w.tasks.add(job{ID: "00000000000000b0", Prefix: "/watch/", Spec: "watch", Stages: []stage{{Count: 6, CPU: 640, MemMb: 660, EstimateMs: 500, LongRunning: true}}}, behavior{last: true})
	w.submit(watch)
	if !await(5*time.Second, func() bool { return w.runningOf(watch.ID) == 6 }) {
		stop("the watchers do not start")
	}
	if w.trouble {
		w.submit(w.tasks.add(job{ID: "00000000000000c1", Prefix: "/urgent/", Spec: "nobody has this label", Stages: []stage{{Count: 64, CPU: 720, MemMb: 740, EstimateMs: 500, Requirements: "z"}}}, behavior{}))
	}
	time.Sleep(time.Second)
	w.failOne(watch.ID)
	failed := time.Now()
	longest := time.Duration(0)
	for time.Since(failed) < 20*time.Second {
		time.Sleep(100 * time.Millisecond)
		if w.runningOf(watch.ID) == 6 {
			break
		}
		longest = time.Since(failed)
	}
	cpu, cpuAll, memMb, memMbAll := w.usage()
	w.log("%d of 6 lasting tasks run, one has not run for %.1f s; in use: %d of %d thousandths of a core, %d of %d MB", w.runningOf(watch.ID), longest.Seconds(), cpu, cpuAll, memMb, memMbAll)
	return longest > 9*time.Second
}

// failOne has one run of a job fail.
func (w *world) failOne(id string) {
	for _, r := range w.runners {
		r.mu.Lock()
		for task, run := range r.running {
			if strings.HasPrefix(task, id+".") {
				r.endRun(run, "failed")
				r.mu.Unlock()
				return
			}
		}
		r.mu.Unlock()
	}
}

// swapCase gives the prefix of a route to another route while a job runs.
func swapCase(w *world) bool {
	w.startCluster(3, 2, 2)
	w.addRunner(0, "i-00000001", 16000, 32768, "a", "r1-1")
	w.addRunner(1, "i-00000002", 16000, 32768, "a", "r1-2")
	w.operate(http.MethodPut, "0", configuration(1, newRoute("r-work", "/batches/", 1, 2)))
	w.awaitReady()
	j := w.tasks.add(job{ID: "00000000000000c1", Prefix: "/batches/", Spec: "two steps", Stages: []stage{
		{Count: 1, CPU: 1000, MemMb: 256, EstimateMs: 8000}, {Count: 1, CPU: 1000, MemMb: 256, EstimateMs: 2000, DependsOn: []int{0}}}}, behavior{duration: 8 * time.Second})
	w.submit(j)
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.operate(http.MethodPatch, "1", patch(3, []route{newRoute("r-work", "/moved/", 1, 2), newRoute("r-next", "/batches/", 1, 2)}, []string{}))
	}
	time.Sleep(3500 * time.Millisecond)
	status, state := w.state(0, j.Prefix, j.ID)
	w.log("client: GET /batches/%s at edge-1, %.1f s after it was accepted: %d %s", j.ID, 4.0, status, state)
	return status == http.StatusGone
}
