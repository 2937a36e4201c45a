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

// coldness is how runners do after a start, by the platform's rule: they begin with a share of
// their capacity, and one that gets too many jobs at a time falls.
type coldness struct {
	share  float64 // at the start; 0 for warm ones
	warm   time.Duration
	times  float64 // what it can do then, times this
	within time.Duration
}

// parseCold reads "cold SHARE WARM TIMES WITHIN".
func parseCold(w []string) (c coldness, err error) {
	if len(w) != 5 {
		return c, errors.New("a share, a time, a number of times and a time are wanted")
	}
	var errs [4]error
	c.share, errs[0] = strconv.ParseFloat(w[1], 64)
	c.warm, errs[1] = time.ParseDuration(w[2])
	c.times, errs[2] = strconv.ParseFloat(w[3], 64)
	c.within, errs[3] = time.ParseDuration(w[4])
	if err = errors.Join(errs[:]...); err == nil && (c.share <= 0 || c.share > 1 || c.warm <= 0 || c.times < 1 || c.within <= 0) {
		err = errors.New("a share from 0 to 1, times from 1 on and times above 0 are wanted")
	}
	return c, err
}

// settings are the members' own for it.
func (c coldness) settings() string {
	if c.share == 0 {
		return ""
	}
	return fmt.Sprintf("[cold]\nstarts_at = %g\nwarm_within = %q\nfalls_at = %g\nfalls_within = %q\n", c.share, c.warm, c.times, c.within)
}

// can is the share of its capacity that a runner of an age has.
func (c coldness) can(age time.Duration) float64 {
	if c.share == 0 || age >= c.warm {
		return 1
	}
	return c.share + (1-c.share)*float64(max(age, 0))/float64(c.warm)
}

// bears is how many jobs may come within the time at that share, where so many a second are what
// a warm runner does: the platform's bound, with its slack for chance.
func (c coldness) bears(can, rate float64) float64 {
	n := c.times * can * rate * c.within.Seconds()
	return n + 2*math.Sqrt(n) + 2
}

// warming is a runner that has started again.
type warming struct {
	at   time.Time
	got  []time.Time // jobs that came within the last such time
	fell bool
	most float64 // of what it bears, so far
}

// share is the part of its capacity that a runner has now. The lock is held.
func (s *runners) share(uid string) float64 {
	if w := s.warming[uid]; w != nil {
		return s.cold.can(time.Since(w.at))
	}
	return 1
}

// came counts a job that comes to a runner, taken in or turned away, against what it bears. The
// lock is held.
func (s *runners) came(uid string) {
	w := s.warming[uid]
	if w == nil || s.slots == 0 {
		return
	}
	now, can := time.Now(), s.share(uid)
	if can == 1 {
		return
	}
	w.got = append(slices.DeleteFunc(w.got, func(at time.Time) bool { return now.Sub(at) > s.cold.within }), now)
	part := float64(len(w.got)) / s.cold.bears(can, float64(s.slots)/s.work.Seconds())
	w.most = max(w.most, part)
	if part > 1 && !w.fell {
		w.fell = true
		s.fallen = append(s.fallen, fmt.Sprintf("runner %s fell %s after its start: %d jobs within %s, %.1f times what it bears",
			uid, now.Sub(w.at).Round(time.Millisecond), len(w.got), s.cold.within, part))
	}
}

// restart has runners start again, cold, and discovery tell of it. What they had is done.
func (r *runner) restart(uids []string) error {
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
		r.fleet.runners.warming[uid] = &warming{at: now}
		r.fleet.runners.mu.Unlock()
		r.fleet.catalog.change(i, func(t *target) { t.Boot = now.UnixMilli() })
	}
	return nil
}

// uids are the runners that a step names.
func (r *runner) uids(words string) []string {
	if words == "all" {
		return r.fleet.uids
	}
	return strings.Split(words, ",")
}

// checkCold holds what came to cold runners against what they bear.
func (r *runner) checkCold() {
	s := r.fleet.runners
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0.0
	for _, w := range s.warming {
		most = max(most, w.most)
	}
	if len(s.warming) > 0 {
		r.line("the fullest of %d runners that warmed up had %.2f of what it bears", len(s.warming), most)
	}
	for _, text := range s.fallen {
		r.broken("rule 4: %s", text)
	}
}
