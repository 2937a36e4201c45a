package faults

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"frosttide/internal/cluster"
)

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
