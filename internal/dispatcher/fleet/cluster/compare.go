package cluster

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/recovery"
	"frosttide/internal/dispatcher/fleet/replica"
)

// compare compares the replicas with another member's periodically until ctx ends.
func (c *Cluster) compare(ctx context.Context) {
	wait := hurriedInterval
	for {
		t := time.NewTimer(jitter(wait))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-c.compareNow:
			t.Stop()
		case <-t.C:
		}
		wait = compareInterval
		others := slices.DeleteFunc(c.members.Alive(), func(i members.Info) bool { return i.Name == c.cfg.Name || i.Leaving })
		if len(others) == 0 {
			continue
		}
		informed := c.informed.Load()
		with, complete := c.donor(others, informed)
		more, err := c.compareWith(ctx, with)
		if err != nil {
			c.mailbox.Put(func(c *Cluster) { c.counts.Failed++ })
			c.log.WithError(err).WithField("member", with.Name).Debug("copies were not compared")
		}
		if !informed && complete && err == nil && !more {
			c.informed.Store(true)
		}
		if more || !informed && err != nil {
			wait = hurriedInterval
		}
	}
}

// donor returns the member to compare replicas with next: a random one once this member is
// informed. Before, it is the one that has run longest among the members that have rejoined in
// full, or else among those that started before this one. complete is set if the replicas of the
// returned member are complete.
func (c *Cluster) donor(others []members.Info, informed bool) (with members.Info, complete bool) {
	with = others[rand.IntN(len(others))]
	if informed {
		return with, true
	}
	pool := slices.DeleteFunc(slices.Clone(others), func(i members.Info) bool { return !outcomesComplete(i) })
	mine := ^uint64(0) // any rejoined member knows more than this one
	if len(pool) == 0 {
		pool, mine = others, c.epoch()
	}
	epochs := make([]uint64, len(pool))
	for i, o := range pool {
		epochs[i] = o.Epoch
	}
	if at := recovery.Donor(mine, epochs); at >= 0 {
		return pool[at], true
	}
	return with, true // all members restarted together
}

// comparison is the response to a digest: the responder's facts in the buckets that differ, up to
// maxExchangeSize.
type comparison struct {
	Digest replica.Digest `json:"digest"`
	Differ []int          `json:"differ"`
	Sent   []int          `json:"sent"` // the buckets whose facts are included, completely
	Facts  []replica.Fact `json:"facts"`
	Now    int64          `json:"now,omitempty"` // the responder's fleet time, ms since 1970
}

// handleCompare responds to a digest.
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

// factSize returns the approximate size of a fact as JSON, in bytes.
func factSize(f *replica.Fact) int { return 160 + len(f.Name) + len(f.Scope) + len(f.Entry) }

// selectBuckets returns as many of the buckets, with their facts, as fit into an exchange. Each
// exchange starts with another bucket, so that none is left out for ever.
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

// firstBucket returns the position at which an exchange of n buckets starts; it is constant within
// an exchange.
func (c *Cluster) firstBucket(n int) int { return int(c.counts.Compared*31) % n }

// handleFacts merges facts that another member sends.
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

// compareWith reconciles the replicas with another member's, as far as one exchange goes; more is
// set if it did not suffice.
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
	back, ok := query(ctx, c, func(c *Cluster) []replica.Fact { return c.mergeComparison(a, with.Name) })
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

// mergeComparison merges the facts of a comparison and returns the own facts that the other member
// lacks in the buckets that it sent. Only the actor calls it.
func (c *Cluster) mergeComparison(a comparison, with string) []replica.Fact {
	theirs := map[replica.Key]replica.Fact{}
	for _, f := range a.Facts {
		theirs[f.Key] = f
		c.merge(f)
	}
	c.store.DifferingBuckets(replica.Digest{Floors: a.Digest.Floors}, c.now())
	c.comparisonDone(len(a.Differ), with)
	var out []replica.Fact
	for _, b := range a.Sent {
		for _, f := range c.store.Bucket(b) {
			if t, ok := theirs[f.Key]; !ok || replica.Compare(&f, &t) != 0 {
				out = append(out, f)
			}
		}
	}
	return out
}

// manyBuckets is how many buckets have to differ for the member to log that its replicas are
// behind.
const manyBuckets = replica.Buckets / 8

// comparisonDone records how many buckets differed in a comparison.
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

// jitter returns a random duration around d, so that members do not call each other in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
