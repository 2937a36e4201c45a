package scheduler

import (
	"maps"
	"slices"
	"strings"
	"time"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

// batch is the orders of one entry; they go out once it is committed.
type batch struct {
	index  uint64
	by     map[string]*runnerBatch // by the runner's id
	config *routeconfig.Table      // where the entry changes it
	whole  []*session              // that are sent the whole set once the entry is committed
}

type runnerBatch struct {
	started []string
	dropped []*protocol.RunRef
	noted   uint64 // ends, 0 where none were
}

func (b *batch) empty() bool { return len(b.by) == 0 && b.config == nil && len(b.whole) == 0 }

func (b *batch) of(runner string) *runnerBatch {
	if b.by == nil {
		b.by = make(map[string]*runnerBatch)
	}
	if b.by[runner] == nil {
		b.by[runner] = &runnerBatch{}
	}
	return b.by[runner]
}

// add orders the run of a task that has been started.
func (b *batch) add(runner, task string) {
	of := b.of(runner)
	of.started = append(of.started, task)
}

// drop orders that a run is wanted no longer.
func (b *batch) drop(runner, task string, run uint32) {
	of := b.of(runner)
	of.dropped = append(of.dropped, &protocol.RunRef{Task: task, Run: run})
}

// note orders that ends up to a number are acknowledged.
func (b *batch) note(runner string, noted uint64) { b.of(runner).noted = noted }

// order sends the orders of an entry that is committed.
func (d *Scheduler) order(b *batch) {
	if b.config != nil {
		d.committedConfig = b.config
	}
	for _, id := range slices.Sorted(maps.Keys(b.by)) {
		of, r := b.by[id], d.runners[id]
		if r == nil {
			continue
		}
		r.acknowledged = max(r.acknowledged, of.noted)
		orders := &protocol.RunnerOrders{Drop: of.dropped}
		for _, task := range of.started {
			run, ok := r.live[task]
			if !ok || run.stopped {
				continue
			}
			run.pending = false
			r.live[task] = run
			orders.Runs = append(orders.Runs, d.runOrder(task, run))
		}
		for _, ref := range of.dropped {
			if run, ok := r.live[ref.GetTask()]; ok && ref.GetRun() == run.number {
				run.stopped = true
				r.live[ref.GetTask()] = run
			}
		}
		if r.session != nil {
			d.sendOrders(r.session, orders)
		}
	}
	for _, s := range b.whole {
		if d.sessions[s.address] == s && s.whole == wholeRequested {
			s.whole = wholeDue
			d.sendOrders(s, &protocol.RunnerOrders{})
		}
	}
}

// requestWhole has the sessions that need the whole set sent it once all that has been decided so far is
// committed: a set that left out runs whose end is not would have the companion stop what is wanted.
func (d *Scheduler) requestWhole() {
	if !d.wholeWanted {
		return
	}
	d.wholeWanted = false
	for _, address := range slices.Sorted(maps.Keys(d.sessions)) {
		if s := d.sessions[address]; s.whole == wholeNeeded {
			s.whole = wholeRequested
			d.batch.whole = append(d.batch.whole, s)
		}
	}
}

func (d *Scheduler) runOrder(task string, run liveRun) *protocol.RunOrder {
	return &protocol.RunOrder{Task: task, Run: run.number, Spec: run.step.Job.Spec, Saved: run.saved}
}

// answer answers a report: it renews the lease.
func (d *Scheduler) answer(s *session, report *protocol.RunnerReport) {
	if report.GetLeaseRound() == 0 {
		return
	}
	orders := &protocol.RunnerOrders{}
	until := d.confirmed + d.cfg.Lease
	if until > d.now {
		orders.LeaseRound = report.GetLeaseRound()
		orders.LeaseMs = uint32((until - d.now) / time.Millisecond)
		s.leaseUntil = max(s.leaseUntil, until)
		d.updateUsable(s)
	}
	d.sendOrders(s, orders)
}

// sendOrders sends orders to a session: as the whole set where that is due, and without runs where the
// whole set is still to come.
func (d *Scheduler) sendOrders(s *session, orders *protocol.RunnerOrders) {
	orders.Epoch, orders.Runner, orders.Companion, orders.Session = d.epoch, s.runner, s.incarnation, s.number
	orders.RetryMs, orders.ReportMs = retryMs, uint32(d.reportPause()/time.Millisecond)
	if r := d.runners[s.runner]; r != nil {
		orders.LastSeen = r.acknowledged
	}
	switch s.whole {
	case wholeDue:
		d.fillWhole(d.runners[s.runner], orders)
		s.whole = wholeSent
	case wholeSent:
	default:
		orders.Runs, orders.Drop = nil, nil
	}
	if orders.GetFull() || len(orders.Runs) > 0 || len(orders.Drop) > 0 {
		if s.seen >= s.sequence {
			s.waitsSince = d.now
		}
		s.sequence++
	}
	orders.Sequence = s.sequence
	d.sends = append(d.sends, Send{To: s.address, Message: &protocol.Envelope{Body: &protocol.Envelope_RunnerOrders{RunnerOrders: orders}}})
}

// fillWhole makes orders the whole set of the runs that a runner is to have.
func (d *Scheduler) fillWhole(r *runner, orders *protocol.RunnerOrders) {
	orders.Full, orders.Runs, orders.Drop = true, nil, nil
	if r == nil {
		return
	}
	for task, run := range r.live {
		switch {
		case run.pending:
		case run.stopped || run.step.Job.State.Final(): // its end, or that it never began, is still to be told
			orders.Drop = append(orders.Drop, &protocol.RunRef{Task: task, Run: run.number})
		default:
			orders.Runs = append(orders.Runs, d.runOrder(task, run))
		}
	}
	slices.SortFunc(orders.Drop, func(a, b *protocol.RunRef) int { return strings.Compare(a.GetTask(), b.GetTask()) })
	slices.SortFunc(orders.Runs, func(a, b *protocol.RunOrder) int { return strings.Compare(a.GetTask(), b.GetTask()) })
}
