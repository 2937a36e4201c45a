package faults

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/cluster"
)

// await waits for what the words say.
func (r *runner) await(w []string) error {
	at := func(i int) ([]*member, error) {
		if len(w) <= i {
			return r.running(), nil
		}
		return r.who(w[i])
	}
	switch w[0] {
	case "leader":
		who, err := at(2)
		if err != nil {
			return err
		}
		return r.led(who)
	case "begun":
		return r.each(r.running(), func(m *member, got cluster.Report) error {
			if len(got.Log.Voters) < r.fleet.voters || got.Log.Leader == "" || got.Log.Applied < got.Log.Last {
				return fmt.Errorf("%s has voters %v, leader %q, applied %d of %d", m.name, got.Log.Voters, got.Log.Leader, got.Log.Applied, got.Log.Last)
			}
			return nil
		})
	case "members":
		n, err := strconv.Atoi(w[1])
		if err != nil {
			return err
		}
		who, err := at(3)
		if err != nil {
			return err
		}
		return r.each(who, func(m *member, got cluster.Report) error {
			if alive(got) != n {
				return fmt.Errorf("%s sees %d members", m.name, alive(got))
			}
			return nil
		})
	case "out", "in":
		who, err := at(3)
		if err != nil {
			return err
		}
		return r.each(who, func(m *member, got cluster.Report) error {
			if _, out := got.State.Out[w[1]]; out != (w[0] == "out") {
				return fmt.Errorf("at %s it is out: %t", m.name, out)
			}
			return nil
		})
	case "drained", "served":
		who, err := at(3)
		if err != nil {
			return err
		}
		return r.sends(who, w[1], w[0] == "served")
	case "sent":
		return r.until(func() error {
			if len(r.fleet.runners.zones(w[1])) == 0 {
				return errors.New("no runner has it")
			}
			return nil
		})
	case "few":
		who, err := at(3)
		if err != nil {
			return err
		}
		most, err := strconv.Atoi(w[4])
		if err != nil {
			return err
		}
		return r.few(who[0], strings.Split(w[1], ","), most)
	case "equal":
		who, err := at(2)
		if err != nil {
			return err
		}
		return r.equal(who)
	case "log":
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
	return fmt.Errorf("%q can't be awaited", w[0])
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

func (r *runner) each(who []*member, ok func(*member, cluster.Report) error) error {
	return r.until(func() error {
		all, err := r.reports(who)
		if err != nil {
			return err
		}
		for _, m := range who {
			if err := ok(m, all[m]); err != nil {
				return err
			}
		}
		return nil
	})
}

// led waits until one of some members leads and a majority of the voters says so.
func (r *runner) led(who []*member) error {
	return r.until(func() error {
		votes, leads := map[string]int{}, ""
		for _, m := range who {
			got, err := r.fleet.report(m)
			if err != nil {
				continue
			}
			if got.Log.Role == "leader" {
				leads = m.name
			}
			if got.Log.Contact >= 0 && got.Log.Contact < 1 && m.i < r.fleet.voters {
				votes[got.Log.Leader]++
			}
		}
		if leads == "" || votes[leads] < r.fleet.voters/2+1 {
			return fmt.Errorf("leader %q, by %v", leads, votes)
		}
		return nil
	})
}

// equal waits until copies and logs are the same.
func (r *runner) equal(who []*member) error {
	return r.until(func() error {
		all, err := r.reports(who)
		if err != nil {
			return err
		}
		first := all[who[0]]
		for _, m := range who[1:] {
			got := all[m]
			switch {
			case got.Copies.Digest != first.Copies.Digest:
				return fmt.Errorf("copies differ: %s at %s with %v, %s at %s with %v", first.Copies.Digest, who[0].name, first.Copies.Held, got.Copies.Digest, m.name, got.Copies.Held)
			case got.State.Index != first.State.Index || len(got.State.Out) != len(first.State.Out):
				return fmt.Errorf("logs differ: %d at %s, %d at %s", first.State.Index, who[0].name, got.State.Index, m.name)
			}
		}
		return nil
	})
}

// sends waits until members send a runner something, or have sent it nothing while they sent
// others a hundred jobs.
func (r *runner) sends(who []*member, uid string, some bool) error {
	begin := r.fleet.runners.count()
	return r.until(func() error {
		for _, m := range who {
			to, all := 0, 0
			sent, from := r.fleet.runners.since(begin), 0
			for i, s := range sent {
				if s.member != m.name {
					continue
				}
				all++
				if s.runner == uid {
					to, from = to+1, i
				}
			}
			if some && to == 0 {
				return fmt.Errorf("%s has sent it nothing, and others %d jobs", m.name, all)
			}
			others := 0
			for _, s := range sent[from:] {
				if s.member == m.name && s.runner != uid {
					others++
				}
			}
			if !some && others < 100 {
				return fmt.Errorf("%s has sent others %d jobs since it sent it one", m.name, others)
			}
		}
		return nil
	})
}

// few waits until a member has sent 300 jobs since it started, and counts those that went to
// some runners.
func (r *runner) few(m *member, uids []string, most int) error {
	to := 0
	if err := r.until(func() error {
		all := 0
		to = 0
		for _, s := range r.fleet.runners.since(m.since) {
			if s.member != m.name || all == 300 {
				continue
			}
			all++
			if slices.Contains(uids, s.runner) {
				to++
			}
		}
		if all < 300 {
			return fmt.Errorf("it has sent %d jobs", all)
		}
		return nil
	}); err != nil {
		return err
	}
	r.line("%s has sent %d of 300 jobs to %s", m.name, to, strings.Join(uids, " "))
	if to > most {
		return fmt.Errorf("it sent them %d jobs", to)
	}
	return nil
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

// final has all links healed, stalled processes woken and those that run come together.
func (r *runner) final() error {
	r.fleet.net.set(numbers(r.fleet.members), numbers(r.fleet.members), func(l *link) { *l = link{kept: l.kept} })
	for _, m := range r.fleet.members {
		if m.up() && m.stopped {
			if err := r.process([]string{"wake"}, m); err != nil {
				return err
			}
		}
		r.fleet.catalog.hold(m.i, false)
		r.fleet.catalog.silence(m.i, false)
	}
	who := r.running()
	if len(who) == 0 {
		return errors.New("nobody runs at the end")
	}
	began := time.Now()
	if err := r.equal(who); err != nil {
		return fmt.Errorf("at the end: %w", err)
	}
	r.line("equal at the end (%d ms)", time.Since(began).Milliseconds())
	return r.led(who)
}
