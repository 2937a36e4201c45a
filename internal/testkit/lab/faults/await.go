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

// waits maps the word after "await" to its implementation, which gets the words from there on.
var waits = map[string]func(*scriptRun, []string) error{
	"leader":    (*scriptRun).awaitLeader,
	"begun":     (*scriptRun).awaitBegun,
	"members":   (*scriptRun).awaitMembers,
	"sharers":   (*scriptRun).awaitSharers,
	"stage":     (*scriptRun).awaitStage,
	"trip":      (*scriptRun).awaitTrip,
	"out":       (*scriptRun).awaitExclusion,
	"in":        (*scriptRun).awaitExclusion,
	"durable":   (*scriptRun).awaitDurable,
	"forgotten": (*scriptRun).awaitForgotten,
	"drained":   (*scriptRun).awaitDrained,
	"served":    (*scriptRun).awaitServed,
	"many":      (*scriptRun).awaitManyUndone,
	"ganged":    (*scriptRun).awaitGanged,
	"flow":      (*scriptRun).awaitFlowPhase,
	"taken":     (*scriptRun).awaitTaken,
	"sent":      (*scriptRun).awaitSent,
	"known":     (*scriptRun).awaitKnown,
	"jobs":      (*scriptRun).awaitJobs,
	"few":       (*scriptRun).awaitFew,
	"level":     (*scriptRun).awaitLevel,
	"full":      (*scriptRun).awaitFull,
	"equal":     (*scriptRun).awaitEqual,
	"log":       (*scriptRun).awaitLog,
}

// await waits for the condition that the words describe.
func (r *scriptRun) await(w []string) error {
	wait := waits[w[0]]
	if wait == nil {
		return fmt.Errorf("%q can't be awaited", w[0])
	}
	return wait(r, w)
}

// membersAt returns the members that word i names, or the running members if there is no such word.
func (r *scriptRun) membersAt(w []string, i int) ([]*member, error) {
	if len(w) <= i {
		return r.running(), nil
	}
	return r.resolveMembers(w[i])
}

// awaitReportsAt waits until ok accepts the reports of all members that word i names.
func (r *scriptRun) awaitReportsAt(w []string, i int, ok func(*member, cluster.Report) error) error {
	who, err := r.membersAt(w, i)
	if err != nil {
		return err
	}
	return r.awaitReports(who, ok)
}

func (r *scriptRun) awaitLeader(w []string) error {
	who, err := r.membersAt(w, 2)
	if err != nil {
		return err
	}
	return r.awaitMajorityLeader(who)
}

func (r *scriptRun) awaitBegun([]string) error {
	return r.awaitReports(r.running(), func(m *member, got cluster.Report) error {
		if len(got.Log.Voters) < r.fleet.voters || got.Log.Leader == "" || got.Log.Applied < got.Log.Last {
			return fmt.Errorf("%s has voters %v, leader %q, applied %d of %d", m.name, got.Log.Voters, got.Log.Leader, got.Log.Applied, got.Log.Last)
		}
		return nil
	})
}

func (r *scriptRun) awaitMembers(w []string) error {
	n, err := strconv.Atoi(w[1])
	if err != nil {
		return err
	}
	return r.awaitReportsAt(w, 3, func(m *member, got cluster.Report) error {
		if alive(got) != n {
			return fmt.Errorf("%s sees %d members", m.name, alive(got))
		}
		return nil
	})
}

func (r *scriptRun) awaitSharers(w []string) error {
	return r.awaitReportsAt(w, len(w)-1, func(m *member, got cluster.Report) error {
		if got.Rejoin == nil || strconv.Itoa(got.Rejoin.Sharers) != w[1] {
			return fmt.Errorf("%s is %+v", m.name, got.Rejoin)
		}
		return nil
	})
}

func (r *scriptRun) awaitStage(w []string) error {
	return r.awaitReportsAt(w, len(w)-1, func(m *member, got cluster.Report) error {
		if got.Rejoin == nil || !reached(got.Rejoin.Stage, w[1]) {
			return fmt.Errorf("%s is %+v", m.name, got.Rejoin)
		}
		return nil
	})
}

func (r *scriptRun) awaitTrip(w []string) error {
	ms, err := strconv.Atoi(w[1])
	if err != nil {
		return err
	}
	return r.awaitReportsAt(w, 3, func(m *member, got cluster.Report) error {
		for _, i := range got.Members {
			if i.Status == members.Alive && i.Name != m.name && i.RTT < time.Duration(ms)*time.Millisecond {
				return fmt.Errorf("from %s to %s it is %s", m.name, i.Name, i.RTT)
			}
		}
		return nil
	})
}

func (r *scriptRun) awaitExclusion(w []string) error {
	return r.awaitReportsAt(w, 3, func(m *member, got cluster.Report) error {
		if _, out := got.State.Excluded[w[1]]; out != (w[0] == "out") {
			return fmt.Errorf("at %s it is out: %t", m.name, out)
		}
		return nil
	})
}

// awaitDurable waits until the watermarks on members' disks record a runner as excluded, or not.
func (r *scriptRun) awaitDurable(w []string) error {
	return r.awaitReportsAt(w, 4, func(m *member, _ cluster.Report) error { return m.checkWatermark(w[2], w[1] == "out") })
}

// awaitForgotten has a client repeat a job of class once until it runs again. That must not happen
// within onceGiveUp of its first sending, while it is to be refused, and must happen afterwards.
func (r *scriptRun) awaitForgotten(w []string) error {
	return r.retryUntil(func() error {
		err := r.job([]string{"retry", w[1], "once", "at", w[3], strconv.Itoa(http.StatusOK)})
		if age := time.Since(r.sentAt[w[1]]); err == nil && age < onceGiveUp {
			r.failf("%s was done again %s after it had been sent", w[1], age)
		}
		return err
	})
}

func (r *scriptRun) awaitDrained(w []string) error {
	who, err := r.membersAt(w, 3)
	if err != nil {
		return err
	}
	return r.awaitNoJobsSentTo(who, w[1])
}

func (r *scriptRun) awaitServed(w []string) error {
	who, err := r.membersAt(w, 3)
	if err != nil {
		return err
	}
	return r.awaitJobsSentTo(who, w[1])
}

func (r *scriptRun) awaitManyUndone(w []string) error {
	within, err := time.ParseDuration(w[1])
	if err != nil {
		return err
	}
	return r.awaitWorkflowsUndone(within)
}

func (r *scriptRun) awaitGanged(w []string) error {
	within, err := time.ParseDuration(w[2])
	if err != nil {
		return err
	}
	if err := r.awaitGang(w[1], within); err != nil || len(w) < 4 {
		return err
	}
	most, err := strconv.Atoi(w[3])
	if n := r.fleet.runners.copied(); err == nil && n > most {
		err = fmt.Errorf("%d copies were sent", n)
	}
	return err
}

func (r *scriptRun) awaitFlowPhase(w []string) error {
	who, err := r.membersAt(w, 4)
	if err != nil {
		return err
	}
	return r.awaitFlow(w[1], w[2], who)
}

func (r *scriptRun) awaitTaken(w []string) error {
	n, err := strconv.Atoi(w[2])
	if err != nil {
		return err
	}
	return r.retryUntil(func() error {
		if len(r.fleet.runners.zones(undoKey(w[1], n))) == 0 {
			return errors.New("no runner has had it")
		}
		return nil
	})
}

func (r *scriptRun) awaitSent(w []string) error {
	return r.retryUntil(func() error {
		if len(r.fleet.runners.zones(w[1])) == 0 {
			return errors.New("no runner has it")
		}
		return nil
	})
}

func (r *scriptRun) awaitKnown(w []string) error {
	return r.retryUntil(func() error {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.answered[w[1]] && len(r.fleet.runners.zones(w[1])) == 0 {
			return errors.New("no runner has it, nor its client an answer")
		}
		return nil
	})
}

func (r *scriptRun) awaitJobs(w []string) error {
	n, err := strconv.Atoi(w[1])
	if err != nil {
		return err
	}
	begin := r.fleet.runners.count()
	return r.retryUntil(func() error {
		if arrived := r.fleet.runners.count() - begin; arrived < n {
			return fmt.Errorf("%d of them", arrived)
		}
		return nil
	})
}

func (r *scriptRun) awaitFew(w []string) error {
	who, err := r.membersAt(w, 3)
	if err != nil {
		return err
	}
	most, err := strconv.Atoi(w[4])
	if err != nil {
		return err
	}
	return r.awaitJobShare(who[0], strings.Split(w[1], ","), most)
}

func (r *scriptRun) awaitLevel([]string) error {
	r.faultAt = time.Time{}
	return r.measureLevel()
}

func (r *scriptRun) awaitFull(w []string) error {
	if len(w) != 3 {
		return errors.New("two numbers are wanted")
	}
	return r.awaitFullService(w[1:])
}

func (r *scriptRun) awaitEqual(w []string) error {
	who, err := r.membersAt(w, 2)
	if err != nil {
		return err
	}
	return r.awaitConvergence(who)
}

func (r *scriptRun) awaitLog(w []string) error {
	text := strings.Join(w[1:len(w)-2], " ")
	who, err := r.resolveMembers(w[len(w)-1])
	if err != nil {
		return err
	}
	return r.retryUntil(func() error {
		for _, m := range who {
			if m.log == nil || !m.log.has(text) {
				return fmt.Errorf("%s has not said it", m.name)
			}
		}
		return nil
	})
}

// checkWatermark returns an error unless the watermark on a member's disk has a runner excluded, or
// not.
func (m *member) checkWatermark(uid string, out bool) error {
	kept, err := mark.Read(filepath.Join(m.dir, watermarkDir))
	if err != nil || kept == nil {
		return fmt.Errorf("%s keeps %v: %w", m.name, kept, err)
	}
	if slices.Contains(kept.Out, uid) != out {
		return fmt.Errorf("%s keeps that these are out: %v", m.name, kept.Out)
	}
	return nil
}

// reached reports whether stage is is want or a later one, both by their names.
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

// running returns the members whose process runs and is not stalled.
func (r *scriptRun) running() (out []*member) {
	for _, m := range r.fleet.members {
		if m.up() && !m.stalled {
			out = append(out, m)
		}
	}
	return out
}

// zones returns the zones in which jobs of a key had their effect.
func (s *runners) zones(key string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedKeys(s.effects[key])
}

// count returns how many jobs have reached runners.
func (s *runners) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

// since returns the jobs that reached runners after the first n.
func (s *runners) since(n int) []sending {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.sent[n:])
}
