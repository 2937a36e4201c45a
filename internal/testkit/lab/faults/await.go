package faults

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery/mark"
	"frosttide/internal/dispatcher/fleet/recovery/stage"
)

// waits are the waits of scripts, by the word after "await". Each is passed the words from there on.
var waits = map[string]func(*runner, []string) error{
	"leader":    (*runner).awaitLeader,
	"begun":     (*runner).awaitBegun,
	"members":   (*runner).awaitMembers,
	"sharers":   (*runner).awaitSharers,
	"stage":     (*runner).awaitStage,
	"trip":      (*runner).awaitTrip,
	"out":       (*runner).awaitExclusion,
	"in":        (*runner).awaitExclusion,
	"durable":   (*runner).awaitDurable,
	"forgotten": (*runner).awaitForgotten,
	"drained":   (*runner).awaitDrained,
	"served":    (*runner).awaitServed,
	"many":      (*runner).awaitManyUndone,
	"ganged":    (*runner).awaitGanged,
	"flow":      (*runner).awaitFlowPhase,
	"taken":     (*runner).awaitTaken,
	"sent":      (*runner).awaitSent,
	"known":     (*runner).awaitKnown,
	"jobs":      (*runner).awaitJobs,
	"few":       (*runner).awaitFew,
	"level":     (*runner).awaitLevel,
	"full":      (*runner).awaitFull,
	"equal":     (*runner).awaitEqual,
	"log":       (*runner).awaitLog,
}

// await waits for what the words say.
func (r *runner) await(w []string) error {
	wait := waits[w[0]]
	if wait == nil {
		return fmt.Errorf("%q can't be awaited", w[0])
	}
	return wait(r, w)
}

// whoAt returns the members that a word names, those that run where there is none.
func (r *runner) whoAt(w []string, i int) ([]*member, error) {
	if len(w) <= i {
		return r.running(), nil
	}
	return r.who(w[i])
}

// eachAt waits until the reports of the members that a word names are as wanted.
func (r *runner) eachAt(w []string, i int, ok func(*member, cluster.Report) error) error {
	who, err := r.whoAt(w, i)
	if err != nil {
		return err
	}
	return r.each(who, ok)
}

func (r *runner) awaitLeader(w []string) error {
	who, err := r.whoAt(w, 2)
	if err != nil {
		return err
	}
	return r.led(who)
}

func (r *runner) awaitBegun([]string) error {
	return r.each(r.running(), func(m *member, got cluster.Report) error {
		if len(got.Log.Voters) < r.fleet.voters || got.Log.Leader == "" || got.Log.Applied < got.Log.Last {
			return fmt.Errorf("%s has voters %v, leader %q, applied %d of %d", m.name, got.Log.Voters, got.Log.Leader, got.Log.Applied, got.Log.Last)
		}
		return nil
	})
}

func (r *runner) awaitMembers(w []string) error {
	n, err := strconv.Atoi(w[1])
	if err != nil {
		return err
	}
	return r.eachAt(w, 3, func(m *member, got cluster.Report) error {
		if alive(got) != n {
			return fmt.Errorf("%s sees %d members", m.name, alive(got))
		}
		return nil
	})
}

func (r *runner) awaitSharers(w []string) error {
	return r.eachAt(w, len(w)-1, func(m *member, got cluster.Report) error {
		if got.Rejoin == nil || strconv.Itoa(got.Rejoin.Sharers) != w[1] {
			return fmt.Errorf("%s is %+v", m.name, got.Rejoin)
		}
		return nil
	})
}

func (r *runner) awaitStage(w []string) error {
	return r.eachAt(w, len(w)-1, func(m *member, got cluster.Report) error {
		if got.Rejoin == nil || !reached(got.Rejoin.Stage, w[1]) {
			return fmt.Errorf("%s is %+v", m.name, got.Rejoin)
		}
		return nil
	})
}

func (r *runner) awaitTrip(w []string) error {
	ms, err := strconv.Atoi(w[1])
	if err != nil {
		return err
	}
	return r.eachAt(w, 3, func(m *member, got cluster.Report) error {
		for _, i := range got.Members {
			if i.Status == members.Alive && i.Name != m.name && i.RTT < time.Duration(ms)*time.Millisecond {
				return fmt.Errorf("from %s to %s it is %s", m.name, i.Name, i.RTT)
			}
		}
		return nil
	})
}

func (r *runner) awaitExclusion(w []string) error {
	return r.eachAt(w, 3, func(m *member, got cluster.Report) error {
		if _, out := got.State.Excluded[w[1]]; out != (w[0] == "out") {
			return fmt.Errorf("at %s it is out: %t", m.name, out)
		}
		return nil
	})
}

// awaitDurable waits until members keep on their disks that a runner is left out, or that it is not.
func (r *runner) awaitDurable(w []string) error {
	return r.eachAt(w, 4, func(m *member, _ cluster.Report) error { return m.keeps(w[2], w[1] == "out") })
}

// awaitForgotten has a client send a job of class once again until it is done once more. It must not be within the time in
// which that is refused, and has to be afterwards.
func (r *runner) awaitForgotten(w []string) error {
	return r.until(func() error {
		err := r.job([]string{"retry", w[1], "once", "at", w[3], strconv.Itoa(http.StatusOK)})
		if age := time.Since(r.sentAt[w[1]]); err == nil && age < onceGiveUp {
			r.broken("%s was done again %s after it had been sent", w[1], age)
		}
		return err
	})
}

func (r *runner) awaitDrained(w []string) error {
	who, err := r.whoAt(w, 3)
	if err != nil {
		return err
	}
	return r.drains(who, w[1])
}

func (r *runner) awaitServed(w []string) error {
	who, err := r.whoAt(w, 3)
	if err != nil {
		return err
	}
	return r.serves(who, w[1])
}

func (r *runner) awaitManyUndone(w []string) error {
	within, err := time.ParseDuration(w[1])
	if err != nil {
		return err
	}
	return r.awaitMany(within)
}

func (r *runner) awaitGanged(w []string) error {
	within, err := time.ParseDuration(w[2])
	if err != nil {
		return err
	}
	if err := r.ganged(w[1], within); err != nil || len(w) < 4 {
		return err
	}
	most, err := strconv.Atoi(w[3])
	if n := r.fleet.runners.copied(); err == nil && n > most {
		err = fmt.Errorf("%d copies were sent", n)
	}
	return err
}

func (r *runner) awaitFlowPhase(w []string) error {
	who, err := r.whoAt(w, 4)
	if err != nil {
		return err
	}
	return r.awaitFlow(w[1], w[2], who)
}

func (r *runner) awaitTaken(w []string) error {
	n, err := strconv.Atoi(w[2])
	if err != nil {
		return err
	}
	return r.until(func() error {
		if len(r.fleet.runners.zones(undoKey(w[1], n))) == 0 {
			return errors.New("no runner has had it")
		}
		return nil
	})
}

func (r *runner) awaitSent(w []string) error {
	return r.until(func() error {
		if len(r.fleet.runners.zones(w[1])) == 0 {
			return errors.New("no runner has it")
		}
		return nil
	})
}

func (r *runner) awaitKnown(w []string) error {
	return r.until(func() error {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.answered[w[1]] && len(r.fleet.runners.zones(w[1])) == 0 {
			return errors.New("no runner has it, nor its client an answer")
		}
		return nil
	})
}

func (r *runner) awaitJobs(w []string) error {
	n, err := strconv.Atoi(w[1])
	if err != nil {
		return err
	}
	begin := r.fleet.runners.count()
	return r.until(func() error {
		if sent := r.fleet.runners.count() - begin; sent < n {
			return fmt.Errorf("%d of them", sent)
		}
		return nil
	})
}

func (r *runner) awaitFew(w []string) error {
	who, err := r.whoAt(w, 3)
	if err != nil {
		return err
	}
	most, err := strconv.Atoi(w[4])
	if err != nil {
		return err
	}
	return r.few(who[0], strings.Split(w[1], ","), most)
}

func (r *runner) awaitLevel([]string) error {
	r.faultAt = time.Time{}
	return r.level()
}

func (r *runner) awaitFull(w []string) error {
	if len(w) != 3 {
		return errors.New("two numbers are wanted")
	}
	return r.full(w[1:])
}

func (r *runner) awaitEqual(w []string) error {
	who, err := r.whoAt(w, 2)
	if err != nil {
		return err
	}
	return r.equal(who)
}

func (r *runner) awaitLog(w []string) error {
	text := strings.Join(w[1:len(w)-2], " ")
	who, err := r.who(w[len(w)-1])
	if err != nil {
		return err
	}
	return r.until(func() error {
		for _, m := range who {
			if m.log == nil || !m.log.has(text) {
				return fmt.Errorf("%s has not said it", m.name)
			}
		}
		return nil
	})
}

// keeps returns an error unless the watermark on a member's disk has a runner excluded, or not.
func (m *member) keeps(uid string, out bool) error {
	kept, err := mark.Read(filepath.Join(m.dir, watermarkDir))
	if err != nil || kept == nil {
		return fmt.Errorf("%s keeps %v: %w", m.name, kept, err)
	}
	if slices.Contains(kept.Out, uid) != out {
		return fmt.Errorf("%s keeps that these are out: %v", m.name, kept.Out)
	}
	return nil
}

// reached tells whether a member is at a stage or past it, by their names.
func reached(is, want string) bool {
	for s := stage.Full; ; s-- {
		if s.String() == is {
			return true
		}
		if s.String() == want || s == stage.Starting {
			return s.String() == want && is == want
		}
	}
}

// running returns the members that run.
func (r *runner) running() (out []*member) {
	for _, m := range r.fleet.members {
		if m.up() && !m.stopped {
			out = append(out, m)
		}
	}
	return out
}

// zones returns in which zones a key has had its effect.
func (s *runners) zones(key string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedKeys(s.effects[key])
}

func (s *runners) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

func (s *runners) since(n int) []sending {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent[n:])
}
