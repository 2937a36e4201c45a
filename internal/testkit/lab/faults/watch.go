package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"frosttide/internal/dispatcher/fleet/ledger"
)

// observer records operators' calls, discovery's changes and members' states, and checks them
// against the invariants.
type observer struct {
	began      time.Time
	calls      []*call
	entries    map[logPosition]string  // the entry that was first seen at a position
	seenAt     map[logPosition]string  // the member at which it was seen
	violations []string                // violations found so far
	lastStates map[string]ledger.State // last state seen, by member
	drains     []*drain
}

// drain is a period in which discovery reports a runner as not serving.
type drain struct {
	uid         string
	from, until time.Duration
	// By index: members whose discovery was held or muted when it began.
	notInformed map[int]bool
}

// recordTargetChange records that discovery takes a runner out of service (away) or puts it back.
func (w *observer) recordTargetChange(uid string, away bool, isStale func(int) bool) {
	now := time.Since(w.began)
	for _, d := range w.drains {
		if d.uid == uid && !away {
			d.until = min(d.until, now)
		}
	}
	if !away {
		return
	}
	d := &drain{uid: uid, from: now, until: 1 << 62, notInformed: map[int]bool{}}
	for i := range maxMembers {
		d.notInformed[i] = isStale(i)
	}
	w.drains = append(w.drains, d)
}

// call is an operator's order to a member, with its outcome.
type call struct {
	id                 string // of the order
	member, uid        string
	exclude            bool
	sentAt, answeredAt time.Duration // since the run began
	outcome            outcome
	// The member lost its disk after the call and may not know the order for a while.
	diskLost bool
}

// logPosition is an index in a log. A log that was created anew by recovery has another identity.
type logPosition struct {
	log   string
	index uint64
}

// newObserver returns an observer whose times count from now.
func newObserver() *observer {
	return &observer{began: time.Now(), entries: map[logPosition]string{}, seenAt: map[logPosition]string{}, lastStates: map[string]ledger.State{}}
}

// recordCall records an order that is about to be sent.
func (w *observer) recordCall(member string, o order) *call {
	c := &call{id: o.id, member: member, uid: o.uid, exclude: o.exclude, sentAt: time.Since(w.began), outcome: unclear}
	w.calls = append(w.calls, c)
	return c
}

// recordDiskLoss records that a member has lost its disk.
func (w *observer) recordDiskLoss(member string) {
	for _, c := range w.calls {
		c.diskLost = c.diskLost || c.member == member
	}
}

// recordAnswer records the outcome of a call and the time of its answer.
func (w *observer) recordAnswer(c *call, s outcome) { c.answeredAt, c.outcome = time.Since(w.began), s }

// observeState checks a member's state: two members must not have different entries at the same
// position, and a member's index must not go back.
func (w *observer) observeState(member string, s ledger.State) {
	if s.Log == "" {
		return // the member has not joined a log yet
	}
	w.checkOrders(member, s)
	for _, d := range s.Recent {
		at := logPosition{s.Log, d.Index}
		text := fmt.Sprintf("%s %s %s %t", d.ID, d.Op, d.UID, d.Changed)
		if was, ok := w.entries[at]; ok && was != text {
			w.violations = append(w.violations, fmt.Sprintf("entry %d of log %s is %q at %s and %q at %s", d.Index, s.Log, was, w.seenAt[at], text, member))
			continue
		}
		w.entries[at], w.seenAt[at] = text, member
	}
	if was, ok := w.lastStates[member]; ok && s.Log == was.Log && s.Index < was.Index && s.Index > 0 && len(s.Recent) >= len(was.Recent) {
		w.violations = append(w.violations, fmt.Sprintf("%s went back from entry %d to %d with more entries", member, was.Index, s.Index))
	}
	w.lastStates[member] = s
}

// checkOrders checks a member's log against the operators' orders: each is in it at most once,
// however often it was sent, and a refused order is not in it.
func (w *observer) checkOrders(member string, s ledger.State) {
	there := map[string]uint64{}
	for _, d := range s.Recent {
		if first, twice := there[d.ID]; twice {
			w.violations = append(w.violations, fmt.Sprintf("%s has %s at entry %d and again at %d", member, d.ID, first, d.Index))
		}
		there[d.ID] = d.Index
	}
	for _, c := range w.calls {
		if index := there[orderIDPrefix+c.id]; index > 0 && c.outcome == refused {
			w.violations = append(w.violations, fmt.Sprintf("%s has order %s at entry %d, which was refused", member, c.id, index))
		}
	}
}

// orderIDPrefix is the prefix of the IDs of log entries that come from operators' orders.
const orderIDPrefix = "order/"

// input is an operation of the model: it sets whether a runner is excluded, or reads that.
type input struct {
	uid  string
	out  bool
	read bool
}

// model is a register for each runner. Calls with an unclear outcome are left to checkLinearizable:
// their entry may be committed at any later time, or never.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		var order []string
		for _, o := range history {
			uid := o.Input.(input).uid
			if by[uid] == nil {
				order = append(order, uid)
			}
			by[uid] = append(by[uid], o)
		}
		var out [][]porcupine.Operation
		for _, uid := range order {
			out = append(out, by[uid])
		}
		return out
	},
	Init: func() any { return false },
	Step: func(state, in, out any) (bool, any) {
		i := in.(input)
		if i.read {
			return out.(bool) == state.(bool), state
		}
		return true, i.out
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkLinearizable reports a violation unless the acknowledged orders and the members' states at
// the end are linearizable.
func (w *observer) checkLinearizable(ends map[string]ledger.State) []string {
	end := time.Since(w.began)
	uids := map[string]bool{}
	var unclearCalls []*call
	var certain []porcupine.Operation
	for i, c := range w.calls {
		uids[c.uid] = true
		switch c.outcome {
		case refused:
			continue
		case unclear:
			unclearCalls = append(unclearCalls, c)
			continue
		}
		certain = append(certain, porcupine.Operation{ClientId: i, Input: input{uid: c.uid, out: c.exclude}, Output: true, Call: int64(c.sentAt), Return: int64(c.answeredAt)})
	}
	at := int64(end) + 1
	for _, member := range sortedKeys(ends) {
		for _, uid := range sortedKeys(uids) {
			_, out := ends[member].Excluded[uid]
			certain = append(certain, porcupine.Operation{ClientId: len(w.calls) + 1, Input: input{uid: uid, read: true}, Output: out, Call: at, Return: at + 1})
			at += 2
		}
	}
	// An unclear call may have been committed or not: one consistent combination is enough.
	for combination := range 1 << min(len(unclearCalls), 10) {
		history := slices.Clone(certain)
		for i, c := range unclearCalls {
			if i < 10 && combination>>i&1 == 1 {
				history = append(history, porcupine.Operation{ClientId: len(w.calls) + 2 + i, Input: input{uid: c.uid, out: c.exclude}, Output: true,
					Call: int64(c.sentAt), Return: int64(end)})
			}
		}
		if porcupine.CheckOperations(model, history) {
			return nil
		}
	}
	return []string{fmt.Sprintf("what was acknowledged can't lead to what members hold: %d calls, %d members", len(w.calls), len(ends))}
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// drainGrace is the members' setting for drains, and 50 ms more for the runner's own clock.
const drainGrace = 500*time.Millisecond + 50*time.Millisecond

// discoveryDelay is what a change may take through the stand-in of discovery on a busy machine.
const discoveryDelay = 300 * time.Millisecond

// checkInvariants checks the invariants at the end of a run. whole says that the run completed, so
// that the members' states have converged and can be checked for linearizability.
func (r *scriptRun) checkInvariants(whole bool) {
	for _, f := range r.observer.violations {
		r.failf("%s", f)
	}
	ends := map[string]ledger.State{}
	for _, m := range r.running() {
		if got, err := r.fleet.report(m); err == nil {
			ends[m.name] = got.State
		}
	}
	if whole {
		for _, f := range r.observer.checkLinearizable(ends) {
			r.failf("%s", f)
		}
	}
	for _, m := range r.fleet.members {
		if m.client == nil {
			continue
		}
		for _, l := range m.client.late {
			if l.exceedsPatience(m.stalls) {
				r.failf("rule 1: job %s took %s", l.id, l.until.Sub(l.from).Round(time.Millisecond))
			}
		}
		r.logf("%s answered %v", m.name, m.client.answers)
	}
	for _, key := range r.fleet.runners.keys() {
		if zones := r.fleet.runners.zones(key); len(zones) > 1 {
			r.failf("rule 2: key %s has had its effect in zones %s", key, strings.Join(zones, " "))
		}
	}
	sent := r.fleet.runners.since(0)
	// Also for members that were stalled then: the change is in their socket buffers.
	for _, d := range r.observer.drains {
		for _, s := range sent {
			i := slices.IndexFunc(r.fleet.members, func(m *member) bool { return m.name == s.member })
			at := s.at.Sub(r.observer.began)
			if s.runner == d.uid && i >= 0 && !d.notInformed[i] && at > d.from+drainGrace+discoveryDelay && at < d.until {
				r.failf("rule 3: %s sent %s work %s after discovery had told that it drains", s.member, s.runner, at-d.from)
				break
			}
		}
	}
	for _, c := range r.observer.calls {
		if c.outcome != done || !c.exclude || c.diskLost {
			continue
		}
		// The next include of this runner, sent to any member.
		until := time.Duration(1 << 62)
		for _, o := range r.observer.calls {
			if o.uid == c.uid && o.sentAt > c.sentAt && !o.exclude {
				until = min(until, o.sentAt)
			}
		}
		for _, s := range sent {
			at := s.at.Sub(r.observer.began)
			if s.runner == c.uid && s.member == c.member && at > c.answeredAt+drainGrace && at < until {
				r.failf("rule 3: %s sent %s work %s after it had said that it is left out", s.member, s.runner, at-c.answeredAt)
				break
			}
		}
	}
}

// keys returns the idempotency keys of all jobs that had an effect.
func (s *runners) keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sortedKeys(s.effects)
}
