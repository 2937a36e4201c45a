package decision

import (
	"math"
	"slices"

	"frosttide/internal/bucket"
)

// tokens are those of a worker. Each is the right to send one slot's work to it, and is put into the bucket
// by itself, so that other workers' tokens may be placed between any two.
type tokens = bucket.Account[*worker]

// fill gives workers their tokens in an empty bucket, spread so that a worker's part of any stretch of the
// bucket is its part of all tokens; with equal counts the first token of each worker precedes every second
// one. The random offsets keep dispatchers from choosing workers in the same order.
func (d *Dispatcher) fill(ready []*worker) {
	total := 0
	for _, w := range ready {
		w.Limit = d.tokensFor(w)
		total += max(w.Limit-w.InUse, 0)
	}
	positions := make([][]*worker, total)
	for _, w := range ready {
		offset := d.rng.Float64()
		for j := range w.Limit - w.InUse {
			i := int((float64(j) + offset) / float64(w.Limit) * float64(len(positions)))
			positions[i] = append(positions[i], w)
		}
	}
	for _, workers := range positions {
		for _, w := range slices.Backward(workers) {
			d.bucket.Put(&w.tokens, w, 1)
		}
	}
}

// join gives a worker all its tokens and spreads the free ones over the bucket at random, so that it gets its
// part of the traffic at once and no more. Tokens at one position would attract many requests in a row, and
// overload a warming worker; tokens given one by one would leave its traffic to the others during a rolling
// restart.
func (d *Dispatcher) join(w *worker) {
	w.Limit = 0
	d.trim(w)
	w.Limit = d.tokensFor(w)
	var anchors []*bucket.Token[*worker]
	for range w.Limit - w.InUse {
		anchors = append(anchors, d.anchor(w))
	}
	slices.SortFunc(anchors, (*bucket.Token[*worker]).Compare)
	for _, next := range anchors {
		d.bucket.Insert(&w.tokens, w, 1, next)
	}
}

// anchor returns a random free token of another worker of the zone, before which a token of the worker is
// put, or nil for the back of the bucket. It draws a few workers, as walking the bucket of a large fleet
// costs too much. Tokens of other zones are no anchors: they lie unused at the front where the own zone is
// preferred, and a token among them would be the next one at every dispatcher.
func (d *Dispatcher) anchor(w *worker) *bucket.Token[*worker] {
	for range 8 * max(d.cfg.Zones, 1) { // nearly always enough to find one
		other := d.listed[d.rng.IntN(len(d.listed))]
		if other == w || other.Free == 0 || other.Zone != w.Zone {
			continue
		}
		return other.Nth(d.rng.IntN(other.Free))
	}
	return nil
}

// tokensFor returns how many tokens a healthy worker has: in proportion to its weight, and enough for the
// request with the most slots.
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

// trim removes the worker's free tokens beyond its limit.
func (d *Dispatcher) trim(w *worker) {
	d.bucket.Remove(&w.tokens, min(w.Free, w.Free+w.InUse-w.Limit))
}

// release returns the tokens of an ended attempt, together, to the back of the bucket, but for those beyond
// the worker's limit. No other function returns tokens.
func (d *Dispatcher) release(w *worker, slots int) {
	w.InUse -= slots
	for w.Free+w.InUse < w.Limit {
		d.bucket.Put(&w.tokens, w, 1)
	}
}
