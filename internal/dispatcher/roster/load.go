package roster

import (
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
)

// LoadStored loads the stored list, nil for none, and the health that was stored with it. It is
// called before Run and before the table loads the list given by the platform, if any. The seed is
// used for random draws by the policy.
func (r *Roster) LoadStored(s *rosterstore.Snapshot, seed uint64) {
	r.now = r.clock()
	if s == nil || len(s.Nodes) == 0 {
		return
	}
	snapshot := core.Snapshot{Excluded: s.Excluded, Reinstated: s.Reinstated}
	if len(s.Health) > 0 && json.Unmarshal(s.Health, &snapshot.Health) != nil {
		snapshot.Health = nil // the health of the runners is determined anew
	}
	r.core.Restore(snapshot)
	stored := r.loadNodes(s, snapshot.Health)
	r.lastContact, r.lastSnapshot = s.Answered, s
	r.storedPosition = listPosition{s.Discovery, s.Rev}
	policy := r.cfg.Policy
	if downtime := r.now - s.Saved; s.PlannedShutdown && downtime > 0 { // not above 0 if the wall clock was set back
		policy.PlannedDowntime = downtime
	}
	if !s.PlannedShutdown {
		r.log.WithField("saved", (r.now - s.Saved).Round(time.Millisecond).String()).
			Warn("the stored state is not from a planned shutdown: the process ended unexpectedly, or its disk was too slow; runners may be cold")
	}
	r.standings = rosterpolicy.New(policy, r.now, stored, seed)
	r.fullUpdates = rosterpolicy.NewFullUpdatePolicy(r.cfg.Policy, true)
	r.fullUpdates.Failed(r.now)
	fields := logrus.Fields{"runners": len(stored), "maybe_cold": r.standings.CountWarmingUp(r.now), "age": (r.now - s.Answered).Round(time.Second).String()}
	r.log.WithFields(fields).Warn("serving from a stored list until discovery answers")
}

// loadNodes loads the runners of a snapshot and returns them in the policy's form. A malformed
// entry is logged and skipped.
func (r *Roster) loadNodes(s *rosterstore.Snapshot, health map[string]decision.Health) []rosterpolicy.Stored {
	excluded := map[string]bool{}
	for _, uid := range s.Excluded {
		excluded[uid] = true
	}
	var stored []rosterpolicy.Stored
	for _, n := range s.Nodes {
		route, err := r.parse(n.Entry)
		if err != nil || route.UID != n.UID || r.routes[n.UID].UID != "" {
			r.log.WithField("target", n.UID).Warn("stored entry skipped")
			continue
		}
		if route.State == decision.Removed {
			continue
		}
		r.routes[n.UID], r.entries[n.UID], r.confirmations[n.UID] = route, n.Entry, confirmation{n.Confirmed, n.By}
		stored = append(stored, rosterpolicy.Stored{
			UID:            n.UID,
			Addr:           route.Addr,
			Zone:           route.ZoneName,
			Confirmed:      n.Confirmed,
			Barred:         route.State == decision.Draining || excluded[n.UID],
			Failing:        health[n.UID].Failed,
			WarmingUpSince: n.WarmingUpSince,
		})
	}
	return stored
}
