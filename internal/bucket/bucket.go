// Package bucket is the order of free tokens that both programs place work by: owners (workers, runners)
// hold accounts of tokens, free tokens lie in one ring in the order in which they came free, and whoever
// seizes tokens asks for the owner whose oldest free token lies first. It decides nothing.
package bucket

import "cmp"

// Token is a number of tokens of one owner that came free together.
type Token[Owner any] struct {
	Owner      Owner
	count      int
	prev, next *Token[Owner] // neighbors in the ring
	newer      *Token[Owner] // the owner's next
	order      float64       // rises along the ring
}

// Account is an owner's tokens.
type Account[Owner any] struct {
	oldest, newest *Token[Owner]
	Free           int // tokens in the ring
	Held           int // tokens that work holds
	Limit          int // most tokens the owner has now
}

// Order returns the place of the oldest free token in the ring; it is only to be compared, and only where
// there are free tokens.
func (a *Account[Owner]) Order() float64 { return a.oldest.order }

// Nth returns the free token of a number from 0, the oldest first, and nil where there are not so many.
// Tokens that came free together are one.
func (a *Account[Owner]) Nth(number int) *Token[Owner] {
	for t := a.oldest; t != nil; t = t.newer {
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
		return cmp.Compare(t.order, other.order)
	}
}

// Bucket is the ring of free tokens. Its zero value is not usable; see New.
type Bucket[Owner any] struct{ head *Token[Owner] }

// New returns an empty bucket.
func New[Owner any]() *Bucket[Owner] {
	b := &Bucket[Owner]{head: &Token[Owner]{}}
	b.head.prev, b.head.next = b.head, b.head
	return b
}

// Empty tells whether nobody has a free token.
func (b *Bucket[Owner]) Empty() bool { return b.head.next == b.head }

// Put places free tokens of an owner together at the back of the ring.
func (b *Bucket[Owner]) Put(a *Account[Owner], owner Owner, count int) {
	b.PutBefore(a, owner, count, nil)
}

// PutBefore places free tokens of an owner together before another token of the ring; nil is the back. They
// count as the owner's newest.
func (b *Bucket[Owner]) PutBefore(a *Account[Owner], owner Owner, count int, before *Token[Owner]) {
	if count <= 0 {
		return
	}
	if before == nil {
		before = b.head
	}
	t := &Token[Owner]{Owner: owner, count: count, prev: before.prev, next: before}
	t.prev.next, before.prev = t, t
	b.number(t)
	if a.oldest == nil {
		a.oldest = t
	} else {
		a.newest.newer = t
	}
	a.newest = t
	a.Free += count
}

// number gives a token its order between its neighbors', and all of them new ones once there is no
// number between two. So nobody has to walk the ring to compare two places in it.
func (b *Bucket[Owner]) number(t *Token[Owner]) {
	switch first, last := t.prev == b.head, t.next == b.head; {
	case first && last:
		t.order = 0
	case first:
		t.order = t.next.order - 1
	case last:
		t.order = t.prev.order + 1
	default:
		t.order = t.prev.order + (t.next.order-t.prev.order)/2
		if t.order <= t.prev.order || t.order >= t.next.order {
			b.renumber()
		}
	}
}

func (b *Bucket[Owner]) renumber() {
	n := 0.0
	for t := b.head.next; t != b.head; t = t.next {
		n++
		t.order = n
	}
}

// Take removes the tokens of an owner that have been free longest from the ring.
func (b *Bucket[Owner]) Take(a *Account[Owner], count int) {
	for count > 0 && a.oldest != nil {
		t := a.oldest
		taken := min(count, t.count)
		t.count -= taken
		count -= taken
		a.Free -= taken
		if t.count > 0 {
			return
		}
		t.prev.next, t.next.prev = t.next, t.prev
		a.oldest = t.newer
		if a.oldest == nil {
			a.newest = nil
		}
	}
}

// Seize moves free tokens of an owner to work.
func (b *Bucket[Owner]) Seize(a *Account[Owner], count int) {
	b.Take(a, count)
	a.Held += count
}

// Release takes tokens back from work: they go together to the back of the ring, those beyond the limit
// are dropped.
func (b *Bucket[Owner]) Release(a *Account[Owner], owner Owner, count int) {
	a.Held -= count
	b.Put(a, owner, a.Limit-a.Free-a.Held)
}

// SetLimit changes how many tokens an owner has: new ones are free and lie at the back, free ones beyond
// the limit are dropped.
func (b *Bucket[Owner]) SetLimit(a *Account[Owner], owner Owner, limit int) {
	a.Limit = limit
	b.Take(a, min(a.Free, a.Free+a.Held-limit))
	b.Put(a, owner, limit-a.Free-a.Held)
}
