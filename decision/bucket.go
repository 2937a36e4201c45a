package decision

import (
	"math"
	"slices"

	"frosttide/internal/bucket"
)

// tokens counts a worker's tokens. A token is the right to send one slot's work to the worker. Tokens enter
// the bucket one at a time, so that other workers' tokens can lie between any two.
type tokens = bucket.Account[*worker]

// fillBucket puts the workers' tokens into an empty bucket, spread evenly: a worker's share of any section
// of the bucket equals its share of all tokens. With equal counts each worker's first token precedes every
// second one. The random offsets keep dispatchers from choosing workers in the same order.
func (d *Dispatcher) fillBucket(ready []*worker) {
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

// insertTokens gives a worker all its tokens and spreads the free ones over the bucket at random, so that
// it gets its share of the traffic at once and no more. Tokens at one position would attract many requests
// in a row and overload a warming worker; adding them one by one would leave the worker's share to the
// others during a rolling restart.
func (d *Dispatcher) insertTokens(w *worker) {
	w.Limit = 0
	d.trimTokens(w)
	w.Limit = d.tokensFor(w)
	var points []*bucket.Token[*worker]
	for range w.Limit - w.InUse {
		points = append(points, d.insertionPoint(w))
	}
	slices.SortFunc(points, (*bucket.Token[*worker]).Compare)
	for _, next := range points {
		d.bucket.Insert(&w.tokens, w, 1, next)
	}
}

// insertionPoint returns a random free token of another worker in w's zone, before which a token of w is
// inserted, or nil for the back of the bucket. It samples a few workers, as walking the bucket of a large
// fleet is too expensive. Tokens of other zones are skipped: where the local zone is preferred they lie
// unused at the front, and a token inserted among them would be the next one at every dispatcher.
func (d *Dispatcher) insertionPoint(w *worker) *bucket.Token[*worker] {
	for range 8 * max(d.cfg.Zones, 1) { // nearly always enough to find one
		other := d.listed[d.rng.IntN(len(d.listed))]
		if other == w || other.Free == 0 || other.Zone != w.Zone {
			continue
		}
		return other.Nth(d.rng.IntN(other.Free))
	}
	return nil
}

// tokensFor returns the number of tokens of a healthy worker: proportional to its weight, and enough for the
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

// trimTokens removes the worker's free tokens beyond its limit.
func (d *Dispatcher) trimTokens(w *worker) {
	d.bucket.Remove(&w.tokens, min(w.Free, w.Free+w.InUse-w.Limit))
}

// releaseTokens returns the tokens of an ended attempt to the back of the bucket, all at once, except those
// beyond the worker's limit. No other function returns tokens.
func (d *Dispatcher) releaseTokens(w *worker, slots int) {
	w.InUse -= slots
	for w.Free+w.InUse < w.Limit {
		d.bucket.Put(&w.tokens, w, 1)
	}
}
