package faults

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"frosttide/internal/dispatcher/fleet/cluster"
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
			case got.Replicas.Digest != first.Replicas.Digest:
				return fmt.Errorf("copies differ: %s at %s with %v, %s at %s with %v", first.Replicas.Digest, who[0].name, first.Replicas.Stored, got.Replicas.Digest, m.name, got.Replicas.Stored)
			case got.State.Index != first.State.Index || len(got.State.Excluded) != len(first.State.Excluded):
				return fmt.Errorf("logs differ: %d at %s, %d at %s", first.State.Index, who[0].name, got.State.Index, m.name)
			}
		}
		return nil
	})
}

// jobsAtOnce is how many jobs a member is sent at once where all of its runners are to be used.
const jobsAtOnce = 48

// serves waits until members send a runner something. The clients' own jobs come one by one, and
// the runner that a member likes best may take them all for as long as it is asked to: each
// member is sent many at once here, so that no other runner is as good for all of them.
func (r *runner) serves(who []*member, uid string) error {
	begin := r.fleet.runners.count()
	return r.until(func() error {
		for _, m := range who {
			to, others := r.sentBy(m, uid, begin)
			if to == 0 {
				r.manyJobs(m)
				return fmt.Errorf("%s has sent it nothing, and others %d jobs", m.name, others)
			}
		}
		return nil
	})
}

// sentBy counts the jobs that a member has sent to a runner since a number of sendings, and those
// that it has sent to others.
func (r *runner) sentBy(m *member, uid string, since int) (to, others int) {
	for _, s := range r.fleet.runners.since(since) {
		switch {
		case s.member != m.name:
		case s.runner == uid:
			to++
		default:
			others++
		}
	}
	return to, others
}

// manyJobs sends a member jobs at once, and returns when all have their answers.
func (r *runner) manyJobs(m *member) {
	c := &client{member: m.name, addr: m.clients, http: &http.Client{Transport: &http.Transport{}}}
	defer c.http.CloseIdleConnections()
	var sent sync.WaitGroup
	for range jobsAtOnce {
		r.mu.Lock()
		r.jobs++
		id := fmt.Sprintf("%s.many-%d", m.name, r.jobs)
		r.mu.Unlock()
		sent.Go(func() { c.job(context.Background(), "render", id, "") })
	}
	sent.Wait()
}

// drains waits until members have sent a runner nothing while they sent others a hundred jobs.
func (r *runner) drains(who []*member, uid string) error {
	begin := r.fleet.runners.count()
	return r.until(func() error {
		for _, m := range who {
			others := 0
			for _, s := range r.fleet.runners.since(begin) {
				switch {
				case s.member != m.name:
				case s.runner == uid:
					others = 0
				default:
					others++
				}
			}
			if others < 100 {
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
