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

// compare periodically compares the replicas with those of another member until ctx ends.
func (c *Cluster) compare(ctx context.Context) {
	wait := catchUpInterval
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
		compared := c.replicasCompared.Load()
		other, complete := c.donor(others, compared)
		more, err := c.compareWith(ctx, other)
		if err != nil {
			c.mailbox.Put(func(c *Cluster) { c.counts.Failed++ })
			c.log.WithError(err).WithField("member", other.Name).Debug("comparing copies with another member failed")
		}
		if !compared && complete && err == nil && !more {
			c.replicasCompared.Store(true)
		}
		if more || !compared && err != nil {
			wait = catchUpInterval
		}
	}
}

// donor returns the member to compare replicas with next. Once this member's replicas have been
// compared, it is a random one. Before, it is the one that has run longest among the members that
// have fully rejoined, or else among those that started before this one. complete is set if the
// replicas of the returned member are complete.
func (c *Cluster) donor(others []members.Info, compared bool) (donor members.Info, complete bool) {
	donor = others[rand.IntN(len(others))]
	if compared {
		return donor, true
	}
	candidates := slices.DeleteFunc(slices.Clone(others), func(i members.Info) bool { return !outcomesComplete(i) })
	epochLimit := ^uint64(0) // any rejoined member has more complete replicas than this one
	if len(candidates) == 0 {
		candidates, epochLimit = others, c.epoch()
	}
	epochs := make([]uint64, len(candidates))
	for i, o := range candidates {
		epochs[i] = o.Epoch
	}
	if at := recovery.Donor(epochLimit, epochs); at >= 0 {
		return candidates[at], true
	}
	return donor, true // all members restarted together
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
	var digest replica.Digest
	if !readJSON(w, r, &digest) {
		return
	}
	response, ok := query(r.Context(), c, func(c *Cluster) comparison {
		result := comparison{Differ: c.store.DifferingBuckets(digest, c.now()), Digest: c.store.Digest(), Now: c.now()}
		result.Sent, result.Facts = c.selectBuckets(result.Differ)
		return result
	})
	if !ok {
		return
	}
	writeJSON(w, response)
}

// factSize returns the approximate size of a fact as JSON, in bytes.
func factSize(f *replica.Fact) int { return 160 + len(f.Name) + len(f.Scope) + len(f.Entry) }

// selectBuckets returns as many of the buckets, with their facts, as fit into an exchange. Each
// exchange starts with another bucket, so that none is starved.
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

// firstBucket returns the index at which an exchange of n buckets starts; it is constant within an
// exchange.
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

// compareWith reconciles the replicas with those of another member, as far as the size of one
// exchange allows; more is set if differences remain.
func (c *Cluster) compareWith(ctx context.Context, other members.Info) (more bool, err error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(exchangeTimeout))
	defer cancel()
	digest, ok := query(ctx, c, func(c *Cluster) replica.Digest { c.counts.Compared++; return c.store.Digest() })
	if !ok {
		return false, ctx.Err()
	}
	var response comparison
	sentAt := c.clock.monotonic()
	if err := c.call(ctx, other.Addr, "/v1/compare", digest, &response); err != nil {
		return false, err
	}
	c.observeClock(other.Name, response.Now, sentAt, c.clock.monotonic())
	missing, ok := query(ctx, c, func(c *Cluster) []replica.Fact { return c.mergeComparison(response, other.Name) })
	if !ok {
		return false, ctx.Err()
	}
	n, size := 0, 0
	for n < len(missing) && size < maxExchangeSize {
		size += factSize(&missing[n])
		n++
	}
	more = len(response.Sent) < len(response.Differ) || n < len(missing)
	if n == 0 {
		return more, nil
	}
	return more, c.call(ctx, other.Addr, "/v1/facts", missing[:n], nil)
}

// mergeComparison merges the facts of a comparison and returns this member's facts that the other
// member lacks, or has in another version, in the buckets that it sent. Only the actor calls it.
func (c *Cluster) mergeComparison(received comparison, member string) []replica.Fact {
	remote := map[replica.Key]replica.Fact{}
	for _, f := range received.Facts {
		remote[f.Key] = f
		c.merge(f)
	}
	c.store.DifferingBuckets(replica.Digest{Floors: received.Digest.Floors}, c.now())
	c.comparisonDone(len(received.Differ), member)
	var out []replica.Fact
	for _, b := range received.Sent {
		for _, f := range c.store.Bucket(b) {
			if t, ok := remote[f.Key]; !ok || replica.Compare(&f, &t) != 0 {
				out = append(out, f)
			}
		}
	}
	return out
}

// behindThreshold is the number of differing buckets from which on the member logs that its
// replicas are behind.
const behindThreshold = replica.Buckets / 8

// comparisonDone records how many buckets differed in a comparison.
func (c *Cluster) comparisonDone(differing int, member string) {
	if differing >= behindThreshold && c.differingBuckets < behindThreshold {
		c.log.WithFields(logrus.Fields{"member": member, "parts": differing, "of": replica.Buckets}).Info("copies are behind; fetching what differs")
	}
	if differing < behindThreshold && (c.differingBuckets >= behindThreshold || c.syncedAt.IsZero()) {
		c.log.WithFields(logrus.Fields{"member": member, "after": time.Since(c.startedAt).Round(time.Millisecond).String()}).Info("copies have caught up")
	}
	c.differingBuckets = differing
	if differing == 0 {
		c.syncedAt = time.Now()
	}
}

// jitter returns a random duration in [d/2, 3d/2), so that the members' calls do not synchronise.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
