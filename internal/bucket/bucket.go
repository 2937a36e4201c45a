// Package bucket is the order of free tokens that both programs place work by: owners (workers, runners)
// hold accounts of tokens, free tokens lie in one ring in the order in which they came free, and whoever
// seizes tokens asks for the owner whose oldest free token lies first. It decides nothing.
package bucket

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

// Bucket is the ring of free tokens. Its zero value is not usable; see New.
type Bucket[Owner any] struct{ head *Token[Owner] }

// New returns an empty bucket.
func New[Owner any]() *Bucket[Owner] {
	b := &Bucket[Owner]{head: &Token[Owner]{}}
	b.head.prev, b.head.next = b.head, b.head
	return b
}

// Put places free tokens of an owner at the back of the ring.
func (b *Bucket[Owner]) Put(a *Account[Owner], owner Owner, count int) {
	if count <= 0 {
		return
	}
	t := &Token[Owner]{Owner: owner, count: count, prev: b.head.prev, next: b.head}
	t.prev.next, b.head.prev = t, t
	if t.prev != b.head {
		t.order = t.prev.order + 1
	}
	if a.oldest == nil {
		a.oldest = t
	} else {
		a.newest.newer = t
	}
	a.newest = t
	a.Free += count
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
