package faults

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// coldStart describes the capacity of runners after a restart, by the platform's rule: they begin
// with a share of their capacity, and one that gets too many jobs in a period is overloaded.
type coldStart struct {
	share  float64 // of its capacity at the start; 0 if runners start warm
	warm   time.Duration
	times  float64 // overload threshold, as a multiple of the present capacity
	within time.Duration
}

// parseCold parses the words of a line "cold SHARE WARM TIMES WITHIN".
func parseCold(w []string) (c coldStart, err error) {
	if len(w) != 5 {
		return c, errors.New("want a share, a duration, a factor and a duration")
	}
	var errs [4]error
	c.share, errs[0] = strconv.ParseFloat(w[1], 64)
	c.warm, errs[1] = time.ParseDuration(w[2])
	c.times, errs[2] = strconv.ParseFloat(w[3], 64)
	c.within, errs[3] = time.ParseDuration(w[4])
	if err = errors.Join(errs[:]...); err == nil && (c.share <= 0 || c.share > 1 || c.warm <= 0 || c.times < 1 || c.within <= 0) {
		err = errors.New("want a share above 0 and at most 1, a factor of at least 1, and positive durations")
	}
	return c, err
}

// settings returns the members' [cold] table, empty if runners start warm.
func (c coldStart) settings() string {
	if c.share == 0 {
		return ""
	}
	return fmt.Sprintf("[cold]\nstarts_at = %g\nwarm_within = %q\nfalls_at = %g\nfalls_within = %q\n", c.share, c.warm, c.times, c.within)
}

// capacityShare returns the share of its capacity, from 0 to 1, that a runner has at an age.
func (c coldStart) capacityShare(age time.Duration) float64 {
	if c.share == 0 || age >= c.warm {
		return 1
	}
	return c.share + (1-c.share)*float64(max(age, 0))/float64(c.warm)
}

// overloadLimit returns how many jobs may arrive within c.within at a runner with this share of its
// capacity. rate is what a warm runner processes, in jobs a second. It is the platform's bound plus
// two standard deviations and 2, as arrivals are random.
func (c coldStart) overloadLimit(share, rate float64) float64 {
	n := c.times * share * rate * c.within.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// warmup is the state of a runner that has restarted.
type warmup struct {
	at         time.Time
	arrivals   []time.Time // of jobs, within the last coldStart.within
	overloaded bool
	peakLoad   float64 // highest share of its overload limit so far
}

// share returns the share of its capacity that a runner has now. The caller holds s.mu.
func (s *runners) share(uid string) float64 {
	if w := s.warming[uid]; w != nil {
		return s.cold.capacityShare(time.Since(w.at))
	}
	return 1
}

// recordArrival counts a job that reaches a runner, accepted or rejected, against its overload
// limit. The caller holds s.mu.
func (s *runners) recordArrival(uid string) {
	w := s.warming[uid]
	if w == nil || s.slots == 0 {
		return
	}
	now, share := time.Now(), s.share(uid)
	if share == 1 {
		return
	}
	w.arrivals = append(slices.DeleteFunc(w.arrivals, func(at time.Time) bool { return now.Sub(at) > s.cold.within }), now)
	load := float64(len(w.arrivals)) / s.cold.overloadLimit(share, float64(s.slots)/s.work.Seconds())
	w.peakLoad = max(w.peakLoad, load)
	if load > 1 && !w.overloaded {
		w.overloaded = true
		s.overloads = append(s.overloads, fmt.Sprintf("runner %s fell %s after its start: %d jobs within %s, %.1f times what it bears",
			uid, now.Sub(w.at).Round(time.Millisecond), len(w.arrivals), s.cold.within, load))
	}
}

// restart has runners restart cold, and discovery report their new boot times. Jobs that they
// already have are completed.
func (r *scriptRun) restart(uids []string) error {
	if r.script.Cold.share == 0 {
		return errors.New("the script has no line cold")
	}
	for _, uid := range uids {
		i := slices.Index(r.fleet.uids, uid)
		if i < 0 {
			return fmt.Errorf("there is no runner %q", uid)
		}
		now := time.Now()
		r.fleet.runners.mu.Lock()
		r.fleet.runners.warming[uid] = &warmup{at: now}
		r.fleet.runners.mu.Unlock()
		r.fleet.catalog.change(i, func(t *target) { t.Boot = now.UnixMilli() })
	}
	return nil
}

// uids returns the IDs of the runners that a step names.
func (r *scriptRun) uids(words string) []string {
	if words == "all" {
		return r.fleet.uids
	}
	return strings.Split(words, ",")
}

// checkCold reports the highest load of cold runners, and each overload as a violation.
func (r *scriptRun) checkCold() {
	s := r.fleet.runners
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0.0
	for _, w := range s.warming {
		most = max(most, w.peakLoad)
	}
	if len(s.warming) > 0 {
		r.logf("the fullest of %d runners that warmed up had %.2f of what it bears", len(s.warming), most)
	}
	for _, text := range s.overloads {
		r.failf("rule 4: %s", text)
	}
}
