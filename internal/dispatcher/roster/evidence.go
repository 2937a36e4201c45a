package roster

import (
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
)

// AttemptEnded records the outcome of an attempt to deliver a job to a runner as evidence.
func (r *Roster) AttemptEnded(uid string, outcome decision.Outcome, d core.Delivery) {
	if evidence, counts := outcomeEvidence(outcome, d); counts {
		r.box.Put(func(r *Roster) { r.recordEvidence(uid, evidence) })
	}
}

// outcomeEvidence returns what an attempt's outcome shows about the runner, and false if it shows
// nothing.
func outcomeEvidence(outcome decision.Outcome, d core.Delivery) (rosterpolicy.Evidence, bool) {
	switch outcome {
	case decision.Served:
		return rosterpolicy.Started, true
	case decision.Errored, decision.Rejected:
		return rosterpolicy.Busy, true
	case decision.TimedOut:
		return rosterpolicy.TimedOut, true
	case decision.ConnectFailed:
		if d.NoConnection {
			return rosterpolicy.TimedOut, true
		}
		return rosterpolicy.Refused, true
	case decision.ConnReset:
		return rosterpolicy.Broken, true
	}
	return 0, false
}

// JobStarted records that a runner has reported, under its own uid, that a job is running.
func (r *Roster) JobStarted(uid string) {
	r.box.Put(func(r *Roster) { r.recordEvidence(uid, rosterpolicy.Started) })
}

// UnknownSender records that a job sent to the runner uid was reported on under a different uid, so
// something else responds at the runner's address.
func (r *Roster) UnknownSender(uid string) {
	r.box.Put(func(r *Roster) { r.recordEvidence(uid, rosterpolicy.Impostor) })
}

// Excluded records that operators have excluded a runner or reinstated it.
func (r *Roster) Excluded(uid string, excluded bool) {
	r.box.Put(func(r *Roster) {
		r.dirty = true
		if r.standings != nil && r.standings.SetExcluded(uid, excluded) {
			r.core.RoutesChanged([]core.Route{r.storedRoute(uid)})
		}
	})
}

// probe starts a probe of a stored runner; the result is posted to the mailbox.
func (r *Roster) probe(uid string) {
	r.probing++
	r.prober.Probe(r.routes[uid].Addr, time.Now().Add(r.cfg.ProbeTimeout), func(evidence rosterpolicy.Evidence) {
		r.box.Put(func(r *Roster) {
			r.probing--
			r.recordEvidence(uid, evidence)
		})
	})
}

// recordEvidence passes evidence about a runner to the policy and, if that changes the runner's
// standing, passes the runner to the core.
func (r *Roster) recordEvidence(uid string, evidence rosterpolicy.Evidence) {
	if evidence == rosterpolicy.Started && r.routes[uid].UID != "" {
		r.confirmations[uid] = confirmation{r.now, rosterstore.ByRunner}
	}
	if r.standings == nil || !r.standings.Observe(r.now, uid, evidence) {
		return
	}
	r.publishStanding(uid)
}

// publishStanding logs the new standing of a stored runner and passes its route to the core.
func (r *Roster) publishStanding(uid string) {
	standing, _, reason := r.standings.Standing(uid)
	r.log.WithFields(logrus.Fields{"target": uid, "standing": standing.String(), "why": reason}).Info("a stored runner is judged")
	r.dirty = true
	r.core.RoutesChanged([]core.Route{r.storedRoute(uid)})
}

// storedRoute returns a runner's route as the core is to use it by its standing. A runner in use
// counts as started at the time from which it may have been cold: after a power cut every runner of
// a stored list may have started just now.
func (r *Roster) storedRoute(uid string) core.Route {
	route := r.routes[uid]
	if r.standings == nil {
		return route
	}
	standing, warmingUpSince, _ := r.standings.Standing(uid)
	delete(r.warmingUpSince, uid)
	switch standing {
	case rosterpolicy.Used:
		route.StartedAt = max(route.StartedAt, warmingUpSince)
		if r.standings.Owned(uid) {
			route.Reinstated, route.WarmUpPeers = true, r.standings.WarmUpBudgetDivisor()
		}
		r.warmingUpSince[uid] = route.StartedAt
	case rosterpolicy.Barred, rosterpolicy.Withheld, rosterpolicy.Waiting:
		route.State, route.Withheld = decision.Draining, true
	default:
		route.State = decision.Removed
	}
	return route
}
