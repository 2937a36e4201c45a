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

// awaitReports waits until ok accepts the reports of all the given members at once.
func (r *scriptRun) awaitReports(who []*member, ok func(*member, cluster.Report) error) error {
	return r.retryUntil(func() error {
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

// awaitMajorityLeader waits until one of the given members reports that it leads and a majority of
// the voters, by contact within the last second, reports it as leader.
func (r *scriptRun) awaitMajorityLeader(who []*member) error {
	return r.retryUntil(func() error {
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

// awaitConvergence waits until the members' replicas and logs are equal.
func (r *scriptRun) awaitConvergence(who []*member) error {
	return r.retryUntil(func() error {
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

// jobsAtOnce is how many jobs a member is sent concurrently to make it use all its runners.
const jobsAtOnce = 48

// awaitJobsSentTo waits until members send a runner jobs. The clients send jobs one by one, and the
// runner that a member prefers may get all of them. So each member is sent many jobs at once here,
// which no single runner can take as well as several.
func (r *scriptRun) awaitJobsSentTo(who []*member, uid string) error {
	begin := r.fleet.runners.count()
	return r.retryUntil(func() error {
		for _, m := range who {
			to, others := r.countSent(m, uid, begin)
			if to == 0 {
				r.sendBurst(m)
				return fmt.Errorf("%s has sent it nothing, and others %d jobs", m.name, others)
			}
		}
		return nil
	})
}

// countSent counts the jobs that a member has sent to a runner, and to all others, after the first
// since sendings.
func (r *scriptRun) countSent(m *member, uid string, since int) (to, others int) {
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

// sendBurst sends a member jobsAtOnce jobs concurrently, and returns when all are answered.
func (r *scriptRun) sendBurst(m *member) {
	c := &client{member: m.name, addr: m.clientAddr, http: &http.Client{Transport: &http.Transport{}}}
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

// awaitNoJobsSentTo waits until members have each sent others 100 jobs in a row without one to the
// runner.
func (r *scriptRun) awaitNoJobsSentTo(who []*member, uid string) error {
	begin := r.fleet.runners.count()
	return r.retryUntil(func() error {
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

// awaitJobShare waits until a member has sent 300 jobs since it started, and fails if more than
// most of them went to the given runners.
func (r *scriptRun) awaitJobShare(m *member, uids []string, most int) error {
	to := 0
	if err := r.retryUntil(func() error {
		all := 0
		to = 0
		for _, s := range r.fleet.runners.since(m.sentBefore) {
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
	r.logf("%s has sent %d of 300 jobs to %s", m.name, to, strings.Join(uids, " "))
	if to > most {
		return fmt.Errorf("it sent them %d jobs", to)
	}
	return nil
}

// healAndConverge heals all links, resumes stalled processes and discoveries, and waits until the
// running members converge and have a leader.
func (r *scriptRun) healAndConverge() error {
	r.fleet.net.set(indexes(r.fleet.members), indexes(r.fleet.members), func(l *link) { *l = link{heldBack: l.heldBack} })
	for _, m := range r.fleet.members {
		if m.up() && m.stalled {
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
	if err := r.awaitConvergence(who); err != nil {
		return fmt.Errorf("at the end: %w", err)
	}
	r.logf("equal at the end (%d ms)", time.Since(began).Milliseconds())
	return r.awaitMajorityLeader(who)
}
