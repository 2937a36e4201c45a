package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/quorum"
	"frosttide/internal/dispatcher/fleet/replica"
)

const (
	// maxExchange is the most bytes of facts that go one way in a comparison; the rest goes
	// in the next. maxBody is the most that is read.
	maxExchangeSize = 256 << 10
	maxBodySize     = maxExchangeSize + 64<<10
)

// comparison is the answer to a digest: what the asked member has in the buckets that differ,
// until maxExchange.
type comparison struct {
	Digest replica.Digest `json:"digest"`
	Differ []int          `json:"differ"`
	Sent   []int          `json:"sent"` // the buckets whose facts are here, whole
	Facts  []replica.Fact `json:"facts"`
	Now    int64          `json:"now,omitempty"` // the teller's time, ms since 1970
}

// serveCalls answers the other members.
func (c *Cluster) serveCalls() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/propose", c.handlePropose)
	mux.HandleFunc("POST /v1/last", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, c.quorum.Last())
	})
	mux.HandleFunc("POST /v1/compare", c.handleCompare)
	mux.HandleFunc("POST /v1/facts", c.handleFacts)
	mux.HandleFunc("POST /v1/fates", c.handleOutcomes)
	c.calls = &http.Server{Handler: mux, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout, IdleTimeout: 10 * time.Second,
		MaxHeaderBytes: 4 << 10, ErrorLog: stdlog.New(c.log.WriterLevel(logrus.DebugLevel), "", 0)}
	c.http = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, MaxIdleConns: 16, IdleConnTimeout: 5 * time.Second,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return c.port.Dial(ctx, clusterport.Calls, addr)
		}}}
	go func() { _ = c.calls.Serve(c.port.Listener(clusterport.Calls)) }()
}

// call posts a value to another member and reads its answer.
func (c *Cluster) call(ctx context.Context, addr, path string, body, into any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("call: %w", err)
	}
	defer resp.Body.Close()
	got, err := readAll(resp.Body, maxBodySize)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &statusError{resp.StatusCode, string(bytes.TrimSpace(got))}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(got, into); err != nil {
		return fmt.Errorf("call: %w", err)
	}
	return nil
}

// refusal is an answer other than 200.
type statusError struct {
	status int
	why    string
}

func (r *statusError) Error() string { return r.why }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a caller that has left hears nothing
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	text, err := readAll(r.Body, maxBodySize)
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// forward has the leader write an entry.
func (c *Cluster) forward(ctx context.Context, e ledger.Entry) (ledger.Done, error) {
	_, addr := c.quorum.Leader()
	if addr == "" || addr == c.port.Advertised() {
		return ledger.Done{}, quorum.ErrNoLeader
	}
	var d ledger.Done
	err := c.call(ctx, addr, "/v1/propose", e, &d)
	var no *statusError
	if errors.As(err, &no) && no.status == http.StatusMisdirectedRequest {
		return d, quorum.ErrNoLeader
	}
	if err != nil && !errors.As(err, &no) && ctx.Err() == nil {
		return d, fmt.Errorf("%w: the last one is not reached", quorum.ErrNoLeader)
	}
	return d, err
}

// lastOf asks a member how far its log goes.
func (c *Cluster) lastIndexOf(ctx context.Context, addr string) (last uint64, err error) {
	err = c.call(ctx, addr, "/v1/last", nil, &last)
	return last, err
}

// proposed writes an entry of another member's, where this one leads.
func (c *Cluster) handlePropose(w http.ResponseWriter, r *http.Request) {
	var e ledger.Entry
	if !readJSON(w, r, &e) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.Now().Add(exchangeTimeout))
	defer cancel()
	d, err := c.quorum.Propose(ctx, e)
	switch {
	case errors.Is(err, quorum.ErrNoLeader):
		http.Error(w, err.Error(), http.StatusMisdirectedRequest)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, d)
	}
}

// compared answers a digest.
func (c *Cluster) handleCompare(w http.ResponseWriter, r *http.Request) {
	var theirs replica.Digest
	if !readJSON(w, r, &theirs) {
		return
	}
	got, ok := query(r.Context(), c, func(c *Cluster) comparison {
		a := comparison{Differ: c.store.DifferingBuckets(theirs, c.now()), Digest: c.store.Digest(), Now: c.now()}
		a.Sent, a.Facts = c.selectBuckets(a.Differ)
		return a
	})
	if !ok {
		return
	}
	writeJSON(w, got)
}

// weight is about how many bytes a fact takes.
func factSize(f *replica.Fact) int { return 160 + len(f.Name) + len(f.Scope) + len(f.Entry) }

// parts returns the facts of as many buckets as go in an exchange, from another one on each
// time: guards against a bucket that is always cut off.
func (c *Cluster) selectBuckets(buckets []int) (sent []int, out []replica.Fact) {
	size := 0
	for i := range buckets {
		b := buckets[i]
		if len(buckets) > 1 {
			b = buckets[(i+c.firstBucket(len(buckets)))%len(buckets)]
		}
		facts := c.store.Bucket(b)
		for k := range facts {
			size += factSize(&facts[k])
		}
		if size > maxExchangeSize && len(sent) > 0 {
			break
		}
		sent, out = append(sent, b), append(out, facts...)
	}
	return sent, out
}

// turn is where an exchange of so many buckets begins; the same throughout one.
func (c *Cluster) firstBucket(n int) int { return int(c.counts.Compared*31) % n }

// facts takes in facts of another member's.
func (c *Cluster) handleFacts(w http.ResponseWriter, r *http.Request) {
	var facts []replica.Fact
	if !readJSON(w, r, &facts) {
		return
	}
	_, ok := query(r.Context(), c, func(c *Cluster) bool {
		for _, f := range facts {
			c.merge(f)
		}
		return true
	})
	if ok {
		writeJSON(w, len(facts))
	}
}

// compareWith brings the copies here and at another member together, as far as goes in one
// exchange. More tells that there is a rest.
func (c *Cluster) compareWith(ctx context.Context, with members.Info) (more bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(exchangeTimeout))
	defer cancel()
	mine, ok := query(ctx, c, func(c *Cluster) replica.Digest { c.counts.Compared++; return c.store.Digest() })
	if !ok {
		return false, ctx.Err()
	}
	var a comparison
	asked := c.clock.steady()
	if err := c.call(ctx, with.Addr, "/v1/compare", mine, &a); err != nil {
		return false, err
	}
	c.observeClock(with.Name, a.Now, asked, c.clock.steady())
	back, ok := query(ctx, c, func(c *Cluster) []replica.Fact {
		theirs := map[replica.Key]replica.Fact{}
		for _, f := range a.Facts {
			theirs[f.Key] = f
			c.merge(f)
		}
		c.store.DifferingBuckets(replica.Digest{Floors: a.Digest.Floors}, c.now())
		c.comparisonDone(len(a.Differ), with.Name)
		var out []replica.Fact
		for _, b := range a.Sent {
			for _, f := range c.store.Bucket(b) {
				if t, ok := theirs[f.Key]; !ok || replica.Compare(&f, &t) != 0 {
					out = append(out, f)
				}
			}
		}
		return out
	})
	if !ok {
		return false, ctx.Err()
	}
	n, size := 0, 0
	for n < len(back) && size < maxExchangeSize {
		size += factSize(&back[n])
		n++
	}
	more = len(a.Sent) < len(a.Differ) || n < len(back)
	if n == 0 {
		return more, nil
	}
	return more, c.call(ctx, with.Addr, "/v1/facts", back[:n], nil)
}

// farBehind is how many buckets have to differ for the member to say that it is behind.
const manyBuckets = replica.Buckets / 8

// caughtUp takes in in how many buckets a comparison found differences.
func (c *Cluster) comparisonDone(differ int, with string) {
	if differ >= manyBuckets && c.differingBuckets < manyBuckets {
		c.log.WithFields(logrus.Fields{"member": with, "parts": differ, "of": replica.Buckets}).Info("copies are behind; they are fetched")
	}
	if differ < manyBuckets && (c.differingBuckets >= manyBuckets || c.syncedAt.IsZero()) {
		c.log.WithFields(logrus.Fields{"member": with, "after": time.Since(c.startedAt).Round(time.Millisecond).String()}).Info("copies have caught up")
	}
	c.differingBuckets = differ
	if differ == 0 {
		c.syncedAt = time.Now()
	}
}

// jitter keeps members from asking at the same moment.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
