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

// Copies is what people may know of the soft copies.
type Copies struct {
	Digest  string            `json:"digest"`
	Held    map[string]int    `json:"held"`
	Dropped map[string]uint64 `json:"dropped"` // for want of room
	Behind  int               `json:"behind"`  // parts of 256 that differed when last compared
	Synced  float64           `json:"synced"`  // seconds since a comparison found no difference; -1 for never
	Waiting int               `json:"waiting"` // words not yet gossiped
	Heard   uint64            `json:"heard"`
	Took    uint64            `json:"took"`
	Refused uint64            `json:"refused"`
	Clashes uint64            `json:"conflicts"`
	Failed  uint64            `json:"not_compared"` // comparisons that failed
	Sent    uint64            `json:"sent_bytes"`   // by UDP
	Lost    uint64            `json:"lost_packets"` // and words, as nobody had time for them
}

// Report is all that the console tells.
type Report struct {
	Name    string         `json:"name"`
	Members []members.Info `json:"members"`
	Copies  Copies         `json:"copies"`
	Log     quorum.Status  `json:"log"`
	State   ledger.State   `json:"state"`
	Back    *rejoin.Status `json:"back,omitempty"` // how far the dispatcher has come back
}

// ToldBy names who tells how far the dispatcher has come back.
func (c *Cluster) ToldBy(status func() rejoin.Status) { c.back.Store(&status) }

var kindNames = [replica.Kinds]string{replica.Runner: "runners", replica.Health: "health", replica.Fate: "fates", replica.Gang: "gangs"}

// Report gathers it; false where the context ends before.
func (c *Cluster) Report(ctx context.Context) (Report, bool) {
	r := Report{Name: c.cfg.Name, Members: c.list.All(), Log: c.quorum.Status(), State: c.quorum.State()}
	if status := c.back.Load(); status != nil {
		s := (*status)()
		r.Back = &s
	}
	var ok bool
	r.Copies, ok = ask(ctx, c, func(c *Cluster) Copies {
		k := Copies{Digest: digestText(c.store.Digest()), Held: map[string]int{}, Dropped: map[string]uint64{}, Behind: c.behind, Synced: -1,
			Waiting: c.list.Waiting(), Heard: c.told.Heard, Took: c.told.Took, Refused: c.told.Refused, Clashes: c.told.Conflicts, Failed: c.told.Unreached}
		for kind, name := range kindNames {
			if name != "" {
				k.Held[name], k.Dropped[name] = c.store.Len(replica.Kind(kind))
			}
		}
		if !c.synced.IsZero() {
			k.Synced = time.Since(c.synced).Seconds()
		}
		k.Sent, _, k.Lost = c.port.Traffic()
		k.Lost += c.lost.Load()
		return k
	})
	return r, ok
}

func digestText(d replica.Digest) string {
	const hex = "0123456789abcdef"
	out, sum := make([]byte, 16), d.Whole()
	for i := range out {
		out[i] = hex[sum>>(60-4*i)&15]
	}
	return string(out)
}

// Runners returns what the copies say of runners, for people.
func (c *Cluster) Runners(ctx context.Context) ([]replica.Fact, bool) {
	return ask(ctx, c, func(c *Cluster) []replica.Fact { return c.store.All(replica.Runner) })
}

// operatorTime bounds what operators ask for: whoever makes a call waits 1 s.
const operatorTime = 800 * time.Millisecond

// Operators is the console's part: GET /api/cluster, GET /api/cluster/runners, and
// POST /api/cluster/snapshot, /join and /remove.
func (c *Cluster) Operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/cluster", func(w http.ResponseWriter, r *http.Request) {
		c.answerOperators(w, r, func(ctx context.Context) (any, bool) { return both(c.Report(ctx)) })
	})
	mux.HandleFunc("GET /api/cluster/runners", func(w http.ResponseWriter, r *http.Request) {
		c.answerOperators(w, r, func(ctx context.Context) (any, bool) { return both(c.Runners(ctx)) })
	})
	mux.HandleFunc("POST /api/cluster/snapshot", func(w http.ResponseWriter, _ *http.Request) { said(w, c.quorum.Snapshot()) })
	mux.HandleFunc("POST /api/cluster/join", func(w http.ResponseWriter, r *http.Request) {
		var call struct{ Address string }
		if heard(w, r, &call) {
			said(w, c.list.Join(call.Address))
		}
	})
	mux.HandleFunc("POST /api/cluster/remove", func(w http.ResponseWriter, r *http.Request) {
		var call struct{ Name string }
		if !heard(w, r, &call) {
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(operatorTime))
		defer cancel()
		said(w, c.quorum.Remove(ctx, call.Name))
	})
	return mux
}

func both[T any](v T, ok bool) (any, bool) { return v, ok }

func (c *Cluster) answerOperators(w http.ResponseWriter, r *http.Request, get func(context.Context) (any, bool)) {
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(operatorTime))
	defer cancel()
	v, ok := get(ctx)
	if !ok {
		http.Error(w, "not done, try again", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	_ = out.Encode(v) // a caller that has left hears nothing
}

// heard reads an operator's call.
func heard(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<10))
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func said(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// Alive returns how many members this one sees alive, itself included.
func (c *Cluster) Alive() int { return len(c.list.Alive()) }

// Sent returns how many bytes have been sent by UDP.
func (c *Cluster) Sent() uint64 {
	sent, _, _ := c.port.Traffic()
	return sent
}

// Waiting returns how many words wait to be gossiped.
func (c *Cluster) Waiting() int { return c.list.Waiting() }
