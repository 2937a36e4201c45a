// Package bucket is the order of free tokens that both programs place work by: owners (workers, runners)
// hold accounts of tokens, free tokens lie in one ring in the order in which they came free, and whoever
// seizes tokens asks for the owner whose oldest free token lies first. It decides nothing.
package bucket

import "cmp"

// Token is a number of tokens of one owner that came free together.
type Token[Owner any] struct {
	Owner       Owner
	count       int
	prev, next  *Token[Owner] // neighbors in the ring
	nextOfOwner *Token[Owner] // the owner's next
	position    float64       // rises along the ring
}

// Account is an owner's tokens.
type Account[Owner any] struct {
	oldest, newest *Token[Owner]
	Free           int // tokens in the ring
	InUse          int // tokens that work holds
	Limit          int // most tokens the owner has now
}

// OldestPosition returns the place of the oldest free token in the ring; it is only to be compared, and only where
// there are free tokens.
func (a *Account[Owner]) OldestPosition() float64 { return a.oldest.position }

// Nth returns the free token of a number from 0, the oldest first, and nil where there are not so many.
// Tokens that came free together are one.
func (a *Account[Owner]) Nth(number int) *Token[Owner] {
	for t := a.oldest; t != nil; t = t.nextOfOwner {
		if number < t.count {
			return t
		}
		number -= t.count
	}
	return nil
}

// Compare orders tokens by their places in the ring; nil stands for its back.
func (t *Token[Owner]) Compare(other *Token[Owner]) int {
	switch {
	case t == other:
		return 0
	case t == nil:
		return 1
	case other == nil:
		return -1
	default:
		return cmp.Compare(t.position, other.position)
	}
}

// Bucket is the ring of free tokens. Its zero value is not usable; see New.
type Bucket[Owner any] struct{ sentinel *Token[Owner] }

// New returns an empty bucket.
func New[Owner any]() *Bucket[Owner] {
	b := &Bucket[Owner]{sentinel: &Token[Owner]{}}
	b.sentinel.prev, b.sentinel.next = b.sentinel, b.sentinel
	return b
}

// Empty tells whether nobody has a free token.
func (b *Bucket[Owner]) Empty() bool { return b.sentinel.next == b.sentinel }

// Put places free tokens of an owner together at the back of the ring.
func (b *Bucket[Owner]) Put(a *Account[Owner], owner Owner, count int) {
	b.Insert(a, owner, count, nil)
}

// Insert places free tokens of an owner together before another token of the ring; nil is the back. They
// count as the owner's newest.
func (b *Bucket[Owner]) Insert(a *Account[Owner], owner Owner, count int, next *Token[Owner]) {
	if count <= 0 {
		return
	}
	if next == nil {
		next = b.sentinel
	}
	t := &Token[Owner]{Owner: owner, count: count, prev: next.prev, next: next}
	t.prev.next, next.prev = t, t
	b.assignPosition(t)
	if a.oldest == nil {
		a.oldest = t
	} else {
		a.newest.nextOfOwner = t
	}
	a.newest = t
	a.Free += count
}

// assignPosition gives a token its order between its neighbors', and all of them new ones once there is no
// number between two. So nobody has to walk the ring to compare two places in it.
func (b *Bucket[Owner]) assignPosition(t *Token[Owner]) {
	switch first, last := t.prev == b.sentinel, t.next == b.sentinel; {
	case first && last:
		t.position = 0
	case first:
		t.position = t.next.position - 1
	case last:
		t.position = t.prev.position + 1
	default:
		t.position = t.prev.position + (t.next.position-t.prev.position)/2
		if t.position <= t.prev.position || t.position >= t.next.position {
			b.reassignPositions()
		}
	}
}

func (b *Bucket[Owner]) reassignPositions() {
	n := 0.0
	for t := b.sentinel.next; t != b.sentinel; t = t.next {
		n++
		t.position = n
	}
}

// Remove removes the tokens of an owner that have been free longest from the ring.
func (b *Bucket[Owner]) Remove(a *Account[Owner], count int) {
	for count > 0 && a.oldest != nil {
		t := a.oldest
		removed := min(count, t.count)
		t.count -= removed
		count -= removed
		a.Free -= removed
		if t.count > 0 {
			return
		}
		t.prev.next, t.next.prev = t.next, t.prev
		a.oldest = t.nextOfOwner
		if a.oldest == nil {
			a.newest = nil
		}
	}
}

// Acquire moves free tokens of an owner to work.
func (b *Bucket[Owner]) Acquire(a *Account[Owner], count int) {
	b.Remove(a, count)
	a.InUse += count
}

// Release takes tokens back from work: they go together to the back of the ring, those beyond the limit
// are dropped.
func (b *Bucket[Owner]) Release(a *Account[Owner], owner Owner, count int) {
	a.InUse -= count
	b.Put(a, owner, a.Limit-a.Free-a.InUse)
}

// SetLimit changes how many tokens an owner has: new ones are free and lie at the back, free ones beyond
// the limit are dropped.
func (b *Bucket[Owner]) SetLimit(a *Account[Owner], owner Owner, limit int) {
	a.Limit = limit
	b.Remove(a, min(a.Free, a.Free+a.InUse-limit))
	b.Put(a, owner, limit-a.Free-a.InUse)
}
