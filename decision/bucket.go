package decision

import (
	"math"
	"slices"

	"frosttide/internal/bucket"
)

// tokens are a worker's; each is the right to send one slot's work to it. Each is put into the bucket by
// itself, so that others may be placed between any two.
type tokens = bucket.Account[*worker]

// fill gives the first workers their tokens, spread so that a worker's share of
// any stretch of the bucket is its share of the tokens; at equal counts the first
// of each comes before any second. The seed places them, so that dispatchers do
// not march in step.
func (d *Dispatcher) fill(ready []*worker) {
	total := 0
	for _, w := range ready {
		w.Limit = d.tokensFor(w)
		total += max(w.Limit-w.InUse, 0)
	}
	places := make([][]*worker, total)
	for _, w := range ready {
		offset := d.rng.Float64()
		for j := range w.Limit - w.InUse {
			at := int((float64(j) + offset) / float64(w.Limit) * float64(len(places)))
			places[at] = append(places[at], w)
		}
	}
	for _, at := range places {
		for _, w := range slices.Backward(at) {
			d.bucket.Put(&w.tokens, w, 1)
		}
	}
}

// join gives a worker all its tokens and spreads the free ones over the
// bucket at random: it gets its share of the traffic at once and
// no more. Guards rule 4, as tokens at one place would draw many jobs in a row,
// and guards the others in a rolling restart, as a worker that got its tokens
// back one by one would leave them its traffic for long.
func (d *Dispatcher) join(w *worker) {
	w.Limit = 0
	d.trim(w)
	w.Limit = d.tokensFor(w)
	var before []*bucket.Token[*worker]
	for range w.Limit - w.InUse {
		before = append(before, d.anchor(w))
	}
	slices.SortFunc(before, (*bucket.Token[*worker]).Compare)
	for _, t := range before {
		d.bucket.Insert(&w.tokens, w, 1, t)
	}
}

// anchor returns a random free token of another worker of the zone, or nil for the back
// of the bucket; walking a large fleet's bucket for each joining worker costs too
// much. Guards rule 4: where the own zone comes first, tokens of other zones lie
// unused at the front, and a place among them is as good as the first.
func (d *Dispatcher) anchor(w *worker) *bucket.Token[*worker] {
	for range 8 * max(d.cfg.Zones, 1) { // enough to find one
		other := d.listed[d.rng.IntN(len(d.listed))]
		if other == w || other.Free == 0 || other.Zone != w.Zone {
			continue
		}
		return other.Nth(d.rng.IntN(other.Free))
	}
	return nil
}

// tokensFor returns how many tokens a worker has when it is well: by weight,
// and enough for the widest request.
func (d *Dispatcher) tokensFor(w *worker) int {
	if w.TokenLimit > 0 {
		return min(w.TokenLimit, maxTokens)
	}
	n := defaultTokens
	if d.cfg.WeightKnown && d.meanWeight > 0 {
		n = int(math.Round(defaultTokens * min(w.effectiveWeight()/d.meanWeight, maxTokens/defaultTokens)))
	}
	return max(n, d.maxRequestSlots)
}

// trim drops free tokens beyond the worker's limit.
func (d *Dispatcher) trim(w *worker) {
	d.bucket.Remove(&w.tokens, min(w.Free, w.Free+w.InUse-w.Limit))
}

// release is the one owner of returning tokens: those of an ended attempt go
// together to the back of the bucket, those beyond the limit are dropped.
func (d *Dispatcher) release(w *worker, slots int) {
	w.InUse -= slots
	for w.Free+w.InUse < w.Limit {
		d.bucket.Put(&w.tokens, w, 1)
	}
}
