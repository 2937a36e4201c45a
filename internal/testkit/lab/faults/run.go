package faults

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepTime bounds each wait for an event; a script that has to wait longer fails.
const stepTime = 30 * time.Second

// Result is the outcome of a run.
type Result struct {
	Timeline []string
	// Violated rules and invariants, and the step that failed; empty on success.
	Broken []string
	Logs   string // the ends of the processes' logs, if Broken is not empty
	// Curve is the rate of jobs served in each tenth of a second, beginning CurveFrom tenths
	// before the fault, as a share of the baseline; nil if the script measured no baseline.
	Curve []float64
}

// Run executes a script with the given program. dir must exist and be empty. A violated rule or a
// failed step is reported in the Result; the error is about starting the fleet.
func Run(s *Script, program Program, dir string) (*Result, error) {
	f, err := openFleet(s, program, dir)
	if err != nil {
		return nil, err
	}
	defer f.close()
	probe, err := startDiskProbe(dir)
	if err != nil {
		return nil, err
	}
	defer probe.stop()
	r := &scriptRun{script: s, fleet: f, probe: probe, began: time.Now(), names: map[string][]*member{}, observer: newObserver(), rng: rand.New(rand.NewPCG(s.Seed, 3)),
		result: &Result{}, flows: map[string]*workflowRun{}, gangs: map[string]*gangRun{}, answered: map[string]bool{}, sentAt: map[string]time.Time{}}
	f.runners.withholdFirst = true
	for _, m := range f.members {
		if err := f.start(m); err != nil {
			return nil, fmt.Errorf("%s: %w", m.name, err)
		}
	}
	err = r.steps()
	r.load(false)
	r.sending.Wait()
	if err == nil {
		err = r.healAndConverge()
	}
	if err == nil {
		err = r.settleFlows()
	}
	if err != nil {
		r.failf("%s", err)
	}
	if err == nil {
		r.checkFlows()
	}
	r.checkInvariants(err == nil)
	r.checkCold()
	r.curve()
	r.result.Broken = append(r.result.Broken, f.races()...)
	if len(r.result.Broken) > 0 {
		for _, m := range r.running() {
			if got, err := f.report(m); err == nil {
				// Plain values: Marshal does not fail.
				text, _ := json.Marshal(map[string]any{"members": got.Members, "log": got.Log, "copies": got.Replicas})
				r.result.Logs += m.name + " " + string(text) + "\n"
			}
		}
		for _, m := range f.members {
			if m.log != nil {
				r.result.Logs += "--- " + m.name + "\n" + m.log.text(60) + "\n"
			}
		}
	}
	return r.result, nil
}

// scriptRun is the state of one execution of a script.
type scriptRun struct {
	script   *Script
	fleet    *fleet
	began    time.Time
	names    map[string][]*member // assigned by steps with "as NAME"
	observer *observer
	rng      *rand.Rand
	result   *Result
	probe    *diskProbe

	resultMu sync.Mutex // guards result, which concurrent clients write to

	// Jobs a second of each open-loop client; 0 for one job after the other.
	rate              float64
	baselineRate      float64   // jobs served a second before a fault
	baselineQueueFull int       // jobs rejected by full queues before the fault
	baselinePeak      int       // most jobs in a second at one runner before the fault
	faultAt           time.Time // first kill since the baseline was measured
	startAt           time.Time // last start of a process

	flows            map[string]*workflowRun
	workflowCount    int       // workflows of the last step many
	workflowLeaseEnd time.Time // when the last of their leases ends
	gangs            map[string]*gangRun
	mu               sync.Mutex // guards jobs and answered
	jobs             int
	orders           int                  // orders that operators have sent
	answered         map[string]bool      // keyed jobs whose first request was answered
	sentAt           map[string]time.Time // when each keyed job was first sent
	sending          sync.WaitGroup       // requests in the background
}

// logf appends a line to the timeline, with the seconds since the run began.
func (r *scriptRun) logf(format string, args ...any) {
	r.resultMu.Lock()
	defer r.resultMu.Unlock()
	r.result.Timeline = append(r.result.Timeline, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

// failf records a violation in the timeline and in Result.Broken.
func (r *scriptRun) failf(format string, args ...any) {
	r.logf("BROKEN "+format, args...)
	r.resultMu.Lock()
	defer r.resultMu.Unlock()
	r.result.Broken = append(r.result.Broken, fmt.Sprintf(format, args...))
}

// steps executes all steps and stops at the first that fails.
func (r *scriptRun) steps() error {
	for _, s := range r.script.Steps {
		began := time.Now()
		if err := r.step(s); err != nil {
			return fmt.Errorf("%s:%d: %s: %w", r.script.Name, s.Line, s, err)
		}
		took := time.Since(began)
		r.logf("%s (%d ms)", s, took.Milliseconds())
	}
	return nil
}

// retryUntil polls a condition until it returns nil, for stepTime at most. The pause of 10 ms
// between polls limits the load on the processes under test.
func (r *scriptRun) retryUntil(ok func() error) error {
	deadline := time.Now().Add(stepTime)
	for {
		err := ok()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("after %s: %w", stepTime, err)
		}
		<-time.After(10 * time.Millisecond)
	}
}

// step executes one step.
func (r *scriptRun) step(s Step) error {
	w := s.Words
	switch w[0] {
	case "await":
		return r.await(w[1:])
	case "exclude", "include":
		return r.operatorOrder(w)
	case "drain", "serve", "remove":
		return r.changeTarget(w[0], w[1])
	case "heal":
		r.fleet.net.set(indexes(r.fleet.members), indexes(r.fleet.members), func(l *link) { *l = link{heldBack: l.heldBack} })
		return nil
	case "break", "mend":
		r.fleet.runners.mu.Lock()
		defer r.fleet.runners.mu.Unlock()
		for _, uid := range strings.Split(w[1], ",") {
			r.fleet.runners.broken[uid] = w[0] == "break"
		}
		return nil
	case "restart":
		return r.restart(r.uids(w[1]))
	case "refuse", "accept":
		r.fleet.runners.mu.Lock()
		defer r.fleet.runners.mu.Unlock()
		for _, uid := range strings.Split(w[1], ",") {
			r.fleet.runners.rejecting[uid] = w[0] == "refuse"
		}
		return nil
	case "many":
		return r.beginWorkflows(w)
	case "gang":
		return r.sendGang(w)
	case "lag", "hang", "unhang":
		return r.setPartSpeed(w)
	case "flow":
		return r.flowStep(w)
	case "spoil", "unspoil":
		r.fleet.runners.mu.Lock()
		defer r.fleet.runners.mu.Unlock()
		r.fleet.runners.failing[w[1]] = w[0] == "spoil"
		return nil
	case "withhold", "tell":
		r.fleet.runners.mu.Lock()
		defer r.fleet.runners.mu.Unlock()
		r.fleet.runners.unreported[w[1]] = w[0] == "withhold"
		return nil
	case "job", "retry":
		return r.job(w)
	case "load":
		r.rate = 0
		if w[1] == "retrying" {
			if len(w) != 3 || r.script.Slots == 0 {
				return errors.New("a share is wanted, and runners with slots")
			}
			share, err := strconv.ParseFloat(w[2], 64)
			if err != nil {
				return err
			}
			r.rate = share * float64(r.script.Runners*r.script.Slots) / r.script.Work.Seconds() / float64(r.script.Members)
		}
		r.load(w[1] != "off")
		return nil
	case "flood":
		n, err := strconv.Atoi(w[1])
		for i := range min(n, 10_000) {
			r.fleet.catalog.change(i%len(r.fleet.uids), func(t *target) { t.Weight = 1 + (t.Weight+i)%7 })
		}
		return err
	}
	who, err := r.resolveMembers(w[1])
	if w[0] == "leave" {
		who, err = r.resolveMembers(w[3])
	}
	if err != nil {
		return err
	}
	if n := len(w); n >= 4 && w[n-2] == "as" {
		r.names[w[n-1]], r.names["last"] = who, who
	}
	switch w[0] {
	case "cut", "lossy", "slow", "reset":
		return r.changeLinks(w, who)
	case "hold", "release":
		for _, m := range who {
			r.fleet.catalog.hold(m.i, w[0] == "hold")
		}
		return nil
	case "mute", "speak":
		for _, m := range who {
			r.fleet.catalog.silence(m.i, w[0] == "mute")
		}
		return nil
	case "leave":
		name := w[1]
		if given := r.names[name]; len(given) > 0 {
			name = given[0].name
		}
		_, err := r.post(who[0], "/api/cluster/remove", fmt.Sprintf(`{"name":%q}`, name))
		if (err == nil) != (w[4] == "done") {
			return fmt.Errorf("it came to %v", err)
		}
		return nil
	}
	for _, m := range who {
		if err := r.process(w, m); err != nil {
			return fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return nil
}
