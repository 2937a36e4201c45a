package cluster

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/quorum"
	"frosttide/internal/dispatcher/fleet/rejoin"
	"frosttide/internal/dispatcher/fleet/replica"
)

// ReplicaStatus describes the replicas, for operators.
type ReplicaStatus struct {
	Digest            string            `json:"digest"`
	Stored            map[string]int    `json:"held"`
	Dropped           map[string]uint64 `json:"dropped"` // facts dropped to stay within the store's bounds
	Behind            int               `json:"behind"`  // buckets that differed at the last comparison
	Synced            float64           `json:"synced"`  // seconds since a comparison found no difference; -1 for never
	QueuedUpdates     int               `json:"waiting"` // updates queued for gossip
	Received          uint64            `json:"heard"`
	Accepted          uint64            `json:"took"`
	Rejected          uint64            `json:"refused"`
	Conflicts         uint64            `json:"conflicts"`
	FailedComparisons uint64            `json:"not_compared"`
	Sent              uint64            `json:"sent_bytes"`   // bytes in UDP packets
	Lost              uint64            `json:"lost_packets"` // packets and updates dropped because a queue was full
}

// Report is the member's status, as the operators' console shows it.
type Report struct {
	Name     string         `json:"name"`
	Members  []members.Info `json:"members"`
	Replicas ReplicaStatus  `json:"copies"`
	Log      quorum.Status  `json:"log"`
	State    ledger.State   `json:"state"`
	Rejoin   *rejoin.Status `json:"back,omitempty"` // rejoin progress; nil if there are no stages
}

// SetRejoinStatus sets the function that returns the rejoin progress.
func (c *Cluster) SetRejoinStatus(status func() rejoin.Status) { c.rejoinStatus.Store(&status) }

// kindNames are the names of the kinds of facts in a ReplicaStatus; kinds without one are left out.
var kindNames = [replica.Kinds]string{replica.Runner: "runners", replica.Health: "health", replica.JobOutcome: "fates", replica.Gang: "gangs"}

// Report returns the member's status; false if ctx ends first.
func (c *Cluster) Report(ctx context.Context) (Report, bool) {
	r := Report{Name: c.cfg.Name, Members: c.members.All(), Log: c.quorum.Status(), State: c.quorum.State()}
	if status := c.rejoinStatus.Load(); status != nil {
		s := (*status)()
		r.Rejoin = &s
	}
	var ok bool
	r.Replicas, ok = query(ctx, c, func(c *Cluster) ReplicaStatus {
		status := ReplicaStatus{Digest: digestText(c.store.Digest()), Stored: map[string]int{}, Dropped: map[string]uint64{}, Behind: c.differingBuckets, Synced: -1,
			QueuedUpdates: c.members.Queued(), Received: c.counts.Received, Accepted: c.counts.Accepted, Rejected: c.counts.Rejected, Conflicts: c.counts.Conflicts, FailedComparisons: c.counts.Failed}
		for kind, name := range kindNames {
			if name != "" {
				status.Stored[name], status.Dropped[name] = c.store.Len(replica.Kind(kind))
			}
		}
		if !c.syncedAt.IsZero() {
			status.Synced = time.Since(c.syncedAt).Seconds()
		}
		status.Sent, _, status.Lost = c.port.Traffic()
		status.Lost += c.droppedUpdates.Load()
		return status
	})
	return r, ok
}

// digestText returns the checksum of a digest as 16 hex digits.
func digestText(d replica.Digest) string {
	const hex = "0123456789abcdef"
	out, sum := make([]byte, 16), d.Checksum()
	for i := range out {
		out[i] = hex[sum>>(60-4*i)&15]
	}
	return string(out)
}

// Runners returns the facts on runners; false if ctx ends first.
func (c *Cluster) Runners(ctx context.Context) ([]replica.Fact, bool) {
	return query(ctx, c, func(c *Cluster) []replica.Fact { return c.store.All(replica.Runner) })
}

// operatorTimeout bounds the handling of an operator's call; callers wait for 1 s.
const operatorTimeout = 800 * time.Millisecond

// Operators returns the handler of the console's calls: GET /api/cluster and /api/cluster/runners,
// and POST /api/cluster/snapshot, /join and /remove.
func (c *Cluster) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/cluster", func(w http.ResponseWriter, r *http.Request) {
		c.respond(w, r, func(ctx context.Context) (any, bool) { return toAny(c.Report(ctx)) })
	})
	mux.HandleFunc("GET /api/cluster/runners", func(w http.ResponseWriter, r *http.Request) {
		c.respond(w, r, func(ctx context.Context) (any, bool) { return toAny(c.Runners(ctx)) })
	})
	mux.HandleFunc("POST /api/cluster/snapshot", func(w http.ResponseWriter, _ *http.Request) { respondError(w, c.quorum.Snapshot()) })
	mux.HandleFunc("POST /api/cluster/join", func(w http.ResponseWriter, r *http.Request) {
		var call struct{ Address string }
		if readCall(w, r, &call) {
			respondError(w, c.members.Join(call.Address))
		}
	})
	mux.HandleFunc("POST /api/cluster/remove", func(w http.ResponseWriter, r *http.Request) {
		var call struct{ Name string }
		if !readCall(w, r, &call) {
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(operatorTimeout))
		defer cancel()
		respondError(w, c.quorum.Remove(ctx, call.Name))
	})
	return mux
}

// toAny converts the results of a query to those that respond expects.
func toAny[T any](v T, ok bool) (any, bool) { return v, ok }

// respond writes a value as JSON, or 503 if it is not available in time.
func (c *Cluster) respond(w http.ResponseWriter, r *http.Request, report func(context.Context) (any, bool)) {
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(operatorTimeout))
	defer cancel()
	v, ok := report(ctx)
	if !ok {
		http.Error(w, "not done, try again", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	_ = out.Encode(v) // it fails only if the caller has disconnected
}

// readCall decodes an operator's call of at most 4 KiB into value; it responds with 400 and returns
// false if that fails.
func readCall(w http.ResponseWriter, r *http.Request, value any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<10))
	if err == nil {
		err = json.Unmarshal(text, value)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// respondError responds with 503 and the error, if there is one.
func respondError(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// AliveCount returns the number of live members, including this one.
func (c *Cluster) AliveCount() int { return len(c.members.Alive()) }

// SentBytes returns the bytes sent in UDP packets.
func (c *Cluster) SentBytes() uint64 {
	sent, _, _ := c.port.Traffic()
	return sent
}

// QueuedUpdates returns the number of updates that are queued for gossip.
func (c *Cluster) QueuedUpdates() int { return c.members.Queued() }
