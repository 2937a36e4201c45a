// Package bucket keeps the order of free tokens by which the dispatcher and the scheduler choose where to place work.
//
// Owners (the dispatcher's workers, the scheduler's runners) have accounts of tokens, in proportion to the work that they
// can take at a time. Work acquires tokens of an owner and releases them when it ends. Free tokens are kept in one ring in
// the order in which they became free. To place work, callers compare owners by their oldest free tokens, so that equal
// owners take turns without a random choice. The package only keeps that order: package decision and package
// control/placement decide which owners are eligible.
//
// Invariants after each call:
//
//   - Free is the number of an account's tokens in the ring.
//   - Positions rise along the ring, so that two elements can be compared without traversing the ring.
//   - After Acquire, Release and SetLimit either Free + InUse is Limit, or more than Limit are in use and Free is 0. A
//     caller that calls Put, Insert and Remove itself, as package decision does, maintains InUse and Limit itself.
//
// Tokens that became free together are one element of the ring, so that the cost of an operation depends on the number of
// such elements, not on the number of tokens. The types are not safe for concurrent use.
package bucket

import "cmp"

// Token is an element of the ring: a number of tokens of one owner that became free together.
type Token[Owner any] struct {
	Owner       Owner
	count       int
	prev, next  *Token[Owner] // in the ring
	nextOfOwner *Token[Owner] // next newer element of the same account
	position    float64       // rises along the ring; only its order is meaningful
}

// Account holds the tokens of an owner. The zero value has no tokens. Only Bucket changes Free.
type Account[Owner any] struct {
	oldest, newest *Token[Owner]
	Free           int // tokens in the ring
	InUse          int // tokens that work has acquired
	Limit          int // total number of tokens of the owner
}

// OldestPosition returns the position of the account's oldest free token in the ring, for comparison with that of other
// accounts. The account must have a free token.
func (a *Account[Owner]) OldestPosition() float64 { return a.oldest.position }

// Nth returns the element of the ring that contains the account's free token of the given number, counted from 0 for the
// oldest, or nil if the account has fewer free tokens.
func (a *Account[Owner]) Nth(number int) *Token[Owner] {
	for t := a.oldest; t != nil; t = t.nextOfOwner {
		if number < t.count {
			return t
		}
		number -= t.count
	}
	return nil
}

// Compare orders elements by their positions in the ring; nil stands for the end of the ring.
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

// Bucket is the ring of the free tokens of all owners. New returns one; the zero value is not usable.
type Bucket[Owner any] struct {
	sentinel *Token[Owner] // its next is the first element of the ring, its prev the last
}

// New returns an empty bucket.
func New[Owner any]() *Bucket[Owner] {
	b := &Bucket[Owner]{sentinel: &Token[Owner]{}}
	b.sentinel.prev, b.sentinel.next = b.sentinel, b.sentinel
	return b
}

// Empty reports whether no owner has a free token.
func (b *Bucket[Owner]) Empty() bool { return b.sentinel.next == b.sentinel }

// Put adds free tokens of an owner at the end of the ring. It does nothing if count is not positive.
func (b *Bucket[Owner]) Put(a *Account[Owner], owner Owner, count int) {
	b.Insert(a, owner, count, nil)
}

// Insert adds free tokens of an owner to the ring before next, or at the end of the ring if next is nil. They become the
// owner's newest tokens. It does nothing if count is not positive.
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

// assignPosition gives a new element a position between those of its neighbors. If there is no floating-point number
// between them, it renumbers all elements.
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

// reassignPositions numbers all elements in the order of the ring.
func (b *Bucket[Owner]) reassignPositions() {
	n := 0.0
	for t := b.sentinel.next; t != b.sentinel; t = t.next {
		n++
		t.position = n
	}
}

// Remove removes the oldest free tokens of an owner from the ring: count tokens, or all if there are fewer.
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

// Acquire marks tokens of an owner as in use and removes as many free tokens from the ring. If the owner has fewer than
// count free tokens, more tokens than its limit are in use afterwards.
func (b *Bucket[Owner]) Acquire(a *Account[Owner], count int) {
	b.Remove(a, count)
	a.InUse += count
}

// Release returns tokens that were in use to the end of the ring. Tokens beyond the limit are dropped.
func (b *Bucket[Owner]) Release(a *Account[Owner], owner Owner, count int) {
	a.InUse -= count
	b.Put(a, owner, a.Limit-a.Free-a.InUse)
}

// SetLimit changes the total number of tokens of an owner. New tokens are added at the end of the ring; free tokens beyond
// the limit are dropped, the oldest first.
func (b *Bucket[Owner]) SetLimit(a *Account[Owner], owner Owner, limit int) {
	a.Limit = limit
	b.Remove(a, min(a.Free, a.Free+a.InUse-limit))
	b.Put(a, owner, limit-a.Free-a.InUse)
}
